//! Which item makes room for another.

use base::Timestamp;

use crate::{Holding, HoldingState, Item, Ledger};

/// Whether an item may be unloaded, as its side process sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unloading {
    /// May be unloaded.
    Allowed,
    /// Is pinned, or requests wait for it.
    Forbidden,
    /// May be unloaded once another side process pins its own copy.
    NeedsPin,
}

/// How to make room for an item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Room {
    /// Another side process must pin its copy of this model first.
    AskPin(Item),
    /// There is enough memory.
    Enough,
    /// This item is to be unloaded first.
    Evict(Item),
    /// Nothing that may be unloaded would free enough memory now.
    Impossible,
}

struct Candidate<'a> {
    item: &'a Item,
    holding: &'a Holding,
    unloading: Unloading,
}

impl Ledger {
    /// How to make room for `wanted`: the least recently used adapters if they are enough, otherwise
    /// models by least demand per MB, those that need a pin only where the others
    /// don't suffice.
    ///
    /// `demand` is in tokens a second.
    pub fn room_for(
        &self,
        wanted: &Item,
        memory_mb: u64,
        demand: impl Fn(&Item) -> u64,
        unloading: impl Fn(&Item) -> Unloading,
    ) -> Room {
        if memory_mb <= self.free_mb() {
            return Room::Enough;
        }
        let missing = memory_mb - self.free_mb();
        let candidates: Vec<Candidate<'_>> = self
            .holdings()
            .filter(|(item, h)| {
                *item != wanted && h.state == HoldingState::Resident && !self.in_use(item)
            })
            .map(|(item, holding)| Candidate { item, holding, unloading: unloading(item) })
            .filter(|c| c.unloading != Unloading::Forbidden)
            .collect();
        let total = |filter: &dyn Fn(&Candidate<'_>) -> bool| -> u64 {
            candidates.iter().filter(|c| filter(c)).map(|c| c.holding.memory_mb).sum()
        };
        let adapter = |c: &Candidate<'_>| matches!(c.item, Item::Adapter(_));
        let free = |c: &Candidate<'_>| c.unloading == Unloading::Allowed;
        if total(&adapter) >= missing {
            return candidates
                .iter()
                .filter(|c| adapter(c))
                .min_by_key(|c| (c.holding.last_used, c.item))
                .map_or(Room::Impossible, |c| Room::Evict(c.item.clone()));
        }
        if total(&|_| true) < missing {
            return Room::Impossible;
        }
        let without_pins = total(&free) >= missing;
        let victim = candidates
            .iter()
            .filter(|c| !adapter(c) && (free(c) || !without_pins))
            .min_by_key(|c| {
                let per_gb = demand(c.item) * 1_024 / c.holding.memory_mb.max(1);
                // Where a pin is needed it is asked for first, so that nothing goes in vain.
                (free(c), per_gb, c.holding.last_used, c.item)
            });
        match victim {
            None => Room::Impossible,
            Some(c) => self.evict_model(c),
        }
    }

    /// Adapters of a model go before the model.
    fn evict_model(&self, victim: &Candidate<'_>) -> Room {
        let adapter = self
            .holdings()
            .filter(|(_, h)| h.base_model.as_ref() == Some(victim.item.name()))
            .min_by_key(|(item, h)| (h.state != HoldingState::Resident, self.in_use(item)));
        match adapter {
            Some((item, h)) if h.state == HoldingState::Resident && !self.in_use(item) => {
                Room::Evict(item.clone())
            }
            Some(_) => Room::Impossible,
            None if victim.unloading == Unloading::NeedsPin => Room::AskPin(victim.item.clone()),
            None => Room::Evict(victim.item.clone()),
        }
    }

    /// The item idle the longest, if idle since before `idle_since`; a model only once its adapters
    /// are gone.
    pub fn idle_item(
        &self,
        idle_since: Timestamp,
        unloading: impl Fn(&Item) -> Unloading,
    ) -> Option<Item> {
        self.holdings()
            .filter(|(item, h)| {
                h.state == HoldingState::Resident
                    && !self.in_use(item)
                    && h.last_used < idle_since
                    && unloading(item) == Unloading::Allowed
                    && !self.has_adapters(item)
            })
            .min_by_key(|(item, h)| (h.last_used, *item))
            .map(|(item, _)| item.clone())
    }

    fn has_adapters(&self, item: &Item) -> bool {
        self.holdings().any(|(_, h)| h.base_model.as_ref() == Some(item.name()))
    }
}
