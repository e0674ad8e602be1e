//! Pins: requests to other side processes, and grants to them.

use std::net::SocketAddr;
use std::time::Duration;

use base::{ProcessId, ProcessName, Role, Timestamp};
use compact_str::CompactString;
use placement::{Item, PinAnswer, UnloadPermission};
use wire::PinOutcome;

use crate::action::Action;
use crate::core::Core;
use crate::pin_search::PinSearch;

/// Pause after a failed pin search before the next one.
const PIN_SEARCH_PAUSE: Duration = Duration::from_secs(1);
/// Maximum number of side processes asked in one pin search.
const MAX_PIN_CANDIDATES: usize = 16;

impl Core {
    /// Returns whether another side process pinned its copy for this one; requests a pin otherwise.
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

    /// Applies the response to a pin request; none if no response arrived.
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

    /// Ends the pin search once the copy is confirmed as unloaded, or may not be unloaded any more.
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

    /// Sends all unacknowledged `Unpin`s again.
    pub fn send_unpins(&mut self) {
        for (model, peer, ask) in self.pins.pending_unpins() {
            if let Ok(peer) = peer.as_str().parse() {
                self.actions.push(Action::ReleasePin { peer, model: model.clone(), ask });
            }
        }
    }

    /// Records the acknowledgement of an `Unpin`.
    pub fn unpin_answered(&mut self, peer: SocketAddr, model: &CompactString, ask: u64) {
        self.pins.confirm_unpin(model, &peer_name(peer), ask);
    }

    /// Grants or refuses another side process's pin request.
    pub fn grant_pin(
        &mut self,
        model: &CompactString,
        requester: &ProcessId,
        ask: u64,
    ) -> PinOutcome {
        // The VM of a draining process may be removed, and its copy with it.
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

/// Identifies a peer by address, since before the first contact only the VM list mentions it.
fn peer_name(address: SocketAddr) -> ProcessName {
    ProcessName::new(&address.to_string())
}
