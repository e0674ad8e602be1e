//! Memory is never overcommitted: a ledger against a simulated engine that executes every order,
//! over a network that loses, delays and repeats messages, with restarts of both ends.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::collections::BTreeMap;
use std::time::Duration;

use base::{Offset, Timestamp};
use placement::{
    EngineCopy, EngineCopyState, EngineState, Item, MemoryLedger, MemoryLedgerSettings, Order,
    OrderId, OrderKind, OrderResult,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRunner};

const SEED: u64 = 20_261_206;
const CASES: u32 = 1_024;
const CAPACITY_MB: u64 = 1_000;
const SIZES_MB: [u64; 4] = [300, 400, 500, 600];
const LIFETIME: Duration = Duration::from_millis(100);
const SETTINGS: MemoryLedgerSettings = MemoryLedgerSettings {
    capacity_mb: CAPACITY_MB,
    order_lifetime: LIFETIME,
    resend_after: Duration::from_millis(20),
};

fn fixed_seed() -> Config {
    Config {
        cases: CASES,
        max_shrink_iters: 0,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    }
}

fn item(index: usize) -> Item {
    Item::Model(format!("m{index}").into())
}

fn size_of(item: &Item) -> u64 {
    SIZES_MB[(0..SIZES_MB.len()).find(|index| self::item(*index) == *item).unwrap()]
}

/// Interface of the ledger under test, implemented by the real ledger and by faulty ones.
trait TestLedger {
    fn start(now: Timestamp) -> Self;
    fn load(&mut self, item: Item, now: Timestamp) -> Option<Order>;
    fn unload(&mut self, item: &Item, now: Timestamp) -> Option<Order>;
    fn resend(&mut self, now: Timestamp) -> Option<Order>;
    fn apply_answer(&mut self, id: OrderId, result: OrderResult, now: Timestamp);
    fn observe(&mut self, state: &EngineState, requested_at: Timestamp, now: Timestamp);
    fn fence(&mut self, fencing: Offset);
    fn used_mb(&self) -> u64;
}

impl TestLedger for MemoryLedger {
    fn start(now: Timestamp) -> Self {
        Self::new(SETTINGS, now)
    }

    fn load(&mut self, item: Item, now: Timestamp) -> Option<Order> {
        let size = size_of(&item);
        self.begin_load(item, None, size, now).ok()
    }

    fn unload(&mut self, item: &Item, now: Timestamp) -> Option<Order> {
        self.begin_unload(item, now).ok()
    }

    fn resend(&mut self, now: Timestamp) -> Option<Order> {
        Self::resend(self, now)
    }

    fn apply_answer(&mut self, id: OrderId, result: OrderResult, now: Timestamp) {
        Self::apply_answer(self, id, result, now);
    }

    fn observe(&mut self, state: &EngineState, requested_at: Timestamp, now: Timestamp) {
        Self::observe(self, state, requested_at, now, |item| Some((size_of(item), None)));
    }

    fn fence(&mut self, fencing: Offset) {
        self.quarantine_mut().set_fencing(fencing);
        self.quarantine_mut().acknowledge_fence(fencing);
    }

    fn used_mb(&self) -> u64 {
        Self::used_mb(self)
    }
}

/// Faulty ledger that trusts every read newer than the last reply. Without `QUARANTINE` it trusts
/// the first read after a start; without `RESEND` it treats an order that would be resent as not
/// executed.
struct TrustingLedger<const QUARANTINE: bool, const RESEND: bool> {
    ledger: MemoryLedger,
    settled: BTreeMap<Item, ()>,
    quarantine_over: bool,
    outstanding: Option<Order>,
    next: u64,
    changed: Timestamp,
}

impl<const QUARANTINE: bool, const RESEND: bool> TestLedger for TrustingLedger<QUARANTINE, RESEND> {
    fn start(now: Timestamp) -> Self {
        Self {
            ledger: MemoryLedger::new(SETTINGS, now),
            settled: BTreeMap::new(),
            quarantine_over: false,
            outstanding: None,
            next: 1,
            changed: now,
        }
    }

    fn load(&mut self, item: Item, _: Timestamp) -> Option<Order> {
        let free = CAPACITY_MB.saturating_sub(TestLedger::used_mb(self));
        if !self.quarantine_over || self.outstanding.is_some() || self.settled.contains_key(&item) {
            return None;
        }
        (size_of(&item) <= free).then(|| self.order(OrderKind::Load, item))
    }

    fn unload(&mut self, item: &Item, _: Timestamp) -> Option<Order> {
        let allowed =
            self.quarantine_over && self.outstanding.is_none() && self.settled.contains_key(item);
        allowed.then(|| self.order(OrderKind::Unload, item.clone()))
    }

    fn resend(&mut self, _: Timestamp) -> Option<Order> {
        if RESEND { self.outstanding.clone() } else { self.outstanding.take().and(None) }
    }

    fn apply_answer(&mut self, id: OrderId, result: OrderResult, now: Timestamp) {
        let Some(order) = self.outstanding.take_if(|order| order.id == id) else { return };
        self.changed = now;
        if result == OrderResult::Done {
            match order.kind {
                OrderKind::Load => drop(self.settled.insert(order.item, ())),
                OrderKind::Unload => drop(self.settled.remove(&order.item)),
            }
        }
    }

    fn observe(&mut self, state: &EngineState, requested_at: Timestamp, now: Timestamp) {
        TestLedger::observe(&mut self.ledger, state, requested_at, now);
        let open = !QUARANTINE || self.ledger.quarantine().is_over();
        let idle =
            self.quarantine_over && self.outstanding.is_none() && requested_at > self.changed;
        if (!self.quarantine_over && open) || idle {
            self.settled = state.items().map(|(item, _)| (item, ())).collect();
            self.quarantine_over = true;
        }
    }

    fn fence(&mut self, fencing: Offset) {
        TestLedger::fence(&mut self.ledger, fencing);
    }

    fn used_mb(&self) -> u64 {
        let outstanding = self.outstanding.iter().filter(|o| o.kind == OrderKind::Load);
        self.settled.keys().chain(outstanding.map(|o| &o.item)).map(size_of).sum()
    }
}

impl<const QUARANTINE: bool, const RESEND: bool> TrustingLedger<QUARANTINE, RESEND> {
    fn order(&mut self, kind: OrderKind, item: Item) -> Order {
        let memory_mb = size_of(&item);
        let id = OrderId(self.next);
        self.next += 1;
        let fencing = self.ledger.quarantine().fencing().unwrap();
        let order = Order { id, kind, item, base_model: None, memory_mb, fencing };
        self.outstanding = Some(order.clone());
        order
    }
}

type EngineOrderId = (u64, OrderId);

/// Engine that executes every order without checking its memory.
struct Engine {
    honours_fencing: bool,
    min_fencing: Offset,
    copies: BTreeMap<Item, EngineCopyState>,
    finished: BTreeMap<EngineOrderId, OrderResult>,
    in_progress: Vec<(EngineOrderId, Order, Timestamp)>,
}

impl Engine {
    fn used_mb(&self) -> u64 {
        self.copies.keys().map(size_of).sum()
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
            busy: !self.in_progress.is_empty(),
        }
    }

    /// Receives an order; an immediate result is in `finished` afterwards.
    fn receive(&mut self, id: EngineOrderId, order: &Order, duration: Duration, now: Timestamp) {
        let known = self.in_progress.iter().any(|(other, ..)| *other == id);
        if known || self.finished.contains_key(&id) {
            return;
        }
        if self.honours_fencing && order.fencing < self.min_fencing {
            self.finished.insert(id, OrderResult::Fenced);
            return;
        }
        let copy = self.copies.get(&order.item);
        match (order.kind, copy) {
            (OrderKind::Load, None) => {
                self.copies.insert(order.item.clone(), EngineCopyState::Loading);
            }
            (OrderKind::Unload, Some(EngineCopyState::Resident)) => {
                self.copies.insert(order.item.clone(), EngineCopyState::Unloading);
            }
            _ => {
                self.finished.insert(id, OrderResult::Failed);
                return;
            }
        }
        self.in_progress.push((id, order.clone(), now + duration));
    }

    fn finish_orders(&mut self, now: Timestamp) {
        let done: Vec<_> = self.in_progress.extract_if(.., |(.., end)| *end <= now).collect();
        for (id, order, _) in done {
            match order.kind {
                OrderKind::Load => {
                    self.copies.insert(order.item, EngineCopyState::Resident);
                }
                OrderKind::Unload => {
                    self.copies.remove(&order.item);
                }
            }
            self.finished.insert(id, OrderResult::Done);
        }
    }

    /// Loses all state, including the minimum fencing token and the record of orders.
    fn restart(&mut self) {
        self.min_fencing = Offset(0);
        self.copies.clear();
        self.finished.clear();
        self.in_progress.clear();
    }
}

#[derive(Clone, Copy, Debug)]
struct Delivery {
    lost: bool,
    delay_ms: u64,
    duration_ms: u64,
    answer_lost: bool,
    answer_delay_ms: u64,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Load { index: usize, delivery: Delivery },
    Unload { index: usize, delivery: Delivery },
    Resend { delivery: Delivery },
    Read { request_ms: u64, answer_ms: u64 },
    Wait { ms: u64 },
    RestartSide,
    RestartEngine,
}

fn delivery() -> impl Strategy<Value = Delivery> {
    let lifetime = u64::try_from(LIFETIME.as_millis()).unwrap();
    (prop::bool::weighted(0.2), 0..lifetime, 0..60_u64, prop::bool::weighted(0.3), 0..150_u64)
        .prop_map(|(lost, delay_ms, duration_ms, answer_lost, answer_delay_ms)| Delivery {
            lost,
            // Half of the orders arrive immediately.
            delay_ms: if delay_ms % 2 == 0 { 0 } else { delay_ms },
            duration_ms,
            answer_lost,
            answer_delay_ms: if answer_delay_ms % 2 == 0 { 0 } else { answer_delay_ms },
        })
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..4_usize, delivery()).prop_map(|(index, delivery)| Step::Load { index, delivery }),
        4 => (0..4_usize, delivery())
            .prop_map(|(index, delivery)| Step::Unload { index, delivery }),
        3 => delivery().prop_map(|delivery| Step::Resend { delivery }),
        6 => (0..20_u64, 0..20_u64)
            .prop_map(|(request_ms, answer_ms)| Step::Read { request_ms, answer_ms }),
        6 => (1..60_u64).prop_map(|ms| Step::Wait { ms }),
        1 => Just(Step::RestartSide),
        1 => Just(Step::RestartEngine),
    ]
}

enum Message {
    Order { id: EngineOrderId, order: Order, delivery: Delivery },
    Answer { id: EngineOrderId },
    ReadRequest { incarnation: u64, requested_at: Timestamp, answer_ms: u64 },
    State { incarnation: u64, requested_at: Timestamp, state: EngineState },
}

struct Simulation<L> {
    now: Timestamp,
    ledger: L,
    incarnation: u64,
    engine: Engine,
    messages: Vec<(Timestamp, Message)>,
    /// Orders whose reply is due once they have finished.
    pending_replies: Vec<(EngineOrderId, Delivery)>,
    loads_done: u64,
}

impl<L: TestLedger> Simulation<L> {
    fn new(honours_fencing: bool) -> Self {
        let now = Timestamp::from_millis(1);
        let engine = Engine {
            honours_fencing,
            min_fencing: Offset(0),
            copies: BTreeMap::new(),
            finished: BTreeMap::new(),
            in_progress: Vec::new(),
        };
        let mut simulation = Self {
            now,
            ledger: L::start(now),
            incarnation: 0,
            engine,
            messages: Vec::new(),
            pending_replies: Vec::new(),
            loads_done: 0,
        };
        simulation.restart_side();
        simulation
    }

    fn restart_side(&mut self) {
        self.incarnation += 1;
        self.ledger = L::start(self.now);
        self.ledger.fence(Offset(self.incarnation));
        self.engine.min_fencing = Offset(self.incarnation);
    }

    fn send(&mut self, order: Option<Order>, delivery: Delivery) {
        if let Some(order) = order
            && !delivery.lost
        {
            let at = self.now + Duration::from_millis(delivery.delay_ms);
            let id = (self.incarnation, order.id);
            self.messages.push((at, Message::Order { id, order, delivery }));
        }
    }

    fn read(&mut self, request_ms: u64, answer_ms: u64) {
        let at = self.now + Duration::from_millis(request_ms);
        let (incarnation, requested_at) = (self.incarnation, self.now);
        self.messages.push((at, Message::ReadRequest { incarnation, requested_at, answer_ms }));
    }

    /// Advances the time in steps of one millisecond.
    fn wait(&mut self, ms: u64) -> Result<(), String> {
        for _ in 0..ms {
            self.now = self.now + Duration::from_millis(1);
            self.engine.finish_orders(self.now);
            let now = self.now;
            let due: Vec<_> = self.messages.extract_if(.., |(at, _)| *at <= now).collect();
            for (_, message) in due {
                self.deliver(message);
            }
            self.answer();
            self.check()?;
        }
        Ok(())
    }

    fn answer(&mut self) {
        let finished = &self.engine.finished;
        let ready: Vec<_> =
            self.pending_replies.extract_if(.., |(id, _)| finished.contains_key(id)).collect();
        for (id, delivery) in ready {
            if !delivery.answer_lost {
                let at = self.now + Duration::from_millis(delivery.answer_delay_ms);
                self.messages.push((at, Message::Answer { id }));
                // The reply may also arrive twice.
                self.messages.push((at + Duration::from_millis(7), Message::Answer { id }));
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Order { id, order, delivery } => {
                let duration = Duration::from_millis(delivery.duration_ms);
                self.engine.receive(id, &order, duration, self.now);
                self.pending_replies.push((id, delivery));
            }
            Message::Answer { id: (incarnation, order) } => {
                // If the engine has restarted since, its record of the order is lost and so is the
                // reply.
                let result = self.engine.finished.get(&(incarnation, order)).copied();
                if incarnation == self.incarnation
                    && let Some(result) = result
                {
                    self.loads_done += u64::from(result == OrderResult::Done);
                    self.ledger.apply_answer(order, result, self.now);
                }
            }
            Message::ReadRequest { incarnation, requested_at, answer_ms } => {
                let at = self.now + Duration::from_millis(answer_ms);
                let state = self.engine.state();
                self.messages.push((at, Message::State { incarnation, requested_at, state }));
            }
            Message::State { incarnation, requested_at, state } => {
                if incarnation == self.incarnation {
                    self.ledger.observe(&state, requested_at, self.now);
                }
            }
        }
    }

    fn check(&self) -> Result<(), String> {
        if self.engine.used_mb() > CAPACITY_MB {
            return Err(format!("the engine holds {} MB", self.engine.used_mb()));
        }
        if self.ledger.used_mb() > CAPACITY_MB {
            return Err(format!("the ledger counts {} MB", self.ledger.used_mb()));
        }
        Ok(())
    }

    fn apply(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Load { index, delivery } => {
                let order = self.ledger.load(item(index), self.now);
                self.send(order, delivery);
            }
            Step::Unload { index, delivery } => {
                let order = self.ledger.unload(&item(index), self.now);
                self.send(order, delivery);
            }
            Step::Resend { delivery } => {
                let order = self.ledger.resend(self.now);
                self.send(order, delivery);
            }
            Step::Read { request_ms, answer_ms } => self.read(request_ms, answer_ms),
            Step::Wait { ms } => self.wait(ms)?,
            Step::RestartSide => self.restart_side(),
            Step::RestartEngine => self.engine.restart(),
        }
        self.check()
    }

    /// Reads the state until the quarantine is over, like the probes of a side process.
    fn end_quarantine(&mut self) -> Result<(), String> {
        for _ in 0..8 {
            self.read(0, 0);
            self.wait(20)?;
        }
        Ok(())
    }
}

fn run<L: TestLedger>(honours_fencing: bool, steps: &[Step]) -> Result<u64, String> {
    let mut simulation = Simulation::<L>::new(honours_fencing);
    simulation.end_quarantine()?;
    for step in steps {
        simulation.apply(*step)?;
    }
    // All messages in flight arrive.
    simulation.end_quarantine()?;
    simulation.end_quarantine()?;
    Ok(simulation.loads_done)
}

fn cases() -> impl Strategy<Value = (bool, Vec<Step>)> {
    (any::<bool>(), proptest::collection::vec(step(), 20..120))
}

/// Guards against overcommitted memory after lost, late and repeated orders and replies, and after
/// restarts of either end.
#[test]
fn memory_used_and_reserved_stays_within_capacity() {
    let done = std::cell::Cell::new(0);
    TestRunner::new(fixed_seed())
        .run(&cases(), |(honours_fencing, steps)| {
            let loads =
                run::<MemoryLedger>(honours_fencing, &steps).map_err(TestCaseError::fail)?;
            done.set(done.get() + loads);
            Ok(())
        })
        .unwrap();
    // Guards against a vacuous pass: a ledger that never issues an order would pass the check.
    assert!(done.get() > 1_000, "only {} orders were executed", done.get());
}

fn check_fails<L: TestLedger>() -> bool {
    TestRunner::new(fixed_seed())
        .run(&cases(), |(honours_fencing, steps)| {
            run::<L>(honours_fencing, &steps).map(drop).map_err(TestCaseError::fail)
        })
        .is_err()
}

/// Verifies that the check fails for a ledger that treats an order without a reply as not executed.
#[test]
fn check_fails_if_orders_without_a_reply_are_forgotten() {
    assert!(check_fails::<TrustingLedger<true, false>>());
}

/// Returns steps with a load order whose first copy arrives after the second copy was answered and
/// the engine restarted.
fn late_copy() -> Vec<Step> {
    let delivery = Delivery {
        lost: false,
        delay_ms: 0,
        duration_ms: 0,
        answer_lost: false,
        answer_delay_ms: 0,
    };
    let late = Delivery { delay_ms: 90, ..delivery };
    let load = |index| [Step::Load { index, delivery }, Step::Wait { ms: 5 }];
    let read = [Step::Read { request_ms: 0, answer_ms: 0 }, Step::Wait { ms: 5 }];
    let mut steps = vec![Step::Load { index: 0, delivery: late }, Step::Wait { ms: 25 }];
    steps.extend([Step::Resend { delivery }, Step::Wait { ms: 5 }, Step::RestartEngine]);
    steps.extend(read.into_iter().chain(load(1)).chain(load(3)));
    steps.push(Step::Wait { ms: 100 });
    steps
}

/// Guards against memory that is reused while a late copy of a load order may still arrive. Also
/// verifies that the check fails for a ledger that considers an order complete once it has a reply.
#[test]
fn late_copy_of_an_answered_load_stays_reserved() {
    run::<MemoryLedger>(false, &late_copy()).unwrap();
    assert!(run::<TrustingLedger<true, true>>(false, &late_copy()).is_err());
}

/// Verifies that the check fails for a ledger without a quarantine after a restart.
#[test]
fn check_fails_without_quarantine_after_start() {
    assert!(check_fails::<TrustingLedger<false, true>>());
}

/// Guards against an endless series of unload orders to an engine that has lost its copies: each
/// reply made the preceding read stale, so that no read was ever applied.
#[test]
fn failed_unload_waits_for_a_read() {
    let at = Timestamp::from_millis;
    let mut ledger = MemoryLedger::new(SETTINGS, at(0));
    TestLedger::fence(&mut ledger, Offset(1));
    let empty = EngineState { capacity_mb: CAPACITY_MB, ..EngineState::default() };
    let model = EngineCopy {
        model: item(0).name().clone(),
        version: "1".into(),
        state: EngineCopyState::Resident,
    };
    let full = EngineState { used_mb: SIZES_MB[0], models: vec![model], ..empty.clone() };
    TestLedger::observe(&mut ledger, &full, at(101), at(102));
    TestLedger::observe(&mut ledger, &full, at(103), at(104));
    let order = ledger.begin_unload(&item(0), at(110)).unwrap();
    assert!(ledger.apply_answer(order.id, OrderResult::Failed, at(111)));
    assert!(ledger.begin_unload(&item(0), at(112)).is_err(), "no read since the failure");
    TestLedger::observe(&mut ledger, &empty, at(112), at(113));
    assert_eq!(TestLedger::used_mb(&ledger), 0);
}
