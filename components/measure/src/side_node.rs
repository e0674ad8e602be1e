//! A side process with its engine, without sockets.

use std::time::Duration;

use base::{Incarnation, Offset, ProcessId, ProcessName, SortedMap, Timestamp, Tokens};
use compact_str::CompactString;
use config::{FleetConfig, Target};
use placement::{
    AllocationState, DemandRate, EngineCopy, EngineCopyState, EngineState, Item, MemoryLedger,
    MemoryLedgerSettings, Order,
};
use queue::{FairQueue, QueueLimits, QueueRequest, Ticket};
use wire::{CopyState, Heartbeat, LogView, ModelCopy, TargetKind, TargetReport};

use crate::engine::FakeEngine;
use crate::{Arrival, Policy};

/// Longest wait in a queue.
const QUEUE_DEADLINE: Duration = Duration::from_secs(20);
/// Window of the demand that decides evictions, in milliseconds.
const DEMAND_WINDOW_MS: u64 = 120_000;

/// A request at the side process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    pub(crate) request: usize,
    pub(crate) prompt: Tokens,
    pub(crate) output: Tokens,
}

/// Core state of one side process and its fake engine.
#[derive(Clone, Debug)]
pub(crate) struct SideNode {
    pub(crate) id: ProcessId,
    pub(crate) target: Target,
    service: CompactString,
    region: CompactString,
    pub(crate) alive: bool,
    pub(crate) queue: FairQueue,
    pub(crate) ledger: MemoryLedger,
    pub(crate) engine: FakeEngine,
    pub(crate) epoch: u64,
    pub(crate) tickets: SortedMap<Ticket, Waiting>,
    /// Items that queued requests wait for, oldest first.
    pub(crate) needs: Vec<(Ticket, Item)>,
    pub(crate) items: SortedMap<Ticket, Vec<Item>>,
    pub(crate) demand: SortedMap<CompactString, DemandRate>,
    first_come_first_served: bool,
    /// Whether an event to look for an order again is on the agenda.
    pub(crate) order_retry_scheduled: bool,
}

impl SideNode {
    /// A side process past its quarantine whose engine holds `models`.
    pub(crate) fn new(
        target: &Target,
        service: &CompactString,
        config: &FleetConfig,
        models: &[usize],
        policy: Policy,
    ) -> Self {
        let start = Timestamp::default();
        let settings = MemoryLedgerSettings {
            capacity_mb: target.memory_mb,
            order_lifetime: Duration::ZERO,
            ..MemoryLedgerSettings::default()
        };
        let mut ledger = MemoryLedger::new(settings, start);
        let mut copies: Vec<EngineCopy> = models
            .iter()
            .map(|at| EngineCopy {
                model: config.models[*at].name.clone(),
                version: config.models[*at].version.clone(),
                state: EngineCopyState::Resident,
            })
            .collect();
        copies.sort_by(|a, b| a.model.cmp(&b.model));
        let used_mb = models.iter().map(|at| config.models[*at].memory_mb).sum();
        let state = EngineState {
            capacity_mb: target.memory_mb,
            used_mb,
            models: copies,
            ..EngineState::default()
        };
        ledger.quarantine_mut().set_fencing(Offset(1));
        ledger.quarantine_mut().acknowledge_fence(Offset(1));
        for at in 1..=2 {
            let asked = Timestamp::from_micros(at);
            ledger.observe(&state, asked, asked, |item| describe(config, item));
        }
        let limits = QueueLimits {
            max_in_flight: target.batch,
            tokens_per_s: target.tokens_per_s,
            ..QueueLimits::default()
        };
        let name = ProcessName::new(&format!("side-{}", target.name));
        Self {
            id: ProcessId { name, incarnation: Incarnation(1) },
            region: CompactString::new(config.region_of(&target.data_centre).unwrap_or_default()),
            service: service.clone(),
            target: target.clone(),
            alive: true,
            queue: FairQueue::new(limits),
            ledger,
            engine: FakeEngine::new(target.batch, target.tokens_per_s),
            epoch: 0,
            tickets: SortedMap::new(),
            needs: Vec::new(),
            items: SortedMap::new(),
            demand: SortedMap::new(),
            first_come_first_served: policy == Policy::FirstComeFirstServed,
            order_retry_scheduled: false,
        }
    }

    /// Queues a request; returns false if it is refused.
    pub(crate) fn push(
        &mut self,
        config: &FleetConfig,
        arrival: &Arrival,
        waiting: Waiting,
        now: Timestamp,
    ) -> bool {
        let model = &config.model(arrival.model).name;
        let mut items = vec![Item::Model(model.clone())];
        items.extend(arrival.adapter.map(|id| Item::Adapter(config.adapter(id).name.clone())));
        let missing: Vec<Item> =
            items.iter().filter(|item| !self.ledger.is_resident(item)).cloned().collect();
        let customer = config.customer(arrival.customer);
        let shared = self.first_come_first_served;
        let request = QueueRequest {
            customer: if shared { "all".into() } else { customer.name.clone() },
            weight: if shared { 1 } else { customer.weight },
            cost: arrival.reserved(),
            priority: 0,
            deadline: now + QUEUE_DEADLINE,
            ready: missing.is_empty(),
        };
        let Ok(ticket) = self.queue.push(request, now) else { return false };
        self.demand
            .get_or_insert_with(model.clone(), || DemandRate::new(DEMAND_WINDOW_MS, now))
            .add(arrival.used().0, now);
        self.tickets.insert(ticket, waiting);
        for item in &items {
            self.ledger.acquire(item, now);
        }
        self.items.insert(ticket, items);
        self.needs.extend(missing.into_iter().map(|item| (ticket, item)));
        true
    }

    /// Fills the batch; returns whether the engine was idle and must step now.
    pub(crate) fn fill_batch(&mut self, now: Timestamp) -> bool {
        let was_idle = self.engine.is_idle();
        while let Some(started) = self.queue.start_next(now) {
            if let Some(waiting) = self.tickets.get(&started.ticket) {
                let number = usize::try_from(started.ticket.0).unwrap_or(usize::MAX);
                self.engine.start(number, waiting.prompt, waiting.output);
            }
        }
        was_idle && !self.engine.is_idle()
    }

    /// Ends a request that ran.
    pub(crate) fn finish(
        &mut self,
        ticket: Ticket,
        used: Tokens,
        now: Timestamp,
    ) -> Option<Waiting> {
        self.queue.settle(ticket, used);
        self.forget(ticket, now)
    }

    /// Drops queued requests past their deadline and returns them.
    pub(crate) fn expire(&mut self, now: Timestamp) -> Vec<usize> {
        let expired = self.queue.expire(now);
        expired.into_iter().filter_map(|t| self.forget(t, now)).map(|w| w.request).collect()
    }

    /// Drops the bookkeeping of a request.
    pub(crate) fn forget(&mut self, ticket: Ticket, now: Timestamp) -> Option<Waiting> {
        self.needs.retain(|(waiting, _)| *waiting != ticket);
        for item in self.items.remove(&ticket).unwrap_or_default() {
            self.ledger.release(&item, now);
        }
        self.tickets.remove(&ticket)
    }

    /// Lets requests start whose items are all resident.
    pub(crate) fn item_loaded(&mut self, item: &Item) {
        self.needs.retain(|(_, needed)| needed != item);
        let ready: Vec<Ticket> = self
            .items
            .iter()
            .filter(|(_, items)| {
                items.contains(item) && items.iter().all(|i| self.ledger.is_resident(i))
            })
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in ready {
            self.queue.set_ready(ticket);
        }
    }

    /// Notes that an item went: requests that wait for it need it again.
    pub(crate) fn item_gone(&mut self, item: &Item) {
        let waiting: Vec<Ticket> = self
            .items
            .iter()
            .filter(|(_, items)| items.contains(item))
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in waiting {
            self.queue.hold(ticket);
            self.needs.push((ticket, item.clone()));
        }
    }

    /// Demand for an item in tokens a second.
    pub(crate) fn demand_of(&self, item: &Item, now: Timestamp) -> u64 {
        self.demand.get(item.name()).map_or(0, |rate| rate.tokens_per_s(now))
    }

    /// The order that is outstanding.
    pub(crate) fn outstanding(&self) -> Option<&Order> {
        self.ledger.outstanding()
    }

    pub(crate) fn heartbeat(&self, address: std::net::SocketAddr) -> Heartbeat {
        let models = self.ledger.allocations().filter_map(|(item, allocation)| {
            let Item::Model(model) = item else { return None };
            let state = match allocation.state {
                AllocationState::Loading => CopyState::Loading,
                AllocationState::Resident => CopyState::Resident,
                AllocationState::Uncertain | AllocationState::Unloading => CopyState::Unloading,
            };
            Some(ModelCopy { model: model.clone(), state })
        });
        let adapters = self.ledger.allocations().filter_map(|(item, allocation)| match item {
            Item::Adapter(name) if allocation.state == AllocationState::Resident => {
                Some(name.clone())
            }
            Item::Adapter(_) | Item::Model(_) => None,
        });
        let report = TargetReport {
            target: self.target.name.clone(),
            service: self.service.clone(),
            kind: TargetKind::Engine,
            healthy: true,
            quarantined: false,
            models: models.collect(),
            adapters: adapters.collect(),
            capacity_mb: self.ledger.capacity_mb(),
            used_mb: self.ledger.used_mb(),
            queued_tokens: self.queue.queued_tokens().0,
            running: u32::try_from(self.engine.running()).unwrap_or(u32::MAX),
            batch: self.target.batch,
            tokens_per_s: self.target.tokens_per_s,
            sample_age_ms: 0,
        };
        Heartbeat {
            from: self.id.clone(),
            role: base::Role::Side,
            region: self.region.clone(),
            data_centre: self.target.data_centre.clone(),
            address,
            config_offset: Offset(1),
            log: LogView::default(),
            draining: false,
            target: Some(report),
            demand: Vec::new(),
        }
    }
}

/// Memory and base model of an item.
pub(crate) fn describe(config: &FleetConfig, item: &Item) -> Option<(u64, Option<CompactString>)> {
    match item {
        Item::Model(name) => config.model_id(name).map(|id| (config.model(id).memory_mb, None)),
        Item::Adapter(name) => config.adapter_id(name).map(|id| {
            let adapter = config.adapter(id);
            (adapter.memory_mb, Some(config.model(adapter.model).name.clone()))
        }),
    }
}
