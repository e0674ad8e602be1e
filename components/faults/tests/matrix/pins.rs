//! Unload with a pin (I2): side processes that all want to unload their copy of one model, each with its
//! engine. One copy must stay.

use std::time::Duration;

use base::{ProcessId, Timestamp};
use faults::{Network, Protocol, Timing, enumerate};
use placement::{PinAnswer, PinTable};

use crate::support::{process, red_run, report};

const MODEL: &str = "base";
const NAMES: [&str; 3] = ["side-a", "side-b", "side-c"];
const LIFETIME: Duration = Duration::from_millis(60);
const RESEND: Duration = Duration::from_millis(20);
const HEARTBEAT: Duration = Duration::from_millis(30);
/// Pause between two rounds of asking.
const ROUND: Duration = Duration::from_millis(25);

#[derive(Clone)]
enum Message {
    Pin { from: ProcessId, ask: u64 },
    PinAnswer { to: ProcessId, ask: u64, answer: PinAnswer },
    Unpin { from: ProcessId, ask: u64 },
    UnpinAnswer { to: ProcessId, ask: u64 },
    Order { from: ProcessId, deadline: Timestamp },
    OrderAnswer { to: ProcessId },
    Read { from: ProcessId, asked_at: Timestamp },
    Copy { to: ProcessId, asked_at: Timestamp, present: bool },
    Heartbeat { from: ProcessId, quarantined: bool },
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum View {
    Gone,
    Quarantined { until: Timestamp },
    Resident,
    Unloading { sent: Timestamp, sends: u32 },
}

#[derive(Clone, Copy)]
struct Rules {
    /// An unload needs a pin.
    pins: bool,
}

struct Side {
    id: ProcessId,
    pins: PinTable,
    view: View,
    /// The other side that is asked, and when.
    asked: Option<(usize, Timestamp)>,
    tried: Vec<usize>,
    idle_until: Timestamp,
    unpinned_at: Timestamp,
    read_at: Timestamp,
    heartbeat_at: Timestamp,
}

impl Side {
    fn start(side: usize, incarnation: u64, view: View) -> Self {
        let id = process(NAMES[side], incarnation);
        Self {
            pins: PinTable::new(id.name.clone()),
            id,
            view,
            asked: None,
            tried: Vec::new(),
            idle_until: Timestamp::default(),
            unpinned_at: Timestamp::default(),
            read_at: Timestamp::default(),
            heartbeat_at: Timestamp::default(),
        }
    }
}

struct World {
    rules: Rules,
    /// Time to restart, and length of a pause or a cut.
    outage: Duration,
    sides: Vec<Side>,
    copies: Vec<bool>,
}

impl World {
    fn new(rules: Rules, count: usize, outage: Duration) -> Self {
        let sides = (0..count).map(|side| Side::start(side, 1, View::Resident)).collect();
        Self { rules, outage, sides, copies: vec![true; count] }
    }

    fn position(&self, name: &str) -> usize {
        self.sides.iter().position(|side| side.id.name.as_str() == name).unwrap()
    }

    fn finish(&mut self, side: usize, now: Timestamp) {
        let own = &mut self.sides[side];
        own.pins.end_request(MODEL);
        own.asked = None;
        own.tried.clear();
        own.idle_until = now + ROUND * (2 * side as u32 + 1);
        own.unpinned_at = Timestamp::default();
    }

    fn settle(&mut self, side: usize, present: bool, now: Timestamp) {
        self.sides[side].view = if present { View::Resident } else { View::Gone };
        self.finish(side, now);
    }

    fn want(&mut self, side: usize, network: &mut Network<Message>) {
        let (now, count) = (network.now(), self.sides.len());
        let own = &mut self.sides[side];
        if own.view != View::Resident || now < own.idle_until {
            return;
        }
        if own.pins.may_unload(MODEL) || !self.rules.pins {
            own.view = View::Unloading { sent: now, sends: 1 };
            let order = Message::Order { from: own.id.clone(), deadline: now + LIFETIME };
            network.send(side, count + side, "order unload", order);
            return;
        }
        if own.asked.is_some_and(|(_, at)| now.since(at) < RESEND) {
            return;
        }
        own.asked = None;
        let Some(next) = (0..count).find(|other| *other != side && !own.tried.contains(other))
        else {
            self.finish(side, now);
            return;
        };
        own.tried.push(next);
        let giver = process(NAMES[next], 1).name;
        if let Some(ask) = own.pins.request(MODEL, &giver) {
            own.asked = Some((next, now));
            let from = own.id.clone();
            network.send(side, next, "pin", Message::Pin { from, ask });
        }
    }

    fn unpin(&mut self, side: usize, network: &mut Network<Message>) {
        let now = network.now();
        let own = &mut self.sides[side];
        if now.since(own.unpinned_at) < RESEND {
            return;
        }
        own.unpinned_at = now;
        let from = own.id.clone();
        let open: Vec<_> =
            own.pins.pending_unpins().map(|(_, giver, ask)| (giver.to_string(), ask)).collect();
        for (giver, ask) in open {
            let to = self.position(&giver);
            network.send(side, to, "unpin", Message::Unpin { from: from.clone(), ask });
        }
    }

    /// Sends an overdue order again within its lifetime, and reads the engine's state after it.
    fn pursue(&mut self, side: usize, network: &mut Network<Message>) {
        let (now, count) = (network.now(), self.sides.len());
        let own = &mut self.sides[side];
        if let View::Unloading { sent, sends } = own.view
            && now.since(sent) >= RESEND
            && sends < 3
        {
            own.view = View::Unloading { sent: now, sends: sends + 1 };
            let order = Message::Order { from: own.id.clone(), deadline: now + LIFETIME };
            network.send(side, count + side, "order unload", order);
        }
        let waits = matches!(own.view, View::Unloading { .. } | View::Quarantined { .. });
        if waits && now.since(own.read_at) >= RESEND {
            own.read_at = now;
            let read = Message::Read { from: own.id.clone(), asked_at: now };
            network.send(side, count + side, "read", read);
        }
    }
}

impl Protocol for World {
    type Message = Message;

    fn timing(&self) -> Timing {
        Timing {
            tick: Duration::from_millis(2),
            latency: Duration::from_millis(2),
            delay: Duration::from_millis(45),
            outage: self.outage,
            horizon: Duration::from_secs(4),
        }
    }

    fn regions(&self) -> Vec<u8> {
        let count = self.sides.len();
        (0..2 * count).map(|node| u8::from(node % count > 0)).collect()
    }

    fn log(&self) -> Option<usize> {
        None
    }

    fn deliver(
        &mut self,
        from: usize,
        to: usize,
        message: Message,
        network: &mut Network<Message>,
    ) {
        let now = network.now();
        let count = self.sides.len();
        let is_for = |sides: &[Side], id: &ProcessId| sides[to].id == *id;
        match message {
            Message::Pin { from: requester, ask } => {
                let own = &mut self.sides[to];
                let keepable = own.view == View::Resident;
                let answer = own.pins.grant(MODEL, &requester, ask, keepable);
                let reply = Message::PinAnswer { to: requester, ask, answer };
                network.send(to, from, "pin answer", reply);
            }
            Message::PinAnswer { to: asker, ask, answer } => {
                if is_for(&self.sides, &asker) {
                    let giver = process(NAMES[from], 1).name;
                    self.sides[to].pins.apply_answer(MODEL, &giver, ask, answer);
                    self.sides[to].asked = None;
                }
            }
            Message::Unpin { from: requester, ask } => {
                self.sides[to].pins.release(MODEL, &requester, ask);
                let reply = Message::UnpinAnswer { to: requester, ask };
                network.send(to, from, "unpin answer", reply);
            }
            Message::UnpinAnswer { to: asker, ask } => {
                if is_for(&self.sides, &asker) {
                    let giver = process(NAMES[from], 1).name;
                    self.sides[to].pins.confirm_unpin(MODEL, &giver, ask);
                }
            }
            Message::Order { from: side, deadline } => {
                if now <= deadline {
                    self.copies[to - count] = false;
                    let reply = Message::OrderAnswer { to: side };
                    network.send(to, from, "order answer", reply);
                }
            }
            Message::OrderAnswer { to: side } => {
                let unloading = matches!(self.sides[to].view, View::Unloading { .. });
                if is_for(&self.sides, &side) && unloading {
                    self.settle(to, false, now);
                }
            }
            Message::Read { from: side, asked_at } => {
                let present = self.copies[to - count];
                let reply = Message::Copy { to: side, asked_at, present };
                network.send(to, from, "copy state", reply);
            }
            Message::Copy { to: side, asked_at, present } => {
                if !is_for(&self.sides, &side) {
                    return;
                }
                match self.sides[to].view {
                    View::Unloading { sent, .. } if asked_at > sent + LIFETIME => {
                        self.settle(to, present, now);
                    }
                    View::Unloading { .. } if !present => self.settle(to, false, now),
                    View::Quarantined { until } if asked_at > until => {
                        self.settle(to, present, now);
                    }
                    _ => {}
                }
            }
            Message::Heartbeat { from: other, quarantined } => {
                if !quarantined {
                    self.sides[to].pins.requester_restarted(&other);
                }
            }
        }
    }

    fn tick(&mut self, node: usize, network: &mut Network<Message>) {
        let (now, count) = (network.now(), self.sides.len());
        if node >= count {
            return;
        }
        if now.since(self.sides[node].heartbeat_at) >= HEARTBEAT {
            self.sides[node].heartbeat_at = now;
            let from = self.sides[node].id.clone();
            let quarantined = matches!(self.sides[node].view, View::Quarantined { .. });
            for other in (0..count).filter(|other| *other != node) {
                let heartbeat = Message::Heartbeat { from: from.clone(), quarantined };
                network.send(node, other, "heartbeat", heartbeat);
            }
        }
        self.pursue(node, network);
        self.unpin(node, network);
        self.want(node, network);
    }

    fn die(&mut self, _: usize, _: Timestamp) {}

    fn restart(&mut self, node: usize, now: Timestamp) {
        if node < self.sides.len() {
            let incarnation = self.sides[node].id.incarnation.0 + 1;
            let until = now + LIFETIME;
            self.sides[node] = Side::start(node, incarnation, View::Quarantined { until });
        }
    }

    fn check(&mut self, _: &Network<Message>) -> Result<(), String> {
        if self.copies.iter().any(|copy| *copy) {
            return Ok(());
        }
        Err("I2: the last copy was unloaded".into())
    }

    fn finished(&self) -> bool {
        let gone = self.sides.iter().filter(|side| side.view == View::Gone).count();
        let pinned = self.sides.iter().any(|side| side.pins.is_pinned(MODEL));
        let open = self.sides.iter().any(|side| side.pins.pending_unpins().next().is_some());
        gone + 1 == self.sides.len() && !pinned && !open
    }
}

const RULES: Rules = Rules { pins: true };

/// Longer than any order may be on its way.
const LONG: Duration = Duration::from_millis(150);
/// Shorter than a late order is on its way.
const SHORT: Duration = Duration::from_millis(14);

/// Guards against two side processes that rely on each other's copy, and against pins that nobody ends.
#[test]
fn one_of_two_copies_stays_under_every_fault() {
    let matrix = enumerate(|| World::new(RULES, 2, LONG), 2);
    report("Unload with a pin, two copies", &matrix, 110, 5_830);
}

/// Guards against orders of a dead incarnation that arrive after its successor gave a pin.
#[test]
fn one_of_two_copies_stays_after_quick_restarts() {
    let matrix = enumerate(|| World::new(RULES, 2, SHORT), 2);
    report("Unload with a pin, quick restarts", &matrix, 110, 5_764);
}

/// Guards against chains of pins over three copies.
#[test]
fn one_of_three_copies_stays_under_every_fault() {
    let matrix = enumerate(|| World::new(RULES, 3, LONG), 1);
    report("Unload with a pin, three copies", &matrix, 99, 4_785);
}

/// Guards against a check of I2 that cannot fail.
#[test]
fn check_catches_an_unload_without_a_pin() {
    let rules = Rules { pins: false };
    red_run("unload without a pin", || World::new(rules, 2, LONG), "I2");
}
