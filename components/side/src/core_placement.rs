//! Loads and unloads of models and adapters.

use std::time::Duration;

use base::Timestamp;
use compact_str::CompactString;
use config::Residency;
use placement::{
    EngineState, EvictionDecision, Item, Order, OrderId, OrderResult, UnloadPermission,
};
use wire::{SuggestOutcome, Suggestion};

use crate::action::Action;
use crate::core::{Core, memory_and_base};
use crate::event::ProbeFailure;
use crate::permit_state::PermitState;
use crate::placement_request::PlacementRequest;

/// Time after which an accepted suggestion that was not carried out expires.
pub(crate) const PLACEMENT_REQUEST_LIFETIME: Duration = Duration::from_secs(30);
/// Consecutive probes without a response after which a target is marked unhealthy.
const FAILED_PROBES_FOR_FAULT: u32 = 3;
/// Idle time after which an adapter or an on-demand model is unloaded.
const IDLE_UNLOAD_AFTER: Duration = Duration::from_secs(600);

impl Core {
    /// Starts the next load or unload if no order is outstanding.
    pub(crate) fn drive_placement(&mut self, now: Timestamp) {
        if !self.is_engine() || self.quarantined() || !self.healthy {
            return;
        }
        self.release_permit_after_load();
        self.end_pin_search_if_done();
        let ledger = &self.ledger;
        let unloaded = |request: &mut PlacementRequest| {
            ledger.allocation(&Item::Model(request.model.clone())).is_none()
        };
        self.placement_requests.extend(self.reload.take_if(unloaded));
        self.placement_requests.retain(|request| {
            let present = self.ledger.allocation(&Item::Model(request.model.clone())).is_some();
            request.expires > now && request.load != present
        });
        if self.ledger.outstanding().is_some() {
            return;
        }
        if self.draining {
            // A drain unloads nothing: the target may keep running under the next side process.
            self.release_unused_permit(&[]);
            return;
        }
        let mut wanted: Vec<Item> =
            self.missing_items().into_iter().map(|(item, _)| item).collect();
        let loads = self.placement_requests.iter().filter(|request| request.load);
        wanted.extend(loads.map(|request| Item::Model(request.model.clone())));
        for item in &wanted {
            if self.try_load(item, now) {
                return;
            }
        }
        self.release_unused_permit(&wanted);
        let unloads: Vec<CompactString> = self
            .placement_requests
            .iter()
            .filter(|request| !request.load)
            .map(|request| request.model.clone())
            .collect();
        for model in unloads {
            if self.try_unload(&Item::Model(model), now) {
                return;
            }
        }
        if self.replace_outdated_model(now) {
            return;
        }
        if let Some(item) =
            self.ledger.idle_item(now - IDLE_UNLOAD_AFTER, |item| self.unload_permission(item))
        {
            self.try_unload(&item, now);
        }
    }

    /// Advances a load (eviction, permit, order); returns whether an order was created.
    fn try_load(&mut self, item: &Item, now: Timestamp) -> bool {
        let Some((memory_mb, base_model)) = self.memory_and_base(item) else { return false };
        if self.ledger.allocation(item).is_some() {
            return false;
        }
        let decision = self.ledger.decide_eviction(
            item,
            memory_mb,
            |other| self.demand_of(other, now),
            |other| self.unload_permission(other),
        );
        match decision {
            EvictionDecision::NotNeeded => {
                if matches!(item, Item::Model(_)) && !self.acquire_permit(item, now) {
                    return false;
                }
                match self.ledger.begin_load(item.clone(), base_model, memory_mb, now) {
                    Ok(order) => {
                        if matches!(item, Item::Model(_))
                            && let PermitState::Held { loading, .. } = &mut self.permit
                        {
                            *loading = true;
                        }
                        self.send(order);
                        true
                    }
                    Err(_) => false,
                }
            }
            EvictionDecision::Evict(victim) | EvictionDecision::RequestPin(victim) => {
                self.try_unload(&victim, now)
            }
            EvictionDecision::Impossible => false,
        }
    }

    /// Advances an unload (pin, order); returns whether an order was created.
    fn try_unload(&mut self, item: &Item, now: Timestamp) -> bool {
        match self.unload_permission(item) {
            UnloadPermission::Forbidden => return false,
            UnloadPermission::NeedsPin => {
                if !self.acquire_pin(item.name(), now) {
                    return false;
                }
            }
            UnloadPermission::Allowed => {}
        }
        match self.ledger.begin_unload(item, now) {
            Ok(order) => {
                self.refresh_ready();
                self.send(order);
                true
            }
            Err(_) => false,
        }
    }

    /// Whether an item may be unloaded.
    pub(crate) fn unload_permission(&self, item: &Item) -> UnloadPermission {
        if self.has_queued_request(item) {
            return UnloadPermission::Forbidden;
        }
        self.idle_unload_permission(item)
    }

    /// Whether an item that no queued request needs may be unloaded.
    pub(crate) fn idle_unload_permission(&self, item: &Item) -> UnloadPermission {
        let Item::Model(name) = item else { return UnloadPermission::Allowed };
        if self.pins.is_pinned(name) {
            return UnloadPermission::Forbidden;
        }
        let always = self
            .config
            .model_id(name)
            .is_some_and(|id| self.config.model(id).residency == Residency::Always);
        if always { UnloadPermission::NeedsPin } else { UnloadPermission::Allowed }
    }

    pub(crate) fn send(&mut self, order: Order) {
        let model = match &order.item {
            Item::Model(name) => self.config.model_id(name).map(|id| self.config.model(id)),
            Item::Adapter(_) => None,
        };
        let version = model.map(|model| model.version.clone()).unwrap_or_default();
        let load_ms = model.map_or(0, |model| model.load_ms);
        self.actions.push(Action::SendOrder { order, version, load_ms });
    }

    /// Accepts or declines a suggestion.
    pub fn suggest(&mut self, suggestion: &Suggestion, now: Timestamp) -> SuggestOutcome {
        let (model, load) = match suggestion {
            Suggestion::Load { model } => (model, true),
            Suggestion::Unload { model } => (model, false),
        };
        let item = Item::Model(model.clone());
        let present = self.ledger.allocation(&item).is_some();
        if self.is_engine() && present == load {
            return SuggestOutcome::Accepted;
        }
        let known = self.config.model_id(model).map(|id| self.config.model(id));
        let serves_model = match (known, &self.target_config) {
            (Some(model), Some(target_config)) => model.service == target_config.service,
            _ => false,
        };
        let possible = if load {
            let memory_mb = known.map_or(0, |model| model.memory_mb);
            let decision = self.ledger.decide_eviction(
                &item,
                memory_mb,
                |other| self.demand_of(other, now),
                |other| self.unload_permission(other),
            );
            decision != EvictionDecision::Impossible
        } else {
            self.unload_permission(&item) != UnloadPermission::Forbidden
        };
        if !serves_model || !possible || self.quarantined() || self.draining || !self.healthy {
            return SuggestOutcome::Declined;
        }
        if !self.placement_requests.iter().any(|request| request.model == *model) {
            let expires = now + PLACEMENT_REQUEST_LIFETIME;
            self.placement_requests.push(PlacementRequest { model: model.clone(), load, expires });
        }
        self.drive(now);
        SuggestOutcome::Accepted
    }

    /// Applies the engine's result of an order.
    pub fn order_answered(&mut self, id: OrderId, result: OrderResult, now: Timestamp) {
        let item = self.ledger.outstanding().map(|order| order.item.clone());
        if self.ledger.apply_answer(id, result, now) {
            if result != OrderResult::Done {
                let name = item.as_ref().map_or("", |item| item.name().as_str());
                log::warn!("event=order_refused item={name} result={result:?}");
            }
            if let Some(item) = item
                && result != OrderResult::Done
            {
                self.placement_requests.retain(|request| request.model != *item.name());
            }
            self.refresh_ready();
        }
        self.drive(now);
    }

    /// Sends an order whose response was lost again, with the same id.
    pub fn resend_order(&mut self, id: OrderId, now: Timestamp) {
        if self.ledger.outstanding().is_some_and(|order| order.id == id)
            && let Some(order) = self.ledger.resend(now)
        {
            self.send(order);
        }
    }

    /// Applies a read of the engine's state.
    pub fn state_read(&mut self, state: &EngineState, asked_at: Timestamp, now: Timestamp) {
        self.probe_answered();
        let config = self.config.clone();
        self.ledger.observe(state, asked_at, now, |item| memory_and_base(&config, item));
        self.refresh_ready();
        self.drive(now);
    }

    /// Records a successful probe.
    pub fn probe_answered(&mut self) {
        self.healthy = true;
        self.failed_probes = 0;
    }

    /// Records a failed probe. A single slow response does not prove a fault, and marking the
    /// target unhealthy for it would refuse requests that could run.
    pub fn probe_failed(&mut self, failure: ProbeFailure, now: Timestamp) {
        self.failed_probes += 1;
        let faulty =
            failure == ProbeFailure::Unreachable || self.failed_probes >= FAILED_PROBES_FOR_FAULT;
        if self.healthy && faulty {
            log::warn!("event=target_unhealthy target={}", self.settings.target);
            self.healthy = false;
        }
        self.drive(now);
    }
}
