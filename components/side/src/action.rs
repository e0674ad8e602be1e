//! Side effects that the core requests from the event loop.

use std::net::SocketAddr;
use std::time::Duration;

use base::Offset;
use compact_str::CompactString;
use placement::Order;
use queue::Ticket;
use wire::{RefuseReason, SlotId};

/// Owner of a weight-store slot, as a candidate for a permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SlotOwner {
    /// Peer address of the entry process.
    pub address: SocketAddr,
    /// Slot.
    pub slot: SlotId,
}

/// A side effect; actions are executed in the order in which the core returned them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Appends the start record, whose offset becomes the fencing number.
    AppendStart,
    /// Requests a load permit.
    RequestPermit {
        /// Slot owner to call.
        owner: SlotOwner,
        /// Longest time that the load may take, in milliseconds.
        hold_ms: u32,
    },
    /// Requests that another side process pin its copy.
    RequestPin {
        /// Peer address of the side process.
        peer: SocketAddr,
        /// Model.
        model: CompactString,
        /// Number of the pin request.
        ask: u64,
    },
    /// Sends `Unpin` to another side process.
    ReleasePin {
        /// Peer address of the side process.
        peer: SocketAddr,
        /// Model.
        model: CompactString,
        /// Number of the pin request.
        ask: u64,
    },
    /// Raises the engine's lowest accepted fencing number.
    RaiseFence(Offset),
    /// Refuses a queued request, which did not run.
    Refuse {
        /// Request.
        ticket: Ticket,
        /// Reason.
        reason: RefuseReason,
        /// Delay before a retry, in milliseconds.
        retry_after_ms: Option<u32>,
    },
    /// Returns a permit to its slot owner.
    ReturnPermit {
        /// Slot owner to call.
        owner: SlotOwner,
        /// Number of the permit at the owner.
        permit: u64,
    },
    /// Sends an order to the engine.
    SendOrder {
        /// Order.
        order: Order,
        /// Version of a model to load.
        version: CompactString,
        /// Time to load at full store speed, in milliseconds.
        load_ms: u64,
    },
    /// Starts a queued request.
    Start {
        /// Request.
        ticket: Ticket,
        /// Time in the queue.
        waited: Duration,
    },
}
