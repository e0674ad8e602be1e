//! Retry budgets of a whole fleet that report to one another with a delay.

use std::time::Duration;

use base::{Incarnation, ProcessId, ProcessName, Timestamp, seeded_rng};
use rand::Rng;
use rates::{FleetRetryBudget, RetryBudgetSettings, RetryCounts};

const STEP_MS: u64 = 10;
const WINDOW_MS: u64 = 10_000;
/// Time between two reports of a gateway.
const REPORT_INTERVAL_MS: u64 = 100;
/// Longest time until a report arrives: two hops between data centres.
const MAX_REPORT_DELAY_MS: u64 = 300;
/// Retries of a request that no target runs, beyond which it ends.
const RETRIES_OF_A_REQUEST: u32 = 3;

struct Gateway {
    process: ProcessId,
    budget: FleetRetryBudget,
    started_ms: u64,
    /// Requests per second.
    load: f64,
    /// Requests due that have not been sent yet.
    due: f64,
    is_cut_off: bool,
}

struct Report {
    arrives_ms: u64,
    to: usize,
    from: ProcessId,
    counts: RetryCounts,
}

/// A fleet in which every gateway knows the number of all others.
struct Fleet {
    settings: RetryBudgetSettings,
    now_ms: u64,
    gateways: Vec<Gateway>,
    reports: Vec<Report>,
    requests_ms: Vec<u64>,
    retries_ms: Vec<u64>,
}

impl Fleet {
    /// Starts a fleet for the first time.
    fn new(loads: &[f64], slack: f64) -> Self {
        let window = Duration::from_millis(WINDOW_MS);
        let settings = RetryBudgetSettings { ratio: 0.2, slack, window };
        let gateways = loads.iter().enumerate().map(|(index, load)| Gateway {
            process: ProcessId {
                name: ProcessName::new(&format!("gateway-{index}")),
                incarnation: Incarnation(0),
            },
            budget: FleetRetryBudget::new(settings, Timestamp::default()),
            started_ms: 0,
            load: *load,
            due: 0.0,
            is_cut_off: false,
        });
        Self {
            settings,
            now_ms: 0,
            gateways: gateways.collect(),
            reports: Vec::new(),
            requests_ms: Vec::new(),
            retries_ms: Vec::new(),
        }
    }

    /// Kills a gateway and starts it again with no record.
    fn restart(&mut self, index: usize) {
        let gateway = &mut self.gateways[index];
        gateway.process.incarnation = Incarnation(gateway.process.incarnation.0 + 1);
        let slack_from = Timestamp::from_millis(WINDOW_MS);
        gateway.budget = FleetRetryBudget::new(self.settings, slack_from);
        gateway.started_ms = self.now_ms;
        self.reports.retain(|report| report.to != index);
    }

    /// Plays `ms` milliseconds in which requests fail at the gateways that `fails` selects.
    fn play(&mut self, ms: u64, fails: impl Fn(usize) -> bool) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.deliver_reports();
            for index in 0..self.gateways.len() {
                let gateway = &mut self.gateways[index];
                gateway.due += gateway.load * STEP_MS as f64 / 1_000.0;
                while self.gateways[index].due >= 1.0 {
                    self.gateways[index].due -= 1.0;
                    self.request(index, fails(index));
                }
            }
            self.send_reports();
            self.now_ms += STEP_MS;
        }
    }

    fn request(&mut self, index: usize, fails: bool) {
        let gateway = &mut self.gateways[index];
        gateway.budget.record_request(age(gateway.started_ms, self.now_ms));
        self.requests_ms.push(self.now_ms);
        if fails {
            (0..RETRIES_OF_A_REQUEST).for_each(|_| self.retry(index));
        }
    }

    fn retry(&mut self, index: usize) {
        let count = u32::try_from(self.gateways.len()).unwrap_or(u32::MAX);
        let gateway = &mut self.gateways[index];
        let now = age(gateway.started_ms, self.now_ms);
        if gateway.budget.try_acquire(count, now).allowed {
            self.retries_ms.push(self.now_ms);
        }
    }

    fn deliver_reports(&mut self) {
        let now_ms = self.now_ms;
        let (arrived, waiting): (Vec<_>, Vec<_>) =
            self.reports.drain(..).partition(|report| report.arrives_ms <= now_ms);
        self.reports = waiting;
        for report in arrived {
            let gateway = &mut self.gateways[report.to];
            let now = age(gateway.started_ms, now_ms);
            gateway.budget.update_peer(&report.from, report.counts, now);
        }
    }

    fn send_reports(&mut self) {
        if !self.now_ms.is_multiple_of(REPORT_INTERVAL_MS) {
            return;
        }
        for from in 0..self.gateways.len() {
            let gateway = &mut self.gateways[from];
            let counts = gateway.budget.counts(age(gateway.started_ms, self.now_ms));
            let process = gateway.process.clone();
            for to in (0..self.gateways.len()).filter(|to| *to != from) {
                if self.gateways[from].is_cut_off || self.gateways[to].is_cut_off {
                    continue;
                }
                let delay_ms = (from + to) as u64 * 70 % MAX_REPORT_DELAY_MS;
                let arrives_ms = self.now_ms + delay_ms;
                self.reports.push(Report { arrives_ms, to, from: process.clone(), counts });
            }
        }
    }

    /// Most retries in any window, as a fraction of what the deployment allows for the requests of
    /// the same window.
    fn peak_use(&self) -> f64 {
        let in_window = |times: &[u64], end_ms: u64| {
            let from = times.partition_point(|ms| ms + WINDOW_MS <= end_ms);
            let to = times.partition_point(|ms| *ms <= end_ms);
            (to - from) as f64
        };
        let used = |end_ms: &u64| {
            let allowed = self.settings.ratio * in_window(&self.requests_ms, *end_ms);
            in_window(&self.retries_ms, *end_ms) / (allowed + self.settings.slack)
        };
        self.retries_ms.iter().map(used).fold(0.0, f64::max)
    }
}

fn age(started_ms: u64, now_ms: u64) -> Timestamp {
    Timestamp::from_millis(now_ms - started_ms)
}

/// Guards against a restarted gateway that spends its part of the slack again while the retries of
/// its former process still count: four of six gateways are killed every 2.5 s while all requests
/// fail.
#[test]
fn restarts_do_not_renew_the_retry_budget() {
    let mut fleet = Fleet::new(&[16.0; 6], 58.0);
    fleet.play(4_000, |_| false);
    for killed in [[0, 1, 2, 3], [0, 1, 4, 5], [0, 2, 3, 4]] {
        fleet.play(2_500, |_| true);
        killed.into_iter().for_each(|index| fleet.restart(index));
    }
    fleet.play(10_000, |_| true);
    assert!(fleet.peak_use() <= 1.0, "{:.3} of the budget", fleet.peak_use());
}

/// Guards against a rolling restart that renews the budget gateway by gateway.
#[test]
fn rolling_restart_does_not_renew_the_retry_budget() {
    let mut fleet = Fleet::new(&[7.0; 28], 96.0);
    fleet.play(4_000, |_| false);
    fleet.play(3_000, |_| true);
    for index in 0..28 {
        fleet.restart(index);
        fleet.play(200, |_| true);
    }
    fleet.play(10_000, |_| true);
    assert!(fleet.peak_use() <= 1.0, "{:.3} of the budget", fleet.peak_use());
}

/// Guards against two allowances that are spent one after the other: a quarter of the gateways
/// take what the others have left unused, then the others spend their own shares in full.
#[test]
fn gateways_that_fail_later_do_not_exceed_the_retry_budget() {
    let mut fleet = Fleet::new(&[7.0; 28], 96.0);
    fleet.play(10_000, |_| false);
    fleet.play(5_000, |index| index < 7);
    fleet.play(10_000, |index| index >= 7);
    assert!(fleet.peak_use() <= 1.0, "{:.3} of the budget", fleet.peak_use());
}

/// Guards against gateways that all take the same unused budget before they hear of one another:
/// 25 streams break at each of 28 gateways in the same instant.
#[test]
fn simultaneous_failures_do_not_exceed_the_retry_budget() {
    let mut fleet = Fleet::new(&[7.0; 28], 96.0);
    fleet.play(10_000, |_| false);
    for index in 0..28 {
        (0..25).for_each(|_| fleet.retry(index));
    }
    fleet.play(10_000, |_| true);
    assert!(fleet.peak_use() <= 1.0, "{:.3} of the budget", fleet.peak_use());
}

/// Guards against gateways that hear nobody and take the slack of the whole fleet for their own.
#[test]
fn gateways_cut_off_from_all_others_do_not_exceed_the_retry_budget() {
    let mut fleet = Fleet::new(&[7.0; 28], 96.0);
    fleet.play(10_000, |_| false);
    fleet.gateways.iter_mut().for_each(|gateway| gateway.is_cut_off = true);
    fleet.play(12_000, |_| false);
    fleet.play(10_000, |_| true);
    assert!(fleet.peak_use() <= 1.0, "{:.3} of the budget", fleet.peak_use());
}

/// Guards against a budget that is hardly used although every request fails at every gateway.
#[test]
fn lasting_failure_everywhere_uses_the_retry_budget() {
    let mut fleet = Fleet::new(&[7.0; 28], 96.0);
    fleet.play(30_000, |_| true);
    assert!(fleet.peak_use() >= 0.7, "{:.3} of the budget", fleet.peak_use());
    assert!(fleet.peak_use() <= 1.0, "{:.3} of the budget", fleet.peak_use());
}

/// Guards against gateways in front of a failing data centre that stop retrying although the others
/// leave the budget unused.
#[test]
fn quarter_of_the_gateways_can_use_most_of_the_retry_budget() {
    let mut fleet = Fleet::new(&[7.0; 28], 96.0);
    fleet.play(10_000, |_| false);
    fleet.play(10_000, |index| index < 7);
    assert!(fleet.peak_use() >= 0.6, "{:.3} of the budget", fleet.peak_use());
    assert!(fleet.peak_use() <= 1.0, "{:.3} of the budget", fleet.peak_use());
}

/// Guards against combinations of faults that no pattern above has: each gateway fails, is killed
/// and is cut off at random, and streams break in groups.
#[test]
fn random_faults_do_not_exceed_the_retry_budget() {
    for seed in 0..20 {
        let mut rng = seeded_rng(seed);
        let count = rng.random_range(2..=40);
        let mean_load = rng.random_range(1.0..20.0);
        let loads: Vec<f64> = (0..count).map(|_| mean_load * rng.random_range(0.2..1.8)).collect();
        let mut fleet = Fleet::new(&loads, rng.random_range(20.0..100.0));
        let kill_share = [0.0, 0.01, 0.03, 0.1][rng.random_range(0..4)];
        let mut fails = vec![false; count];
        for _ in 0..120 {
            for (index, fails) in fails.iter_mut().enumerate() {
                if rng.random_bool(0.1) {
                    *fails = rng.random_bool(0.7);
                }
                if rng.random_bool(kill_share) {
                    fleet.restart(index);
                }
                if rng.random_bool(0.05) {
                    fleet.gateways[index].is_cut_off = rng.random_bool(0.3);
                }
                if rng.random_bool(0.02) {
                    (0..20).for_each(|_| fleet.retry(index));
                }
            }
            fleet.play(250, |index| fails[index]);
        }
        assert!(fleet.peak_use() <= 1.0, "seed {seed}: {:.3} of the budget", fleet.peak_use());
    }
}
