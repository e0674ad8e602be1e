//! Placement in a run: planner, orders of the side processes, the weight store.

use std::time::Duration;

use base::Timestamp;
use config::Residency;
use placement::{
    EvictionDecision, Item, MoveKind, OrderId, OrderKind, OrderResult, PlannedModel, PlannedTarget,
    UnloadPermission,
};

use crate::Outcome;
use crate::Policy;
use crate::event::Event;
use crate::run::Run;
use crate::side_node::describe;

const PLAN_EVERY: Duration = Duration::from_secs(1);
const ADAPTER_LOAD: Duration = Duration::from_micros(7_500);
const UNLOAD: Duration = Duration::from_millis(5);
const ORDER_RETRY: Duration = Duration::from_millis(50);

impl Run<'_> {
    pub(crate) fn plan(&mut self, now: Timestamp) {
        let models: Vec<PlannedModel> = self
            .config
            .models
            .iter()
            .zip(&self.demand)
            .map(|(model, (fast, slow))| PlannedModel {
                name: model.name.clone(),
                service: self.config.service(model.service).name.clone(),
                memory_mb: model.memory_mb,
                always: model.residency == Residency::Always,
                load_ms: model.load_ms,
                fast_tokens_per_s: fast.tokens_per_s(now),
                slow_tokens_per_s: slow.tokens_per_s(now),
            })
            .collect();
        let targets: Vec<PlannedTarget> = self.entries[0]
            .router
            .core()
            .targets()
            .filter(|info| self.sides.iter().any(|s| s.alive && s.id == *info.process))
            .map(|info| PlannedTarget::from(info.report))
            .collect();
        for planned in self.planner.plan(&models, &targets, now) {
            if let Some(target) = self.sides.iter().position(|s| s.target.name == planned.target) {
                let delay = Duration::from_micros(self.deployment.data_centre_delay_us);
                let event = Event::Suggested { target, kind: planned.kind, model: planned.model };
                self.agenda.push(now + delay, event);
            }
        }
        if now < self.scenario.end() {
            self.agenda.push(now + PLAN_EVERY, Event::Plan);
        }
    }

    pub(crate) fn suggested(&mut self, target: usize, kind: MoveKind, model: &str, now: Timestamp) {
        let item = Item::Model(model.into());
        match kind {
            MoveKind::Load => self.begin_load(target, &item, now),
            MoveKind::Unload => {
                if self.may_unload(target, &item) == UnloadPermission::Allowed {
                    self.begin_unload(target, &item, now);
                }
            }
        }
    }

    /// An `always` model stays if it is the only copy.
    pub(crate) fn may_unload(&self, target: usize, item: &Item) -> UnloadPermission {
        let Item::Model(name) = item else { return UnloadPermission::Allowed };
        let always = self
            .config
            .model_id(name)
            .is_some_and(|id| self.config.model(id).residency == Residency::Always);
        let elsewhere = self
            .sides
            .iter()
            .enumerate()
            .any(|(at, side)| at != target && side.alive && side.ledger.is_resident(item));
        if always && !elsewhere { UnloadPermission::Forbidden } else { UnloadPermission::Allowed }
    }

    /// Works on the oldest item that a queued request waits for.
    pub(crate) fn try_order(&mut self, target: usize, now: Timestamp) {
        for request in self.sides[target].expire(now) {
            self.end_send(request);
            self.settle(request, Outcome::RefusedBusy, now);
        }
        if !self.sides[target].alive || self.sides[target].outstanding().is_some() {
            return;
        }
        // Adapters need their base model first; needs are listed in that order.
        let Some((_, item)) = self.sides[target].needs.first().cloned() else { return };
        self.begin_load(target, &item, now);
    }

    pub(crate) fn retry_order(&mut self, target: usize, at: Timestamp) {
        if !self.sides[target].order_retry_scheduled {
            self.sides[target].order_retry_scheduled = true;
            self.agenda.push(at, Event::TryOrder(target));
        }
    }

    pub(crate) fn begin_load(&mut self, target: usize, item: &Item, now: Timestamp) {
        if !self.sides[target].alive || self.sides[target].outstanding().is_some() {
            return;
        }
        let Some((memory_mb, base_model)) = describe(&self.config, item) else { return };
        let side = &self.sides[target];
        let decision = side.ledger.decide_eviction(
            item,
            memory_mb,
            |other| side.demand_of(other, now),
            |other| self.may_unload(target, other),
        );
        match decision {
            EvictionDecision::Evict(other) | EvictionDecision::RequestPin(other) => {
                self.begin_unload(target, &other, now)
            }
            EvictionDecision::Impossible => self.retry_order(target, now + ORDER_RETRY),
            EvictionDecision::NotNeeded => {
                let Some(duration) = self.load_duration(target, item, now) else { return };
                let side = &mut self.sides[target];
                match side.ledger.begin_load(item.clone(), base_model, memory_mb, now) {
                    Ok(order) => self.order_sent(target, order.id, OrderKind::Load, now + duration),
                    Err(_) => self.release_permit(target),
                }
            }
        }
    }

    /// Time that a load takes, or none if it must wait for the weight store.
    pub(crate) fn load_duration(
        &mut self,
        target: usize,
        item: &Item,
        now: Timestamp,
    ) -> Option<Duration> {
        let Item::Model(name) = item else { return Some(ADAPTER_LOAD) };
        let id = self.config.model_id(name)?;
        let load = Duration::from_millis(self.config.model(id).load_ms);
        if self.policy == Policy::Oracle {
            return Some(Duration::ZERO);
        }
        let hold_ms = u32::try_from(load.as_millis()).unwrap_or(u32::MAX) * 2;
        let number = self.next_permit;
        match self.store.try_acquire(number, hold_ms, now) {
            wire::PermitOutcome::Granted { .. } => {
                self.next_permit += 1;
                self.permits.insert(target, number);
                Some(load)
            }
            wire::PermitOutcome::Wait { retry_after_ms } => {
                let again = now + Duration::from_millis(u64::from(retry_after_ms.max(1)));
                self.retry_order(target, again);
                None
            }
            wire::PermitOutcome::NotOwner => None,
        }
    }

    pub(crate) fn release_permit(&mut self, target: usize) {
        if let Some(permit) = self.permits.remove(&target) {
            self.store.release(permit);
        }
    }

    pub(crate) fn begin_unload(&mut self, target: usize, item: &Item, now: Timestamp) {
        if let Ok(order) = self.sides[target].ledger.begin_unload(item, now) {
            let item = item.clone();
            self.sides[target].item_gone(&item);
            self.order_sent(target, order.id, OrderKind::Unload, now + UNLOAD);
        }
    }

    pub(crate) fn order_sent(
        &mut self,
        target: usize,
        order: OrderId,
        kind: OrderKind,
        done: Timestamp,
    ) {
        let epoch = self.sides[target].epoch;
        self.agenda.push(done, Event::OrderDone { target, order, kind, epoch });
    }

    pub(crate) fn order_done(
        &mut self,
        target: usize,
        order: OrderId,
        kind: OrderKind,
        epoch: u64,
        now: Timestamp,
    ) {
        self.release_permit(target);
        let side = &mut self.sides[target];
        if side.epoch != epoch {
            return;
        }
        let item = side.outstanding().map(|order| order.item.clone());
        side.ledger.apply_answer(order, OrderResult::Done, now);
        if let (Some(item), OrderKind::Load) = (item, kind) {
            self.model_moves += u64::from(matches!(item, Item::Model(_)));
            side.item_loaded(&item);
        }
        self.start_engine(target, now);
        self.try_order(target, now);
    }
}
