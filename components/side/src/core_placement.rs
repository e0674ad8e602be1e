//! Loads and unloads in the core.

use std::time::Duration;

use base::{Role, Timestamp};
use compact_str::CompactString;
use config::Residency;
use placement::{EngineState, Item, Order, OrderId, OrderKind, OrderResult, Room, Unloading};
use rates::{MAX_PERMIT_HOLD_MS, WEIGHT_STORE, slots_of};
use wire::{PinOutcome, SlotId, SuggestOutcome, Suggestion};

use crate::action::{Action, SlotOwner};
use crate::core::{Core, describe};
use crate::permit_state::PermitState;
use crate::pin_round::PinRound;
use crate::wish::Wish;

/// How long a suggestion that was taken up is pursued.
const WISH_LIFETIME: Duration = Duration::from_secs(30);
/// Time without use after which an adapter or an on-demand model is unloaded.
const IDLE_AFTER: Duration = Duration::from_secs(600);
/// Time between two rounds of asks for a pin.
const PIN_ROUND_PAUSE: Duration = Duration::from_secs(1);
/// Most side processes asked in one round.
const PIN_CANDIDATES: usize = 16;

impl Core {
    /// Takes up the next load or unload if no order is outstanding.
    pub(crate) fn drive_placement(&mut self, now: Timestamp) {
        if !self.is_engine() || self.quarantined() || !self.healthy {
            return;
        }
        self.end_permit_if_settled();
        self.end_pin_round_if_settled();
        self.wishes.retain(|wish| {
            let present = self.ledger.holding(&Item::Model(wish.model.clone())).is_some();
            wish.expires > now && wish.load != present
        });
        if self.ledger.outstanding().is_some() {
            return;
        }
        if self.draining {
            // What is loaded stays as it is; the target may live on with the next process.
            self.drop_unused_permit(&[]);
            return;
        }
        let mut wanted: Vec<Item> =
            self.missing_items().into_iter().map(|(item, _)| item).collect();
        let loads = self.wishes.iter().filter(|wish| wish.load);
        wanted.extend(loads.map(|wish| Item::Model(wish.model.clone())));
        for item in &wanted {
            if self.pursue_load(item, now) {
                return;
            }
        }
        self.drop_unused_permit(&wanted);
        let unloads: Vec<CompactString> =
            self.wishes.iter().filter(|wish| !wish.load).map(|wish| wish.model.clone()).collect();
        for model in unloads {
            if self.pursue_unload(&Item::Model(model), now) {
                return;
            }
        }
        if let Some(item) = self.ledger.idle_item(now - IDLE_AFTER, |item| self.unloading(item)) {
            self.pursue_unload(&item, now);
        }
    }

    /// Makes progress towards a load; returns whether an order was made.
    fn pursue_load(&mut self, item: &Item, now: Timestamp) -> bool {
        let Some((memory_mb, base_model)) = self.describe(item) else { return false };
        if self.ledger.holding(item).is_some() {
            return false;
        }
        let room = self.ledger.room_for(
            item,
            memory_mb,
            |other| self.demand_of(other, now),
            |other| self.unloading(other),
        );
        match room {
            Room::Enough => {
                if matches!(item, Item::Model(_)) && !self.hold_permit(item, now) {
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
            Room::Evict(victim) | Room::AskPin(victim) => self.pursue_unload(&victim, now),
            Room::Impossible => false,
        }
    }

    /// Makes progress towards an unload; returns whether an order was made.
    fn pursue_unload(&mut self, item: &Item, now: Timestamp) -> bool {
        match self.unloading(item) {
            Unloading::Forbidden => return false,
            Unloading::NeedsPin => {
                if !self.hold_pin(item.name(), now) {
                    return false;
                }
            }
            Unloading::Allowed => {}
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
    fn unloading(&self, item: &Item) -> Unloading {
        if self.queued_for(item) {
            return Unloading::Forbidden;
        }
        let Item::Model(name) = item else { return Unloading::Allowed };
        if self.pins.pinned(name) {
            return Unloading::Forbidden;
        }
        let always = self
            .town
            .model_id(name)
            .is_some_and(|id| self.town.model(id).residency == Residency::Always);
        if always { Unloading::NeedsPin } else { Unloading::Allowed }
    }

    fn send(&mut self, order: Order) {
        let model = match &order.item {
            Item::Model(name) => self.town.model_id(name).map(|id| self.town.model(id)),
            Item::Adapter(_) => None,
        };
        let version = model.map(|model| model.version.clone()).unwrap_or_default();
        let load_ms = model.map_or(0, |model| model.load_ms);
        self.actions.push(Action::SendOrder { order, version, load_ms });
    }

    /// Whether a permit is held; asks for one otherwise.
    fn hold_permit(&mut self, item: &Item, now: Timestamp) -> bool {
        match &self.permit {
            PermitState::Held { loading, .. } => return !loading,
            PermitState::Asking(_) => return false,
            PermitState::Idle => {}
        }
        let slots: Vec<SlotId> = slots_of(WEIGHT_STORE, self.town.buckets).collect();
        let silent_after = Duration::from_millis(self.settings.membership.silent_after_ms);
        let owners = self.peers.reachable(Role::Entry, silent_after, now);
        let candidates = owners
            .into_iter()
            .flat_map(|address| slots.iter().map(move |slot| SlotOwner { address, slot: *slot }));
        self.permits.set_candidates(candidates.collect());
        if let Some(owner) = self.permits.candidate(now) {
            let load_ms =
                self.town.model_id(item.name()).map_or(0, |id| self.town.model(id).load_ms);
            // A load takes proportionally longer while the store is busy.
            let hold_ms = self.settings.order_lifetime_ms + 4 * load_ms;
            let hold_ms = u32::try_from(hold_ms).unwrap_or(u32::MAX).min(MAX_PERMIT_HOLD_MS);
            self.permit = PermitState::Asking(owner);
            self.actions.push(Action::AskPermit { owner, hold_ms });
        }
        false
    }

    /// Takes the answer to an ask for a permit: its number, or when to ask again.
    pub fn permit_answered(
        &mut self,
        owner: SlotOwner,
        answer: Result<u64, Option<Duration>>,
        now: Timestamp,
    ) {
        if self.permit != PermitState::Asking(owner) {
            if let Ok(permit) = answer {
                self.actions.push(Action::ReturnPermit { owner, permit });
            }
            return;
        }
        match answer {
            Ok(permit) => {
                self.permits.granted();
                self.permit = PermitState::Held { owner, permit, loading: false };
            }
            Err(wait) => {
                self.permits.refused(wait, now);
                self.permit = PermitState::Idle;
            }
        }
        self.drive(now);
    }

    fn end_permit_if_settled(&mut self) {
        let loading = self
            .ledger
            .outstanding()
            .is_some_and(|o| o.kind == OrderKind::Load && matches!(o.item, Item::Model(_)));
        if let PermitState::Held { owner, permit, loading: true } = self.permit
            && !loading
        {
            self.permit = PermitState::Idle;
            self.actions.push(Action::ReturnPermit { owner, permit });
        }
    }

    fn drop_unused_permit(&mut self, wanted: &[Item]) {
        let needed = wanted.iter().any(|item| matches!(item, Item::Model(_)));
        if let PermitState::Held { owner, permit, loading: false } = self.permit
            && !needed
        {
            self.permit = PermitState::Idle;
            self.actions.push(Action::ReturnPermit { owner, permit });
        }
    }

    /// Whether another side process pinned its copy for us; asks otherwise.
    fn hold_pin(&mut self, model: &CompactString, now: Timestamp) -> bool {
        if self.pins.may_unload(model) {
            return true;
        }
        if self.pin_round.as_ref().is_some_and(|round| round.failed && round.not_before <= now) {
            self.pin_round = None;
        }
        if self.pin_round.is_none() {
            let mut candidates = self.peers.addresses(Role::Side);
            candidates.retain(|address| *address != self.address);
            candidates.sort_by_key(|address| {
                base::rendezvous_score(model.as_bytes(), &address.to_string())
            });
            candidates.truncate(PIN_CANDIDATES);
            self.pin_round = Some(PinRound {
                model: model.clone(),
                candidates,
                asked: None,
                not_before: now,
                failed: false,
            });
        }
        self.ask_next_pin(now);
        false
    }

    fn ask_next_pin(&mut self, now: Timestamp) {
        let Some(round) = &mut self.pin_round else { return };
        if round.asked.is_some() || round.failed {
            return;
        }
        let model = round.model.clone();
        let next = round.candidates.pop();
        let ask = next
            .and_then(|giver| self.pins.ask(&model, &giver_name(giver)).map(|ask| (giver, ask)));
        match ask {
            Some((giver, ask)) => {
                round.asked = Some(giver);
                self.actions.push(Action::AskPin { giver, model, ask });
            }
            None if self.pins.may_unload(&model) => {}
            None => {
                round.failed = true;
                round.not_before = now + PIN_ROUND_PAUSE;
                self.finish_pin(&model);
            }
        }
    }

    /// Takes the answer to an ask for a pin; none if there was no answer.
    pub fn pin_answered(
        &mut self,
        giver: std::net::SocketAddr,
        model: &CompactString,
        ask: u64,
        answer: Option<PinOutcome>,
        now: Timestamp,
    ) {
        let answer = match answer {
            Some(PinOutcome::Held) => placement::PinAnswer::Held,
            Some(PinOutcome::NotResident) => placement::PinAnswer::NotResident,
            Some(PinOutcome::Refused) | None => placement::PinAnswer::Refused,
        };
        self.pins.answered(model, &giver_name(giver), ask, answer);
        if let Some(round) = &mut self.pin_round
            && round.model == *model
            && round.asked == Some(giver)
        {
            round.asked = None;
            if answer != placement::PinAnswer::Held {
                self.ask_next_pin(now);
            }
        }
        self.drive(now);
    }

    /// Ends the round once its copy is proven unloaded, or will not be unloaded.
    fn end_pin_round_if_settled(&mut self) {
        let Some(round) = &self.pin_round else { return };
        if round.failed {
            return;
        }
        let model = round.model.clone();
        let item = Item::Model(model.clone());
        let resident = self.ledger.resident(&item);
        let gone = self.ledger.holding(&item).is_none();
        if gone || (resident && self.unloading(&item) == Unloading::Forbidden) {
            self.pin_round = None;
            self.finish_pin(&model);
        }
    }

    fn finish_pin(&mut self, model: &CompactString) {
        self.pins.finish(model);
        self.send_unpins();
    }

    /// Sends all unanswered `Unpin`s.
    pub fn send_unpins(&mut self) {
        for (model, giver, ask) in self.pins.open_unpins() {
            if let Ok(giver) = giver.as_str().parse() {
                self.actions.push(Action::EndPin { giver, model: model.clone(), ask });
            }
        }
    }

    /// Notes that an `Unpin` was answered.
    pub fn unpin_answered(&mut self, giver: std::net::SocketAddr, model: &CompactString, ask: u64) {
        self.pins.unpin_answered(model, &giver_name(giver), ask);
    }

    /// Answers another side process's ask for a pin.
    pub fn give_pin(
        &mut self,
        model: &CompactString,
        requester: &base::ProcessId,
        ask: u64,
    ) -> PinOutcome {
        // A process that stops may take its VM, and the copy, with it.
        let open = !self.quarantined() && !self.draining;
        let keepable = open && self.ledger.resident(&Item::Model(model.clone()));
        if self.peers.superseded(requester) {
            return PinOutcome::Refused;
        }
        match self.pins.give(model, requester, ask, keepable) {
            placement::PinAnswer::Held => PinOutcome::Held,
            placement::PinAnswer::NotResident => PinOutcome::NotResident,
            placement::PinAnswer::Refused => PinOutcome::Refused,
        }
    }

    /// Takes up or declines a suggestion.
    pub fn suggest(&mut self, suggestion: &Suggestion, now: Timestamp) -> SuggestOutcome {
        let (model, load) = match suggestion {
            Suggestion::Load { model } => (model, true),
            Suggestion::Unload { model } => (model, false),
        };
        let item = Item::Model(model.clone());
        let present = self.ledger.holding(&item).is_some();
        if self.is_engine() && present == load {
            return SuggestOutcome::Accepted;
        }
        let known = self.town.model_id(model).map(|id| self.town.model(id));
        let ours = match (known, &self.place) {
            (Some(model), Some(place)) => model.service == place.service,
            _ => false,
        };
        let possible = if load {
            let memory_mb = known.map_or(0, |model| model.memory_mb);
            let room = self.ledger.room_for(
                &item,
                memory_mb,
                |other| self.demand_of(other, now),
                |other| self.unloading(other),
            );
            room != Room::Impossible
        } else {
            self.unloading(&item) != Unloading::Forbidden
        };
        if !ours || !possible || self.quarantined() || self.draining || !self.healthy {
            return SuggestOutcome::Declined;
        }
        if !self.wishes.iter().any(|wish| wish.model == *model) {
            let expires = now + WISH_LIFETIME;
            self.wishes.push(Wish { model: model.clone(), load, expires });
        }
        self.drive(now);
        SuggestOutcome::Accepted
    }

    /// Takes the engine's answer to an order.
    pub fn order_answered(&mut self, id: OrderId, result: OrderResult, now: Timestamp) {
        let item = self.ledger.outstanding().map(|order| order.item.clone());
        if self.ledger.answered(id, result, now) {
            if result != OrderResult::Done {
                let name = item.as_ref().map_or("", |item| item.name().as_str());
                log::warn!("event=order_refused item={name} result={result:?}");
            }
            if let Some(item) = item
                && result != OrderResult::Done
            {
                self.wishes.retain(|wish| wish.model != *item.name());
            }
            self.refresh_ready();
        }
        self.drive(now);
    }

    /// Sends a lost order again, with the same id.
    pub fn resend_order(&mut self, id: OrderId, now: Timestamp) {
        if self.ledger.outstanding().is_some_and(|order| order.id == id)
            && let Some(order) = self.ledger.resend(now)
        {
            self.send(order);
        }
    }

    /// Takes a read of the engine's state.
    pub fn state_read(&mut self, state: &EngineState, asked_at: Timestamp, now: Timestamp) {
        self.healthy = true;
        let town = self.town.clone();
        self.ledger.observe(state, asked_at, now, |item| describe(&town, item));
        self.refresh_ready();
        self.drive(now);
    }

    /// Notes that the target did not answer a probe.
    pub fn probe_failed(&mut self, now: Timestamp) {
        if self.healthy {
            log::warn!("event=target_unhealthy target={}", self.settings.target);
        }
        self.healthy = false;
        self.drive(now);
    }
}

/// Givers are known by address, since only the VM list names them before the first contact.
fn giver_name(address: std::net::SocketAddr) -> base::ProcessName {
    base::ProcessName::new(&address.to_string())
}
