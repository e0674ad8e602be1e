//! Start-time fair queueing.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::Duration;

use base::{SortedMap, Timestamp, Tokens};
use compact_str::CompactString;

use crate::customer::{CustomerQueue, ReadyEntry, virtual_cost};
use crate::{QueueLimits, QueueRefusal, QueueRequest, Started, Ticket};

/// Weight of the newest sample in the moving average of used to reserved tokens, as a shift: 1/16.
const USED_RATIO_SHIFT: u32 = 4;
/// Fixed-point representation of a used-to-reserved ratio of 1.
const USED_RATIO_ONE: u64 = 1 << 10;
/// Lower bound of the retry delay returned with a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

#[derive(Clone, Debug)]
struct Waiting {
    request: QueueRequest,
    queued_at: Timestamp,
}

#[derive(Clone, Debug)]
struct Running {
    customer: CompactString,
    cost: Tokens,
}

/// Bounded start-time fair queue over customers; limits the number of requests in flight.
#[derive(Clone, Debug)]
pub struct FairQueue {
    limits: QueueLimits,
    next_ticket: u64,
    /// Largest start tag of any started request.
    virtual_time: u64,
    /// Number of requests started.
    starts: u64,
    customers: SortedMap<CompactString, CustomerQueue>,
    waiting: SortedMap<Ticket, Waiting>,
    running: SortedMap<Ticket, Running>,
    deadlines: BTreeSet<(Timestamp, Ticket)>,
    queued_tokens: Tokens,
    running_tokens: Tokens,
    /// Moving average of used to reserved tokens, in units of 1/`USED_RATIO_ONE`.
    used_ratio: u64,
}

impl FairQueue {
    /// Creates an empty queue.
    pub const fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            next_ticket: 0,
            virtual_time: 0,
            starts: 0,
            customers: SortedMap::new(),
            waiting: SortedMap::new(),
            running: SortedMap::new(),
            deadlines: BTreeSet::new(),
            queued_tokens: Tokens::ZERO,
            running_tokens: Tokens::ZERO,
            used_ratio: USED_RATIO_ONE,
        }
    }

    /// Replaces the limits; requests that are already queued stay queued.
    pub const fn set_limits(&mut self, limits: QueueLimits) {
        self.limits = limits;
    }

    /// Returns the current limits.
    pub const fn limits(&self) -> &QueueLimits {
        &self.limits
    }

    /// Queues a request, or refuses it immediately.
    ///
    /// # Errors
    ///
    /// Returns `Full` if the customer's limits would be exceeded, and `DeadlineTooShort` if the
    /// estimated wait reaches the deadline.
    pub fn push(&mut self, request: QueueRequest, now: Timestamp) -> Result<Ticket, QueueRefusal> {
        let wait = self.estimated_wait(&request.customer, request.weight, request.cost);
        let (queued_tokens, queued_requests) = self
            .customers
            .get(&request.customer)
            .map_or((Tokens::ZERO, 0), |c| (c.queued_tokens, c.queued_requests));
        let too_many_tokens =
            queued_requests > 0 && queued_tokens + request.cost > self.limits.max_customer_tokens;
        if too_many_tokens || queued_requests >= self.limits.max_customer_requests {
            return Err(QueueRefusal::Full { retry_after: wait.max(MIN_RETRY_AFTER) });
        }
        if now + wait >= request.deadline {
            return Err(QueueRefusal::DeadlineTooShort { wait });
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        // A refund can move a waiting customer's start tag below the virtual time. A new customer
        // that started at the virtual time would wait until the whole refund was used up.
        let floor = self.min_start_tag(&request.customer);
        let customer = self.customers.get_or_insert_with(request.customer.clone(), || {
            CustomerQueue { start_tag: floor, ..CustomerQueue::default() }
        });
        if customer.ready.is_empty() {
            customer.start_tag = customer.start_tag.max(floor);
        }
        customer.weight = request.weight.max(1);
        customer.queued_tokens += request.cost;
        customer.queued_requests += 1;
        if request.ready {
            customer.add_ready(ready_entry(ticket, &request));
        }
        self.queued_tokens += request.cost;
        self.deadlines.insert((request.deadline, ticket));
        self.waiting.insert(ticket, Waiting { request, queued_at: now });
        Ok(ticket)
    }

    /// Returns the smallest start tag of the waiting customers other than `except`, at most the
    /// virtual time.
    fn min_start_tag(&self, except: &str) -> u64 {
        self.customers
            .iter()
            .filter(|(name, customer)| name.as_str() != except && !customer.ready.is_empty())
            .map(|(_, customer)| customer.start_tag)
            .fold(self.virtual_time, u64::min)
    }

    /// Marks a queued request as ready to start.
    pub fn set_ready(&mut self, ticket: Ticket) {
        let Some(waiting) = self.waiting.get(&ticket) else { return };
        if waiting.request.ready {
            return;
        }
        let floor = self.min_start_tag(&waiting.request.customer);
        let Some(waiting) = self.waiting.get_mut(&ticket) else { return };
        waiting.request.ready = true;
        let entry = ready_entry(ticket, &waiting.request);
        if let Some(customer) = self.customers.get_mut(&waiting.request.customer) {
            if customer.ready.is_empty() {
                customer.start_tag = customer.start_tag.max(floor);
            }
            customer.add_ready(entry);
        }
    }

    /// Holds a queued request back until [`FairQueue::set_ready`], for example after its model was
    /// unloaded.
    pub fn hold(&mut self, ticket: Ticket) {
        let Some(waiting) = self.waiting.get_mut(&ticket) else { return };
        if !waiting.request.ready {
            return;
        }
        waiting.request.ready = false;
        let entry = ready_entry(ticket, &waiting.request);
        if let Some(customer) = self.customers.get_mut(&waiting.request.customer) {
            customer.remove_ready(entry);
        }
    }

    /// Starts the next request if a slot is free, and charges its reserved cost to its customer.
    ///
    /// Requests past their deadline are skipped; [`FairQueue::expire`] removes them.
    pub fn start_next(&mut self, now: Timestamp) -> Option<Started> {
        if self.running.len() >= self.limits.max_in_flight as usize {
            return None;
        }
        // Equal start tags are ordered by the customer's last start, oldest first, so that a new
        // customer does not wait for the others.
        let (start_tag, _, ticket) = self
            .customers
            .values()
            .filter_map(|c| {
                c.first_ready(now).map(|ready| (c.start_tag, c.last_start_number, ready.ticket.0))
            })
            .min()?;
        let waiting = self.remove_waiting(ticket)?;
        self.virtual_time = self.virtual_time.max(start_tag);
        let cost = waiting.request.cost;
        let Some(customer) = self.customers.get_mut(&waiting.request.customer) else {
            unreachable!("a customer with queued requests is never removed");
        };
        customer.charge(virtual_cost(cost, customer.weight));
        self.starts += 1;
        customer.last_start_number = self.starts;
        customer.running += 1;
        self.running_tokens += cost;
        self.running.insert(ticket, Running { customer: waiting.request.customer, cost });
        Some(Started { ticket, waited: now.since(waiting.queued_at) })
    }

    /// Ends a running request and adjusts its customer's charge to the tokens actually used.
    ///
    /// Returns whether the request was running.
    pub fn settle(&mut self, ticket: Ticket, used: Tokens) -> bool {
        let Some(running) = self.running.remove(&ticket) else { return false };
        self.running_tokens -= running.cost;
        if running.cost > Tokens::ZERO {
            let ratio =
                (used.0.saturating_mul(USED_RATIO_ONE) / running.cost.0).min(USED_RATIO_ONE);
            self.used_ratio = self.used_ratio - (self.used_ratio >> USED_RATIO_SHIFT)
                + (ratio >> USED_RATIO_SHIFT);
        }
        let floor = self.min_start_tag(&running.customer);
        if let Some(customer) = self.customers.get_mut(&running.customer) {
            customer.running -= 1;
            let reserved = virtual_cost(running.cost, customer.weight);
            let actual = virtual_cost(used, customer.weight);
            if actual > reserved {
                customer.charge(actual - reserved);
            } else {
                customer.refund(reserved - actual, floor);
            }
        }
        self.remove_idle_customers();
        true
    }

    /// Removes a queued request whose caller cancelled it; returns whether it was queued.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let removed = self.remove_waiting(ticket).is_some();
        self.remove_idle_customers();
        removed
    }

    /// Removes and returns all queued requests whose deadline has passed, earliest deadline first.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Ticket> {
        let mut expired = Vec::new();
        while let Some(&(deadline, ticket)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            self.cancel(ticket);
            expired.push(ticket);
        }
        expired
    }

    /// Returns the earliest deadline of the queued requests.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Estimates the wait of a new request of `customer`.
    ///
    /// The work ahead of it is bounded by all queued tokens and by what the other customers may use
    /// while this one receives its share. Reserved tokens are scaled by the average ratio of used
    /// to reserved tokens.
    pub fn estimated_wait(&self, customer: &str, weight: u32, cost: Tokens) -> Duration {
        let free = self.running.len() < self.limits.max_in_flight as usize;
        if self.limits.tokens_per_s == 0 || (free && self.queued_tokens == Tokens::ZERO) {
            return Duration::ZERO;
        }
        let weight = u64::from(weight.max(1));
        let own = self.customers.get(customer).map_or(0, |c| c.queued_tokens.0);
        let weights: u64 = self
            .customers
            .iter()
            .filter(|(name, c)| name.as_str() != customer && !c.ready.is_empty())
            .map(|(_, c)| u64::from(c.weight))
            .sum();
        let others = self.queued_tokens.0 - own;
        let share = (own + cost.0).saturating_mul(weights) / weight;
        let slot = self.running_tokens.0 / u64::from(self.limits.max_in_flight.max(1));
        let ahead = own + others.min(share) + if free { 0 } else { slot };
        let used = u128::from(ahead) * u128::from(self.used_ratio) / u128::from(USED_RATIO_ONE);
        let micros = used * 1_000_000 / u128::from(self.limits.tokens_per_s);
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Returns the reserved tokens of the queued requests.
    pub const fn queued_tokens(&self) -> Tokens {
        self.queued_tokens
    }

    /// Returns the reserved tokens of one customer's queued requests.
    pub fn queued_tokens_of(&self, customer: &str) -> Tokens {
        self.customers.get(customer).map_or(Tokens::ZERO, |c| c.queued_tokens)
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of requests in flight.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    fn remove_waiting(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        let request = &waiting.request;
        self.deadlines.remove(&(request.deadline, ticket));
        self.queued_tokens -= request.cost;
        if let Some(customer) = self.customers.get_mut(&request.customer) {
            customer.queued_tokens -= request.cost;
            customer.queued_requests -= 1;
            customer.remove_ready(ready_entry(ticket, request));
        }
        Some(waiting)
    }

    fn remove_idle_customers(&mut self) {
        let virtual_time = self.virtual_time;
        // A customer whose start tag is ahead of the virtual time has used more than its share, so
        // its state is kept: removing it would reset the tag.
        self.customers.retain(|_, c| !c.is_idle() || c.start_tag > virtual_time);
    }
}

const fn ready_entry(ticket: Ticket, request: &QueueRequest) -> ReadyEntry {
    ReadyEntry { priority: request.priority, ticket: Reverse(ticket), deadline: request.deadline }
}
