//! Which item makes room for another.

use base::Timestamp;

use crate::{Allocation, AllocationState, Item, MemoryLedger};

/// Whether an item may be unloaded, as its side process sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnloadPermission {
    /// May be unloaded.
    Allowed,
    /// Is pinned, or requests wait for it.
    Forbidden,
    /// May be unloaded once another side process pins its own copy.
    NeedsPin,
}

/// How to make room for an item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EvictionDecision {
    /// Another side process must pin its copy of this model first.
    RequestPin(Item),
    /// There is enough memory.
    NotNeeded,
    /// This item is to be unloaded first.
    Evict(Item),
    /// Nothing that may be unloaded would free enough memory now.
    Impossible,
}

struct Candidate<'a> {
    item: &'a Item,
    allocation: &'a Allocation,
    permission: UnloadPermission,
}

impl MemoryLedger {
    /// How to make room for `wanted`: the least recently used adapters if they are enough, otherwise
    /// models by least demand per MB, those that need a pin only where the others
    /// don't suffice.
    ///
    /// `demand` is in tokens a second.
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
            .filter(|(item, h)| {
                *item != wanted && h.state == AllocationState::Resident && !self.in_use(item)
            })
            .map(|(item, allocation)| Candidate { item, allocation, permission: permission(item) })
            .filter(|c| c.permission != UnloadPermission::Forbidden)
            .collect();
        let total = |filter: &dyn Fn(&Candidate<'_>) -> bool| -> u64 {
            candidates.iter().filter(|c| filter(c)).map(|c| c.allocation.memory_mb).sum()
        };
        let adapter = |c: &Candidate<'_>| matches!(c.item, Item::Adapter(_));
        let free = |c: &Candidate<'_>| c.permission == UnloadPermission::Allowed;
        if total(&adapter) >= missing_mb {
            return candidates
                .iter()
                .filter(|c| adapter(c))
                .min_by_key(|c| (c.allocation.last_used, c.item))
                .map_or(EvictionDecision::Impossible, |c| EvictionDecision::Evict(c.item.clone()));
        }
        if total(&|_| true) < missing_mb {
            return EvictionDecision::Impossible;
        }
        let without_pins = total(&free) >= missing_mb;
        let victim = candidates
            .iter()
            .filter(|c| !adapter(c) && (free(c) || !without_pins))
            .min_by_key(|c| {
                let per_gb = demand(c.item) * 1_024 / c.allocation.memory_mb.max(1);
                // Where a pin is needed it is asked for first, so that nothing goes in vain.
                (free(c), per_gb, c.allocation.last_used, c.item)
            });
        match victim {
            None => EvictionDecision::Impossible,
            Some(c) => self.evict_model(c),
        }
    }

    /// Adapters of a model go before the model.
    fn evict_model(&self, victim: &Candidate<'_>) -> EvictionDecision {
        let adapter = self
            .allocations()
            .filter(|(_, h)| h.base_model.as_ref() == Some(victim.item.name()))
            .min_by_key(|(item, h)| (h.state != AllocationState::Resident, self.in_use(item)));
        match adapter {
            Some((item, h)) if h.state == AllocationState::Resident && !self.in_use(item) => {
                EvictionDecision::Evict(item.clone())
            }
            Some(_) => EvictionDecision::Impossible,
            None if victim.permission == UnloadPermission::NeedsPin => {
                EvictionDecision::RequestPin(victim.item.clone())
            }
            None => EvictionDecision::Evict(victim.item.clone()),
        }
    }

    /// The item idle the longest, if idle since before `idle_since`; a model only once its adapters
    /// are gone.
    pub fn idle_item(
        &self,
        idle_since: Timestamp,
        permission: impl Fn(&Item) -> UnloadPermission,
    ) -> Option<Item> {
        self.allocations()
            .filter(|(item, h)| {
                h.state == AllocationState::Resident
                    && !self.in_use(item)
                    && h.last_used < idle_since
                    && permission(item) == UnloadPermission::Allowed
                    && !self.has_adapters(item)
            })
            .min_by_key(|(item, h)| (h.last_used, *item))
            .map(|(item, _)| item.clone())
    }

    fn has_adapters(&self, item: &Item) -> bool {
        self.allocations().any(|(_, h)| h.base_model.as_ref() == Some(item.name()))
    }
}
