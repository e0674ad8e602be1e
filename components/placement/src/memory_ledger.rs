//! The memory ledger of one target.

use std::time::Duration;

use base::{SortedMap, Timestamp};
use compact_str::CompactString;

use crate::{
    EngineCopyState, EngineState, Item, Order, OrderId, OrderKind, OrderRefusal, OrderResult,
    Quarantine,
};

/// Settings of a ledger.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemoryLedgerSettings {
    /// Memory for models and adapters by the configuration, in MB.
    pub capacity_mb: u64,
    /// Longest time that an order may be on its way.
    pub order_lifetime: Duration,
    /// Time without an answer after which an order is sent again.
    pub resend_after: Duration,
}

impl Default for MemoryLedgerSettings {
    fn default() -> Self {
        Self {
            capacity_mb: 0,
            order_lifetime: Duration::from_secs(10),
            resend_after: Duration::from_secs(2),
        }
    }
}

/// What is known about an item.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AllocationState {
    /// An order may still take effect; the memory stays reserved until a read settles it.
    Uncertain,
    /// A load order is outstanding.
    Loading,
    /// The engine serves it.
    Resident,
    /// An unload order is outstanding.
    Unloading,
}

/// An item that takes up memory, or may.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Allocation {
    /// Memory in MB.
    pub memory_mb: u64,
    /// Base model of an adapter.
    pub base_model: Option<CompactString>,
    /// Version of a model by the engine's account; none before a read shows it.
    pub version: Option<CompactString>,
    /// What is known.
    pub state: AllocationState,
    /// When a request last used it.
    pub last_used: Timestamp,
    /// Until when a late copy of its load order may still arrive.
    uncertain_until: Timestamp,
}

#[derive(Clone, Debug)]
struct OutstandingOrder {
    order: Order,
    first_sent: Timestamp,
    last_sent: Timestamp,
    sends: u32,
}

/// Memory used and reserved at one target, and the order in progress.
///
/// An order counts from before it is sent until the engine proves it undone. At most one order is
/// outstanding.
#[derive(Clone, Debug)]
pub struct MemoryLedger {
    settings: MemoryLedgerSettings,
    quarantine: Quarantine,
    engine_capacity_mb: Option<u64>,
    allocations: SortedMap<Item, Allocation>,
    /// Requests that use an item now; kept apart from the allocations, which an engine's restart ends.
    uses: SortedMap<Item, u32>,
    outstanding: Option<OutstandingOrder>,
    /// Memory that the engine reports as taken and that belongs to no known item, in MB.
    unaccounted_mb: u64,
    next_order: u64,
    /// Time of the last order or answer; older reads say nothing about the present.
    last_change: Timestamp,
}

impl MemoryLedger {
    /// The ledger of a process that starts now; it gives no order during its quarantine.
    pub fn new(settings: MemoryLedgerSettings, now: Timestamp) -> Self {
        Self {
            settings,
            quarantine: Quarantine::new(now + settings.order_lifetime),
            engine_capacity_mb: None,
            allocations: SortedMap::new(),
            uses: SortedMap::new(),
            outstanding: None,
            unaccounted_mb: 0,
            next_order: 1,
            last_change: now,
        }
    }

    /// Replaces the capacity after a configuration change.
    pub const fn set_capacity_mb(&mut self, capacity_mb: u64) {
        self.settings.capacity_mb = capacity_mb;
    }

    /// The quarantine, to pass on the fencing number and the answer to it.
    pub const fn quarantine_mut(&mut self) -> &mut Quarantine {
        &mut self.quarantine
    }

    /// The quarantine.
    pub const fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Memory for models and adapters in MB: the smaller of configuration and engine.
    pub fn capacity_mb(&self) -> u64 {
        let configured = self.settings.capacity_mb;
        self.engine_capacity_mb.map_or(configured, |engine| engine.min(configured))
    }

    /// Memory used or reserved in MB.
    pub fn used_mb(&self) -> u64 {
        self.allocations.values().map(|h| h.memory_mb).sum::<u64>() + self.unaccounted_mb
    }

    /// Memory that an order may take, in MB; none during the quarantine.
    pub fn free_mb(&self) -> u64 {
        if self.quarantine.is_over() {
            self.capacity_mb().saturating_sub(self.used_mb())
        } else {
            0
        }
    }

    /// Items with what is known about them, in order.
    pub fn allocations(&self) -> impl Iterator<Item = (&Item, &Allocation)> {
        self.allocations.iter()
    }

    /// What is known about an item.
    pub fn allocation(&self, item: &Item) -> Option<&Allocation> {
        self.allocations.get(item)
    }

    /// Whether the engine serves an item.
    pub fn is_resident(&self, item: &Item) -> bool {
        self.allocation(item).is_some_and(|h| h.state == AllocationState::Resident)
    }

    /// The outstanding order.
    pub fn outstanding(&self) -> Option<&Order> {
        self.outstanding.as_ref().map(|outstanding| &outstanding.order)
    }

    /// Notes that a request starts to use an item.
    pub fn acquire(&mut self, item: &Item, now: Timestamp) {
        *self.uses.get_or_insert_with(item.clone(), || 0) += 1;
        self.record_use(item, now);
    }

    /// Notes that a request no longer uses an item.
    pub fn release(&mut self, item: &Item, now: Timestamp) {
        if let Some(uses) = self.uses.get_mut(item) {
            *uses -= 1;
            if *uses == 0 {
                self.uses.remove(item);
            }
        }
        self.record_use(item, now);
    }

    /// Whether requests use an item now.
    pub fn in_use(&self, item: &Item) -> bool {
        self.uses.contains_key(item)
    }

    fn record_use(&mut self, item: &Item, now: Timestamp) {
        if let Some(allocation) = self.allocations.get_mut(item) {
            allocation.last_used = now;
        }
    }

    fn check_may_order(&self) -> Result<base::Offset, OrderRefusal> {
        match self.quarantine.fencing() {
            Some(fencing) if self.quarantine.is_over() && self.outstanding.is_none() => Ok(fencing),
            Some(_) if self.quarantine.is_over() => Err(OrderRefusal::Busy),
            _ => Err(OrderRefusal::Quarantined),
        }
    }

    /// Reserves memory and makes the order to load an item; the caller sends it.
    ///
    /// # Errors
    ///
    /// See [`OrderRefusal`].
    pub fn begin_load(
        &mut self,
        item: Item,
        base_model: Option<CompactString>,
        memory_mb: u64,
        now: Timestamp,
    ) -> Result<Order, OrderRefusal> {
        let fencing = self.check_may_order()?;
        if self.allocations.contains_key(&item) {
            return Err(OrderRefusal::Present);
        }
        if let Some(base) = &base_model
            && !self.is_resident(&Item::Model(base.clone()))
        {
            return Err(OrderRefusal::NotResident);
        }
        let free = self.free_mb();
        if memory_mb > free {
            return Err(OrderRefusal::NoMemory { missing_mb: memory_mb - free });
        }
        let allocation = Allocation {
            memory_mb,
            base_model: base_model.clone(),
            version: None,
            state: AllocationState::Loading,
            last_used: now,
            uncertain_until: now,
        };
        self.allocations.insert(item.clone(), allocation);
        Ok(self.start_order(OrderKind::Load, item, base_model, memory_mb, fencing, now))
    }

    /// Makes the order to unload an item; its memory stays reserved until the engine's answer.
    ///
    /// # Errors
    ///
    /// See [`OrderRefusal`].
    pub fn begin_unload(&mut self, item: &Item, now: Timestamp) -> Result<Order, OrderRefusal> {
        let fencing = self.check_may_order()?;
        if self.in_use(item) {
            return Err(OrderRefusal::InUse);
        }
        let Some(allocation) = self.allocations.get_mut(item) else {
            return Err(OrderRefusal::NotResident);
        };
        if allocation.state != AllocationState::Resident {
            return Err(OrderRefusal::NotResident);
        }
        allocation.state = AllocationState::Unloading;
        let (memory_mb, base_model) = (allocation.memory_mb, allocation.base_model.clone());
        Ok(self.start_order(OrderKind::Unload, item.clone(), base_model, memory_mb, fencing, now))
    }

    fn start_order(
        &mut self,
        kind: OrderKind,
        item: Item,
        base_model: Option<CompactString>,
        memory_mb: u64,
        fencing: base::Offset,
        now: Timestamp,
    ) -> Order {
        let id = OrderId(self.next_order);
        self.next_order += 1;
        let order = Order { id, kind, item, base_model, memory_mb, fencing };
        self.outstanding = Some(OutstandingOrder {
            order: order.clone(),
            first_sent: now,
            last_sent: now,
            sends: 1,
        });
        self.last_change = now;
        order
    }

    /// The outstanding order, to send again with the same id, if its answer is overdue.
    ///
    /// After the order's lifetime it is not sent any more; a read of the engine's state settles it.
    pub fn resend(&mut self, now: Timestamp) -> Option<Order> {
        let settings = self.settings;
        let outstanding = self.outstanding.as_mut()?;
        let overdue = now.since(outstanding.last_sent) >= settings.resend_after;
        if !overdue || now.since(outstanding.first_sent) >= settings.order_lifetime {
            return None;
        }
        outstanding.last_sent = now;
        outstanding.sends += 1;
        self.last_change = now;
        Some(outstanding.order.clone())
    }

    /// Takes the engine's answer; an answer to an order that is not outstanding is ignored.
    ///
    /// Returns whether the answer was taken.
    pub fn apply_answer(&mut self, id: OrderId, result: OrderResult, now: Timestamp) -> bool {
        let Some(outstanding) = self.outstanding.take_if(|o| o.order.id == id) else {
            return false;
        };
        self.last_change = now;
        let item = outstanding.order.item;
        let uncertain_until = if outstanding.sends > 1 {
            outstanding.last_sent + self.settings.order_lifetime
        } else {
            now
        };
        match (outstanding.order.kind, result) {
            (OrderKind::Load, OrderResult::Done) => {
                if let Some(allocation) = self.allocations.get_mut(&item) {
                    allocation.state = AllocationState::Resident;
                    allocation.uncertain_until = uncertain_until;
                    allocation.last_used = now;
                }
            }
            (OrderKind::Load, _) => {
                if let Some(allocation) = self.allocations.get_mut(&item) {
                    allocation.uncertain_until = uncertain_until;
                }
                self.remove(&item, now);
            }
            (OrderKind::Unload, OrderResult::Done) => {
                if let Some(allocation) = self.allocations.get_mut(&item) {
                    allocation.uncertain_until = allocation.uncertain_until.max(uncertain_until);
                }
                self.remove(&item, now);
            }
            // An order that was refused once may have been carried out by an earlier copy. A failure
            // may mean that the engine restarted and has no copy; without a read before the next
            // order, orders that fail at once would follow each other and no read would count.
            (OrderKind::Unload, _) => {
                if let Some(allocation) = self.allocations.get_mut(&item) {
                    let certain = outstanding.sends == 1 && result != OrderResult::Failed;
                    allocation.state = if certain {
                        AllocationState::Resident
                    } else {
                        AllocationState::Uncertain
                    };
                    allocation.uncertain_until = allocation.uncertain_until.max(uncertain_until);
                }
            }
        }
        if result == OrderResult::Fenced {
            // A larger number exists, so another incarnation may be giving orders.
            self.quarantine = Quarantine::new(now + self.settings.order_lifetime);
        }
        true
    }

    /// Frees an item's memory, or keeps it reserved while a copy of its load order may be on its way.
    fn remove(&mut self, item: &Item, now: Timestamp) {
        let Some(allocation) = self.allocations.get_mut(item) else { return };
        if allocation.uncertain_until > now {
            allocation.state = AllocationState::Uncertain;
        } else {
            self.allocations.remove(item);
        }
    }

    /// Takes a read of the engine's state that was asked for at `asked_at`.
    ///
    /// `describe` gives memory in MB and base model of an item from the configuration. Returns whether
    /// the read was taken; one asked for before the last order or answer is not.
    pub fn observe(
        &mut self,
        state: &EngineState,
        asked_at: Timestamp,
        now: Timestamp,
        describe: impl Fn(&Item) -> Option<(u64, Option<CompactString>)>,
    ) -> bool {
        if asked_at <= self.last_change {
            return false;
        }
        self.engine_capacity_mb = Some(state.capacity_mb);
        self.settle_outstanding(state, asked_at);
        self.settle_holdings(state, asked_at, now);
        self.add_unrecorded(state, now, &describe);
        for copy in &state.models {
            if let Some(allocation) = self.allocations.get_mut(&Item::Model(copy.model.clone())) {
                allocation.version = Some(copy.version.clone());
            }
        }
        let known: u64 = state
            .items()
            .filter_map(|(item, _)| self.allocations.get(&item).map(|h| h.memory_mb))
            .sum();
        self.unaccounted_mb = state.used_mb.saturating_sub(known);
        self.quarantine.observe(state, asked_at);
        true
    }

    fn settle_outstanding(&mut self, state: &EngineState, asked_at: Timestamp) {
        let lifetime = self.settings.order_lifetime;
        let Some(outstanding) = &self.outstanding else { return };
        let present = state.state_of(&outstanding.order.item);
        let arrived = asked_at > outstanding.last_sent + lifetime;
        let carried_out = match outstanding.order.kind {
            OrderKind::Load => present == Some(EngineCopyState::Resident),
            OrderKind::Unload => present.is_none(),
        };
        let undone = arrived && state.settled();
        if !carried_out && !undone {
            return;
        }
        let uncertain_until = outstanding.last_sent + lifetime;
        let item = outstanding.order.item.clone();
        self.outstanding = None;
        if let Some(allocation) = self.allocations.get_mut(&item) {
            allocation.uncertain_until = allocation.uncertain_until.max(uncertain_until);
            allocation.state = if present == Some(EngineCopyState::Resident) {
                AllocationState::Resident
            } else {
                AllocationState::Uncertain
            };
        }
    }

    fn settle_holdings(&mut self, state: &EngineState, asked_at: Timestamp, now: Timestamp) {
        let outstanding = self.outstanding.as_ref().map(|o| o.order.item.clone());
        let in_quarantine = !self.quarantine.is_over();
        self.allocations.retain(|item, allocation| {
            if outstanding.as_ref() == Some(item) {
                return true;
            }
            match state.state_of(item) {
                Some(EngineCopyState::Resident) => {
                    // While an unload may still be on its way, a resident item stays in doubt.
                    let certain = allocation.state == AllocationState::Resident
                        || in_quarantine
                        || asked_at > allocation.uncertain_until;
                    if certain {
                        allocation.state = AllocationState::Resident;
                    }
                    true
                }
                Some(EngineCopyState::Loading | EngineCopyState::Unloading) => {
                    allocation.state = AllocationState::Uncertain;
                    true
                }
                None if asked_at > allocation.uncertain_until && !state.busy => false,
                None => {
                    allocation.state = AllocationState::Uncertain;
                    allocation.last_used = now;
                    true
                }
            }
        });
    }

    fn add_unrecorded(
        &mut self,
        state: &EngineState,
        now: Timestamp,
        describe: &impl Fn(&Item) -> Option<(u64, Option<CompactString>)>,
    ) {
        for (item, copy) in state.items() {
            if self.allocations.contains_key(&item) {
                continue;
            }
            // The memory of an item that the configuration does not know is in `unaccounted_mb`.
            let (memory_mb, base_model) = describe(&item).unwrap_or_default();
            let resident = copy == EngineCopyState::Resident;
            let allocation = Allocation {
                memory_mb,
                base_model,
                version: None,
                state: if resident {
                    AllocationState::Resident
                } else {
                    AllocationState::Uncertain
                },
                last_used: now,
                uncertain_until: now,
            };
            self.allocations.insert(item, allocation);
        }
    }
}
