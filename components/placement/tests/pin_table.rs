//! The last copy of a model stays: side processes that want to unload it at the same time, with lost,
//! late and repeated messages, restarts and pauses.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use base::{Incarnation, ProcessId, ProcessName};
use placement::{PinAnswer, PinTable};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRunner};

const SEED: u64 = 20_261_207;
const CASES: u32 = 1_024;
const MODEL: &str = "base";

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

/// Parts of the protocol; without one of them the check must fail.
#[derive(Clone, Copy, Debug)]
struct Rules {
    /// A given pin is kept.
    keeps_pins: bool,
    /// An answer counts only for the ask that it names.
    numbers_answers: bool,
    /// `Unpin` ends only the ask that it names.
    numbers_unpins: bool,
    /// A new incarnation neither unloads nor gives pins before old orders have arrived.
    quarantine: bool,
    /// A side process whose unload is on its way gives no pin.
    unloading_gives_nothing: bool,
}

const ALL_RULES: Rules = Rules {
    keeps_pins: true,
    numbers_answers: true,
    numbers_unpins: true,
    quarantine: true,
    unloading_gives_nothing: true,
};

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum View {
    Gone,
    Quarantined,
    Resident,
    Unloading,
}

struct Side {
    id: ProcessId,
    pins: PinTable,
    view: View,
    /// Whether the engine holds the copy.
    copy: bool,
    /// Candidates not yet asked in this round.
    to_ask: Vec<usize>,
    waiting: bool,
    last_ask: u64,
}

#[derive(Clone, Debug)]
enum Message {
    Pin {
        from: ProcessId,
        to: usize,
        ask: u64,
    },
    Answer {
        giver: usize,
        to: ProcessId,
        ask: u64,
        answer: PinAnswer,
    },
    Unpin {
        from: ProcessId,
        to: usize,
        ask: u64,
    },
    UnpinAnswer {
        giver: usize,
        to: ProcessId,
        ask: u64,
    },
    /// An unload on its way to the engine.
    Order {
        side: usize,
    },
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A side process begins, or goes on, to ask for pins.
    Want(usize),
    /// A side process with a pin sends its unload.
    Unload(usize),
    /// A side process gives up its ask.
    GiveUp(usize),
    /// A side process reads its engine's state, once no order is on its way.
    Read(usize),
    Restart(usize),
    /// The old incarnation's orders have arrived or are lost, and the reads agree.
    EndQuarantine(usize),
    ResendUnpins(usize),
    Deliver(usize),
    /// Delivers a message and keeps a late copy of it.
    Repeat(usize),
    Lose(usize),
}

struct World {
    rules: Rules,
    sides: Vec<Side>,
    messages: Vec<Message>,
    unloads: u64,
}

fn process(side: usize, incarnation: u64) -> ProcessId {
    ProcessId {
        name: ProcessName::new(&format!("side-{side}")),
        incarnation: Incarnation(incarnation),
    }
}

impl World {
    fn new(rules: Rules, count: usize) -> Self {
        let side = |nth| Side {
            id: process(nth, 1),
            pins: PinTable::new(process(nth, 1).name),
            view: View::Resident,
            copy: true,
            to_ask: Vec::new(),
            waiting: false,
            last_ask: 0,
        };
        Self { rules, sides: (0..count).map(side).collect(), messages: Vec::new(), unloads: 0 }
    }

    fn orders_of(&self, side: usize) -> usize {
        let own = |m: &&Message| matches!(m, Message::Order { side: of } if *of == side);
        self.messages.iter().filter(own).count()
    }

    fn ask_next(&mut self, side: usize) {
        let Some(giver) = self.sides[side].to_ask.pop() else {
            if !self.sides[side].pins.may_unload(MODEL) {
                self.finish(side);
            }
            return;
        };
        let name = self.sides[giver].id.name.clone();
        let own = &mut self.sides[side];
        if let Some(ask) = own.pins.request(MODEL, &name) {
            own.waiting = true;
            own.last_ask = ask;
            let from = own.id.clone();
            self.messages.push(Message::Pin { from, to: giver, ask });
        }
    }

    fn finish(&mut self, side: usize) {
        self.sides[side].pins.end_request(MODEL);
        self.sides[side].to_ask.clear();
        self.sides[side].waiting = false;
        self.send_unpins(side);
    }

    fn send_unpins(&mut self, side: usize) {
        let from = self.sides[side].id.clone();
        let open: Vec<_> = self.sides[side]
            .pins
            .pending_unpins()
            .map(|(_, giver, ask)| (giver.clone(), ask))
            .collect();
        for (giver, ask) in open {
            let to = self.sides.iter().position(|s| s.id.name == giver).unwrap();
            self.messages.push(Message::Unpin { from: from.clone(), to, ask });
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Pin { from, to, ask } => {
                let rules = self.rules;
                let giver = &mut self.sides[to];
                let keepable = giver.view == View::Resident
                    || (!rules.unloading_gives_nothing && giver.view == View::Unloading);
                let answer = giver.pins.grant(MODEL, &from, ask, keepable);
                if !rules.keeps_pins {
                    giver.pins.requester_removed(&from.name);
                }
                self.messages.push(Message::Answer { giver: to, to: from, ask, answer });
            }
            Message::Answer { giver, to, ask, answer } => {
                let name = self.sides[giver].id.name.clone();
                let Some(side) = self.sides.iter().position(|s| s.id == to) else { return };
                let ask = if self.rules.numbers_answers { ask } else { self.sides[side].last_ask };
                self.sides[side].pins.apply_answer(MODEL, &name, ask, answer);
                self.sides[side].waiting = false;
            }
            Message::Unpin { from, to, ask } => {
                let pins = &mut self.sides[to].pins;
                if self.rules.numbers_unpins {
                    pins.release(MODEL, &from, ask);
                } else {
                    pins.requester_removed(&from.name);
                }
                self.messages.push(Message::UnpinAnswer { giver: to, to: from, ask });
            }
            Message::UnpinAnswer { giver, to, ask } => {
                let name = self.sides[giver].id.name.clone();
                if let Some(side) = self.sides.iter_mut().find(|s| s.id == to) {
                    side.pins.confirm_unpin(MODEL, &name, ask);
                }
            }
            Message::Order { side } => self.sides[side].copy = false,
        }
    }

    fn take(&mut self, step: Step) {
        let pick = |nth: usize, len: usize| (len > 0).then(|| nth % len);
        match step {
            Step::Want(side) => {
                let own = &self.sides[side];
                if own.view != View::Resident || own.waiting || own.pins.may_unload(MODEL) {
                    return;
                }
                if !own.pins.is_requested(MODEL) {
                    let others = (0..self.sides.len()).filter(|other| *other != side);
                    self.sides[side].to_ask = others.collect();
                }
                self.ask_next(side);
            }
            Step::Unload(side) => {
                let own = &mut self.sides[side];
                if own.view == View::Resident && own.pins.may_unload(MODEL) {
                    own.view = View::Unloading;
                    self.messages.push(Message::Order { side });
                    self.unloads += 1;
                }
            }
            Step::GiveUp(side) => {
                if self.sides[side].view == View::Resident
                    && self.sides[side].pins.is_requested(MODEL)
                {
                    self.finish(side);
                }
            }
            Step::Read(side) => {
                if self.sides[side].view == View::Unloading && self.orders_of(side) == 0 {
                    let copy = self.sides[side].copy;
                    self.sides[side].view = if copy { View::Resident } else { View::Gone };
                    self.finish(side);
                }
            }
            Step::Restart(side) => {
                let own = &mut self.sides[side];
                let incarnation = Incarnation(own.id.incarnation.0 + 1);
                own.id = ProcessId { name: own.id.name.clone(), incarnation };
                own.pins = PinTable::new(own.id.name.clone());
                own.to_ask.clear();
                own.waiting = false;
                own.view = View::Quarantined;
                if !self.rules.quarantine {
                    self.end_quarantine(side);
                }
            }
            Step::EndQuarantine(side) => {
                if self.orders_of(side) == 0 && self.sides[side].view == View::Quarantined {
                    self.end_quarantine(side);
                }
            }
            Step::ResendUnpins(side) => self.send_unpins(side),
            Step::Deliver(nth) => {
                if let Some(nth) = pick(nth, self.messages.len()) {
                    let message = self.messages.remove(nth);
                    self.deliver(message);
                }
            }
            Step::Repeat(nth) => {
                if let Some(nth) = pick(nth, self.messages.len()) {
                    let message = self.messages[nth].clone();
                    // An order is sent again under the same id, which the engine knows.
                    if !matches!(message, Message::Order { .. }) {
                        self.deliver(message);
                    }
                }
            }
            Step::Lose(nth) => {
                if let Some(nth) = pick(nth, self.messages.len()) {
                    // The answer is then missing for good, and the asker goes on to the next.
                    match self.messages.remove(nth) {
                        Message::Pin { from: to, .. } | Message::Answer { to, .. } => {
                            if let Some(side) = self.sides.iter_mut().find(|s| s.id == to) {
                                side.waiting = false;
                            }
                        }
                        _ => {}
                    }
                }
            }
        }
    }

    fn end_quarantine(&mut self, side: usize) {
        let own = &mut self.sides[side];
        own.view = if own.copy { View::Resident } else { View::Gone };
        let id = own.id.clone();
        for other in &mut self.sides {
            other.pins.requester_restarted(&id);
        }
    }

    fn check(&self) -> Result<(), String> {
        if self.sides.iter().any(|side| side.copy) {
            Ok(())
        } else {
            Err("the last copy was unloaded".into())
        }
    }
}

fn step(count: usize) -> impl Strategy<Value = Step> {
    let side = 0..count;
    prop_oneof![
        6 => side.clone().prop_map(Step::Want),
        6 => side.clone().prop_map(Step::Unload),
        1 => side.clone().prop_map(Step::GiveUp),
        3 => side.clone().prop_map(Step::Read),
        1 => side.clone().prop_map(Step::Restart),
        2 => side.clone().prop_map(Step::EndQuarantine),
        1 => side.prop_map(Step::ResendUnpins),
        12 => any::<usize>().prop_map(Step::Deliver),
        3 => any::<usize>().prop_map(Step::Repeat),
        1 => any::<usize>().prop_map(Step::Lose),
    ]
}

fn cases() -> impl Strategy<Value = (usize, Vec<Step>)> {
    (2..4_usize)
        .prop_flat_map(|count| (Just(count), proptest::collection::vec(step(count), 10..120)))
}

fn run(rules: Rules, count: usize, steps: &[Step]) -> Result<u64, String> {
    let mut world = World::new(rules, count);
    for step in steps {
        world.take(*step);
        world.check()?;
    }
    Ok(world.unloads)
}

/// Guards against two side processes that rely on each other's copy and both unload theirs.
#[test]
fn last_copy_is_never_unloaded() {
    let unloads = std::cell::Cell::new(0);
    TestRunner::new(fixed_seed())
        .run(&cases(), |(count, steps)| {
            let done = run(ALL_RULES, count, &steps).map_err(TestCaseError::fail)?;
            unloads.set(unloads.get() + done);
            Ok(())
        })
        .unwrap();
    // Books that never unload would pass too.
    assert!(unloads.get() > 500, "only {} unloads began", unloads.get());
}

fn caught(rules: Rules) -> bool {
    TestRunner::new(fixed_seed())
        .run(&cases(), |(count, steps)| {
            run(rules, count, &steps).map(drop).map_err(TestCaseError::fail)
        })
        .is_err()
}

/// Shows that the check catches each rule left out.
#[test]
fn check_catches_each_missing_rule() {
    assert!(caught(Rules { keeps_pins: false, ..ALL_RULES }), "pins not kept");
    assert!(caught(Rules { quarantine: false, ..ALL_RULES }), "no quarantine");
    assert!(caught(Rules { unloading_gives_nothing: false, ..ALL_RULES }), "unloading gives a pin");
}

/// Guards against an answer to an ended ask that counts for a newer one: the giver has unloaded since.
#[test]
fn late_answer_does_not_count_for_a_newer_ask() {
    use Step::{Deliver, GiveUp, Read, Unload, Want};
    let steps = [
        // Side 1 asks side 0, which agrees; the answer is late and the ask is given up.
        &[Want(1), Deliver(0), GiveUp(1), Deliver(1), Deliver(1)][..],
        // Side 0 unloads with a pin of side 1.
        &[Want(0), Deliver(1), Deliver(1), Unload(0), Deliver(1), Read(0), Deliver(1), Deliver(1)],
        // Side 1 asks again, and the old answer arrives.
        &[Want(1), Deliver(0), Unload(1), Deliver(1)],
    ]
    .concat();
    run(ALL_RULES, 2, &steps).unwrap();
    assert!(run(Rules { numbers_answers: false, ..ALL_RULES }, 2, &steps).is_err());
}

/// Guards against a late end of an older ask that ends a newer pin: both copies would go.
#[test]
fn late_unpin_does_not_end_a_newer_pin() {
    use Step::{Deliver, GiveUp, Read, Repeat, Unload, Want};
    let steps = [
        // Side 1 is given a pin and ends it; a copy of the end is late.
        &[Want(1), Deliver(0), Deliver(0), GiveUp(1), Repeat(0), Deliver(1)][..],
        // Side 1 is given a pin again, and then the late copy arrives.
        &[Want(1), Deliver(1), Deliver(1), Deliver(0), Deliver(0)],
        // Side 0 unloads if nothing holds it, and side 1 relies on its pin.
        &[Want(0), Deliver(0), Deliver(0), Unload(0), Deliver(0), Read(0), Deliver(0), Deliver(0)],
        &[Unload(1), Deliver(0)],
    ]
    .concat();
    run(ALL_RULES, 2, &steps).unwrap();
    assert!(run(Rules { numbers_unpins: false, ..ALL_RULES }, 2, &steps).is_err());
}

/// Guards against a pin that nobody ends: an ask that arrives after its own end, and an end of an older
/// ask that arrives during a newer one.
#[test]
fn late_messages_of_an_ended_ask_change_nothing() {
    let (requester, mut pins) = (process(1, 1), PinTable::new(process(0, 1).name));
    assert_eq!(pins.grant(MODEL, &requester, 1, true), PinAnswer::Held);
    pins.release(MODEL, &requester, 1);
    assert_eq!(pins.grant(MODEL, &requester, 1, true), PinAnswer::Refused);
    assert!(!pins.is_pinned(MODEL));
    assert_eq!(pins.grant(MODEL, &requester, 2, true), PinAnswer::Held);
    pins.release(MODEL, &requester, 1);
    assert!(pins.is_pinned(MODEL));
}

/// Guards against pins that outlive their requester, and against pins that end with a mere restart.
#[test]
fn pin_ends_with_the_requesters_quarantine_or_its_vm() {
    let mut pins = PinTable::new(process(0, 1).name);
    assert_eq!(pins.grant(MODEL, &process(1, 1), 1, true), PinAnswer::Held);
    pins.requester_restarted(&process(1, 1));
    assert!(pins.is_pinned(MODEL), "the same incarnation still runs");
    pins.requester_restarted(&process(1, 2));
    assert!(!pins.is_pinned(MODEL));
    assert_eq!(pins.grant(MODEL, &process(2, 1), 1, true), PinAnswer::Held);
    pins.requester_removed(&process(2, 1).name);
    assert!(!pins.is_pinned(MODEL));
}

/// Guards against a deadlock: with no faults, one of two copies can be unloaded in the end.
#[test]
fn two_that_ask_each_other_unload_exactly_one() {
    for first in [0, 1] {
        let mut world = World::new(ALL_RULES, 2);
        for _ in 0..6 {
            for side in [first, 1 - first] {
                world.take(Step::Want(side));
            }
            while !world.messages.is_empty() {
                world.take(Step::Deliver(0));
            }
            for side in [first, 1 - first] {
                world.take(Step::Unload(side));
            }
            while !world.messages.is_empty() {
                world.take(Step::Deliver(0));
            }
            for side in [first, 1 - first] {
                world.take(Step::Read(side));
            }
        }
        assert_eq!(world.sides.iter().filter(|side| side.copy).count(), 1);
    }
}
