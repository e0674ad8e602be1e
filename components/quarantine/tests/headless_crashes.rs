//! Engines that end before the head of a response, with all requests that they hold, in a fleet of gateways.

use base::{Timestamp, seeded_rng};
use quarantine::{Quarantine, QuarantineChange, QuarantineSettings, RequestSubjects};
use rand::Rng;
use wire::{Subject, SubjectReport};

const STEP_MS: u64 = 10;
/// Time until a request with the deadly part ends its engine.
const DEADLY_MS: u64 = 60;
const RESTART_MS: u64 = 3_000;
/// Time after which a caller whose request failed sends the same one again.
const REPEATED_AFTER_MS: u64 = 400;
/// Crashes after which the limit on sends begins, the time after them, and the most sends then.
const FREE_CRASHES: usize = 5;
const FREE_TIME_MS: u64 = 3_000;
const MAX_SENDS: usize = 3;
const DEADLY: u64 = 0xdead;
/// Part of all requests.
const COMMON: u64 = 0xc0;

#[derive(Clone, Copy)]
struct Options {
    gateways: usize,
    engines: usize,
    sound_per_s: f64,
    deadly_per_s: f64,
    /// Time from the send of a sound request to its first output.
    answer_ms: u64,
    /// Most requests of a caller that fails, the first one included.
    caller_sends: u32,
    /// Second parts of sound requests.
    second_parts: u64,
}

const OPTIONS: Options = Options {
    gateways: 3,
    engines: 5,
    sound_per_s: 6.0,
    deadly_per_s: 0.7,
    answer_ms: 200,
    caller_sends: 1,
    second_parts: 30,
};

#[derive(Clone)]
struct Request {
    parts: Vec<u64>,
    gateway: usize,
    /// Sends by the gateway, and by the caller.
    sends: [u32; 2],
    /// When it waits no more, or is answered.
    due_ms: u64,
    engine: usize,
}

struct Fleet {
    options: Options,
    rng: rand_chacha::ChaCha8Rng,
    now_ms: u64,
    gateways: Vec<Quarantine>,
    reports: Vec<(u64, usize, Vec<SubjectReport>)>,
    waiting: Vec<Request>,
    running: Vec<Request>,
    /// When each engine is back.
    back_ms: Vec<u64>,
    lives: u32,
    last_part: u64,
    deadly_sends: Vec<u64>,
    deadly_crashes: Vec<u64>,
    sound_refused: [u32; 2],
    changes: Vec<QuarantineChange>,
}

fn of(parts: &[u64]) -> RequestSubjects<'_> {
    RequestSubjects { parts, digest: parts.last().copied().unwrap_or_default(), service: 1 }
}

fn gateway(number: usize, since_ms: u64) -> Quarantine {
    Quarantine::new(QuarantineSettings::default(), &format!("gateway-{number}-{since_ms}"))
}

impl Fleet {
    fn new(options: Options, seed: u64) -> Self {
        Self {
            options,
            rng: seeded_rng(seed),
            now_ms: 1_000,
            gateways: (0..options.gateways).map(|number| gateway(number, 0)).collect(),
            reports: Vec::new(),
            waiting: Vec::new(),
            running: Vec::new(),
            back_ms: vec![0; options.engines],
            lives: 0,
            last_part: 1_000_000,
            deadly_sends: Vec::new(),
            deadly_crashes: Vec::new(),
            sound_refused: [0; 2],
            changes: Vec::new(),
        }
    }

    fn run(&mut self, for_ms: u64) {
        let end = self.now_ms + for_ms;
        while self.now_ms < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        let now = Timestamp::from_millis(self.now_ms);
        for (_, to, reports) in self.reports.extract_if(.., |(at, ..)| *at <= now.micros / 1_000) {
            self.gateways[to].apply_reports(&reports, now);
        }
        let due: Vec<Request> =
            self.running.extract_if(.., |request| request.due_ms <= now.micros / 1_000).collect();
        for request in due {
            if !request.parts.contains(&DEADLY) {
                self.gateways[request.gateway].record_output(&of(&request.parts), now);
            } else if self.back_ms[request.engine] <= self.now_ms {
                self.deadly_crashes.push(self.now_ms);
                let engine = request.engine;
                self.running.push(request);
                self.end(engine);
            }
        }
        for (per_s, is_deadly) in
            [(self.options.sound_per_s, false), (self.options.deadly_per_s, true)]
        {
            if self.rng.random_bool(per_s * STEP_MS as f64 / 1_000.0) {
                self.arrive(is_deadly);
            }
        }
        let (ready, waiting) =
            std::mem::take(&mut self.waiting).into_iter().partition(|r| r.due_ms <= self.now_ms);
        self.waiting = waiting;
        for request in Vec::from_iter::<Vec<Request>>(ready) {
            self.send(request);
        }
        if self.now_ms.is_multiple_of(100) {
            for from in 0..self.gateways.len() {
                let reports = self.gateways[from].reports(now);
                for to in (0..self.gateways.len()).filter(|to| *to != from) {
                    let arrives_ms = self.now_ms + self.rng.random_range(0..=200);
                    self.reports.push((arrives_ms, to, reports.clone()));
                }
                self.changes.extend(self.gateways[from].take_changes());
            }
        }
    }

    fn arrive(&mut self, is_deadly: bool) {
        self.last_part += 1;
        let second = match is_deadly {
            true => DEADLY,
            false => 100 + self.rng.random_range(0..self.options.second_parts),
        };
        let parts = vec![COMMON, second, self.last_part];
        let gateway = self.rng.random_range(0..self.gateways.len());
        self.send(Request { parts, gateway, sends: [0, 1], due_ms: 0, engine: 0 });
    }

    fn send(&mut self, mut request: Request) {
        let now = Timestamp::from_millis(self.now_ms);
        let is_deadly = request.parts.contains(&DEADLY);
        let is_refused = self.gateways[request.gateway].refusal(&of(&request.parts), now).is_some();
        if !is_deadly {
            self.sound_refused[usize::from(is_refused)] += 1;
        }
        if is_refused {
            return;
        }
        let live: Vec<usize> =
            (0..self.back_ms.len()).filter(|at| self.back_ms[*at] <= self.now_ms).collect();
        if live.is_empty() {
            request.due_ms = self.now_ms + 100;
            return self.waiting.push(request);
        }
        self.gateways[request.gateway].record_send(&of(&request.parts), now);
        request.engine = live[self.rng.random_range(0..live.len())];
        request.sends[0] += 1;
        let answer_ms = self.options.answer_ms;
        let wait_ms = self.rng.random_range(answer_ms / 2..=answer_ms * 3 / 2);
        request.due_ms = self.now_ms + if is_deadly { DEADLY_MS } else { wait_ms };
        if is_deadly {
            self.deadly_sends.push(self.now_ms);
        }
        self.running.push(request);
    }

    /// An engine ends with all requests that it holds.
    fn end(&mut self, engine: usize) {
        let now = Timestamp::from_millis(self.now_ms);
        self.lives += 1;
        self.back_ms[engine] = self.now_ms + RESTART_MS;
        let held: Vec<Request> = self.running.extract_if(.., |r| r.engine == engine).collect();
        for mut request in held {
            let quarantine = &mut self.gateways[request.gateway];
            quarantine.record_crash_before_head(&of(&request.parts), self.lives, now);
            if request.sends[0] < 2 && quarantine.allows_retry(&of(&request.parts), now) {
                self.send(request);
            } else if request.sends[1] < self.options.caller_sends {
                request.sends = [0, request.sends[1] + 1];
                request.gateway = self.rng.random_range(0..self.gateways.len());
                request.due_ms = self.now_ms + REPEATED_AFTER_MS;
                self.waiting.push(request);
            }
        }
    }

    fn late_sends(&self) -> usize {
        let Some(fifth) = self.deadly_crashes.get(FREE_CRASHES - 1) else { return 0 };
        self.deadly_sends.iter().filter(|at| **at > fifth + FREE_TIME_MS).count()
    }

    fn sound_parts(&self) -> Vec<&QuarantineChange> {
        let is_sound =
            |subject: &Subject| matches!(subject, Subject::Part(part) if *part != DEADLY);
        self.changes
            .iter()
            .filter(|c| matches!(c, QuarantineChange::Begun { subject, .. } if is_sound(subject)))
            .collect()
    }
}

/// Guards against a part that ends engines before the head of a response without end, also with callers
/// that send again, and against sound requests beside it that are refused.
#[test]
fn a_part_that_ends_engines_before_the_head_is_stopped() {
    for (deadly_per_s, sound_per_s, engines) in
        [(0.3, 4.0, 5), (0.7, 4.0, 4), (0.7, 20.0, 8), (2.0, 20.0, 10)]
    {
        for (seed, caller_sends) in (0..6).flat_map(|seed| [(seed, 1), (seed, 3)]) {
            let options = Options { sound_per_s, engines, caller_sends, ..OPTIONS };
            let mut fleet = Fleet::new(Options { deadly_per_s: 0.0, ..options }, seed);
            fleet.run(5_000);
            fleet.options.deadly_per_s = deadly_per_s;
            fleet.run(60_000);
            let what = format!("seed {seed}, {deadly_per_s} of {sound_per_s}/s, {caller_sends}");
            assert!(fleet.late_sends() <= MAX_SENDS, "{what}: {} late sends", fleet.late_sends());
            assert!(fleet.sound_parts().is_empty(), "{what}: {:?}", fleet.sound_parts());
            let [served, refused] = fleet.sound_refused;
            assert!(refused * 20 <= served, "{what}: {refused} of {served} refused");
        }
    }
}

/// Guards against gateways that lose the evidence with their restarts.
#[test]
fn restarts_of_gateways_do_not_let_it_through() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(OPTIONS, seed);
        for round in 0..30 {
            fleet.run(2_000);
            fleet.gateways[round % 3] = gateway(round % 3, fleet.now_ms);
        }
        assert!(fleet.late_sends() <= MAX_SENDS, "seed {seed}: {} late sends", fleet.late_sends());
        assert!(fleet.sound_parts().is_empty(), "seed {seed}: {:?}", fleet.sound_parts());
    }
}

/// Guards against sound parts that are refused because engines are killed in series, also slow ones that
/// hold many requests, or all at once.
#[test]
fn killed_engines_quarantine_no_part() {
    for (answer_ms, sound_per_s, at_once) in [(200, 20.0, 1), (2_000, 20.0, 1), (300, 30.0, 10)] {
        for seed in 0..10 {
            let options =
                Options { deadly_per_s: 0.0, answer_ms, sound_per_s, engines: 10, ..OPTIONS };
            let mut fleet = Fleet::new(options, seed);
            fleet.run(3_000);
            for round in 0..40_usize {
                (0..at_once).for_each(|number| fleet.end((round + number) % 10));
                fleet.run(700);
            }
            let parts = fleet.sound_parts();
            assert!(parts.is_empty(), "seed {seed}, {answer_ms} ms: {parts:?}");
        }
    }
}
