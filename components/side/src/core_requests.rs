//! Requests: admission, start and end.

use std::time::Duration;

use base::{Timestamp, Tokens};
use compact_str::CompactString;
use config::ServiceKind;
use placement::{DemandRate, Item};
use queue::{QueueRefusal, QueueRequest, Ticket};
use wire::{ForwardHead, GenerateRequest, RefuseReason};

use crate::action::Action;
use crate::clock::to_millis;
use crate::core::{Core, RequestState};

/// Window of the demand rates that eviction decisions use.
const DEMAND_WINDOW_MS: u64 = 60_000;
/// Retry delay after a refusal for a temporary reason, in milliseconds.
const RETRY_AFTER_MS: u32 = 500;

/// Reason for which a request was not admitted, and the delay before a retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Refusal {
    pub reason: RefuseReason,
    pub retry_after_ms: Option<u32>,
}

impl Refusal {
    const fn new(reason: RefuseReason) -> Self {
        Self { reason, retry_after_ms: None }
    }

    const fn temporary(reason: RefuseReason) -> Self {
        Self { reason, retry_after_ms: Some(RETRY_AFTER_MS) }
    }
}

impl From<QueueRefusal> for Refusal {
    fn from(refusal: QueueRefusal) -> Self {
        match refusal {
            QueueRefusal::DeadlineTooShort { wait } => Self {
                reason: RefuseReason::DeadlineTooShort,
                retry_after_ms: Some(to_millis(wait)),
            },
            QueueRefusal::Full { retry_after } => Self {
                reason: RefuseReason::QueueFull,
                retry_after_ms: Some(to_millis(retry_after)),
            },
        }
    }
}

impl Core {
    /// Queues a generation or refuses it.
    pub fn admit_generation(
        &mut self,
        request: &GenerateRequest,
        now: Timestamp,
    ) -> Result<Ticket, Refusal> {
        self.check_open(ServiceKind::Engine)?;
        let unknown = Refusal::new(RefuseReason::Unknown);
        let weight = self.weight_of(&request.customer).ok_or(unknown)?;
        let model_id = self.config.model_id(&request.model).ok_or(unknown)?;
        let model = self.config.model(model_id);
        if self
            .target_config
            .as_ref()
            .is_none_or(|target_config| target_config.service != model.service)
        {
            return Err(unknown);
        }
        if let Some(adapter) = &request.adapter {
            let id = self.config.adapter_id(adapter).ok_or(unknown)?;
            if self.config.adapter(id).model != model_id {
                return Err(unknown);
            }
        }
        let state = RequestState {
            model: Some(Item::Model(request.model.clone())),
            adapter: request.adapter.clone().map(Item::Adapter),
            customer: request.customer.clone(),
            running: false,
            ready: false,
        };
        let ready = state.items().all(|item| self.is_usable(item));
        let fits = model.memory_mb <= self.ledger.capacity_mb();
        if !ready && (self.quarantined() || !fits) {
            return Err(Refusal::temporary(RefuseReason::NoCapacity));
        }
        let cost = Tokens(request.prompt_tokens.saturating_add(request.max_output_tokens));
        let ticket = self.queue.push(
            QueueRequest {
                customer: request.customer.clone(),
                weight,
                cost,
                priority: request.priority,
                deadline: now + Duration::from_millis(u64::from(request.deadline_ms)),
                ready,
            },
            now,
        )?;
        for item in state.items() {
            self.demand
                .get_or_insert_with(item.name().clone(), || DemandRate::new(DEMAND_WINDOW_MS, now))
                .add(cost.0, now);
        }
        self.requests.insert(ticket, RequestState { ready, ..state });
        self.drive(now);
        Ok(ticket)
    }

    /// Queues a call to the plain service or refuses it.
    pub fn admit_forward(&mut self, head: &ForwardHead, now: Timestamp) -> Result<Ticket, Refusal> {
        self.check_open(ServiceKind::Plain)?;
        let unknown = Refusal::new(RefuseReason::Unknown);
        let route = self.config.route_id(&head.route).ok_or(unknown)?;
        let service = self.config.route(route).service;
        if self.target_config.as_ref().is_none_or(|target_config| target_config.service != service)
        {
            return Err(unknown);
        }
        // Calls without a customer share one queue of weight 1.
        let customer = head.customer.clone().unwrap_or_default();
        let weight = match &head.customer {
            Some(name) => self.weight_of(name).ok_or(unknown)?,
            None => 1,
        };
        let ticket = self.queue.push(
            QueueRequest {
                customer: customer.clone(),
                weight,
                cost: Tokens(1),
                priority: 0,
                deadline: now + Duration::from_millis(u64::from(head.deadline_ms)),
                ready: true,
            },
            now,
        )?;
        self.requests
            .insert(ticket, RequestState { customer, ready: true, ..RequestState::default() });
        self.drive(now);
        Ok(ticket)
    }

    fn check_open(&self, kind: ServiceKind) -> Result<(), Refusal> {
        if self.draining {
            return Err(Refusal::temporary(RefuseReason::Draining));
        }
        match &self.target_config {
            Some(target_config) if target_config.kind == kind => {}
            _ => return Err(Refusal::new(RefuseReason::Unknown)),
        }
        if self.healthy { Ok(()) } else { Err(Refusal::temporary(RefuseReason::TargetUnhealthy)) }
    }

    fn weight_of(&self, customer: &str) -> Option<u32> {
        self.config.customer_id(customer).map(|id| self.config.customer(id).weight)
    }

    /// Ends a request that its caller cancelled while it was queued.
    ///
    /// It may have been started at the same time; its task has ended, so nothing of it runs.
    pub fn cancelled(&mut self, ticket: Ticket, now: Timestamp) {
        if self.queue.cancel(ticket) {
            self.requests.remove(&ticket);
            self.drive(now);
        } else {
            self.settled(ticket, Tokens::ZERO, now);
        }
    }

    /// Ends a running request and releases its items.
    pub fn settled(&mut self, ticket: Ticket, used: Tokens, now: Timestamp) {
        if self.queue.settle(ticket, used)
            && let Some(state) = self.requests.remove(&ticket)
        {
            for item in state.items() {
                self.ledger.release(item, now);
            }
        }
        self.drive(now);
    }

    /// Whether new requests may use an item.
    fn is_usable(&self, item: &Item) -> bool {
        self.ledger.is_resident(item) && self.retiring.as_ref() != Some(item)
    }

    /// Updates which queued requests can start with the items that are resident now.
    pub fn refresh_ready(&mut self) {
        let (ledger, retiring) = (&self.ledger, &self.retiring);
        for (ticket, state) in self.requests.iter_mut().filter(|(_, state)| !state.running) {
            let ready = state
                .items()
                .all(|item| ledger.is_resident(item) && retiring.as_ref() != Some(item));
            if ready != state.ready {
                state.ready = ready;
                if ready {
                    self.queue.set_ready(*ticket);
                } else {
                    self.queue.hold(*ticket);
                }
            }
        }
    }

    /// Refuses expired requests and starts those that can run.
    pub(crate) fn drive_queue(&mut self, now: Timestamp) {
        for ticket in self.queue.expire(now) {
            self.requests.remove(&ticket);
            self.actions.push(Action::Refuse {
                ticket,
                reason: RefuseReason::DeadlineTooShort,
                retry_after_ms: Some(RETRY_AFTER_MS),
            });
        }
        while self.healthy
            && let Some(started) = self.queue.start_next(now)
        {
            if let Some(state) = self.requests.get_mut(&started.ticket) {
                state.running = true;
                for item in state.items() {
                    self.ledger.acquire(item, now);
                }
            }
            self.actions.push(Action::Start { ticket: started.ticket, waited: started.waited });
        }
    }

    /// Refuses all queued requests, for example at the start of a drain.
    pub fn refuse_queued(&mut self, reason: RefuseReason) {
        let queued: Vec<Ticket> = self
            .requests
            .iter()
            .filter(|(_, state)| !state.running)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in queued {
            self.queue.cancel(ticket);
            self.requests.remove(&ticket);
            self.actions.push(Action::Refuse {
                ticket,
                reason,
                retry_after_ms: Some(RETRY_AFTER_MS),
            });
        }
    }

    /// Whether a queued request needs an item.
    pub fn has_queued_request(&self, item: &Item) -> bool {
        self.requests.values().any(|state| !state.running && state.items().any(|used| used == item))
    }

    /// Items that queued requests wait for, with the customer, in order of arrival; a model comes
    /// before its adapter.
    pub fn missing_items(&self) -> Vec<(Item, CompactString)> {
        let mut missing: Vec<(Item, CompactString)> = Vec::new();
        for state in self.requests.values().filter(|state| !state.running && !state.ready) {
            if let Some(item) = state.items().find(|item| !self.ledger.is_resident(item))
                && !missing.iter().any(|(other, _)| other == item)
            {
                missing.push((item.clone(), state.customer.clone()));
            }
        }
        missing
    }
}
