//! Order to an engine (I1): a side process with its ledger, an engine that obeys, and the log, which
//! gives the fencing number.

use std::time::Duration;

use base::{Offset, Timestamp};
use faults::{Network, Protocol, Timing, enumerate};
use placement::{
    EngineCopy, EngineCopyState, EngineState, Item, MemoryLedger, MemoryLedgerSettings, Order,
    OrderId, OrderKind, OrderResult,
};

use crate::support::{red_run, report};

const SIDE: usize = 0;
const ENGINE: usize = 1;
const LOG: usize = 2;
const CAPACITY_MB: u64 = 1_000;
const LIFETIME: Duration = Duration::from_millis(100);
const RESEND: Duration = Duration::from_millis(20);
const READ_EVERY: Duration = Duration::from_millis(10);
const WORK: Duration = Duration::from_millis(6);

#[derive(Clone)]
enum Message {
    AppendStart { incarnation: u64 },
    Stored { incarnation: u64, offset: Offset },
    Fence(Offset),
    Fenced(Offset),
    Read { asked_at: Timestamp, incarnation: u64 },
    State { asked_at: Timestamp, incarnation: u64, state: EngineState },
    Order { incarnation: u64, deadline: Timestamp, order: Order },
    Answer { incarnation: u64, id: OrderId, result: OrderResult },
}

type EngineOrderId = (u64, OrderId);

#[derive(Default)]
struct Engine {
    floor: Offset,
    copies: Vec<(Item, EngineCopyState)>,
    finished: Vec<(EngineOrderId, OrderResult)>,
    work: Vec<(EngineOrderId, Order, Timestamp, usize)>,
}

impl Engine {
    fn used_mb(&self) -> u64 {
        self.copies.iter().map(|(item, _)| size_of(item)).sum()
    }

    fn state(&self) -> EngineState {
        let models = self.copies.iter().map(|(item, state)| EngineCopy {
            model: item.name().clone(),
            version: "1".into(),
            state: *state,
        });
        EngineState {
            capacity_mb: CAPACITY_MB,
            used_mb: self.used_mb(),
            models: models.collect(),
            adapters: Vec::new(),
            busy: !self.work.is_empty(),
        }
    }

    fn begin(&mut self, order: &Order) -> bool {
        let at = self.copies.iter().position(|(item, _)| *item == order.item);
        match (order.kind, at) {
            (OrderKind::Load, None) => {
                self.copies.push((order.item.clone(), EngineCopyState::Loading));
                self.copies.sort_by(|a, b| a.0.cmp(&b.0));
                true
            }
            (OrderKind::Unload, Some(at)) if self.copies[at].1 == EngineCopyState::Resident => {
                self.copies[at].1 = EngineCopyState::Unloading;
                true
            }
            _ => false,
        }
    }
}

#[derive(Clone, Copy)]
struct Rules {
    honours_fencing: bool,
    /// A new incarnation waits for the orders of the one before.
    quarantine: bool,
    /// An order counts until it is proven undone.
    keeps_doubt: bool,
    /// Time to restart, and length of a pause or an outage.
    outage: Duration,
}

struct World {
    rules: Rules,
    incarnation: u64,
    ledger: MemoryLedger,
    start_at: Timestamp,
    fence_at: Timestamp,
    read_at: Timestamp,
    log: Vec<u64>,
    engine: Engine,
}

fn model(name: &str) -> Item {
    Item::Model(name.into())
}

fn size_of(item: &Item) -> u64 {
    if item.name() == "large" { 600 } else { 500 }
}

fn settings(rules: Rules) -> MemoryLedgerSettings {
    MemoryLedgerSettings {
        capacity_mb: CAPACITY_MB,
        order_lifetime: if rules.quarantine { LIFETIME } else { Duration::ZERO },
        resend_after: RESEND,
    }
}

impl World {
    fn new(rules: Rules) -> Self {
        let now = Timestamp::from_millis(1);
        Self {
            rules,
            incarnation: 1,
            ledger: MemoryLedger::new(settings(rules), now),
            start_at: Timestamp::default(),
            fence_at: Timestamp::default(),
            read_at: Timestamp::default(),
            log: Vec::new(),
            engine: Engine::default(),
        }
    }

    fn send_order(&self, order: Order, network: &mut Network<Message>) {
        let kind = if order.kind == OrderKind::Load { "order load" } else { "order unload" };
        let (incarnation, deadline) = (self.incarnation, network.now() + LIFETIME);
        network.send(SIDE, ENGINE, kind, Message::Order { incarnation, deadline, order });
    }

    /// First `large`, then `other` in its place: the two do not fit together.
    fn next_order(&mut self, now: Timestamp) -> Option<Order> {
        let (large, other) = (model("large"), model("other"));
        if self.ledger.is_resident(&other) {
            return None;
        }
        if self.ledger.allocation(&other).is_none() && self.engine_history(&large) {
            if self.ledger.is_resident(&large) {
                return self.ledger.begin_unload(&large, now).ok();
            }
            return self.ledger.begin_load(other, None, 500, now).ok();
        }
        self.ledger.begin_load(large, None, 600, now).ok()
    }

    /// Whether `large` was there once, so that the plan goes on to `other`.
    fn engine_history(&self, large: &Item) -> bool {
        self.ledger.is_resident(large)
            || self.engine.finished.iter().any(|(_, result)| *result == OrderResult::Done)
    }

    fn answer(
        &self,
        to: usize,
        id: EngineOrderId,
        result: OrderResult,
        network: &mut Network<Message>,
    ) {
        let (incarnation, id) = id;
        network.send(ENGINE, to, "order answer", Message::Answer { incarnation, id, result });
    }
}

impl Protocol for World {
    type Message = Message;

    fn timing(&self) -> Timing {
        Timing {
            tick: Duration::from_millis(1),
            latency: Duration::from_millis(1),
            delay: Duration::from_millis(45),
            outage: self.rules.outage,
            horizon: Duration::from_secs(3),
        }
    }

    fn regions(&self) -> Vec<u8> {
        vec![0, 0, 1]
    }

    fn log(&self) -> Option<usize> {
        Some(LOG)
    }

    fn deliver(
        &mut self,
        from: usize,
        _to: usize,
        message: Message,
        network: &mut Network<Message>,
    ) {
        let now = network.now();
        match message {
            Message::AppendStart { incarnation } => {
                if !network.log_down() {
                    self.log.push(incarnation);
                    let at = self.log.iter().position(|i| *i == incarnation).unwrap();
                    let offset = Offset(at as u64 + 1);
                    network.send(
                        LOG,
                        from,
                        "stored start",
                        Message::Stored { incarnation, offset },
                    );
                }
            }
            Message::Stored { incarnation, offset } => {
                if incarnation == self.incarnation {
                    self.ledger.quarantine_mut().set_fencing(offset);
                }
            }
            Message::Fence(floor) => {
                self.engine.floor = self.engine.floor.max(floor);
                network.send(ENGINE, from, "fence raised", Message::Fenced(floor));
            }
            Message::Fenced(floor) => self.ledger.quarantine_mut().acknowledge_fence(floor),
            Message::Read { asked_at, incarnation } => {
                let state = self.engine.state();
                let reply = Message::State { asked_at, incarnation, state };
                network.send(ENGINE, from, "state", reply);
            }
            Message::State { asked_at, incarnation, state } => {
                if incarnation == self.incarnation {
                    self.ledger.observe(&state, asked_at, now, |item| Some((size_of(item), None)));
                }
            }
            Message::Order { incarnation, deadline, order } => {
                let id = (incarnation, order.id);
                if let Some((_, result)) = self.engine.finished.iter().find(|(f, _)| *f == id) {
                    return self.answer(from, id, *result, network);
                }
                if self.engine.work.iter().any(|(other, ..)| *other == id) {
                    return;
                }
                let result = if now > deadline {
                    Some(OrderResult::Expired)
                } else if self.rules.honours_fencing && order.fencing < self.engine.floor {
                    Some(OrderResult::Fenced)
                } else if self.engine.begin(&order) {
                    None
                } else {
                    Some(OrderResult::Failed)
                };
                match result {
                    Some(result) => {
                        self.engine.finished.push((id, result));
                        self.answer(from, id, result, network);
                    }
                    None => self.engine.work.push((id, order, now + WORK, from)),
                }
            }
            Message::Answer { incarnation, id, result } => {
                if incarnation == self.incarnation {
                    self.ledger.apply_answer(id, result, now);
                }
            }
        }
    }

    fn tick(&mut self, node: usize, network: &mut Network<Message>) {
        let now = network.now();
        match node {
            SIDE => {
                if self.ledger.quarantine().fencing().is_none()
                    && now.since(self.start_at) >= RESEND
                {
                    self.start_at = now;
                    let incarnation = self.incarnation;
                    network.send(SIDE, LOG, "append start", Message::AppendStart { incarnation });
                }
                if let Some(floor) = self.ledger.quarantine().pending_fence()
                    && now.since(self.fence_at) >= RESEND
                {
                    self.fence_at = now;
                    network.send(SIDE, ENGINE, "raise fence", Message::Fence(floor));
                }
                if now.since(self.read_at) >= READ_EVERY {
                    self.read_at = now;
                    let (asked_at, incarnation) = (now, self.incarnation);
                    network.send(SIDE, ENGINE, "read", Message::Read { asked_at, incarnation });
                }
                let outstanding = self.ledger.outstanding().is_some();
                if outstanding && !self.rules.keeps_doubt {
                    // The naive books forget an order whose answer is overdue.
                    if let Some(order) = self.ledger.resend(now) {
                        self.ledger.apply_answer(order.id, OrderResult::Failed, now);
                        self.ledger = forgotten(&self.ledger, self.rules, now);
                    }
                } else if let Some(order) = self.ledger.resend(now) {
                    self.send_order(order, network);
                } else if let Some(order) = self.next_order(now) {
                    self.send_order(order, network);
                }
            }
            ENGINE => {
                let done: Vec<_> =
                    self.engine.work.extract_if(.., |(.., end, _)| *end <= now).collect();
                for (id, order, _, from) in done {
                    self.engine.copies.retain(|(item, _)| *item != order.item);
                    if order.kind == OrderKind::Load {
                        self.engine.copies.push((order.item, EngineCopyState::Resident));
                        self.engine.copies.sort_by(|a, b| a.0.cmp(&b.0));
                    }
                    self.engine.finished.push((id, OrderResult::Done));
                    self.answer(from, id, OrderResult::Done, network);
                }
            }
            _ => {}
        }
    }

    fn die(&mut self, node: usize, _: Timestamp) {
        if node == ENGINE {
            self.engine = Engine::default();
        }
    }

    fn restart(&mut self, node: usize, now: Timestamp) {
        if node == SIDE {
            self.incarnation += 1;
            self.ledger = MemoryLedger::new(settings(self.rules), now);
            self.start_at = Timestamp::default();
            self.fence_at = Timestamp::default();
        }
    }

    fn check(&mut self, _: &Network<Message>) -> Result<(), String> {
        let used = self.engine.used_mb();
        if used > CAPACITY_MB {
            return Err(format!("I1: the engine holds {used} of {CAPACITY_MB} MB"));
        }
        let reserved = self.ledger.used_mb();
        if reserved > CAPACITY_MB {
            return Err(format!("I1: {reserved} of {CAPACITY_MB} MB are used or reserved"));
        }
        Ok(())
    }

    fn finished(&self) -> bool {
        self.ledger.is_resident(&model("other"))
            && self.ledger.outstanding().is_none()
            && self.engine.copies == [(model("other"), EngineCopyState::Resident)]
    }
}

fn forgotten(ledger: &MemoryLedger, rules: Rules, now: Timestamp) -> MemoryLedger {
    let mut fresh = MemoryLedger::new(settings(Rules { quarantine: false, ..rules }), now);
    if let Some(fencing) = ledger.quarantine().fencing() {
        fresh.quarantine_mut().set_fencing(fencing);
        fresh.quarantine_mut().acknowledge_fence(fencing);
    }
    fresh
}

/// Shorter than a late order is on its way.
const SHORT: Duration = Duration::from_millis(30);
/// Longer than any order may be on its way.
const LONG: Duration = Duration::from_millis(250);

const RULES: Rules =
    Rules { honours_fencing: false, quarantine: true, keeps_doubt: true, outage: SHORT };

/// Guards against memory given twice, with an engine that ignores fencing numbers.
#[test]
fn memory_is_never_overcommitted_under_every_fault() {
    let matrix = enumerate(|| World::new(RULES), 2);
    report("Order to an engine that ignores fencing numbers", &matrix, 169, 14_144);
}

/// Guards against memory given twice after a pause past the lifetime of an order.
#[test]
fn memory_is_never_overcommitted_after_long_pauses() {
    let rules = Rules { outage: LONG, ..RULES };
    let matrix = enumerate(|| World::new(rules), 1);
    report("Order to an engine, pauses past the lifetime of an order", &matrix, 117, 6_747);
}

/// Guards against memory given twice, with an engine that honours fencing numbers.
#[test]
fn memory_is_never_overcommitted_at_an_engine_that_fences() {
    let rules = Rules { honours_fencing: true, ..RULES };
    let matrix = enumerate(|| World::new(rules), 1);
    report("Order to an engine that honours fencing numbers", &matrix, 117, 6_747);
}

/// Guards against a check of I1 that cannot fail: orders of the dead incarnation are still on their way.
#[test]
fn check_catches_a_start_without_quarantine() {
    let rules = Rules { quarantine: false, ..RULES };
    red_run("start without quarantine", || World::new(rules), "I1");
}

/// Guards against a check of I1 that cannot fail: an order without an answer is taken for undone.
#[test]
fn check_catches_orders_forgotten_when_unanswered() {
    let rules = Rules { keeps_doubt: false, ..RULES };
    red_run("unanswered order forgotten", || World::new(rules), "I1");
}
