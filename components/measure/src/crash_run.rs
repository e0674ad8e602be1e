//! Run of a crash scenario: gateways that report to each other, and targets that end with all they hold.

use base::{SortedMap, Timestamp, seeded_rng};
use quarantine::{Quarantine, QuarantineSettings, RequestSubjects};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use wire::SubjectReport;

use crate::crash_result::{CrashResult, SoundRequests};
use crate::crash_scenario::{CrashScenario, OTHER_PART};

const STEP_MS: u64 = 5;
const LENGTH_MS: u64 = 100_000;
/// Requests with a deadly part come between these times.
const DEADLY_FROM_MS: u64 = 30_000;
const DEADLY_UNTIL_MS: u64 = 90_000;
const REPORT_INTERVAL_MS: u64 = 100;
/// Crashes after which the sends count, and the time allowed after them.
const FREE_CRASHES: usize = 5;
const FREE_MS: u64 = 3_000;
/// Most sends of one request.
const MAX_SENDS: u32 = 3;
/// Longest wait for a target.
const MAX_WAIT_MS: u64 = 2_000;

/// What a request does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// Waits for a target.
    Waiting,
    /// Has no head of a response.
    Reading,
    /// Has the head, but no output.
    Begun,
}

#[derive(Clone, Debug)]
struct Request {
    parts: Vec<u64>,
    gateway: usize,
    target: usize,
    arrived_ms: u64,
    sends: u32,
    phase: Phase,
    /// End of the phase.
    due_ms: u64,
}

impl Request {
    /// The request as a quarantine sees it; it is never repeated.
    fn subjects(&self) -> RequestSubjects<'_> {
        let digest = self.parts.last().copied().unwrap_or_default();
        RequestSubjects { parts: &self.parts, digest, service: 1 }
    }
}

/// A target, which has a new life after each end.
#[derive(Clone, Copy, Debug)]
struct Target {
    life: u32,
    back_ms: u64,
}

struct Report {
    arrives_ms: u64,
    to: usize,
    subjects: Vec<SubjectReport>,
}

struct CrashRun {
    scenario: CrashScenario,
    rng: ChaCha8Rng,
    now_ms: u64,
    gateways: Vec<Quarantine>,
    targets: Vec<Target>,
    requests: Vec<Request>,
    reports: Vec<Report>,
    lives: u32,
    last_part: u64,
    sends: SortedMap<u64, Vec<u64>>,
    crashes: SortedMap<u64, Vec<u64>>,
    /// Arrivals of sound requests, and whether they had output.
    sound: Vec<(u64, bool)>,
    result: CrashResult,
}

/// Plays a scenario.
pub fn run_crashes(scenario: &CrashScenario) -> CrashResult {
    let mut run = CrashRun::new(*scenario);
    while run.now_ms < LENGTH_MS {
        run.step();
    }
    run.into_result()
}

impl CrashRun {
    fn new(scenario: CrashScenario) -> Self {
        let gateway = |number: usize| {
            Quarantine::new(QuarantineSettings::default(), &format!("gateway-{number}"))
        };
        let lives = 1..=u32::try_from(scenario.targets).unwrap_or(u32::MAX);
        Self {
            scenario,
            rng: seeded_rng(scenario.seed.wrapping_add(1)),
            now_ms: 0,
            gateways: (0..scenario.gateways).map(gateway).collect(),
            targets: lives.clone().map(|life| Target { life, back_ms: 0 }).collect(),
            requests: Vec::new(),
            reports: Vec::new(),
            lives: *lives.end(),
            last_part: 0x1_0000_0000,
            sends: SortedMap::new(),
            crashes: SortedMap::new(),
            sound: Vec::new(),
            result: CrashResult::default(),
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_millis(self.now_ms)
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        let now = self.now();
        for report in self.reports.extract_if(.., |report| report.arrives_ms <= now.micros / 1_000)
        {
            self.gateways[report.to].apply_reports(&report.subjects, now);
        }
        let is_due = |request: &mut Request| request.due_ms <= now.micros / 1_000;
        let due: Vec<Request> = self.requests.extract_if(.., is_due).collect();
        due.into_iter().for_each(|request| self.advance(request));
        if self.happens(self.scenario.kills_per_s) {
            let target = self.rng.random_range(0..self.targets.len());
            if self.targets[target].back_ms <= self.now_ms {
                self.end_target(target);
            }
        }
        self.arrivals();
        if self.now_ms.is_multiple_of(REPORT_INTERVAL_MS) {
            self.report();
        }
    }

    fn happens(&mut self, per_s: f64) -> bool {
        self.rng.random_bool((per_s * STEP_MS as f64 / 1_000.0).min(1.0))
    }

    fn arrivals(&mut self) {
        if self.happens(self.scenario.sound_per_s) {
            let parts = self.scenario.draw_sound(&mut self.rng);
            if !parts.iter().any(|part| self.ends_targets(*part)) {
                self.arrive(parts);
            }
        }
        if self.happens(self.scenario.others_per_s) {
            self.arrive(vec![OTHER_PART]);
        }
        let is_time = (DEADLY_FROM_MS..DEADLY_UNTIL_MS).contains(&self.now_ms);
        if is_time && self.happens(self.scenario.deadly_per_s) {
            let parts = self.scenario.draw_deadly(&mut self.rng);
            self.arrive(parts);
        }
    }

    fn ends_targets(&self, part: u64) -> bool {
        self.now_ms >= DEADLY_FROM_MS && self.scenario.is_deadly(part)
    }

    fn deadly_part(&self, request: &Request) -> Option<u64> {
        request.parts.iter().copied().find(|part| self.ends_targets(*part))
    }

    fn is_sound(&self, request: &Request) -> bool {
        request.parts[0] != OTHER_PART && self.deadly_part(request).is_none()
    }

    fn arrive(&mut self, mut parts: Vec<u64>) {
        self.last_part += 1;
        parts.push(self.last_part);
        let request = Request {
            parts,
            gateway: self.rng.random_range(0..self.gateways.len()),
            target: 0,
            arrived_ms: self.now_ms,
            sends: 0,
            phase: Phase::Waiting,
            due_ms: self.now_ms,
        };
        self.dispatch(request);
    }

    fn record_sound(&mut self, request: &Request, has_output: bool) {
        if self.is_sound(request) {
            self.sound.push((request.arrived_ms, has_output));
        }
    }

    /// Sends a request to a target, unless it is refused; without a target it waits.
    fn dispatch(&mut self, mut request: Request) {
        let now = self.now();
        if self.gateways[request.gateway].refusal(&request.subjects(), now).is_some() {
            if self.is_sound(&request) {
                self.result.sound_refused += 1;
            }
            return self.record_sound(&request, false);
        }
        let live: Vec<usize> = (0..self.targets.len())
            .filter(|target| self.targets[*target].back_ms <= self.now_ms)
            .collect();
        if live.is_empty() {
            if self.now_ms - request.arrived_ms > MAX_WAIT_MS {
                return self.record_sound(&request, false);
            }
            request.phase = Phase::Waiting;
            request.due_ms = self.now_ms + 50;
            return self.requests.push(request);
        }
        self.gateways[request.gateway].record_send(&request.subjects(), now);
        if let Some(part) = self.deadly_part(&request) {
            self.sends.get_or_insert_with(part, Vec::new).push(self.now_ms);
        }
        request.target = live[self.rng.random_range(0..live.len())];
        request.sends += 1;
        request.phase = Phase::Reading;
        request.due_ms = self.now_ms + self.rng.random_range(40..=400);
        self.requests.push(request);
    }

    fn advance(&mut self, mut request: Request) {
        match request.phase {
            Phase::Waiting => self.dispatch(request),
            Phase::Reading => match self.deadly_part(&request) {
                Some(part) if self.scenario.before_head => self.end_by(part, request),
                deadly => {
                    let longest_ms = if deadly.is_some() { 40 } else { 200 };
                    request.phase = Phase::Begun;
                    request.due_ms = self.now_ms + self.rng.random_range(5..=longest_ms);
                    self.requests.push(request);
                }
            },
            Phase::Begun => match self.deadly_part(&request) {
                Some(part) => self.end_by(part, request),
                None => {
                    let now = self.now();
                    self.gateways[request.gateway].record_output(&request.subjects(), now);
                    self.record_sound(&request, true);
                }
            },
        }
    }

    /// A request with a deadly part ends its target.
    fn end_by(&mut self, part: u64, request: Request) {
        self.crashes.get_or_insert_with(part, Vec::new).push(self.now_ms);
        let target = request.target;
        self.requests.push(request);
        self.end_target(target);
    }

    /// A target ends with all requests that it holds.
    fn end_target(&mut self, target: usize) {
        let now = self.now();
        let ended = self.targets[target].life;
        self.lives += 1;
        let back_ms = self.now_ms + self.rng.random_range(1_500..=6_000);
        self.targets[target] = Target { life: self.lives, back_ms };
        let is_held = |request: &mut Request| {
            request.target == target && matches!(request.phase, Phase::Reading | Phase::Begun)
        };
        let held: Vec<Request> = self.requests.extract_if(.., is_held).collect();
        for request in held {
            let quarantine = &mut self.gateways[request.gateway];
            match request.phase {
                Phase::Begun => quarantine.record_crash(&request.subjects(), ended, now),
                Phase::Reading | Phase::Waiting => {
                    quarantine.record_crash_before_head(&request.subjects(), ended, now);
                }
            }
            if request.sends < MAX_SENDS && quarantine.allows_retry(&request.subjects(), now) {
                self.dispatch(request);
            } else {
                self.record_sound(&request, false);
            }
        }
    }

    fn report(&mut self) {
        let now = self.now();
        for from in 0..self.gateways.len() {
            let subjects = self.gateways[from].reports(now);
            for to in (0..self.gateways.len()).filter(|to| *to != from) {
                let arrives_ms = self.now_ms + self.rng.random_range(5..=300);
                self.reports.push(Report { arrives_ms, to, subjects: subjects.clone() });
            }
        }
        let probe = self.scenario.draw_sound(&mut self.rng);
        if !self.result.is_sound_held && !probe.iter().any(|part| self.ends_targets(*part)) {
            let parts: Vec<u64> = probe.into_iter().chain([0]).collect();
            let subjects = RequestSubjects { parts: &parts, digest: 0, service: 1 };
            self.result.is_sound_held =
                self.gateways.iter().any(|gateway| gateway.refusal(&subjects, now).is_some());
        }
    }

    fn into_result(self) -> CrashResult {
        let Self { crashes, sends, sound, mut result, .. } = self;
        let free_until = |crashes: &[u64]| {
            crashes.get(FREE_CRASHES - 1).or(crashes.last()).map(|fifth| fifth + FREE_MS)
        };
        let settled_ms = crashes
            .values()
            .filter_map(|crashes| free_until(crashes))
            .max()
            .map_or(DEADLY_FROM_MS, |at| at + FREE_MS);
        let count = |from: u64, until: u64| {
            let in_time = || sound.iter().filter(|(at, _)| (from..until).contains(at));
            let begun = in_time().filter(|(_, begun)| *begun).count();
            SoundRequests {
                all: u32::try_from(in_time().count()).unwrap_or(u32::MAX),
                begun: u32::try_from(begun).unwrap_or(u32::MAX),
            }
        };
        result.before = count(0, DEADLY_FROM_MS);
        result.during = count(settled_ms, DEADLY_UNTIL_MS);
        for (part, crashes) in crashes.iter() {
            let sends = sends.get(part).map(Vec::as_slice).unwrap_or_default();
            let late = crashes
                .get(FREE_CRASHES - 1)
                .map_or(0, |fifth| sends.iter().filter(|at| **at > fifth + FREE_MS).count());
            result.late_sends.push(late);
            result.crashes.push(crashes.len());
        }
        result
    }
}
