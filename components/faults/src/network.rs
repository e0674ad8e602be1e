//! Messages under way and the state of processes and links.

use std::time::Duration;

use base::Timestamp;

use crate::{Fault, Injection, Step};

/// Most messages of one kind that are steps of their own.
const MAX_REPEATS: u32 = 8;

/// Times of a run.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time between two rounds.
    pub tick: Duration,
    /// Time that a message takes.
    pub latency: Duration,
    /// Time that a delayed message takes: longer than a timeout.
    pub delay: Duration,
    /// Length of a pause, an outage, a cut, and of the time between a death and the restart.
    pub outage: Duration,
    /// End of the run; a protocol that has not finished by then makes no progress.
    pub horizon: Duration,
}

#[derive(Clone, Debug)]
struct Flight<M> {
    at: Timestamp,
    from: usize,
    to: usize,
    message: M,
    answer_lost: bool,
    kills_before: bool,
    kills_after: bool,
}

/// A message that arrives.
#[derive(Clone, Debug)]
pub(crate) struct Arrival<M> {
    pub(crate) from: usize,
    pub(crate) to: usize,
    pub(crate) message: M,
    pub(crate) answer_lost: bool,
    pub(crate) kills_after: bool,
}

/// What the network does with the next arrival.
pub(crate) enum Next<M> {
    Arrival(Arrival<M>),
    Death(usize),
    Nothing,
}

/// Network between the processes of a protocol.
#[derive(Clone, Debug)]
pub struct Network<M> {
    pub(crate) now: Timestamp,
    timing: Timing,
    regions: Vec<u8>,
    log: Option<usize>,
    flights: Vec<Flight<M>>,
    plan: Vec<Injection>,
    pub(crate) met: Vec<bool>,
    pub(crate) steps: Vec<Step>,
    /// Last step of each kind.
    counts: Vec<Step>,
    /// End of the time in which a process is dead or, for the log, down without an answer.
    pub(crate) dead_until: Vec<Option<Timestamp>>,
    paused_until: Vec<Timestamp>,
    log_down_until: Timestamp,
    cut_until: Timestamp,
    lose_append_answer: bool,
    /// Process to which answers are lost while an arrival is handled.
    pub(crate) mute_to: Option<usize>,
    pub(crate) deaths: Vec<usize>,
}

impl<M: Clone> Network<M> {
    pub(crate) fn new(
        timing: Timing,
        regions: Vec<u8>,
        log: Option<usize>,
        plan: &[Injection],
    ) -> Self {
        let nodes = regions.len();
        Self {
            now: Timestamp::from_millis(1),
            timing,
            regions,
            log,
            flights: Vec::new(),
            plan: plan.to_vec(),
            met: vec![false; plan.len()],
            steps: Vec::new(),
            counts: Vec::new(),
            dead_until: vec![None; nodes],
            paused_until: vec![Timestamp::default(); nodes],
            log_down_until: Timestamp::default(),
            cut_until: Timestamp::default(),
            lose_append_answer: false,
            mute_to: None,
            deaths: Vec::new(),
        }
    }

    /// Current time.
    pub const fn now(&self) -> Timestamp {
        self.now
    }

    /// Whether the log answers that it is unavailable.
    pub fn log_down(&self) -> bool {
        self.now < self.log_down_until
    }

    /// Whether a connection to a process would be refused.
    pub fn is_dead(&self, node: usize) -> bool {
        self.dead_until[node].is_some()
    }

    /// Whether a process can do anything.
    pub fn runs(&self, node: usize) -> bool {
        !self.is_dead(node) && self.now >= self.paused_until[node]
    }

    /// Whether a fault still lasts or a message is under way.
    pub fn is_quiet(&self) -> bool {
        self.flights.is_empty()
            && self.dead_until.iter().all(Option::is_none)
            && self.paused_until.iter().all(|until| self.now >= *until)
            && self.now >= self.log_down_until
            && self.now >= self.cut_until
    }

    /// Whether the faults of the plan that were met are over.
    pub fn faults_over(&self) -> bool {
        self.dead_until.iter().all(Option::is_none)
            && self.paused_until.iter().all(|until| self.now >= *until)
            && self.now >= self.log_down_until
            && self.now >= self.cut_until
    }

    /// Sends a message; `kind` names the step.
    pub fn send(&mut self, from: usize, to: usize, kind: &'static str, message: M) {
        if self.deaths.contains(&from) || self.is_dead(from) || self.mute_to == Some(to) {
            return;
        }
        let step = self.next_step(kind);
        if self.log == Some(from) && kind.starts_with("stored") && self.lose_append_answer {
            self.lose_append_answer = false;
            return;
        }
        let mut flight = Flight {
            at: self.now + self.timing.latency,
            from,
            to,
            message,
            answer_lost: false,
            kills_before: false,
            kills_after: false,
        };
        let (mut lost, mut again) = (false, false);
        for nth in 0..self.plan.len() {
            if self.plan[nth].step != step {
                continue;
            }
            self.met[nth] = true;
            let end = self.now + self.timing.outage;
            match self.plan[nth].fault {
                Fault::Lost => lost = true,
                Fault::Duplicated => again = true,
                Fault::Delayed => flight.at = flight.at + self.timing.delay,
                Fault::Reordered => flight.at = flight.at + self.timing.latency * 4,
                Fault::AnswerLost => flight.answer_lost = true,
                Fault::SenderDiesBefore => {
                    lost = true;
                    self.deaths.push(from);
                }
                Fault::SenderDiesAfter => self.deaths.push(from),
                Fault::ReceiverDiesBefore => flight.kills_before = true,
                Fault::ReceiverDiesAfter => flight.kills_after = true,
                Fault::SenderPaused => {
                    self.paused_until[from] = end;
                    flight.at = end + self.timing.latency;
                }
                Fault::LogDown => self.log_down_until = end,
                Fault::LogAnswerLost => self.lose_append_answer = true,
                Fault::RegionCut => self.cut_until = end,
            }
        }
        if again {
            let late = Flight {
                at: flight.at + self.timing.delay,
                kills_before: false,
                kills_after: false,
                ..flight.clone()
            };
            self.flights.push(late);
        }
        if !lost {
            self.flights.push(flight);
        }
    }

    fn next_step(&mut self, kind: &'static str) -> Step {
        let step = match self.counts.iter_mut().find(|step| step.kind == kind) {
            Some(last) => {
                last.nth += 1;
                *last
            }
            None => {
                let first = Step { kind, nth: 0 };
                self.counts.push(first);
                first
            }
        };
        if step.nth < MAX_REPEATS {
            self.steps.push(step);
        }
        step
    }

    /// Takes the earliest message that is due.
    pub(crate) fn next(&mut self) -> Next<M> {
        loop {
            let due = (0..self.flights.len())
                .filter(|at| self.flights[*at].at <= self.now)
                .min_by_key(|at| (self.flights[*at].at, *at));
            let Some(at) = due else { return Next::Nothing };
            let mut flight = self.flights.remove(at);
            let (from, to) = (flight.from, flight.to);
            let cut = self.now < self.cut_until && self.regions[from] != self.regions[to];
            if cut || self.is_dead(to) {
                continue;
            }
            if self.now < self.paused_until[to] {
                flight.at = self.paused_until[to];
                self.flights.push(flight);
                continue;
            }
            if flight.kills_before {
                return Next::Death(to);
            }
            let Flight { message, answer_lost, kills_after, .. } = flight;
            return Next::Arrival(Arrival { from, to, message, answer_lost, kills_after });
        }
    }

    pub(crate) fn bury(&mut self, node: usize) {
        self.dead_until[node] = Some(self.now + self.timing.outage);
        self.paused_until[node] = Timestamp::default();
    }
}
