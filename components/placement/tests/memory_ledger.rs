//! Memory is never overcommitted: a ledger against a model engine that obeys every order, over a
//! network that loses, delays and repeats, with restarts of both ends.

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

fn item(nth: usize) -> Item {
    Item::Model(format!("m{nth}").into())
}

fn size_of(item: &Item) -> u64 {
    SIZES_MB[(0..SIZES_MB.len()).find(|nth| self::item(*nth) == *item).unwrap()]
}

/// What the simulation needs of a side process's books.
trait Books {
    fn start(now: Timestamp) -> Self;
    fn load(&mut self, item: Item, now: Timestamp) -> Option<Order>;
    fn unload(&mut self, item: &Item, now: Timestamp) -> Option<Order>;
    fn resend(&mut self, now: Timestamp) -> Option<Order>;
    fn answered(&mut self, id: OrderId, result: OrderResult, now: Timestamp);
    fn observe(&mut self, state: &EngineState, asked_at: Timestamp, now: Timestamp);
    fn fence(&mut self, fencing: Offset);
    fn used_mb(&self) -> u64;
}

impl Books for MemoryLedger {
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

    fn answered(&mut self, id: OrderId, result: OrderResult, now: Timestamp) {
        Self::apply_answer(self, id, result, now);
    }

    fn observe(&mut self, state: &EngineState, asked_at: Timestamp, now: Timestamp) {
        Self::observe(self, state, asked_at, now, |item| Some((size_of(item), None)));
    }

    fn fence(&mut self, fencing: Offset) {
        self.quarantine_mut().set_fencing(fencing);
        self.quarantine_mut().acknowledge_fence(fencing);
    }

    fn used_mb(&self) -> u64 {
        Self::used_mb(self)
    }
}

/// Books that believe every read that is newer than the last answer. Without `QUARANTINE` they believe
/// the first read after a start; without `DOUBT` an order that has to be sent again did not happen.
struct Trusting<const QUARANTINE: bool, const DOUBT: bool> {
    ledger: MemoryLedger,
    settled: BTreeMap<Item, ()>,
    open: bool,
    outstanding: Option<Order>,
    next: u64,
    changed: Timestamp,
}

impl<const QUARANTINE: bool, const DOUBT: bool> Books for Trusting<QUARANTINE, DOUBT> {
    fn start(now: Timestamp) -> Self {
        Self {
            ledger: MemoryLedger::new(SETTINGS, now),
            settled: BTreeMap::new(),
            open: false,
            outstanding: None,
            next: 1,
            changed: now,
        }
    }

    fn load(&mut self, item: Item, _: Timestamp) -> Option<Order> {
        let free = CAPACITY_MB.saturating_sub(Books::used_mb(self));
        if !self.open || self.outstanding.is_some() || self.settled.contains_key(&item) {
            return None;
        }
        (size_of(&item) <= free).then(|| self.order(OrderKind::Load, item))
    }

    fn unload(&mut self, item: &Item, _: Timestamp) -> Option<Order> {
        let may = self.open && self.outstanding.is_none() && self.settled.contains_key(item);
        may.then(|| self.order(OrderKind::Unload, item.clone()))
    }

    fn resend(&mut self, _: Timestamp) -> Option<Order> {
        if DOUBT { self.outstanding.clone() } else { self.outstanding.take().and(None) }
    }

    fn answered(&mut self, id: OrderId, result: OrderResult, now: Timestamp) {
        let Some(order) = self.outstanding.take_if(|order| order.id == id) else { return };
        self.changed = now;
        if result == OrderResult::Done {
            match order.kind {
                OrderKind::Load => drop(self.settled.insert(order.item, ())),
                OrderKind::Unload => drop(self.settled.remove(&order.item)),
            }
        }
    }

    fn observe(&mut self, state: &EngineState, asked_at: Timestamp, now: Timestamp) {
        Books::observe(&mut self.ledger, state, asked_at, now);
        let open = !QUARANTINE || self.ledger.quarantine().is_over();
        let idle = self.open && self.outstanding.is_none() && asked_at > self.changed;
        if (!self.open && open) || idle {
            self.settled = state.items().map(|(item, _)| (item, ())).collect();
            self.open = true;
        }
    }

    fn fence(&mut self, fencing: Offset) {
        Books::fence(&mut self.ledger, fencing);
    }

    fn used_mb(&self) -> u64 {
        let outstanding = self.outstanding.iter().filter(|o| o.kind == OrderKind::Load);
        self.settled.keys().chain(outstanding.map(|o| &o.item)).map(size_of).sum()
    }
}

impl<const QUARANTINE: bool, const DOUBT: bool> Trusting<QUARANTINE, DOUBT> {
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

/// An engine that obeys: it does not check its memory.
struct Engine {
    honours_fencing: bool,
    floor: Offset,
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

    /// Takes an order; a result that is ready at once is in `finished` afterwards.
    fn take(&mut self, id: EngineOrderId, order: &Order, takes: Duration, now: Timestamp) {
        let known = self.in_progress.iter().any(|(other, ..)| *other == id);
        if known || self.finished.contains_key(&id) {
            return;
        }
        if self.honours_fencing && order.fencing < self.floor {
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
        self.in_progress.push((id, order.clone(), now + takes));
    }

    fn work(&mut self, now: Timestamp) {
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

    /// Loses everything, the lowest fencing number and the memory of orders included.
    fn die(&mut self) {
        self.floor = Offset(0);
        self.copies.clear();
        self.finished.clear();
        self.in_progress.clear();
    }
}

#[derive(Clone, Copy, Debug)]
struct Fate {
    lost: bool,
    delay_ms: u64,
    takes_ms: u64,
    answer_lost: bool,
    answer_delay_ms: u64,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Load { nth: usize, fate: Fate },
    Unload { nth: usize, fate: Fate },
    Resend { fate: Fate },
    Read { ask_ms: u64, answer_ms: u64 },
    Wait { ms: u64 },
    RestartSide,
    RestartEngine,
}

fn fate() -> impl Strategy<Value = Fate> {
    let lifetime = u64::try_from(LIFETIME.as_millis()).unwrap();
    (prop::bool::weighted(0.2), 0..lifetime, 0..60_u64, prop::bool::weighted(0.3), 0..150_u64)
        .prop_map(|(lost, delay_ms, takes_ms, answer_lost, answer_delay_ms)| Fate {
            lost,
            // Half of the orders arrive at once.
            delay_ms: if delay_ms % 2 == 0 { 0 } else { delay_ms },
            takes_ms,
            answer_lost,
            answer_delay_ms: if answer_delay_ms % 2 == 0 { 0 } else { answer_delay_ms },
        })
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..4_usize, fate()).prop_map(|(nth, fate)| Step::Load { nth, fate }),
        4 => (0..4_usize, fate()).prop_map(|(nth, fate)| Step::Unload { nth, fate }),
        3 => fate().prop_map(|fate| Step::Resend { fate }),
        6 => (0..20_u64, 0..20_u64).prop_map(|(ask_ms, answer_ms)| Step::Read { ask_ms, answer_ms }),
        6 => (1..60_u64).prop_map(|ms| Step::Wait { ms }),
        1 => Just(Step::RestartSide),
        1 => Just(Step::RestartEngine),
    ]
}

enum Message {
    Order { id: EngineOrderId, order: Order, fate: Fate },
    Answer { id: EngineOrderId },
    Ask { incarnation: u64, asked_at: Timestamp, answer_ms: u64 },
    State { incarnation: u64, asked_at: Timestamp, state: EngineState },
}

struct World<B> {
    now: Timestamp,
    books: B,
    incarnation: u64,
    engine: Engine,
    messages: Vec<(Timestamp, Message)>,
    /// Answers owed once an order is finished.
    owed: Vec<(EngineOrderId, Fate)>,
    loads_done: u64,
}

impl<B: Books> World<B> {
    fn new(honours_fencing: bool) -> Self {
        let now = Timestamp::from_millis(1);
        let engine = Engine {
            honours_fencing,
            floor: Offset(0),
            copies: BTreeMap::new(),
            finished: BTreeMap::new(),
            in_progress: Vec::new(),
        };
        let mut world = Self {
            now,
            books: B::start(now),
            incarnation: 0,
            engine,
            messages: Vec::new(),
            owed: Vec::new(),
            loads_done: 0,
        };
        world.restart_side();
        world
    }

    fn restart_side(&mut self) {
        self.incarnation += 1;
        self.books = B::start(self.now);
        self.books.fence(Offset(self.incarnation));
        self.engine.floor = Offset(self.incarnation);
    }

    fn send(&mut self, order: Option<Order>, fate: Fate) {
        if let Some(order) = order
            && !fate.lost
        {
            let at = self.now + Duration::from_millis(fate.delay_ms);
            let id = (self.incarnation, order.id);
            self.messages.push((at, Message::Order { id, order, fate }));
        }
    }

    fn read(&mut self, ask_ms: u64, answer_ms: u64) {
        let at = self.now + Duration::from_millis(ask_ms);
        let (incarnation, asked_at) = (self.incarnation, self.now);
        self.messages.push((at, Message::Ask { incarnation, asked_at, answer_ms }));
    }

    /// Passes time in steps of a millisecond.
    fn wait(&mut self, ms: u64) -> Result<(), String> {
        for _ in 0..ms {
            self.now = self.now + Duration::from_millis(1);
            self.engine.work(self.now);
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
        let ready: Vec<_> = self.owed.extract_if(.., |(id, _)| finished.contains_key(id)).collect();
        for (id, fate) in ready {
            if !fate.answer_lost {
                let at = self.now + Duration::from_millis(fate.answer_delay_ms);
                self.messages.push((at, Message::Answer { id }));
                // The answer may also arrive twice.
                self.messages.push((at + Duration::from_millis(7), Message::Answer { id }));
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Order { id, order, fate } => {
                let takes = Duration::from_millis(fate.takes_ms);
                self.engine.take(id, &order, takes, self.now);
                self.owed.push((id, fate));
            }
            Message::Answer { id: (incarnation, order) } => {
                // The engine may have died since; then the answer was on its way already.
                let result = self.engine.finished.get(&(incarnation, order)).copied();
                if incarnation == self.incarnation
                    && let Some(result) = result
                {
                    self.loads_done += u64::from(result == OrderResult::Done);
                    self.books.answered(order, result, self.now);
                }
            }
            Message::Ask { incarnation, asked_at, answer_ms } => {
                let at = self.now + Duration::from_millis(answer_ms);
                let state = self.engine.state();
                self.messages.push((at, Message::State { incarnation, asked_at, state }));
            }
            Message::State { incarnation, asked_at, state } => {
                if incarnation == self.incarnation {
                    self.books.observe(&state, asked_at, self.now);
                }
            }
        }
    }

    fn check(&self) -> Result<(), String> {
        if self.engine.used_mb() > CAPACITY_MB {
            return Err(format!("the engine holds {} MB", self.engine.used_mb()));
        }
        if self.books.used_mb() > CAPACITY_MB {
            return Err(format!("the books count {} MB", self.books.used_mb()));
        }
        Ok(())
    }

    fn take(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Load { nth, fate } => {
                let order = self.books.load(item(nth), self.now);
                self.send(order, fate);
            }
            Step::Unload { nth, fate } => {
                let order = self.books.unload(&item(nth), self.now);
                self.send(order, fate);
            }
            Step::Resend { fate } => {
                let order = self.books.resend(self.now);
                self.send(order, fate);
            }
            Step::Read { ask_ms, answer_ms } => self.read(ask_ms, answer_ms),
            Step::Wait { ms } => self.wait(ms)?,
            Step::RestartSide => self.restart_side(),
            Step::RestartEngine => self.engine.die(),
        }
        self.check()
    }

    /// Reads until the quarantine is over, as a side process does by its probes.
    fn open(&mut self) -> Result<(), String> {
        for _ in 0..8 {
            self.read(0, 0);
            self.wait(20)?;
        }
        Ok(())
    }
}

fn run<B: Books>(honours_fencing: bool, steps: &[Step]) -> Result<u64, String> {
    let mut world = World::<B>::new(honours_fencing);
    world.open()?;
    for step in steps {
        world.take(*step)?;
    }
    // Everything that is on its way arrives.
    world.open()?;
    world.open()?;
    Ok(world.loads_done)
}

fn cases() -> impl Strategy<Value = (bool, Vec<Step>)> {
    (any::<bool>(), proptest::collection::vec(step(), 20..120))
}

/// Guards against overcommitted memory after lost, late and repeated orders and answers, and after
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
    // Books that never give an order would pass too.
    assert!(done.get() > 1_000, "only {} orders were carried out", done.get());
}

fn caught<B: Books>() -> bool {
    TestRunner::new(fixed_seed())
        .run(&cases(), |(honours_fencing, steps)| {
            run::<B>(honours_fencing, &steps).map(drop).map_err(TestCaseError::fail)
        })
        .is_err()
}

/// Shows that the check catches books that take an unanswered order for undone.
#[test]
fn check_catches_orders_forgotten_when_unanswered() {
    assert!(caught::<Trusting<true, false>>());
}

/// A load whose first copy is late, after the second one was answered and the engine restarted.
fn late_copy() -> Vec<Step> {
    let fate =
        Fate { lost: false, delay_ms: 0, takes_ms: 0, answer_lost: false, answer_delay_ms: 0 };
    let late = Fate { delay_ms: 90, ..fate };
    let load = |nth| [Step::Load { nth, fate }, Step::Wait { ms: 5 }];
    let read = [Step::Read { ask_ms: 0, answer_ms: 0 }, Step::Wait { ms: 5 }];
    let mut steps = vec![Step::Load { nth: 0, fate: late }, Step::Wait { ms: 25 }];
    steps.extend([Step::Resend { fate }, Step::Wait { ms: 5 }, Step::RestartEngine]);
    steps.extend(read.into_iter().chain(load(1)).chain(load(3)));
    steps.push(Step::Wait { ms: 100 });
    steps
}

/// Guards against memory that is given away while a late copy of a load may still arrive; shows that
/// the check catches books which take an order for over once it was answered.
#[test]
fn late_copy_of_an_answered_load_stays_reserved() {
    run::<MemoryLedger>(false, &late_copy()).unwrap();
    assert!(run::<Trusting<true, true>>(false, &late_copy()).is_err());
}

/// Shows that the check catches books without a quarantine after a restart.
#[test]
fn check_catches_a_start_without_quarantine() {
    assert!(caught::<Trusting<false, true>>());
}

/// Guards against an endless row of unload orders to an engine that has lost its copies: each answer made
/// the read before it stale, so that no read was ever taken.
#[test]
fn failed_unload_waits_for_a_read() {
    let at = Timestamp::from_millis;
    let mut ledger = MemoryLedger::new(SETTINGS, at(0));
    Books::fence(&mut ledger, Offset(1));
    let empty = EngineState { capacity_mb: CAPACITY_MB, ..EngineState::default() };
    let model = EngineCopy {
        model: item(0).name().clone(),
        version: "1".into(),
        state: EngineCopyState::Resident,
    };
    let full = EngineState { used_mb: SIZES_MB[0], models: vec![model], ..empty.clone() };
    Books::observe(&mut ledger, &full, at(101), at(102));
    Books::observe(&mut ledger, &full, at(103), at(104));
    let order = ledger.begin_unload(&item(0), at(110)).unwrap();
    assert!(ledger.apply_answer(order.id, OrderResult::Failed, at(111)));
    assert!(ledger.begin_unload(&item(0), at(112)).is_err(), "no read came between");
    Books::observe(&mut ledger, &empty, at(112), at(113));
    assert_eq!(Books::used_mb(&ledger), 0);
}
