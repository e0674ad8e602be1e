//! What the core asks its surroundings to do.

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

/// An effect, carried out in the order in which the core returned it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Appends the start record that gives the fencing number.
    AppendStart,
    /// Asks for a load permit.
    RequestPermit {
        /// Whom.
        owner: SlotOwner,
        /// Longest time that the load may take, in milliseconds.
        hold_ms: u32,
    },
    /// Asks another side process to pin its copy.
    RequestPin {
        /// Whom.
        peer: SocketAddr,
        /// Model.
        model: CompactString,
        /// Number of the ask.
        ask: u64,
    },
    /// Tells another side process that an ask is over.
    ReleasePin {
        /// Whom.
        peer: SocketAddr,
        /// Model.
        model: CompactString,
        /// Number of the ask.
        ask: u64,
    },
    /// Raises the engine's lowest accepted fencing number.
    RaiseFence(Offset),
    /// Ends a queued request that did not run.
    Refuse {
        /// Request.
        ticket: Ticket,
        /// Why.
        reason: RefuseReason,
        /// When to try again.
        retry_after_ms: Option<u32>,
    },
    /// Gives a permit back.
    ReturnPermit {
        /// Whom.
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
    /// Lets a queued request run.
    Start {
        /// Request.
        ticket: Ticket,
        /// Time in the queue.
        waited: Duration,
    },
}
