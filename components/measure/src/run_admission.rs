//! Admission in a run: collections at the owners of slots, settlement, the judge.

use std::time::Duration;

use base::{Timestamp, Tokens};
use rates::{
    CollectAction, CollectRequest, Collector, Distance, ReservationPart, SlotHolder, slot_holders,
    slots_of,
};
use wire::{ReserveOutcome, SlotId};

use crate::Outcome;
use crate::event::Event;
use crate::run::Run;

const CALL_TIMEOUT: Duration = Duration::from_millis(500);

impl Run<'_> {
    pub(crate) fn start_collector(&mut self, request: usize, now: Timestamp) {
        let arrival = self.requests[request].arrival;
        let customer = self.config.customer(arrival.customer).clone();
        let me = self.requests[request].entry;
        let holders = self.holders(me, &customer.name);
        let local_nearly_full = holders.first().is_some_and(|nearest| {
            let entry = &mut self.entries[me];
            let tokens = arrival.reserved();
            nearest.owner == entry.id
                && entry.owner.stays_nearly_full(nearest.slot, &customer.name, tokens, now)
        });
        let slot_count = slots_of(&customer.name, self.config.buckets).count();
        let (collector, actions) = Collector::start(
            CollectRequest {
                customer: customer.name.clone(),
                tokens: arrival.reserved(),
                burst: Tokens(customer.burst_tokens),
                rate_tokens_per_s: customer.rate_tokens_per_s,
                slot_count: u16::try_from(slot_count).unwrap_or(u16::MAX),
                holders,
                local_nearly_full,
                validity: Duration::from_secs(2),
                call_timeout: CALL_TIMEOUT,
                max_wait: Duration::from_millis(self.scenario.rate_wait_ms),
                seed: request as u64,
            },
            now,
        );
        self.requests[request].collector = Some(collector);
        self.collect(request, actions, now);
    }

    /// Owners of a customer's slots as entry process `me` sees them.
    pub(crate) fn holders(&self, me: usize, customer: &str) -> Vec<SlotHolder> {
        let me = &self.entries[me];
        slot_holders(customer, self.config.buckets, &self.slots, |owner| {
            if *owner == me.id {
                return Some(Distance::Local);
            }
            let other = self.entries.iter().find(|e| e.id == *owner && e.alive)?;
            let near = other.data_centre == me.data_centre;
            Some(if near { Distance::DataCentre } else { Distance::Region })
        })
    }

    pub(crate) fn collect(&mut self, request: usize, actions: Vec<CollectAction>, now: Timestamp) {
        for action in actions {
            match action {
                CollectAction::Reserve { slot, owner, tokens } => {
                    let event = match self.entries.iter().position(|e| e.id == owner && e.alive) {
                        Some(owner) => Event::Reserve { request, owner, slot, tokens },
                        None => Event::ReserveFailed { request, slot },
                    };
                    let delay = self.delay_to_owner(request, &owner);
                    self.agenda.push(now + delay, event);
                }
                CollectAction::Refund(part) => self.send_settle(request, part, Tokens::ZERO, now),
                CollectAction::Admitted { parts, .. } => self.admitted(request, parts, now),
                CollectAction::ExceedsBurst => self.end(request, Outcome::RefusedAboveRate),
                CollectAction::Refused { .. } => self.refuse_rate(request, now),
            }
        }
        let deadline = self.requests[request].collector.as_ref().and_then(Collector::deadline);
        if let Some(deadline) = deadline {
            self.agenda.push(deadline, Event::CollectTick(request));
        }
    }

    pub(crate) fn delay_to_owner(&self, request: usize, owner: &base::ProcessId) -> Duration {
        let me = &self.entries[self.requests[request].entry];
        if me.id == *owner {
            return Duration::ZERO;
        }
        let other = self.entries.iter().find(|e| e.id.name == owner.name);
        other.map_or(Duration::ZERO, |other| self.delay(&me.data_centre, &other.data_centre))
    }

    pub(crate) fn reserve(
        &mut self,
        request: usize,
        owner: usize,
        slot: SlotId,
        tokens: Tokens,
        now: Timestamp,
    ) {
        let customer = self.customer_name(request);
        let entry = &mut self.entries[owner];
        let outcome = if entry.alive {
            entry.owner.reserve(slot, &customer, tokens, now)
        } else {
            ReserveOutcome::NotOwner
        };
        let id = self.entries[owner].id.clone();
        if let ReserveOutcome::Granted { reservation, tokens, .. } = &outcome {
            let customer = self.requests[request].arrival.customer;
            let number = self.judge.admitted(customer, *tokens, now);
            self.admissions.insert((id.clone(), *reservation), number);
        }
        let delay = self.delay_to_owner(request, &id);
        self.agenda.push(now + delay, Event::Reserved { request, slot, outcome });
    }

    pub(crate) fn send_settle(
        &mut self,
        request: usize,
        part: ReservationPart,
        used: Tokens,
        now: Timestamp,
    ) {
        let Some(owner) = self.entries.iter().position(|e| e.id == part.owner) else { return };
        let delay = self.delay_to_owner(request, &part.owner);
        self.agenda.push(now + delay, Event::Settle { owner, request, part, used });
    }

    pub(crate) fn refuse_rate(&mut self, request: usize, now: Timestamp) {
        let arrival = self.requests[request].arrival;
        let inside = self.requests[request].inside_at_arrival
            && self.judge.refused(arrival.customer, arrival.reserved(), arrival.used(), now);
        let outcome = if inside { Outcome::RefusedInsideRate } else { Outcome::RefusedAboveRate };
        self.end(request, outcome);
    }

    pub(crate) fn admitted(&mut self, request: usize, parts: Vec<ReservationPart>, now: Timestamp) {
        let arrival = self.requests[request].arrival;
        if parts.is_empty() {
            let number = self.judge.admitted(arrival.customer, arrival.reserved(), now);
            self.requests[request].admission = Some(number);
        }
        self.requests[request].parts = parts;
        self.send(request, now);
    }
}
