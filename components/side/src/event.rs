//! Events of the event loop other than messages from peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::{Offset, Timestamp, Tokens};
use compact_str::CompactString;
use config::FleetConfig;
use engine::{CacheEvents, EngineError, LoadSample, OrderResult};
use placement::{EngineState, OrderId};
use queue::Ticket;
use store::VmSnapshot;
use wire::{Heartbeat, PinOutcome};

use crate::action::SlotOwner;

/// Kind of a failed probe of the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ProbeFailure {
    /// No connection could be opened.
    Unreachable,
    /// No valid response arrived in time.
    NoAnswer,
}

/// Event that a background task reports to the event loop.
pub(crate) enum Event {
    /// Events of the engine's prompt prefix cache arrived.
    CacheRead(CacheEvents),
    /// The caller cancelled a queued request.
    Cancelled(Ticket),
    /// A configuration version became active.
    Configured(Arc<FleetConfig>),
    /// The call to raise the engine's lowest fencing number ended; true if it was answered.
    FenceAnswered(Offset, bool),
    /// A peer answered a heartbeat.
    HeartbeatAnswered(Box<Heartbeat>),
    /// A load sample arrived.
    LoadRead(LoadSample),
    /// The result of an order arrived, or its response was lost.
    OrderAnswered(OrderId, Result<OrderResult, EngineError>),
    /// A permit request was granted, refused with the delay before a retry, or not answered.
    PermitAnswered(SlotOwner, Result<u64, Option<Duration>>),
    /// A pin request ended; `answer` is none without a response.
    PinAnswered {
        /// Peer address of the called side process.
        peer: SocketAddr,
        /// Model.
        model: CompactString,
        /// Number of the pin request.
        ask: u64,
        /// Answer.
        answer: Option<PinOutcome>,
    },
    /// The plain target was probed.
    Probed(Result<(), ProbeFailure>),
    /// A running request ended.
    Settled(Ticket, Tokens),
    /// The start record was appended.
    StartRecorded(Offset),
    /// A read of the engine's state, with the time at which it was requested.
    StateRead(Timestamp, Result<EngineState, ProbeFailure>),
    /// An `Unpin` was answered.
    UnpinAnswered {
        /// Peer address of the called side process.
        peer: SocketAddr,
        /// Model.
        model: CompactString,
        /// Number of the pin request.
        ask: u64,
    },
    /// A VM list arrived.
    VmListed(VmSnapshot),
}
