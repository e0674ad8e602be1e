//! Pins in the core: asking for them and giving them.

use std::net::SocketAddr;
use std::time::Duration;

use base::{ProcessId, ProcessName, Role, Timestamp};
use compact_str::CompactString;
use placement::{Item, PinAnswer, UnloadPermission};
use wire::PinOutcome;

use crate::action::Action;
use crate::core::Core;
use crate::pin_search::PinSearch;

/// Time between two rounds of asks for a pin.
const PIN_SEARCH_PAUSE: Duration = Duration::from_secs(1);
/// Most side processes asked in one round.
const MAX_PIN_CANDIDATES: usize = 16;

impl Core {
    /// Whether another side process pinned its copy for us; asks otherwise.
    pub(crate) fn acquire_pin(&mut self, model: &CompactString, now: Timestamp) -> bool {
        if self.pins.may_unload(model) {
            return true;
        }
        if self.pin_search.as_ref().is_some_and(|search| search.failed && search.not_before <= now)
        {
            self.pin_search = None;
        }
        if self.pin_search.is_none() {
            let mut candidates = self.peers.addresses(Role::Side);
            candidates.retain(|address| *address != self.address);
            candidates.sort_by_key(|address| {
                base::rendezvous_score(model.as_bytes(), &address.to_string())
            });
            candidates.truncate(MAX_PIN_CANDIDATES);
            self.pin_search = Some(PinSearch {
                model: model.clone(),
                candidates,
                asked: None,
                not_before: now,
                failed: false,
            });
        }
        self.request_next_pin(now);
        false
    }

    pub(crate) fn request_next_pin(&mut self, now: Timestamp) {
        let Some(search) = &mut self.pin_search else { return };
        if search.asked.is_some() || search.failed {
            return;
        }
        let model = search.model.clone();
        let next = search.candidates.pop();
        let ask = next
            .and_then(|peer| self.pins.request(&model, &peer_name(peer)).map(|ask| (peer, ask)));
        match ask {
            Some((peer, ask)) => {
                search.asked = Some(peer);
                self.actions.push(Action::RequestPin { peer, model, ask });
            }
            None if self.pins.may_unload(&model) => {}
            None => {
                search.failed = true;
                search.not_before = now + PIN_SEARCH_PAUSE;
                self.end_pin_request(&model);
            }
        }
    }

    /// Takes the answer to an ask for a pin; none if there was no answer.
    pub fn pin_answered(
        &mut self,
        peer: SocketAddr,
        model: &CompactString,
        ask: u64,
        answer: Option<PinOutcome>,
        now: Timestamp,
    ) {
        let answer = match answer {
            Some(PinOutcome::Held) => PinAnswer::Held,
            Some(PinOutcome::NotResident) => PinAnswer::NotResident,
            Some(PinOutcome::Refused) | None => PinAnswer::Refused,
        };
        self.pins.apply_answer(model, &peer_name(peer), ask, answer);
        if let Some(search) = &mut self.pin_search
            && search.model == *model
            && search.asked == Some(peer)
        {
            search.asked = None;
            if answer != PinAnswer::Held {
                self.request_next_pin(now);
            }
        }
        self.drive(now);
    }

    /// Ends the round once its copy is proven unloaded, or will not be unloaded.
    pub(crate) fn end_pin_search_if_done(&mut self) {
        let Some(search) = &self.pin_search else { return };
        if search.failed {
            return;
        }
        let model = search.model.clone();
        let item = Item::Model(model.clone());
        let resident = self.ledger.is_resident(&item);
        let gone = self.ledger.allocation(&item).is_none();
        let replaced = self.outdated_models().contains(&item);
        let forbidden = !replaced && self.unload_permission(&item) == UnloadPermission::Forbidden;
        if gone || (resident && forbidden) {
            self.pin_search = None;
            self.end_pin_request(&model);
        }
    }

    pub(crate) fn end_pin_request(&mut self, model: &CompactString) {
        self.pins.end_request(model);
        self.send_unpins();
    }

    /// Sends all unanswered `Unpin`s.
    pub fn send_unpins(&mut self) {
        for (model, peer, ask) in self.pins.pending_unpins() {
            if let Ok(peer) = peer.as_str().parse() {
                self.actions.push(Action::ReleasePin { peer, model: model.clone(), ask });
            }
        }
    }

    /// Notes that an `Unpin` was answered.
    pub fn unpin_answered(&mut self, peer: SocketAddr, model: &CompactString, ask: u64) {
        self.pins.confirm_unpin(model, &peer_name(peer), ask);
    }

    /// Answers another side process's ask for a pin.
    pub fn grant_pin(
        &mut self,
        model: &CompactString,
        requester: &ProcessId,
        ask: u64,
    ) -> PinOutcome {
        // A process that stops may take its VM, and the copy, with it.
        let open = !self.quarantined() && !self.draining;
        let keepable = open && self.ledger.is_resident(&Item::Model(model.clone()));
        if self.peers.superseded(requester) {
            return PinOutcome::Refused;
        }
        match self.pins.grant(model, requester, ask, keepable) {
            PinAnswer::Held => PinOutcome::Held,
            PinAnswer::NotResident => PinOutcome::NotResident,
            PinAnswer::Refused => PinOutcome::Refused,
        }
    }
}

/// Givers are known by address, since only the VM list names them before the first contact.
fn peer_name(address: SocketAddr) -> ProcessName {
    ProcessName::new(&address.to_string())
}
