//! Choice of the item to evict for a load.

use base::Timestamp;

use crate::{Allocation, AllocationState, Item, MemoryLedger};

/// Whether the side process may unload an item.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnloadPermission {
    /// The item may be unloaded.
    Allowed,
    /// The item is pinned, or requests wait for it.
    Forbidden,
    /// The item may be unloaded once another side process has pinned its own copy.
    NeedsPin,
}

/// Next step to free memory for an item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EvictionDecision {
    /// Request that another side process pin its copy of this model before the unload.
    RequestPin(Item),
    /// Enough memory is free.
    NotNeeded,
    /// Unload this item.
    Evict(Item),
    /// The items that may be unloaded now don't free enough memory.
    Impossible,
}

struct Candidate<'a> {
    item: &'a Item,
    allocation: &'a Allocation,
    permission: UnloadPermission,
}

impl MemoryLedger {
    /// Chooses the next step to free memory for `wanted`.
    ///
    /// Adapters are evicted in least recently used order if they free enough memory. Otherwise
    /// models are evicted by least demand per MB; models that need a pin are included only if the
    /// others don't free enough memory. `demand` returns tokens per second.
    pub fn decide_eviction(
        &self,
        wanted: &Item,
        memory_mb: u64,
        demand: impl Fn(&Item) -> u64,
        permission: impl Fn(&Item) -> UnloadPermission,
    ) -> EvictionDecision {
        if memory_mb <= self.free_mb() {
            return EvictionDecision::NotNeeded;
        }
        let missing_mb = memory_mb - self.free_mb();
        let candidates: Vec<Candidate<'_>> = self
            .allocations()
            .filter(|(item, allocation)| {
                *item != wanted
                    && allocation.state == AllocationState::Resident
                    && !self.in_use(item)
            })
            .map(|(item, allocation)| Candidate { item, allocation, permission: permission(item) })
            .filter(|c| c.permission != UnloadPermission::Forbidden)
            .collect();
        let total = |filter: &dyn Fn(&Candidate<'_>) -> bool| -> u64 {
            candidates.iter().filter(|c| filter(c)).map(|c| c.allocation.memory_mb).sum()
        };
        let is_adapter = |c: &Candidate<'_>| matches!(c.item, Item::Adapter(_));
        let is_free = |c: &Candidate<'_>| c.permission == UnloadPermission::Allowed;
        if total(&is_adapter) >= missing_mb {
            return candidates
                .iter()
                .filter(|c| is_adapter(c))
                .min_by_key(|c| (c.allocation.last_used, c.item))
                .map_or(EvictionDecision::Impossible, |c| EvictionDecision::Evict(c.item.clone()));
        }
        if total(&|_| true) < missing_mb {
            return EvictionDecision::Impossible;
        }
        let enough_without_pins = total(&is_free) >= missing_mb;
        let victim = candidates
            .iter()
            .filter(|c| !is_adapter(c) && (is_free(c) || !enough_without_pins))
            .min_by_key(|c| {
                let demand_per_gb = demand(c.item) * 1_024 / c.allocation.memory_mb.max(1);
                // Models that need a pin come first, so that no other model is unloaded for nothing
                // if the pin is refused.
                (is_free(c), demand_per_gb, c.allocation.last_used, c.item)
            });
        match victim {
            None => EvictionDecision::Impossible,
            Some(c) => self.evict_model(c),
        }
    }

    /// Evicts a model's adapters before the model.
    fn evict_model(&self, victim: &Candidate<'_>) -> EvictionDecision {
        let adapter = self
            .allocations()
            .filter(|(_, allocation)| allocation.base_model.as_ref() == Some(victim.item.name()))
            .min_by_key(|(item, allocation)| {
                (allocation.state != AllocationState::Resident, self.in_use(item))
            });
        match adapter {
            Some((item, allocation))
                if allocation.state == AllocationState::Resident && !self.in_use(item) =>
            {
                EvictionDecision::Evict(item.clone())
            }
            Some(_) => EvictionDecision::Impossible,
            None if victim.permission == UnloadPermission::NeedsPin => {
                EvictionDecision::RequestPin(victim.item.clone())
            }
            None => EvictionDecision::Evict(victim.item.clone()),
        }
    }

    /// Returns the least recently used item that was last used before `idle_since`. A model is
    /// returned only once it has no adapters.
    pub fn idle_item(
        &self,
        idle_since: Timestamp,
        permission: impl Fn(&Item) -> UnloadPermission,
    ) -> Option<Item> {
        self.allocations()
            .filter(|(item, allocation)| {
                allocation.state == AllocationState::Resident
                    && !self.in_use(item)
                    && allocation.last_used < idle_since
                    && permission(item) == UnloadPermission::Allowed
                    && !self.has_adapters(item)
            })
            .min_by_key(|(item, allocation)| (allocation.last_used, *item))
            .map(|(item, _)| item.clone())
    }

    fn has_adapters(&self, item: &Item) -> bool {
        self.allocations()
            .any(|(_, allocation)| allocation.base_model.as_ref() == Some(item.name()))
    }
}
