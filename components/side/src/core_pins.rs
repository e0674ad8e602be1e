//! Pins in the core: asking for them and giving them.

use std::net::SocketAddr;
use std::time::Duration;

use base::{ProcessId, ProcessName, Role, Timestamp};
use compact_str::CompactString;
use placement::{Item, PinAnswer, UnloadPermission};
use wire::PinOutcome;

use crate::action::Action;
use crate::core::Core;
use crate::pin_round::PinRound;

/// Time between two rounds of asks for a pin.
const PIN_ROUND_PAUSE: Duration = Duration::from_secs(1);
/// Most side processes asked in one round.
const PIN_CANDIDATES: usize = 16;

impl Core {
    /// Whether another side process pinned its copy for us; asks otherwise.
    pub(crate) fn hold_pin(&mut self, model: &CompactString, now: Timestamp) -> bool {
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

    pub(crate) fn ask_next_pin(&mut self, now: Timestamp) {
        let Some(round) = &mut self.pin_round else { return };
        if round.asked.is_some() || round.failed {
            return;
        }
        let model = round.model.clone();
        let next = round.candidates.pop();
        let ask = next.and_then(|giver| {
            self.pins.request(&model, &giver_name(giver)).map(|ask| (giver, ask))
        });
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
        giver: SocketAddr,
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
        self.pins.apply_answer(model, &giver_name(giver), ask, answer);
        if let Some(round) = &mut self.pin_round
            && round.model == *model
            && round.asked == Some(giver)
        {
            round.asked = None;
            if answer != PinAnswer::Held {
                self.ask_next_pin(now);
            }
        }
        self.drive(now);
    }

    /// Ends the round once its copy is proven unloaded, or will not be unloaded.
    pub(crate) fn end_pin_round_if_settled(&mut self) {
        let Some(round) = &self.pin_round else { return };
        if round.failed {
            return;
        }
        let model = round.model.clone();
        let item = Item::Model(model.clone());
        let resident = self.ledger.is_resident(&item);
        let gone = self.ledger.allocation(&item).is_none();
        let replaced = self.old_versions().contains(&item);
        let forbidden = !replaced && self.unloading(&item) == UnloadPermission::Forbidden;
        if gone || (resident && forbidden) {
            self.pin_round = None;
            self.finish_pin(&model);
        }
    }

    pub(crate) fn finish_pin(&mut self, model: &CompactString) {
        self.pins.end_request(model);
        self.send_unpins();
    }

    /// Sends all unanswered `Unpin`s.
    pub fn send_unpins(&mut self) {
        for (model, giver, ask) in self.pins.pending_unpins() {
            if let Ok(giver) = giver.as_str().parse() {
                self.actions.push(Action::EndPin { giver, model: model.clone(), ask });
            }
        }
    }

    /// Notes that an `Unpin` was answered.
    pub fn unpin_answered(&mut self, giver: SocketAddr, model: &CompactString, ask: u64) {
        self.pins.confirm_unpin(model, &giver_name(giver), ask);
    }

    /// Answers another side process's ask for a pin.
    pub fn give_pin(
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
fn giver_name(address: SocketAddr) -> ProcessName {
    ProcessName::new(&address.to_string())
}
