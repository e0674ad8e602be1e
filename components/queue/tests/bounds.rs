//! Limits, deadlines, priorities and accounting of the queue under random operations.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::collections::BTreeMap;
use std::time::Duration;

use base::{Timestamp, Tokens};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRunner};
use queue::{FairQueue, QueueLimits, QueueRefusal, QueueRequest, Ticket};

const SEED: u64 = 20_261_205;
const CASES: u32 = 512;
const LIMITS: QueueLimits = QueueLimits {
    max_in_flight: 3,
    max_customer_requests: 4,
    max_customer_tokens: Tokens(1_000),
    tokens_per_s: 0,
};

fn fixed_seed() -> Config {
    Config {
        cases: CASES,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Push { customer: u8, cost: u64, priority: u8, timeout_ms: u64, ready: bool },
    Start,
    Settle { nth: usize, used: u64 },
    Cancel { nth: usize },
    Ready { nth: usize },
    Hold { nth: usize },
    Expire,
    Wait { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3_u8, 1..700_u64, 0..3_u8, 1..200_u64, any::<bool>()).prop_map(
            |(customer, cost, priority, timeout_ms, ready)| {
                Step::Push { customer, cost, priority, timeout_ms, ready }
            }
        ),
        3 => Just(Step::Start),
        2 => (0..8_usize, 0..900_u64).prop_map(|(nth, used)| Step::Settle { nth, used }),
        1 => (0..8_usize).prop_map(|nth| Step::Cancel { nth }),
        1 => (0..8_usize).prop_map(|nth| Step::Ready { nth }),
        1 => (0..8_usize).prop_map(|nth| Step::Hold { nth }),
        1 => Just(Step::Expire),
        2 => (1..80_u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

#[derive(Clone, Debug)]
struct Waiting {
    request: QueueRequest,
}

/// Reference model: the requests that the queue should hold.
#[derive(Default)]
struct Model {
    waiting: BTreeMap<Ticket, Waiting>,
    running: Vec<Ticket>,
}

impl Model {
    fn nth_waiting(&self, nth: usize) -> Option<Ticket> {
        self.waiting.keys().nth(nth).copied()
    }

    fn check(&self, queue: &FairQueue) -> Result<(), String> {
        let fail = |what: &str| Err(what.to_owned());
        if self.running.len() > LIMITS.max_in_flight as usize {
            return fail("more requests in flight than the limit");
        }
        for customer in ["c0", "c1", "c2"] {
            let own: Vec<&Waiting> =
                self.waiting.values().filter(|w| w.request.customer == customer).collect();
            let tokens: Tokens = own.iter().map(|w| w.request.cost).sum();
            if own.len() > LIMITS.max_customer_requests {
                return fail("more requests queued than the customer's limit");
            }
            if own.len() > 1 && tokens > LIMITS.max_customer_tokens {
                return fail("more tokens queued than the customer's limit");
            }
            if tokens != queue.queued_tokens_of(customer) {
                return fail("queued token count differs from the model");
            }
        }
        if queue.queued() != self.waiting.len() || queue.running() != self.running.len() {
            return fail("request count differs from the model");
        }
        Ok(())
    }

    /// Checks that `ticket` was ready, within its deadline, and first by priority.
    fn check_start(&self, ticket: Ticket, now: Timestamp) -> Result<(), String> {
        let Some(started) = self.waiting.get(&ticket) else {
            return Err("started a request that was not queued".into());
        };
        if started.request.deadline <= now {
            return Err("started a request past its deadline".into());
        }
        if !started.request.ready {
            return Err("started a request that was not ready".into());
        }
        let is_preceded = self.waiting.iter().any(|(other, w)| {
            w.request.customer == started.request.customer
                && w.request.ready
                && w.request.deadline > now
                && (w.request.priority, std::cmp::Reverse(*other))
                    > (started.request.priority, std::cmp::Reverse(ticket))
        });
        if is_preceded { Err("a request of higher priority is waiting".into()) } else { Ok(()) }
    }
}

/// Runs the steps against a queue and the model. `clock` maps the current time to the time that is
/// passed to the queue.
fn run_steps(
    mut queue: FairQueue,
    steps: &[Step],
    clock: impl Fn(Timestamp) -> Timestamp,
) -> Result<(), String> {
    let (mut model, mut now) = (Model::default(), Timestamp::from_millis(1));
    for step in steps {
        match *step {
            Step::Push { customer, cost, priority, timeout_ms, ready } => {
                let request = QueueRequest {
                    customer: format!("c{customer}").into(),
                    weight: 1,
                    cost: Tokens(cost),
                    priority,
                    deadline: now + Duration::from_millis(timeout_ms),
                    ready,
                };
                if let Ok(ticket) = queue.push(request.clone(), clock(now)) {
                    model.waiting.insert(ticket, Waiting { request });
                }
            }
            Step::Start => {
                if let Some(started) = queue.start_next(clock(now)) {
                    model.check_start(started.ticket, now)?;
                    model.waiting.remove(&started.ticket);
                    model.running.push(started.ticket);
                }
            }
            Step::Settle { nth, used } => {
                if let Some(ticket) = model.running.get(nth).copied() {
                    model.running.remove(nth);
                    if !queue.settle(ticket, Tokens(used)) {
                        return Err("settle did not find a running request".into());
                    }
                }
            }
            Step::Cancel { nth } => {
                if let Some(ticket) = model.nth_waiting(nth) {
                    model.waiting.remove(&ticket);
                    if !queue.cancel(ticket) {
                        return Err("cancel did not find a queued request".into());
                    }
                }
            }
            Step::Ready { nth } | Step::Hold { nth } => {
                if let Some(ticket) = model.nth_waiting(nth) {
                    let ready = matches!(step, Step::Ready { .. });
                    if ready {
                        queue.set_ready(ticket)
                    } else {
                        queue.hold(ticket)
                    }
                    model.waiting.get_mut(&ticket).unwrap().request.ready = ready;
                }
            }
            Step::Expire => {
                for ticket in queue.expire(clock(now)) {
                    match model.waiting.remove(&ticket) {
                        Some(expired) if expired.request.deadline <= now => {}
                        _ => return Err("a request expired too early or twice".into()),
                    }
                }
                if model.waiting.values().any(|w| w.request.deadline <= now) {
                    return Err("a request past its deadline is still queued".into());
                }
            }
            Step::Wait { ms } => now = now + Duration::from_millis(ms),
        }
        model.check(&queue)?;
    }
    Ok(())
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    proptest::collection::vec(step(), 1..120)
}

/// Returns whether the check fails in at least one case.
fn check_fails(limits: QueueLimits, clock: impl Fn(Timestamp) -> Timestamp + Copy) -> bool {
    TestRunner::new(fixed_seed())
        .run(&steps(), |steps| {
            run_steps(FairQueue::new(limits), &steps, clock).map_err(TestCaseError::fail)
        })
        .is_err()
}

/// Guards against lost or duplicated requests, exceeded limits, late starts and wrong priorities.
#[test]
fn limits_hold_under_random_operations() {
    TestRunner::new(fixed_seed())
        .run(&steps(), |steps| {
            run_steps(FairQueue::new(LIMITS), &steps, |now| now).map_err(TestCaseError::fail)
        })
        .unwrap();
}

/// Verifies that the check detects a missing limit on requests, on tokens, or on requests in
/// flight.
#[test]
fn check_detects_missing_limits() {
    assert!(check_fails(QueueLimits { max_customer_requests: 100, ..LIMITS }, |now| now));
    assert!(check_fails(QueueLimits { max_customer_tokens: Tokens(100_000), ..LIMITS }, |now| now));
    assert!(check_fails(
        QueueLimits { max_in_flight: LIMITS.max_in_flight + 1, ..LIMITS },
        |now| now
    ));
}

/// Verifies that the check detects a queue that ignores the current time.
#[test]
fn check_detects_ignored_deadlines() {
    assert!(check_fails(LIMITS, |_| Timestamp::default()));
}

/// Guards against queueing a request whose estimated wait already exceeds its deadline.
#[test]
fn request_with_unreachable_deadline_is_refused_immediately() {
    let now = Timestamp::from_millis(1);
    let limits = QueueLimits { max_in_flight: 1, tokens_per_s: 1_000, ..QueueLimits::default() };
    let mut queue = FairQueue::new(limits);
    let request = |customer: &str, timeout_ms: u64| QueueRequest {
        customer: customer.into(),
        weight: 1,
        cost: Tokens(1_000),
        priority: 0,
        deadline: now + Duration::from_millis(timeout_ms),
        ready: true,
    };
    queue.push(request("large", 10_000), now).unwrap();
    queue.start_next(now).unwrap();
    for _ in 0..5 {
        queue.push(request("large", 60_000), now).unwrap();
    }
    assert_eq!(
        queue.push(request("large", 3_000), now),
        Err(QueueRefusal::DeadlineTooShort { wait: Duration::from_secs(6) })
    );
    // Another customer waits for the request in flight and its fair share, not for the whole
    // backlog.
    assert!(queue.push(request("small", 3_000), now).is_ok());
}
