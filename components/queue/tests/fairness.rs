//! Fairness of the queue: token shares by weight, and the delay of a small customer's request while
//! a large customer has a backlog.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::collections::VecDeque;
use std::time::Duration;

use base::{Timestamp, Tokens, seeded_rng};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRunner};
use queue::{FairQueue, QueueLimits, QueueRequest, Ticket};
use rand::Rng;

const SEED: u64 = 20_261_204;
const CASES: u32 = 256;

fn fixed_seed() -> Config {
    Config {
        cases: CASES,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    }
}

/// Queue operations used by the checks.
trait SchedulingQueue {
    fn push(&mut self, customer: &str, weight: u32, cost: u64, now: Timestamp) -> Ticket;
    fn start(&mut self, now: Timestamp) -> Option<Ticket>;
    fn settle(&mut self, ticket: Ticket, used: u64);
}

impl SchedulingQueue for FairQueue {
    fn push(&mut self, customer: &str, weight: u32, cost: u64, now: Timestamp) -> Ticket {
        let request = QueueRequest {
            customer: customer.into(),
            weight,
            cost: Tokens(cost),
            priority: 0,
            deadline: now + Duration::from_secs(1_000_000),
            ready: true,
        };
        Self::push(self, request, now).unwrap()
    }

    fn start(&mut self, now: Timestamp) -> Option<Ticket> {
        self.start_next(now).map(|started| started.ticket)
    }

    fn settle(&mut self, ticket: Ticket, used: u64) {
        assert!(Self::settle(self, ticket, Tokens(used)));
    }
}

/// A first-in, first-out queue, which the checks must reject.
#[derive(Default)]
struct Fifo {
    batch: usize,
    next: u64,
    running: usize,
    waiting: VecDeque<Ticket>,
}

impl SchedulingQueue for Fifo {
    fn push(&mut self, _: &str, _: u32, _: u64, _: Timestamp) -> Ticket {
        self.next += 1;
        self.waiting.push_back(Ticket(self.next));
        Ticket(self.next)
    }

    fn start(&mut self, _: Timestamp) -> Option<Ticket> {
        if self.running == self.batch {
            return None;
        }
        let ticket = self.waiting.pop_front()?;
        self.running += 1;
        Some(ticket)
    }

    fn settle(&mut self, _: Ticket, _: u64) {
        self.running -= 1;
    }
}

fn fair_queue(batch: u32) -> FairQueue {
    FairQueue::new(QueueLimits {
        max_in_flight: batch,
        max_customer_requests: 100_000,
        max_customer_tokens: Tokens(u64::MAX / 4),
        tokens_per_s: 0,
    })
}

fn fifo_queue(batch: u32) -> Fifo {
    Fifo { batch: batch as usize, ..Fifo::default() }
}

#[derive(Clone, Copy, Debug)]
struct FloodCase {
    batch: u32,
    flood_weight: u32,
    /// Share of reserved tokens that the large customer uses, in percent; the rest is refunded.
    flood_used_percent: u64,
    small_requests: usize,
    seed: u64,
}

/// Checks the delay of a small customer while a large one ("flood") keeps ten batches queued.
///
/// Each small request comes from a customer without queued requests or outstanding charges, so it
/// must get the next free slot: it waits for at most one running request.
fn check_flood(queue: &mut impl SchedulingQueue, case: FloodCase) -> Result<(), String> {
    let mut rng = seeded_rng(case.seed);
    let now = Timestamp::from_millis(1);
    let backlog = 10 * case.batch as usize;
    let mut running: Vec<(Ticket, u64)> = Vec::new();
    let mut flood: Vec<(Ticket, u64)> = Vec::new();
    let mut refill =
        |queue: &mut dyn SchedulingQueue, flood: &mut Vec<(Ticket, u64)>, count: usize| {
            for _ in 0..count {
                let cost = rng.random_range(50..2_000);
                flood.push((queue.push("flood", case.flood_weight, cost, now), cost));
            }
        };
    refill(queue, &mut flood, backlog);
    for round in 0..case.small_requests {
        // The large customer runs alone first, so that its start tags advance far.
        for _ in 0..200 {
            while let Some(ticket) = queue.start(now) {
                let at = flood.iter().position(|(t, _)| *t == ticket).unwrap();
                running.push(flood.swap_remove(at));
                refill(queue, &mut flood, 1);
            }
            let (ticket, cost) = running.remove(0);
            queue.settle(ticket, cost * case.flood_used_percent / 100);
        }
        while let Some(ticket) = queue.start(now) {
            let at = flood.iter().position(|(t, _)| *t == ticket).unwrap();
            running.push(flood.swap_remove(at));
        }
        // A new customer each round: a recently served one may still have a start tag ahead of the
        // virtual time.
        let small = queue.push(&format!("small{round}"), 1, 10, now);
        let (ticket, cost) = running.remove(0);
        queue.settle(ticket, cost * case.flood_used_percent / 100);
        if queue.start(now) != Some(small) {
            return Err(format!("round {round}: a request of the large customer started first"));
        }
        queue.settle(small, 10);
        refill(queue, &mut flood, 1);
    }
    Ok(())
}

fn flood_case() -> impl Strategy<Value = FloodCase> {
    (1..9_u32, 1..4_u32, 0..=100_u64, any::<u64>()).prop_map(
        |(batch, flood_weight, flood_used_percent, seed)| FloodCase {
            batch,
            flood_weight,
            flood_used_percent,
            small_requests: 4,
            seed,
        },
    )
}

/// Guards against a small customer's request that waits behind a large customer's backlog or
/// refunds.
#[test]
fn small_customer_starts_next_behind_a_flood() {
    TestRunner::new(fixed_seed())
        .run(&flood_case(), |case| {
            check_flood(&mut fair_queue(case.batch), case).map_err(TestCaseError::fail)
        })
        .unwrap();
}

/// Verifies that the delay check rejects a first-in, first-out queue.
#[test]
fn flood_check_rejects_first_in_first_out() {
    let case = FloodCase {
        batch: 4,
        flood_weight: 1,
        flood_used_percent: 100,
        small_requests: 1,
        seed: 7,
    };
    assert!(check_flood(&mut fifo_queue(case.batch), case).is_err());
}

#[derive(Clone, Debug)]
struct ShareCase {
    batch: u32,
    weights: Vec<u32>,
    /// Largest request cost of each customer.
    max_costs: Vec<u64>,
    starts: usize,
    seed: u64,
}

/// Checks shares among customers that always have a backlog: over any interval of starts, the
/// tokens of two customers, divided by their weights, differ by at most the largest request of
/// each.
fn check_shares(queue: &mut impl SchedulingQueue, case: &ShareCase) -> Result<(), String> {
    let mut rng = seeded_rng(case.seed);
    let now = Timestamp::from_millis(1);
    let count = case.weights.len();
    let mut waiting: Vec<(Ticket, usize, u64)> = Vec::new();
    let mut push = |queue: &mut dyn SchedulingQueue,
                    waiting: &mut Vec<(Ticket, usize, u64)>,
                    customer: usize| {
        let cost = rng.random_range(1..=case.max_costs[customer]);
        let ticket = queue.push(&format!("c{customer}"), case.weights[customer], cost, now);
        waiting.push((ticket, customer, cost));
    };
    for customer in 0..count {
        for _ in 0..5 {
            push(queue, &mut waiting, customer);
        }
    }
    let mut running = VecDeque::new();
    // Tokens served to each customer after each start.
    let mut history: Vec<Vec<u64>> = vec![vec![0; count]];
    while history.len() <= case.starts {
        match queue.start(now) {
            Some(ticket) => {
                let at = waiting.iter().position(|(t, ..)| *t == ticket).unwrap();
                let (_, customer, cost) = waiting.swap_remove(at);
                push(queue, &mut waiting, customer);
                running.push_back((ticket, cost));
                let mut served = history.last().unwrap().clone();
                served[customer] += cost;
                history.push(served);
            }
            None => {
                let (ticket, cost) = running.pop_front().unwrap();
                queue.settle(ticket, cost);
            }
        }
    }
    for a in 0..count {
        for b in a + 1..count {
            let share = |customer: usize, at: usize| {
                history[at][customer] as f64 / f64::from(case.weights[customer])
            };
            let bound = case.max_costs[a] as f64 / f64::from(case.weights[a])
                + case.max_costs[b] as f64 / f64::from(case.weights[b]);
            // The largest difference over all intervals is that between the extremes of the gap.
            let gaps: Vec<f64> = (0..history.len()).map(|at| share(a, at) - share(b, at)).collect();
            let widest = gaps.iter().copied().fold(f64::MIN, f64::max)
                - gaps.iter().copied().fold(f64::MAX, f64::min);
            // Start tags are rounded to 1/1,024 token.
            if widest > bound + 1.0 {
                return Err(format!("customers {a} and {b}: {widest} tokens apart, bound {bound}"));
            }
        }
    }
    Ok(())
}

fn share_case() -> impl Strategy<Value = ShareCase> {
    (2..5_usize).prop_flat_map(|count| {
        let weights = proptest::collection::vec(1..8_u32, count);
        let max_costs = proptest::collection::vec(1..3_000_u64, count);
        (1..9_u32, weights, max_costs, any::<u64>()).prop_map(
            |(batch, weights, max_costs, seed)| ShareCase {
                batch,
                weights,
                max_costs,
                starts: 300,
                seed,
            },
        )
    })
}

/// Guards against shares that depend on request counts, sizes or arrival order instead of weights.
#[test]
fn backlogged_customers_share_tokens_by_weight() {
    TestRunner::new(fixed_seed())
        .run(&share_case(), |case| {
            check_shares(&mut fair_queue(case.batch), &case).map_err(TestCaseError::fail)
        })
        .unwrap();
}

/// Verifies that the share check rejects a first-in, first-out queue.
#[test]
fn share_check_rejects_first_in_first_out() {
    let case = ShareCase {
        batch: 2,
        weights: vec![1, 4],
        max_costs: vec![2_000, 100],
        starts: 300,
        seed: 7,
    };
    assert!(check_shares(&mut fifo_queue(case.batch), &case).is_err());
}

/// Guards against a customer that is charged for reserved tokens it did not use.
#[test]
fn refund_restores_the_share_of_a_customer_that_reserves_too_much() {
    let now = Timestamp::from_millis(1);
    for batch in [1, 2, 3, 8, 16] {
        let mut queue = fair_queue(batch);
        let mut used = [0_u64; 2];
        let mut tickets = Vec::new();
        for _ in 0..4_000 {
            tickets.push((SchedulingQueue::push(&mut queue, "modest", 1, 100, now), 0, 100));
            tickets.push((SchedulingQueue::push(&mut queue, "greedy", 1, 1_000, now), 1, 100));
        }
        let mut running = VecDeque::new();
        for _ in 0..4_000 {
            while let Some(ticket) = queue.start(now) {
                running.push_back(ticket);
            }
            let ticket = running.pop_front().unwrap();
            let (_, customer, tokens) = *tickets.iter().find(|(t, ..)| *t == ticket).unwrap();
            used[customer] += tokens;
            SchedulingQueue::settle(&mut queue, ticket, tokens);
        }
        let gap = used[0].abs_diff(used[1]);
        let bound = u64::from(batch) * 1_000 + 100;
        assert!(
            gap <= bound,
            "batch {batch}: tokens used differ by more than those in flight: {used:?}"
        );
    }
}
