//! The last copy of a model is never unloaded, although several side processes try to unload it at
//! the same time and messages are lost, late or repeated and processes restart or pause.

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

/// Rules of the protocol; the check must fail if one of them is disabled.
#[derive(Clone, Copy, Debug)]
struct Rules {
    /// A granted pin is kept.
    keeps_pins: bool,
    /// A reply applies only to the request with its number.
    matches_answer_numbers: bool,
    /// `Unpin` ends only the request with its number.
    matches_unpin_numbers: bool,
    /// A new incarnation neither unloads nor grants pins before old orders have arrived.
    quarantine: bool,
    /// A side process whose unload is in flight grants no pin.
    unloading_grants_no_pin: bool,
}

const ALL_RULES: Rules = Rules {
    keeps_pins: true,
    matches_answer_numbers: true,
    matches_unpin_numbers: true,
    quarantine: true,
    unloading_grants_no_pin: true,
};

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CopyState {
    Unloaded,
    Quarantined,
    Resident,
    Unloading,
}

struct Side {
    id: ProcessId,
    pins: PinTable,
    copy_state: CopyState,
    /// Whether the engine holds the copy.
    engine_has_copy: bool,
    /// Candidates that have not received a request in this round.
    candidates: Vec<usize>,
    waiting: bool,
    last_request: u64,
}

#[derive(Clone, Debug)]
enum Message {
    PinRequest {
        from: ProcessId,
        to: usize,
        request: u64,
    },
    Answer {
        granter: usize,
        to: ProcessId,
        request: u64,
        answer: PinAnswer,
    },
    Unpin {
        from: ProcessId,
        to: usize,
        request: u64,
    },
    UnpinAnswer {
        granter: usize,
        to: ProcessId,
        request: u64,
    },
    /// An unload order in flight to the engine.
    Order {
        side: usize,
    },
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A side process starts or continues to request pins.
    RequestPin(usize),
    /// A side process that holds a pin sends its unload order.
    Unload(usize),
    /// A side process abandons its request.
    Abandon(usize),
    /// A side process reads its engine's state once none of its orders is in flight.
    Read(usize),
    Restart(usize),
    /// The orders of the old incarnation have arrived or are lost, and the reads agree.
    EndQuarantine(usize),
    ResendUnpins(usize),
    Deliver(usize),
    /// Delivers a message and keeps a copy for late delivery.
    Duplicate(usize),
    Drop(usize),
}

struct Simulation {
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

impl Simulation {
    fn new(rules: Rules, count: usize) -> Self {
        let side = |index| Side {
            id: process(index, 1),
            pins: PinTable::new(process(index, 1).name),
            copy_state: CopyState::Resident,
            engine_has_copy: true,
            candidates: Vec::new(),
            waiting: false,
            last_request: 0,
        };
        Self { rules, sides: (0..count).map(side).collect(), messages: Vec::new(), unloads: 0 }
    }

    fn orders_of(&self, side: usize) -> usize {
        let is_own = |m: &&Message| matches!(m, Message::Order { side: of } if *of == side);
        self.messages.iter().filter(is_own).count()
    }

    fn request_next(&mut self, side: usize) {
        let Some(granter) = self.sides[side].candidates.pop() else {
            if !self.sides[side].pins.may_unload(MODEL) {
                self.end_request(side);
            }
            return;
        };
        let name = self.sides[granter].id.name.clone();
        let process = &mut self.sides[side];
        if let Some(request) = process.pins.request(MODEL, &name) {
            process.waiting = true;
            process.last_request = request;
            let from = process.id.clone();
            self.messages.push(Message::PinRequest { from, to: granter, request });
        }
    }

    fn end_request(&mut self, side: usize) {
        self.sides[side].pins.end_request(MODEL);
        self.sides[side].candidates.clear();
        self.sides[side].waiting = false;
        self.send_unpins(side);
    }

    fn send_unpins(&mut self, side: usize) {
        let from = self.sides[side].id.clone();
        let open: Vec<_> = self.sides[side]
            .pins
            .pending_unpins()
            .map(|(_, granter, request)| (granter.clone(), request))
            .collect();
        for (granter, request) in open {
            let to = self.sides.iter().position(|s| s.id.name == granter).unwrap();
            self.messages.push(Message::Unpin { from: from.clone(), to, request });
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::PinRequest { from, to, request } => {
                let rules = self.rules;
                let granter = &mut self.sides[to];
                let can_keep = granter.copy_state == CopyState::Resident
                    || (!rules.unloading_grants_no_pin
                        && granter.copy_state == CopyState::Unloading);
                let answer = granter.pins.grant(MODEL, &from, request, can_keep);
                if !rules.keeps_pins {
                    granter.pins.requester_removed(&from.name);
                }
                self.messages.push(Message::Answer { granter: to, to: from, request, answer });
            }
            Message::Answer { granter, to, request, answer } => {
                let name = self.sides[granter].id.name.clone();
                let Some(side) = self.sides.iter().position(|s| s.id == to) else { return };
                let request = if self.rules.matches_answer_numbers {
                    request
                } else {
                    self.sides[side].last_request
                };
                self.sides[side].pins.apply_answer(MODEL, &name, request, answer);
                self.sides[side].waiting = false;
            }
            Message::Unpin { from, to, request } => {
                let pins = &mut self.sides[to].pins;
                if self.rules.matches_unpin_numbers {
                    pins.release(MODEL, &from, request);
                } else {
                    pins.requester_removed(&from.name);
                }
                self.messages.push(Message::UnpinAnswer { granter: to, to: from, request });
            }
            Message::UnpinAnswer { granter, to, request } => {
                let name = self.sides[granter].id.name.clone();
                if let Some(side) = self.sides.iter_mut().find(|s| s.id == to) {
                    side.pins.confirm_unpin(MODEL, &name, request);
                }
            }
            Message::Order { side } => self.sides[side].engine_has_copy = false,
        }
    }

    fn apply(&mut self, step: Step) {
        let pick = |index: usize, len: usize| (len > 0).then(|| index % len);
        match step {
            Step::RequestPin(side) => {
                let process = &self.sides[side];
                if process.copy_state != CopyState::Resident
                    || process.waiting
                    || process.pins.may_unload(MODEL)
                {
                    return;
                }
                if !process.pins.is_requested(MODEL) {
                    let others = (0..self.sides.len()).filter(|other| *other != side);
                    self.sides[side].candidates = others.collect();
                }
                self.request_next(side);
            }
            Step::Unload(side) => {
                let process = &mut self.sides[side];
                if process.copy_state == CopyState::Resident && process.pins.may_unload(MODEL) {
                    process.copy_state = CopyState::Unloading;
                    self.messages.push(Message::Order { side });
                    self.unloads += 1;
                }
            }
            Step::Abandon(side) => {
                if self.sides[side].copy_state == CopyState::Resident
                    && self.sides[side].pins.is_requested(MODEL)
                {
                    self.end_request(side);
                }
            }
            Step::Read(side) => {
                if self.sides[side].copy_state == CopyState::Unloading && self.orders_of(side) == 0
                {
                    let copy = self.sides[side].engine_has_copy;
                    self.sides[side].copy_state =
                        if copy { CopyState::Resident } else { CopyState::Unloaded };
                    self.end_request(side);
                }
            }
            Step::Restart(side) => {
                let process = &mut self.sides[side];
                let incarnation = Incarnation(process.id.incarnation.0 + 1);
                process.id = ProcessId { name: process.id.name.clone(), incarnation };
                process.pins = PinTable::new(process.id.name.clone());
                process.candidates.clear();
                process.waiting = false;
                process.copy_state = CopyState::Quarantined;
                if !self.rules.quarantine {
                    self.end_quarantine(side);
                }
            }
            Step::EndQuarantine(side) => {
                if self.orders_of(side) == 0
                    && self.sides[side].copy_state == CopyState::Quarantined
                {
                    self.end_quarantine(side);
                }
            }
            Step::ResendUnpins(side) => self.send_unpins(side),
            Step::Deliver(index) => {
                if let Some(index) = pick(index, self.messages.len()) {
                    let message = self.messages.remove(index);
                    self.deliver(message);
                }
            }
            Step::Duplicate(index) => {
                if let Some(index) = pick(index, self.messages.len()) {
                    let message = self.messages[index].clone();
                    // A resent order keeps its id, by which the engine recognises it.
                    if !matches!(message, Message::Order { .. }) {
                        self.deliver(message);
                    }
                }
            }
            Step::Drop(index) => {
                if let Some(index) = pick(index, self.messages.len()) {
                    // The reply never arrives, and the requester continues with the next candidate.
                    match self.messages.remove(index) {
                        Message::PinRequest { from: to, .. } | Message::Answer { to, .. } => {
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
        let process = &mut self.sides[side];
        process.copy_state =
            if process.engine_has_copy { CopyState::Resident } else { CopyState::Unloaded };
        let id = process.id.clone();
        for other in &mut self.sides {
            other.pins.requester_restarted(&id);
        }
    }

    fn check(&self) -> Result<(), String> {
        if self.sides.iter().any(|side| side.engine_has_copy) {
            Ok(())
        } else {
            Err("the last copy was unloaded".into())
        }
    }
}

fn step(count: usize) -> impl Strategy<Value = Step> {
    let side = 0..count;
    prop_oneof![
        6 => side.clone().prop_map(Step::RequestPin),
        6 => side.clone().prop_map(Step::Unload),
        1 => side.clone().prop_map(Step::Abandon),
        3 => side.clone().prop_map(Step::Read),
        1 => side.clone().prop_map(Step::Restart),
        2 => side.clone().prop_map(Step::EndQuarantine),
        1 => side.prop_map(Step::ResendUnpins),
        12 => any::<usize>().prop_map(Step::Deliver),
        3 => any::<usize>().prop_map(Step::Duplicate),
        1 => any::<usize>().prop_map(Step::Drop),
    ]
}

fn cases() -> impl Strategy<Value = (usize, Vec<Step>)> {
    (2..4_usize)
        .prop_flat_map(|count| (Just(count), proptest::collection::vec(step(count), 10..120)))
}

fn run(rules: Rules, count: usize, steps: &[Step]) -> Result<u64, String> {
    let mut simulation = Simulation::new(rules, count);
    for step in steps {
        simulation.apply(*step);
        simulation.check()?;
    }
    Ok(simulation.unloads)
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
    // Guards against a vacuous pass: tables that never allow an unload would pass the check.
    assert!(unloads.get() > 500, "only {} unloads began", unloads.get());
}

fn check_fails(rules: Rules) -> bool {
    TestRunner::new(fixed_seed())
        .run(&cases(), |(count, steps)| {
            run(rules, count, &steps).map(drop).map_err(TestCaseError::fail)
        })
        .is_err()
}

/// Verifies that the check fails if a rule is disabled.
#[test]
fn check_fails_without_each_rule() {
    assert!(check_fails(Rules { keeps_pins: false, ..ALL_RULES }), "pins not kept");
    assert!(check_fails(Rules { quarantine: false, ..ALL_RULES }), "no quarantine");
    assert!(
        check_fails(Rules { unloading_grants_no_pin: false, ..ALL_RULES }),
        "an unloading copy grants a pin"
    );
}

/// Guards against a late reply to an ended request that is applied to a newer one, although the
/// granter has unloaded its copy in the meantime.
#[test]
fn late_answer_does_not_apply_to_a_newer_request() {
    use Step::{Abandon, Deliver, Read, RequestPin, Unload};
    let steps = [
        // Side 1 requests a pin from side 0, which grants it; the reply is late and the request is
        // abandoned.
        &[RequestPin(1), Deliver(0), Abandon(1), Deliver(1), Deliver(1)][..],
        // Side 0 unloads with a pin granted by side 1.
        &[
            RequestPin(0),
            Deliver(1),
            Deliver(1),
            Unload(0),
            Deliver(1),
            Read(0),
            Deliver(1),
            Deliver(1),
        ],
        // Side 1 sends a new request, and the old reply arrives.
        &[RequestPin(1), Deliver(0), Unload(1), Deliver(1)],
    ]
    .concat();
    run(ALL_RULES, 2, &steps).unwrap();
    assert!(run(Rules { matches_answer_numbers: false, ..ALL_RULES }, 2, &steps).is_err());
}

/// Guards against a late `Unpin` of an older request that ends a newer pin: both copies would be
/// unloaded.
#[test]
fn late_unpin_does_not_end_a_newer_pin() {
    use Step::{Abandon, Deliver, Duplicate, Read, RequestPin, Unload};
    let steps = [
        // Side 1 is granted a pin and releases it; a copy of the `Unpin` is late.
        &[RequestPin(1), Deliver(0), Deliver(0), Abandon(1), Duplicate(0), Deliver(1)][..],
        // Side 1 is granted a pin again, and then the late copy arrives.
        &[RequestPin(1), Deliver(1), Deliver(1), Deliver(0), Deliver(0)],
        // Side 0 unloads unless its copy is pinned, and side 1 relies on its pin.
        &[
            RequestPin(0),
            Deliver(0),
            Deliver(0),
            Unload(0),
            Deliver(0),
            Read(0),
            Deliver(0),
            Deliver(0),
        ],
        &[Unload(1), Deliver(0)],
    ]
    .concat();
    run(ALL_RULES, 2, &steps).unwrap();
    assert!(run(Rules { matches_unpin_numbers: false, ..ALL_RULES }, 2, &steps).is_err());
}

/// Guards against a pin that is never released: a request that arrives after its process `Unpin`,
/// and an `Unpin` of an older request that arrives during a newer one.
#[test]
fn late_messages_of_an_ended_request_change_nothing() {
    let (requester, mut pins) = (process(1, 1), PinTable::new(process(0, 1).name));
    assert_eq!(pins.grant(MODEL, &requester, 1, true), PinAnswer::Held);
    pins.release(MODEL, &requester, 1);
    assert_eq!(pins.grant(MODEL, &requester, 1, true), PinAnswer::Refused);
    assert!(!pins.is_pinned(MODEL));
    assert_eq!(pins.grant(MODEL, &requester, 2, true), PinAnswer::Held);
    pins.release(MODEL, &requester, 1);
    assert!(pins.is_pinned(MODEL));
}

/// Guards against pins that outlive their requester, and against pins that end before the restarted
/// requester has finished its quarantine.
#[test]
fn pin_ends_with_the_requesters_quarantine_or_its_vm() {
    let mut pins = PinTable::new(process(0, 1).name);
    assert_eq!(pins.grant(MODEL, &process(1, 1), 1, true), PinAnswer::Held);
    pins.requester_restarted(&process(1, 1));
    assert!(pins.is_pinned(MODEL), "the same incarnation is still running");
    pins.requester_restarted(&process(1, 2));
    assert!(!pins.is_pinned(MODEL));
    assert_eq!(pins.grant(MODEL, &process(2, 1), 1, true), PinAnswer::Held);
    pins.requester_removed(&process(2, 1).name);
    assert!(!pins.is_pinned(MODEL));
}

/// Guards against a deadlock: without faults, one of two copies is eventually unloaded.
#[test]
fn mutual_requests_unload_exactly_one_copy() {
    for first in [0, 1] {
        let mut simulation = Simulation::new(ALL_RULES, 2);
        for _ in 0..6 {
            for side in [first, 1 - first] {
                simulation.apply(Step::RequestPin(side));
            }
            while !simulation.messages.is_empty() {
                simulation.apply(Step::Deliver(0));
            }
            for side in [first, 1 - first] {
                simulation.apply(Step::Unload(side));
            }
            while !simulation.messages.is_empty() {
                simulation.apply(Step::Deliver(0));
            }
            for side in [first, 1 - first] {
                simulation.apply(Step::Read(side));
            }
        }
        assert_eq!(simulation.sides.iter().filter(|side| side.engine_has_copy).count(), 1);
    }
}
