//! Unary calls between processes and their replies.

use base::{Offset, ProcessId, Tokens};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{CacheUpdate, Heartbeat, ProcessStatus};

/// A bucket slot: one of K parts of the buckets of a partition of customers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SlotId {
    /// Partition of customers (hash of the name modulo the number of partitions).
    pub partition: u16,
    /// Part of the bucket, below the number of slots.
    pub index: u16,
}

/// A call from one process to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerCall {
    /// Says that the sender is alive and how it does.
    Heartbeat(Box<Heartbeat>),
    /// Debits a customer's bucket slot at its owner, by the amount or by what is there.
    Reserve {
        /// Slot.
        slot: SlotId,
        /// Customer.
        customer: CompactString,
        /// Tokens wanted.
        tokens: Tokens,
        /// The sender's configuration version.
        config_offset: Offset,
    },
    /// Settles a reservation to the tokens used; the rest is refunded within the cap rule.
    Settle {
        /// Slot.
        slot: SlotId,
        /// Customer.
        customer: CompactString,
        /// Number of the reservation at the owner.
        reservation: u64,
        /// Tokens used.
        used: Tokens,
    },
    /// Asks for records of a log stream from a peer.
    CatchUp {
        /// Stream.
        stream: CompactString,
        /// First offset wanted.
        from: Offset,
    },
    /// Suggests a model load or unload to a side process.
    Suggest(Suggestion),
    /// Asks a side process not to unload a model.
    Pin {
        /// Model.
        model: CompactString,
        /// Side process that wants to unload its own copy.
        requester: ProcessId,
        /// Number of the ask at the requester; rises with each ask.
        ask: u64,
    },
    /// Ends a pin.
    Unpin {
        /// Model.
        model: CompactString,
        /// Side process that asked for the pin.
        requester: ProcessId,
        /// Number of the ask that ends, so that a late call does not end a newer pin.
        ask: u64,
    },
    /// Asks the owner of a slot for permission to load from the weight store.
    Permit {
        /// Slot.
        slot: SlotId,
        /// Longest time that the load may take, in milliseconds.
        hold_ms: u32,
    },
    /// Gives a permit back.
    PermitDone {
        /// Slot.
        slot: SlotId,
        /// Number of the permit at the owner.
        permit: u64,
    },
    /// Asks for the state of the process.
    Status,
    /// Asks a side process for the events of its engine's prompt prefix cache.
    CacheEvents {
        /// Last event that the sender knows.
        after: u64,
    },
}

/// Reply to a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerReply {
    /// To `Settle`, `Unpin` and `PermitDone`; also when there was nothing to do.
    Done,
    /// To `Heartbeat`.
    Heartbeat(Box<Heartbeat>),
    /// To `Permit`.
    Permit(PermitOutcome),
    /// To `Pin`.
    Pin(PinOutcome),
    /// To `CatchUp`.
    Records {
        /// Records in offset order; the first may be a later snapshot.
        records: Vec<LogRecordCopy>,
        /// Last offset that the sender knows.
        end: Offset,
    },
    /// To `Reserve`.
    Reserve(ReserveOutcome),
    /// To `Status`.
    Status(Box<ProcessStatus>),
    /// To `Suggest`.
    Suggest(SuggestOutcome),
    /// The call does not suit the role of the receiver.
    Unsupported,
    /// To `CacheEvents`.
    CacheEvents(CacheUpdate),
}

/// A record of the log as kept by a peer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogRecordCopy {
    /// Position.
    pub offset: Offset,
    /// Content.
    pub payload: Vec<u8>,
}

/// Result of a reservation at one slot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ReserveOutcome {
    /// Debited.
    Granted {
        /// Number of the reservation at the owner.
        reservation: u64,
        /// Tokens debited; at most the amount asked for.
        tokens: Tokens,
    },
    /// Nothing left.
    Empty {
        /// Time until one token accrues, in milliseconds.
        retry_after_ms: u32,
    },
    /// The receiver does not own the slot.
    NotOwner,
    /// The receiver does not know the customer in its configuration.
    UnknownCustomer,
}

/// Result of asking for a load permit.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PermitOutcome {
    /// The load may start.
    Granted {
        /// Number of the permit at the owner.
        permit: u64,
    },
    /// The receiver does not own the slot.
    NotOwner,
    /// Rate or concurrency is used up.
    Wait {
        /// Time to wait, in milliseconds.
        retry_after_ms: u32,
    },
}

/// Result of asking for a pin.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PinOutcome {
    /// The receiver keeps its copy until the pin ends.
    Held,
    /// The receiver has no resident copy.
    NotResident,
    /// The receiver wants to unload its own copy and goes first.
    Refused,
}

/// What the planner asks a side process to do.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Suggestion {
    /// Load a model.
    Load {
        /// Model.
        model: CompactString,
    },
    /// Unload a model.
    Unload {
        /// Model.
        model: CompactString,
    },
}

/// What a side process does with a suggestion.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SuggestOutcome {
    /// Taken up, or already so.
    Accepted,
    /// Not done: memory, a pin, the last copy, or quarantine forbids it.
    Declined,
}
