//! Gateways of a fleet that report crashes and outputs to one another, with engines that some requests
//! end.

use base::{Timestamp, seeded_rng};
use quarantine::{Quarantine, QuarantineChange, QuarantineSettings, RequestSubjects};
use rand::Rng;
use wire::SubjectReport;

const STEP_MS: u64 = 10;
/// Time between two reports of a gateway.
const REPORT_INTERVAL_MS: u64 = 100;
/// Longest time until a report arrives: two hops between data centres.
const MAX_REPORT_DELAY_MS: u64 = 300;
/// Time from the send of a request to its first output or its crash.
const ANSWER_MS: u64 = 150;
/// Crashes after which the limit on sends begins, and the time after them.
const FREE_CRASHES: usize = 5;
const FREE_TIME_MS: u64 = 3_000;
/// Most requests with a part that ends engines, after these crashes and this time.
const MAX_SENDS: usize = 3;
/// First parts and second parts of requests; the second are rare.
const FIRST_PARTS: u64 = 3;
const SECOND_PARTS: u64 = 80;
const DEADLY: u64 = 0xdead;
const ALSO_DEADLY: u64 = 0xbeef;

struct Gateway {
    quarantine: Quarantine,
    is_cut_off: bool,
}

struct Report {
    arrives_ms: u64,
    to: usize,
    reports: Vec<SubjectReport>,
}

struct Request {
    gateway: usize,
    parts: Vec<u64>,
    attempt: u32,
    ends_ms: u64,
}

/// Rates and faults of a run.
#[derive(Clone, Copy)]
struct Options {
    gateways: usize,
    /// Sound requests per second of the fleet.
    sound_per_s: f64,
    /// Requests with the first deadly part per second of the fleet.
    deadly_per_s: f64,
    /// Requests with the second deadly part per second of the fleet.
    also_deadly_per_s: f64,
    /// Engine crashes per second that no request causes, on a random request.
    other_crashes_per_s: f64,
    /// Share of the reports that are lost.
    lost: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            gateways: 5,
            sound_per_s: 20.0,
            deadly_per_s: 1.0,
            also_deadly_per_s: 0.0,
            other_crashes_per_s: 0.0,
            lost: 0.0,
        }
    }
}

struct Fleet {
    options: Options,
    rng: rand_chacha::ChaCha8Rng,
    now_ms: u64,
    gateways: Vec<Gateway>,
    reports: Vec<Report>,
    running: Vec<Request>,
    lives: u32,
    last_part: u64,
    /// When requests with a deadly part were sent, by part.
    deadly_sends: Vec<(u64, u64)>,
    /// When engines ended on requests with a deadly part, by part.
    deadly_crashes: Vec<(u64, u64)>,
    sound: u32,
    sound_refused: u32,
    changes: Vec<QuarantineChange>,
}

impl Fleet {
    fn new(options: Options, seed: u64) -> Self {
        let gateways = (0..options.gateways).map(|number| new_gateway(number, 0)).collect();
        Self {
            options,
            rng: seeded_rng(seed),
            now_ms: 1_000,
            gateways,
            reports: Vec::new(),
            running: Vec::new(),
            lives: 0,
            last_part: 1_000_000,
            deadly_sends: Vec::new(),
            deadly_crashes: Vec::new(),
            sound: 0,
            sound_refused: 0,
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
        let (arrived, later): (Vec<Report>, Vec<Report>) = std::mem::take(&mut self.reports)
            .into_iter()
            .partition(|r| r.arrives_ms <= self.now_ms);
        self.reports = later;
        for report in arrived {
            let gateway = &mut self.gateways[report.to];
            if !gateway.is_cut_off {
                gateway.quarantine.apply_reports(&report.reports, now);
            }
        }
        let (ended, running): (Vec<Request>, Vec<Request>) =
            std::mem::take(&mut self.running).into_iter().partition(|r| r.ends_ms <= self.now_ms);
        self.running = running;
        for request in ended {
            self.end(request, now);
        }
        if self.happens(self.options.other_crashes_per_s) && !self.running.is_empty() {
            let at = self.rng.random_range(0..self.running.len());
            let request = self.running.swap_remove(at);
            self.crash(request, now);
        }
        if self.happens(self.options.sound_per_s) {
            self.arrive(None, now);
        }
        if self.happens(self.options.deadly_per_s) {
            self.arrive(Some(DEADLY), now);
        }
        if self.happens(self.options.also_deadly_per_s) {
            self.arrive(Some(ALSO_DEADLY), now);
        }
        if self.now_ms.is_multiple_of(REPORT_INTERVAL_MS) {
            self.report(now);
        }
        for gateway in &mut self.gateways {
            self.changes.extend(gateway.quarantine.take_changes());
        }
    }

    fn happens(&mut self, per_s: f64) -> bool {
        self.rng.random_bool((per_s * STEP_MS as f64 / 1_000.0).min(1.0))
    }

    fn arrive(&mut self, deadly: Option<u64>, now: Timestamp) {
        self.last_part += 1;
        let first = self.rng.random_range(1..=FIRST_PARTS);
        let second = 100 + self.rng.random_range(0..SECOND_PARTS);
        let mut parts = vec![first, second];
        if let Some(deadly) = deadly {
            parts.insert(self.rng.random_range(0..=2), deadly);
        }
        parts.push(self.last_part);
        let gateway = self.rng.random_range(0..self.gateways.len());
        let refused = self.gateways[gateway].quarantine.refusal(&of(&parts), now).is_some();
        if deadly.is_none() {
            self.sound += 1;
            self.sound_refused += u32::from(refused);
        }
        if !refused {
            self.send(Request { gateway, parts, attempt: 0, ends_ms: 0 }, now);
        }
    }

    fn send(&mut self, mut request: Request, now: Timestamp) {
        if let Some(part) = deadly_part(&request.parts) {
            self.deadly_sends.push((part, self.now_ms));
        }
        self.gateways[request.gateway].quarantine.record_send(&of(&request.parts), now);
        request.ends_ms = self.now_ms + ANSWER_MS;
        self.running.push(request);
    }

    fn end(&mut self, request: Request, now: Timestamp) {
        if let Some(part) = deadly_part(&request.parts) {
            self.deadly_crashes.push((part, self.now_ms));
            self.crash(request, now);
        } else {
            self.gateways[request.gateway].quarantine.record_output(&of(&request.parts), now);
        }
    }

    /// The engine of a request ends before its first output; the request is tried once more.
    fn crash(&mut self, mut request: Request, now: Timestamp) {
        self.lives += 1;
        let quarantine = &mut self.gateways[request.gateway].quarantine;
        quarantine.record_crash(&of(&request.parts), self.lives, now);
        if request.attempt == 0 && quarantine.allows_retry(&of(&request.parts), now) {
            request.attempt += 1;
            self.send(request, now);
        }
    }

    fn report(&mut self, now: Timestamp) {
        for from in 0..self.gateways.len() {
            let reports = self.gateways[from].quarantine.reports(now);
            if self.gateways[from].is_cut_off || reports.is_empty() {
                continue;
            }
            for to in (0..self.gateways.len()).filter(|to| *to != from) {
                if self.rng.random_bool(self.options.lost) {
                    continue;
                }
                let delay_ms = self.rng.random_range(0..=MAX_REPORT_DELAY_MS);
                let arrives_ms = self.now_ms + delay_ms;
                self.reports.push(Report { arrives_ms, to, reports: reports.clone() });
            }
        }
    }

    /// Replaces a gateway by a new process without knowledge.
    fn restart(&mut self, number: usize) {
        self.gateways[number] = new_gateway(number, self.now_ms);
        self.running.retain(|request| request.gateway != number);
    }

    /// Requests with a deadly part that were sent later than allowed.
    fn late_sends(&self, part: u64) -> usize {
        let mut crashes = self.deadly_crashes.iter().filter(|(of, _)| *of == part);
        let Some((_, fifth)) = crashes.nth(FREE_CRASHES - 1) else { return 0 };
        let from = fifth + FREE_TIME_MS;
        self.deadly_sends.iter().filter(|(of, at)| *of == part && *at > from).count()
    }

    fn assert_deadly_part_is_stopped(&self, part: u64) {
        let crashes = self.deadly_crashes.iter().filter(|(of, _)| *of == part).count();
        assert!(self.late_sends(part) <= MAX_SENDS, "{} sends of {part:x}", self.late_sends(part));
        assert!(crashes > 0, "no request with {part:x} came");
    }

    fn assert_sound_requests_go_on(&self, most_refused: f64) {
        let share = f64::from(self.sound_refused) / f64::from(self.sound);
        assert!(share <= most_refused, "{share:.3} of the sound requests were refused");
    }
}

fn new_gateway(number: usize, since_ms: u64) -> Gateway {
    let name = format!("gateway-{number}-{since_ms}");
    let quarantine = Quarantine::new(QuarantineSettings::default(), &name);
    Gateway { quarantine, is_cut_off: false }
}

/// The request with these parts, which is never repeated.
fn of(parts: &[u64]) -> RequestSubjects<'_> {
    RequestSubjects { parts, digest: parts.last().copied().unwrap_or_default(), service: 1 }
}

fn deadly_part(parts: &[u64]) -> Option<u64> {
    parts.iter().copied().find(|part| [DEADLY, ALSO_DEADLY].contains(part))
}

/// Guards against requests with a deadly part that end engines without end, and against sound
/// requests with the same other parts that are refused.
#[test]
fn a_deadly_part_is_stopped_in_the_whole_fleet() {
    for seed in 0..20 {
        for deadly_per_s in [0.3, 1.0, 4.0] {
            let mut fleet = Fleet::new(Options { deadly_per_s, ..Options::default() }, seed);
            fleet.run(60_000);
            fleet.assert_deadly_part_is_stopped(DEADLY);
            fleet.assert_sound_requests_go_on(0.02);
        }
    }
}

/// Guards against a fleet so large that no gateway sees two crashes of a part itself.
#[test]
fn a_deadly_part_is_stopped_in_a_large_fleet() {
    for seed in 0..3 {
        let options = Options { gateways: 60, sound_per_s: 90.0, ..Options::default() };
        let mut fleet = Fleet::new(options, seed);
        fleet.run(30_000);
        fleet.assert_deadly_part_is_stopped(DEADLY);
        fleet.assert_sound_requests_go_on(0.02);
    }
}

/// Guards against one deadly part that hides another.
#[test]
fn two_deadly_parts_are_stopped() {
    for seed in 0..20 {
        let options = Options { also_deadly_per_s: 0.7, ..Options::default() };
        let mut fleet = Fleet::new(options, seed);
        fleet.run(60_000);
        fleet.assert_deadly_part_is_stopped(DEADLY);
        fleet.assert_deadly_part_is_stopped(ALSO_DEADLY);
        fleet.assert_sound_requests_go_on(0.02);
    }
}

/// Guards against sound parts that are quarantined because engines crash for other reasons.
#[test]
fn crashes_that_no_part_causes_quarantine_none() {
    for seed in 0..20 {
        let options = Options { deadly_per_s: 0.0, other_crashes_per_s: 2.0, ..Options::default() };
        let mut fleet = Fleet::new(options, seed);
        fleet.run(60_000);
        assert_eq!(fleet.changes, [], "seed {seed}");
        assert_eq!(fleet.sound_refused, 0);
    }
}

/// Guards against popular parts that are quarantined when all engines lose power at once.
#[test]
fn engines_that_end_together_quarantine_nothing() {
    for seed in 0..20 {
        let options = Options { deadly_per_s: 0.0, sound_per_s: 60.0, ..Options::default() };
        let mut fleet = Fleet::new(options, seed);
        for _ in 0..4 {
            fleet.run(5_000);
            let now = Timestamp::from_millis(fleet.now_ms);
            for request in std::mem::take(&mut fleet.running) {
                fleet.crash(request, now);
            }
        }
        fleet.run(5_000);
        assert_eq!(fleet.sound_refused, 0, "seed {seed}: {:?}", fleet.changes);
    }
}

/// Guards against knowledge that ends with the gateway that had it, or that a new gateway doesn't get.
#[test]
fn restarts_of_gateways_do_not_let_a_deadly_part_through() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(Options::default(), seed);
        for round in 0..20 {
            fleet.run(1_500);
            fleet.restart(round % 5);
        }
        fleet.assert_deadly_part_is_stopped(DEADLY);
        fleet.assert_sound_requests_go_on(0.02);
    }
}

/// Guards against lost reports and a gateway that hears nobody for a while.
#[test]
fn lost_reports_and_cuts_do_not_let_a_deadly_part_through() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(Options { lost: 0.5, ..Options::default() }, seed);
        fleet.run(5_000);
        fleet.gateways[0].is_cut_off = true;
        fleet.run(5_000);
        fleet.gateways[0].is_cut_off = false;
        fleet.run(20_000);
        fleet.assert_deadly_part_is_stopped(DEADLY);
        fleet.assert_sound_requests_go_on(0.02);
    }
}

/// Guards against faults in combinations that nobody thought of.
#[test]
fn random_faults_do_not_let_a_deadly_part_through() {
    for seed in 0..40 {
        let mut rng = seeded_rng(seed);
        let options = Options {
            gateways: rng.random_range(2..9),
            sound_per_s: rng.random_range(15.0..40.0),
            deadly_per_s: rng.random_range(0.3..3.0),
            other_crashes_per_s: rng.random_range(0.0..1.0),
            lost: rng.random_range(0.0..0.3),
            ..Options::default()
        };
        let mut fleet = Fleet::new(options, seed);
        for _ in 0..15 {
            fleet.run(rng.random_range(500..3_000));
            let number = rng.random_range(0..options.gateways);
            match rng.random_range(0..3) {
                0 if options.gateways > 2 => fleet.restart(number),
                1 => fleet.gateways[number].is_cut_off = rng.random_bool(0.5),
                _ => {}
            }
        }
        if fleet.deadly_crashes.len() >= FREE_CRASHES
            && fleet.gateways.iter().all(|gateway| !gateway.is_cut_off)
        {
            fleet.assert_deadly_part_is_stopped(DEADLY);
        }
        fleet.assert_sound_requests_go_on(0.05);
    }
}
