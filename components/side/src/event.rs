//! What reaches the event loop beside messages of peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::{Offset, Timestamp, Tokens};
use compact_str::CompactString;
use config::Town;
use engine::{CacheEvents, EngineError, LoadSample, OrderResult};
use placement::{EngineState, OrderId};
use queue::Ticket;
use store::VmSnapshot;
use wire::{Heartbeat, PinOutcome};

use crate::action::SlotOwner;

/// How a probe of the target failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ProbeFailure {
    /// No connection could be opened.
    Unreachable,
    /// No good answer came in time.
    NoAnswer,
}

/// Something that happened.
pub(crate) enum Event {
    /// Events of the engine's prompt prefix cache arrived.
    CacheRead(CacheEvents),
    /// A queued request was given up by its caller.
    Cancelled(Ticket),
    /// A configuration came into force.
    Configured(Arc<Town>),
    /// The engine answered the call to raise its lowest fencing number, or did not.
    FenceAnswered(Offset, bool),
    /// A peer answered a heartbeat.
    HeartbeatAnswered(Box<Heartbeat>),
    /// A load sample arrived.
    LoadRead(LoadSample),
    /// An order was answered, or its answer was lost.
    OrderAnswered(OrderId, Result<OrderResult, EngineError>),
    /// A permit was granted, refused with the time to wait, or not answered.
    PermitAnswered(SlotOwner, Result<u64, Option<Duration>>),
    /// An ask for a pin was answered; none if it was not.
    PinAnswered {
        /// Whom it went to.
        peer: SocketAddr,
        /// Model.
        model: CompactString,
        /// Number of the ask.
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
    /// The engine's state was asked for at a time.
    StateRead(Timestamp, Result<EngineState, ProbeFailure>),
    /// An `Unpin` was answered.
    UnpinAnswered {
        /// Whom it went to.
        peer: SocketAddr,
        /// Model.
        model: CompactString,
        /// Number of the ask.
        ask: u64,
    },
    /// A VM list arrived.
    VmListed(VmSnapshot),
}
