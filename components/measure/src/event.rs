//! Events of a run, in time order.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use base::{Timestamp, Tokens};
use placement::{OrderId, OrderKind};
use rates::ReservationPart;
use wire::{Heartbeat, ReserveOutcome, SlotId};

/// Something that happens at a time.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A request reaches its entry process.
    Arrive(usize),
    /// A reservation reaches the owner of a slot.
    Reserve { request: usize, owner: usize, slot: SlotId, tokens: Tokens },
    /// The answer reaches the requester.
    Reserved { request: usize, slot: SlotId, outcome: ReserveOutcome },
    /// A call to the owner of a slot fails.
    ReserveFailed { request: usize, slot: SlotId },
    /// A deadline of the collection of a request.
    CollectTick(usize),
    /// A settlement reaches the owner of a slot.
    Settle { owner: usize, request: usize, part: ReservationPart, used: Tokens },
    /// A request reaches a side process.
    Dispatch { request: usize, target: usize },
    /// An engine's step ends.
    Step { target: usize, epoch: u64 },
    /// An engine's answer to an order.
    OrderDone { target: usize, order: OrderId, kind: OrderKind, epoch: u64 },
    /// A side process looks for an order to give.
    TryOrder(usize),
    /// A side process sends heartbeats.
    SendHeartbeats,
    /// A heartbeat reaches an entry process.
    Heartbeat { entry: usize, heartbeat: Box<Heartbeat> },
    /// The planner decides.
    Plan,
    /// A suggestion reaches a side process.
    Suggested { target: usize, kind: placement::MoveKind, model: compact_str::CompactString },
    /// The fault begins, or its next step.
    FaultStep(u32),
}

struct Scheduled {
    at: Timestamp,
    number: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Events by time; of equal times the one scheduled first.
#[derive(Default)]
pub(crate) struct Agenda {
    events: BinaryHeap<Reverse<Scheduled>>,
    next: u64,
}

impl Agenda {
    pub(crate) fn push(&mut self, at: Timestamp, event: Event) {
        self.events.push(Reverse(Scheduled { at, number: self.next, event }));
        self.next += 1;
    }

    pub(crate) fn pop(&mut self) -> Option<(Timestamp, Event)> {
        self.events.pop().map(|Reverse(scheduled)| (scheduled.at, scheduled.event))
    }
}
