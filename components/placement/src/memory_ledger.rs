//! Memory ledger of one target.

use std::time::Duration;

use base::{SortedMap, Timestamp};
use compact_str::CompactString;

use crate::{
    EngineCopyState, EngineState, Item, Order, OrderId, OrderKind, OrderRefusal, OrderResult,
    Quarantine,
};

/// Settings of a memory ledger.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemoryLedgerSettings {
    /// Configured memory for models and adapters in MB.
    pub capacity_mb: u64,
    /// Maximum time for which an order may be in flight.
    pub order_lifetime: Duration,
    /// Time without a reply after which an order is resent.
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

/// State of an allocation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AllocationState {
    /// An order may still take effect; the memory stays reserved until a read resolves it.
    Uncertain,
    /// A load order is outstanding.
    Loading,
    /// The engine serves the item.
    Resident,
    /// An unload order is outstanding.
    Unloading,
}

/// Memory that an item occupies or may occupy.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Allocation {
    /// Memory in MB.
    pub memory_mb: u64,
    /// Base model, if the item is an adapter.
    pub base_model: Option<CompactString>,
    /// Model version reported by the engine; none before a read contains it.
    pub version: Option<CompactString>,
    /// State of the allocation.
    pub state: AllocationState,
    /// Time of the last use by a request.
    pub last_used: Timestamp,
    /// Time until which a delayed copy of its load order may still arrive.
    uncertain_until: Timestamp,
}

#[derive(Clone, Debug)]
struct OutstandingOrder {
    order: Order,
    first_sent: Timestamp,
    last_sent: Timestamp,
    sends: u32,
}

/// Memory used and reserved at one target, and the outstanding order.
///
/// The memory of an order is reserved before the order is sent and until the engine's state proves
/// that the order was not executed. At most one order is outstanding.
#[derive(Clone, Debug)]
pub struct MemoryLedger {
    settings: MemoryLedgerSettings,
    quarantine: Quarantine,
    engine_capacity_mb: Option<u64>,
    allocations: SortedMap<Item, Allocation>,
    /// Number of requests that use each item; separate from the allocations, which an engine
    /// restart removes.
    uses: SortedMap<Item, u32>,
    outstanding: Option<OutstandingOrder>,
    /// Memory that the engine reports as used and that belongs to no known item, in MB.
    unaccounted_mb: u64,
    next_order: u64,
    /// Time of the last order or reply; earlier reads don't reflect the current state.
    last_change: Timestamp,
}

impl MemoryLedger {
    /// Creates the ledger of a process that starts at `now`; it issues no orders during its
    /// quarantine.
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

    /// Sets the configured capacity after a configuration change.
    pub const fn set_capacity_mb(&mut self, capacity_mb: u64) {
        self.settings.capacity_mb = capacity_mb;
    }

    /// Returns the quarantine, to set the fencing token and to acknowledge it.
    pub const fn quarantine_mut(&mut self) -> &mut Quarantine {
        &mut self.quarantine
    }

    /// Returns the quarantine.
    pub const fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Returns the memory for models and adapters in MB, the smaller of the configured and the
    /// reported capacity.
    pub fn capacity_mb(&self) -> u64 {
        let configured = self.settings.capacity_mb;
        self.engine_capacity_mb.map_or(configured, |engine| engine.min(configured))
    }

    /// Returns the memory used or reserved in MB.
    pub fn used_mb(&self) -> u64 {
        self.allocations.values().map(|allocation| allocation.memory_mb).sum::<u64>()
            + self.unaccounted_mb
    }

    /// Returns the memory available to an order in MB; zero during the quarantine.
    pub fn free_mb(&self) -> u64 {
        if self.quarantine.is_over() {
            self.capacity_mb().saturating_sub(self.used_mb())
        } else {
            0
        }
    }

    /// Returns all allocations, ordered by item.
    pub fn allocations(&self) -> impl Iterator<Item = (&Item, &Allocation)> {
        self.allocations.iter()
    }

    /// Returns the allocation of an item.
    pub fn allocation(&self, item: &Item) -> Option<&Allocation> {
        self.allocations.get(item)
    }

    /// Returns whether the engine serves an item.
    pub fn is_resident(&self, item: &Item) -> bool {
        self.allocation(item)
            .is_some_and(|allocation| allocation.state == AllocationState::Resident)
    }

    /// Returns the outstanding order.
    pub fn outstanding(&self) -> Option<&Order> {
        self.outstanding.as_ref().map(|outstanding| &outstanding.order)
    }

    /// Records that a request starts to use an item.
    pub fn acquire(&mut self, item: &Item, now: Timestamp) {
        *self.uses.get_or_insert_with(item.clone(), || 0) += 1;
        self.record_use(item, now);
    }

    /// Records that a request no longer uses an item.
    pub fn release(&mut self, item: &Item, now: Timestamp) {
        if let Some(uses) = self.uses.get_mut(item) {
            *uses -= 1;
            if *uses == 0 {
                self.uses.remove(item);
            }
        }
        self.record_use(item, now);
    }

    /// Returns whether in-flight requests use an item.
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

    /// Reserves memory for an item and returns the load order for the caller to send.
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
        let free_mb = self.free_mb();
        if memory_mb > free_mb {
            return Err(OrderRefusal::NoMemory { missing_mb: memory_mb - free_mb });
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

    /// Returns the order to unload an item for the caller to send; the item's memory stays reserved
    /// until the engine replies.
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

    /// Returns the outstanding order, to be resent with the same id, if its reply is overdue.
    ///
    /// After its lifetime the order is no longer resent; a read of the engine's state resolves it.
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

    /// Applies the engine's reply; a reply to an order that is not outstanding is ignored.
    ///
    /// Returns whether the reply was applied.
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
            // An earlier copy of a refused order may have been executed. A failure may mean that
            // the engine has restarted and holds no copy: unless a read comes before the next
            // order, orders that fail at once would follow each other and make every read stale.
            (OrderKind::Unload, _) => {
                if let Some(allocation) = self.allocations.get_mut(&item) {
                    let is_certain = outstanding.sends == 1 && result != OrderResult::Failed;
                    allocation.state = if is_certain {
                        AllocationState::Resident
                    } else {
                        AllocationState::Uncertain
                    };
                    allocation.uncertain_until = allocation.uncertain_until.max(uncertain_until);
                }
            }
        }
        if result == OrderResult::Fenced {
            // A larger fencing token exists, so another incarnation may be sending orders.
            self.quarantine = Quarantine::new(now + self.settings.order_lifetime);
        }
        true
    }

    /// Frees an item's memory, or keeps it reserved while a copy of its load order may be in
    /// flight.
    fn remove(&mut self, item: &Item, now: Timestamp) {
        let Some(allocation) = self.allocations.get_mut(item) else { return };
        if allocation.uncertain_until > now {
            allocation.state = AllocationState::Uncertain;
        } else {
            self.allocations.remove(item);
        }
    }

    /// Applies a read of the engine's state that was requested at `requested_at`.
    ///
    /// `describe` returns the memory in MB and the base model of an item from the configuration.
    /// Returns whether the read was applied; a read requested before the last order or reply is
    /// ignored.
    pub fn observe(
        &mut self,
        state: &EngineState,
        requested_at: Timestamp,
        now: Timestamp,
        describe: impl Fn(&Item) -> Option<(u64, Option<CompactString>)>,
    ) -> bool {
        if requested_at <= self.last_change {
            return false;
        }
        self.engine_capacity_mb = Some(state.capacity_mb);
        self.resolve_outstanding(state, requested_at);
        self.resolve_allocations(state, requested_at, now);
        self.add_unrecorded(state, now, &describe);
        for copy in &state.models {
            if let Some(allocation) = self.allocations.get_mut(&Item::Model(copy.model.clone())) {
                allocation.version = Some(copy.version.clone());
            }
        }
        let known_mb: u64 = state
            .items()
            .filter_map(|(item, _)| {
                self.allocations.get(&item).map(|allocation| allocation.memory_mb)
            })
            .sum();
        self.unaccounted_mb = state.used_mb.saturating_sub(known_mb);
        self.quarantine.observe(state, requested_at);
        true
    }

    fn resolve_outstanding(&mut self, state: &EngineState, requested_at: Timestamp) {
        let lifetime = self.settings.order_lifetime;
        let Some(outstanding) = &self.outstanding else { return };
        let present = state.state_of(&outstanding.order.item);
        let arrived = requested_at > outstanding.last_sent + lifetime;
        let executed = match outstanding.order.kind {
            OrderKind::Load => present == Some(EngineCopyState::Resident),
            OrderKind::Unload => present.is_none(),
        };
        let not_executed = arrived && state.is_settled();
        if !executed && !not_executed {
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

    fn resolve_allocations(
        &mut self,
        state: &EngineState,
        requested_at: Timestamp,
        now: Timestamp,
    ) {
        let outstanding = self.outstanding.as_ref().map(|o| o.order.item.clone());
        let in_quarantine = !self.quarantine.is_over();
        self.allocations.retain(|item, allocation| {
            if outstanding.as_ref() == Some(item) {
                return true;
            }
            match state.state_of(item) {
                Some(EngineCopyState::Resident) => {
                    // A resident item stays uncertain while an unload may still be in flight.
                    let is_certain = allocation.state == AllocationState::Resident
                        || in_quarantine
                        || requested_at > allocation.uncertain_until;
                    if is_certain {
                        allocation.state = AllocationState::Resident;
                    }
                    true
                }
                Some(EngineCopyState::Loading | EngineCopyState::Unloading) => {
                    allocation.state = AllocationState::Uncertain;
                    true
                }
                None if requested_at > allocation.uncertain_until && !state.busy => false,
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
            // The memory of an item missing from the configuration is counted in `unaccounted_mb`.
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
