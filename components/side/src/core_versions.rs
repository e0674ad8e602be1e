//! Replacement of outdated model versions.

use base::Timestamp;
use compact_str::CompactString;
use placement::{AllocationState, Item, UnloadPermission};

use crate::core::Core;
use crate::core_placement::PLACEMENT_REQUEST_LIFETIME;
use crate::placement_request::PlacementRequest;

impl Core {
    /// Advances the replacement of a model's copy with the configured version; returns whether an
    /// order was created.
    ///
    /// A copy that must stay resident is replaced while another side process pins its own; requests
    /// that are queued here wait for the new copy.
    pub(crate) fn replace_outdated_model(&mut self, now: Timestamp) -> bool {
        let replaceable = self.outdated_models().into_iter().find(|item| {
            match self.idle_unload_permission(item) {
                UnloadPermission::Forbidden => false,
                // No peer can pin the last copy of a model; it must not block the others.
                UnloadPermission::NeedsPin => self.acquire_pin(item.name(), now),
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
                    let expires = now + PLACEMENT_REQUEST_LIFETIME;
                    self.reload = Some(PlacementRequest { model: name, load: true, expires });
                }
                self.refresh_ready();
                self.send(order);
                true
            }
            Err(_) => false,
        }
    }

    /// Resident models whose version is not the configured one.
    pub(crate) fn outdated_models(&self) -> Vec<Item> {
        let old = |item: &Item, version: Option<&CompactString>| {
            let configured =
                self.config.model_id(item.name()).map(|id| &self.config.model(id).version);
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
