//! Replacement of copies of older model versions in the core.

use base::Timestamp;
use compact_str::CompactString;
use placement::{AllocationState, Item, UnloadPermission};

use crate::core::Core;
use crate::core_placement::WISH_LIFETIME;
use crate::wish::Wish;

impl Core {
    /// Makes progress towards replacing a model's copy by the configured version; returns whether an
    /// order was made.
    ///
    /// A copy that must stay is replaced while another side process pins its own; requests that are
    /// queued here wait for the new copy.
    pub(crate) fn replace_old_version(&mut self, now: Timestamp) -> bool {
        let replaceable = self.old_versions().into_iter().find(|item| {
            match self.unloading_of_idle(item) {
                UnloadPermission::Forbidden => false,
                // A last copy gets no pin; it must not hold up the others.
                UnloadPermission::NeedsPin => self.hold_pin(item.name(), now),
                UnloadPermission::Allowed => true,
            }
        });
        if replaceable != self.retiring {
            self.retiring.clone_from(&replaceable);
            self.refresh_ready();
        }
        let Some(item) = replaceable else { return false };
        let name = item.name().clone();
        let adapters: Vec<Item> = self
            .ledger
            .allocations()
            .filter(|(_, allocation)| allocation.base_model.as_ref() == Some(&name))
            .map(|(adapter, _)| adapter.clone())
            .collect();
        let next = adapters.into_iter().next().unwrap_or(item);
        match self.ledger.begin_unload(&next, now) {
            Ok(order) => {
                if *next.name() == name {
                    let expires = now + WISH_LIFETIME;
                    self.reload = Some(Wish { model: name, load: true, expires });
                }
                self.refresh_ready();
                self.send(order);
                true
            }
            Err(_) => false,
        }
    }

    /// Resident models whose version is not the configured one.
    pub(crate) fn old_versions(&self) -> Vec<Item> {
        let old = |item: &Item, version: Option<&CompactString>| {
            let configured = self.town.model_id(item.name()).map(|id| &self.town.model(id).version);
            version.zip(configured).is_some_and(|(version, configured)| version != configured)
        };
        self.ledger
            .allocations()
            .filter(|(item, allocation)| {
                matches!(item, Item::Model(_))
                    && allocation.state == AllocationState::Resident
                    && old(item, allocation.version.as_ref())
            })
            .map(|(item, _)| item.clone())
            .collect()
    }
}
