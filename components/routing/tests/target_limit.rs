//! Limits that targets name, kept by a whole fleet of gateways that report to one another with a
//! delay.
#![allow(clippy::unwrap_used, reason = "a missing value fails the test")]

use std::net::SocketAddr;

use base::{Timestamp, WarmCopies, seeded_rng};
use rand::Rng;
use routing::{
    DirectChoice, DirectFleet, DirectPlainRequirements, NamedLimit, SharingGateways, TargetKey,
};
use wire::{TargetEntry, TargetLimitReport, TargetState};

const STEP_MS: u64 = 10;
/// Time between two reports of a gateway.
const REPORT_INTERVAL_MS: u64 = 100;
/// Longest time until a report arrives: two hops between data centres.
const MAX_REPORT_DELAY_MS: u64 = 300;
/// Time from a request to its answer.
const ANSWER_MS: u64 = 40;
/// Window over which the limit is judged.
const WINDOW_MS: u64 = 4_000;
/// Time from the first answer with the limit after which the requests count.
const CONTACT_MS: u64 = 3_000;
/// Tolerated multiple of the limit, and requests beyond it.
const TOLERANCE: (f64, f64) = (1.5, 5.0);
const TARGET: TargetKey = TargetKey(0);

struct Gateway {
    process: u32,
    name: String,
    fleet: DirectFleet,
    started_ms: u64,
    /// Requests per second.
    load: f64,
    /// Requests due that have not arrived yet.
    due: f64,
    is_cut_off: bool,
    /// Until when a restart or a cut excuses it.
    excused_until_ms: u64,
}

struct Report {
    arrives_ms: u64,
    to: usize,
    limits: Vec<TargetLimitReport>,
}

struct Answer {
    arrives_ms: u64,
    to: usize,
    process: u32,
    sent_ms: u64,
    named: NamedLimit,
}

/// A fleet of gateways with one target, whose answers name `limit_per_s`.
struct Fleet {
    now_ms: u64,
    gateways: Vec<Gateway>,
    reports: Vec<Report>,
    answers: Vec<Answer>,
    limit_per_s: Option<f64>,
    limits: Vec<(u64, Option<f64>)>,
    born_ms: u64,
    next_process: u32,
    /// Share of the reports that are lost.
    loss: f64,
    rng: rand_chacha::ChaCha8Rng,
    sends_ms: Vec<u64>,
    /// Advised waits of refused requests, by time.
    refusals: Vec<(u64, u64)>,
}

fn entry(born_ms: u64) -> TargetEntry {
    TargetEntry {
        id: "target-1".into(),
        born_ms: Some(born_ms),
        service: "web".into(),
        software: "v1".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        data_centre: "north-a".into(),
        slots: 8,
        state: TargetState::Ready,
        cold_ms: 0,
        orders_accepted: 0,
        models: Vec::new(),
        warm: WarmCopies::default(),
    }
}

impl Fleet {
    fn new(count: usize, load: f64, seed: u64) -> Self {
        let mut fleet = Self {
            now_ms: 0,
            gateways: Vec::new(),
            reports: Vec::new(),
            answers: Vec::new(),
            limit_per_s: None,
            limits: vec![(0, None)],
            born_ms: 1,
            next_process: 0,
            loss: 0.0,
            rng: seeded_rng(seed),
            sends_ms: Vec::new(),
            refusals: Vec::new(),
        };
        for index in 0..count {
            fleet.gateways.push(Gateway {
                process: 0,
                name: format!("gateway-{index}"),
                fleet: DirectFleet::new("north-a"),
                started_ms: 0,
                load,
                due: 0.0,
                is_cut_off: false,
                excused_until_ms: 0,
            });
        }
        (0..count).for_each(|index| fleet.restart(index));
        fleet.gateways.iter_mut().for_each(|gateway| gateway.excused_until_ms = 0);
        fleet
    }

    /// Kills a gateway and starts it again with no record.
    fn restart(&mut self, index: usize) {
        let others = (0..self.gateways.len()).filter(|other| *other != index);
        let others = others.map(|other| self.gateways[other].name.clone()).collect();
        self.next_process += 1;
        let (process, born_ms, now_ms) = (self.next_process, self.born_ms, self.now_ms);
        let gateway = &mut self.gateways[index];
        gateway.process = process;
        gateway.fleet = DirectFleet::new("north-a");
        gateway.fleet.apply_entry(&entry(born_ms), Timestamp::default());
        let sharers = SharingGateways { process, local: gateway.name.clone(), others };
        gateway.fleet.set_sharing_gateways(sharers, Timestamp::default());
        gateway.started_ms = now_ms;
        gateway.excused_until_ms = now_ms + CONTACT_MS;
        self.reports.retain(|report| report.to != index);
    }

    /// Starts the target again under its id.
    fn restart_target(&mut self) {
        self.born_ms += 1;
        for gateway in &mut self.gateways {
            let now = age(gateway.started_ms, self.now_ms);
            gateway.fleet.apply_entry(&entry(self.born_ms), now);
        }
        self.answers.clear();
        // The new target names its limit for the first time.
        let limit_per_s = self.limit_per_s;
        self.set_limit(None);
        self.set_limit(limit_per_s);
    }

    fn set_limit(&mut self, limit_per_s: Option<f64>) {
        self.limit_per_s = limit_per_s;
        self.limits.push((self.now_ms, limit_per_s));
    }

    fn play(&mut self, ms: u64) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.deliver();
            for index in 0..self.gateways.len() {
                self.gateways[index].due += self.gateways[index].load * STEP_MS as f64 / 1_000.0;
                // Requests arrive at random moments, not in step at all gateways.
                while self.gateways[index].due > self.rng.random_range(0.0..1.0) {
                    self.gateways[index].due -= 1.0;
                    self.request(index);
                }
            }
            self.send_reports();
            self.now_ms += STEP_MS;
        }
    }

    fn request(&mut self, index: usize) {
        let (now_ms, limit_per_s) = (self.now_ms, self.limit_per_s);
        let gateway = &mut self.gateways[index];
        let now = age(gateway.started_ms, now_ms);
        let requirements = DirectPlainRequirements { service: "web", software: None, exclude: &[] };
        match gateway.fleet.choose_plain(&requirements, now) {
            DirectChoice::Serve(pick) => {
                let id = gateway.fleet.record_plain(pick.key, now);
                gateway.fleet.record_end(pick.key, id);
                if now_ms >= gateway.excused_until_ms && !gateway.is_cut_off {
                    self.sends_ms.push(now_ms);
                }
                let named = limit_per_s.map_or(NamedLimit::Absent, NamedLimit::PerSecond);
                let arrives_ms = now_ms + ANSWER_MS;
                let (process, sent_ms) = (gateway.process, now_ms);
                self.answers.push(Answer { arrives_ms, to: index, process, sent_ms, named });
            }
            DirectChoice::Limited { key } => {
                let wait = gateway.fleet.target_mut(key).limit.advise_return(now);
                self.refusals.push((now_ms, u64::try_from(wait.as_millis()).unwrap()));
            }
            other => panic!("{other:?}"),
        }
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let (arrived, waiting): (Vec<_>, Vec<_>) =
            self.answers.drain(..).partition(|answer| answer.arrives_ms <= now_ms);
        self.answers = waiting;
        for answer in arrived {
            let gateway = &mut self.gateways[answer.to];
            if gateway.process == answer.process {
                let sent_at = age(gateway.started_ms, answer.sent_ms);
                let now = age(gateway.started_ms, now_ms);
                gateway.fleet.record_limit(TARGET, answer.named, sent_at, now);
            }
        }
        let (arrived, waiting): (Vec<_>, Vec<_>) =
            self.reports.drain(..).partition(|report| report.arrives_ms <= now_ms);
        self.reports = waiting;
        for report in arrived {
            let gateway = &mut self.gateways[report.to];
            let now = age(gateway.started_ms, now_ms);
            gateway.fleet.apply_limit_reports(&report.limits, now);
        }
    }

    fn send_reports(&mut self) {
        if !self.now_ms.is_multiple_of(REPORT_INTERVAL_MS) {
            return;
        }
        for from in 0..self.gateways.len() {
            let gateway = &self.gateways[from];
            let limits = gateway.fleet.limit_reports(age(gateway.started_ms, self.now_ms));
            if limits.is_empty() || gateway.is_cut_off {
                continue;
            }
            for to in (0..self.gateways.len()).filter(|to| *to != from) {
                if self.gateways[to].is_cut_off || self.rng.random_bool(self.loss) {
                    continue;
                }
                let arrives_ms = self.now_ms + (from + to) as u64 * 70 % MAX_REPORT_DELAY_MS;
                self.reports.push(Report { arrives_ms, to, limits: limits.clone() });
            }
        }
    }

    /// Highest limit in force at any time of a window; none if there was none.
    fn highest_limit(&self, from_ms: u64, to_ms: u64) -> Option<f64> {
        let begun = self.limits.iter().rposition(|(at_ms, _)| *at_ms <= from_ms).unwrap();
        let in_force = self.limits[begun..].iter().filter(|(at_ms, _)| *at_ms <= to_ms);
        in_force
            .map(|(_, limit)| *limit)
            .collect::<Option<Vec<f64>>>()?
            .into_iter()
            .reduce(f64::max)
    }

    /// Most requests in a window, as a fraction of what the limits allow, from `CONTACT_MS` after
    /// each limit was named.
    fn peak_use(&self) -> f64 {
        let use_from = |(at, from_ms): (usize, &u64)| {
            let named_ms = from_ms.checked_sub(CONTACT_MS)?;
            let limit = self.highest_limit(named_ms, from_ms + WINDOW_MS)?;
            let within = self.sends_ms[at..].partition_point(|ms| *ms < from_ms + WINDOW_MS);
            let allowed = TOLERANCE.0 * limit * WINDOW_MS as f64 / 1_000.0 + TOLERANCE.1;
            Some(within as f64 / allowed.floor())
        };
        self.sends_ms.iter().enumerate().filter_map(use_from).fold(0.0, f64::max)
    }

    fn sends_since(&self, from_ms: u64) -> usize {
        self.sends_ms.len() - self.sends_ms.partition_point(|ms| *ms < from_ms)
    }

    fn limited_gateways(&self) -> usize {
        let is_limited = |gateway: &&Gateway| gateway.fleet.target(TARGET).limit.per_s().is_some();
        self.gateways.iter().filter(is_limited).count()
    }
}

fn age(started_ms: u64, now_ms: u64) -> Timestamp {
    Timestamp::from_millis(now_ms.saturating_sub(started_ms))
}

/// Guards against gateways that keep the limit that a target named to each of them, or to one of
/// them, for themselves: 1 to 200 gateways, limits from no request at all to 40 a second.
#[test]
fn all_gateways_together_keep_the_limit_of_a_target() {
    let limits = [0.0, 0.3, 1.0, 2.5, 10.0, 40.0];
    for (count, limits) in
        [(1, &limits[..]), (2, &limits), (5, &limits), (30, &limits), (200, &limits[1..3])]
    {
        for limit_per_s in limits.iter().copied() {
            let mut fleet = Fleet::new(count, 60.0 / count as f64, 1);
            fleet.play(1_000);
            fleet.set_limit(Some(limit_per_s));
            fleet.play(15_000);
            let peak = fleet.peak_use();
            assert!(
                peak <= 1.0,
                "{count} gateways, {limit_per_s} a second: {peak:.2} of the limit"
            );
        }
    }
}

/// Guards against limits that are kept by serving next to nothing.
#[test]
fn gateways_use_most_of_the_limit_of_a_target() {
    for count in [1, 2, 5, 30] {
        for limit_per_s in [1.0, 2.5, 10.0, 40.0] {
            let mut fleet = Fleet::new(count, 120.0 / count as f64, 2);
            fleet.play(1_000);
            fleet.set_limit(Some(limit_per_s));
            fleet.play(5_000);
            let from_ms = fleet.now_ms;
            fleet.play(20_000);
            let used = fleet.sends_since(from_ms) as f64 / (20.0 * limit_per_s);
            assert!(used >= 0.8, "{count} gateways, {limit_per_s} a second: {used:.2} used");
        }
    }
}

/// Guards against a limit that some gateways keep to after its end, also those that have no turn and
/// send nothing there themselves.
#[test]
fn the_end_of_a_limit_reaches_all_gateways() {
    for count in [1, 5, 30, 100] {
        for limit_per_s in [0.0, 1.0, 10.0] {
            let mut fleet = Fleet::new(count, 60.0 / count as f64, 3);
            fleet.loss = 0.1;
            fleet.play(1_000);
            fleet.set_limit(Some(limit_per_s));
            fleet.play(6_000);
            assert_eq!(fleet.limited_gateways(), count, "{limit_per_s} a second");
            fleet.set_limit(None);
            // Two turns, the answers and the reports.
            let interval_ms = 1_000.0 / f64::max(limit_per_s, 0.2);
            fleet.play((2.0 * interval_ms) as u64 + 2_000);
            let left = fleet.limited_gateways();
            assert_eq!(left, 0, "{count} gateways, {limit_per_s} a second");
        }
    }
}

/// Guards against a gateway that learns of the end of a limit late and spreads the limit again.
#[test]
fn a_gateway_that_was_cut_off_does_not_renew_a_limit() {
    let mut fleet = Fleet::new(30, 2.0, 4);
    fleet.set_limit(Some(1.0));
    fleet.play(5_000);
    fleet.gateways[7].is_cut_off = true;
    fleet.gateways[7].load = 0.0;
    fleet.set_limit(None);
    fleet.play(20_000);
    assert_eq!(fleet.limited_gateways(), 1);
    fleet.gateways[7].is_cut_off = false;
    fleet.play(2_000);
    assert_eq!(fleet.limited_gateways(), 0);
}

/// Guards against a limit that outlasts the target that named it.
#[test]
fn a_limit_ends_with_its_target() {
    let mut fleet = Fleet::new(5, 10.0, 5);
    fleet.set_limit(Some(0.0));
    fleet.play(5_000);
    assert_eq!(fleet.limited_gateways(), 5);
    fleet.set_limit(None);
    fleet.restart_target();
    assert_eq!(fleet.limited_gateways(), 0);
    fleet.play(2_000);
    assert_eq!(fleet.limited_gateways(), 0);
}

/// Guards against an answer that was given before the limit was named, arrives after it and ends it.
#[test]
fn an_answer_to_an_older_request_does_not_end_a_limit() {
    let mut gateway = Fleet::new(1, 0.0, 6).gateways.remove(0).fleet;
    let at = Timestamp::from_millis;
    assert!(gateway.record_limit(TARGET, NamedLimit::PerSecond(2.0), at(100), at(150)));
    assert!(!gateway.record_limit(TARGET, NamedLimit::Absent, at(90), at(160)));
    assert!(!gateway.record_limit(TARGET, NamedLimit::Unreadable, at(170), at(180)));
    assert_eq!(gateway.target(TARGET).limit.per_s(), Some(2.0));
    assert!(gateway.record_limit(TARGET, NamedLimit::Absent, at(170), at(190)));
    assert_eq!(gateway.target(TARGET).limit.per_s(), None);
}

/// Guards against an engine whose copies count as missing although it takes most of its usual requests.
#[test]
fn only_a_low_limit_throttles_a_target() {
    let mut gateway = Fleet::new(1, 0.0, 8).gateways.remove(0).fleet;
    let at = Timestamp::from_millis;
    assert!(!gateway.target(TARGET).is_throttled());
    gateway.record_limit(TARGET, NamedLimit::PerSecond(1.0), at(100), at(150));
    assert!(gateway.target(TARGET).is_throttled());
    gateway.record_limit(TARGET, NamedLimit::PerSecond(5.0), at(200), at(250));
    assert!(!gateway.target(TARGET).is_throttled());
}

/// Guards against refused callers that are all told to return at the same time, or in another order
/// than they came.
#[test]
fn refused_callers_return_in_turn() {
    let mut fleet = Fleet::new(1, 8.0, 7);
    fleet.set_limit(Some(2.0));
    fleet.play(1_500);
    let returns: Vec<u64> = fleet.refusals.iter().map(|(at_ms, wait_ms)| at_ms + wait_ms).collect();
    assert!(returns.len() >= 6, "{returns:?}");
    for pair in returns.windows(2) {
        assert!(pair[1] >= pair[0] + 490, "{returns:?}");
    }
}

/// Guards against combinations of faults that no pattern above has: gateways restart and are cut off,
/// reports are lost, limits change, end and come again, and their target restarts.
#[test]
fn random_faults_do_not_exceed_the_limit_of_a_target() {
    for seed in 0..20 {
        let mut rng = seeded_rng(seed);
        let count = rng.random_range(2..=40);
        let limit_per_s = [0.2, 0.7, 1.0, 3.0, 12.0][rng.random_range(0..5)];
        let mut fleet = Fleet::new(count, rng.random_range(30.0..120.0) / count as f64, seed);
        fleet.loss = [0.0, 0.05, 0.3][rng.random_range(0..3)];
        let fault_share = [0.0, 0.01, 0.04][rng.random_range(0..3)];
        fleet.set_limit(Some(limit_per_s));
        for _ in 0..160 {
            for index in 0..count {
                if rng.random_bool(fault_share) {
                    fleet.restart(index);
                }
                if rng.random_bool(fault_share) {
                    let gateway = &mut fleet.gateways[index];
                    gateway.is_cut_off = !gateway.is_cut_off;
                    gateway.excused_until_ms = fleet.now_ms + CONTACT_MS;
                }
            }
            match rng.random_range(0..40) {
                0 => fleet.set_limit(None),
                1 => fleet.set_limit(Some(limit_per_s)),
                2 => fleet.set_limit(Some(limit_per_s * 2.0)),
                3 => fleet.restart_target(),
                _ => {}
            }
            fleet.play(250);
        }
        let peak = fleet.peak_use();
        assert!(peak <= 1.0, "seed {seed}: {peak:.2} of the limit");
    }
}
