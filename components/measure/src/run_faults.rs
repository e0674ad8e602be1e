//! Faults in the middle of a run.

use std::time::Duration;

use base::Timestamp;
use rates::SlotRecord;
use wire::SlotId;

use crate::Fault;
use crate::event::Event;
use crate::run::Run;

/// Time for which an entry process is away when it is replaced.
const RESTART: Duration = Duration::from_secs(2);
/// Time between the steps of a rolling replacement, one an entry process.
const RESTART_SPACING: Duration = Duration::from_secs(10);

impl Run<'_> {
    pub(crate) fn fault(&mut self, step: u32, now: Timestamp) {
        match self.scenario.fault {
            Fault::None => {}
            Fault::TargetLost => self.lose_target(now),
            Fault::LogOutage => self.log_outage(step, now),
            Fault::RollingRestart => self.rolling_restart(step, now),
        }
    }

    pub(crate) fn lose_target(&mut self, now: Timestamp) {
        let busiest = (0..self.sides.len()).max_by_key(|at| self.sides[*at].ledger.used_mb());
        let Some(target) = busiest else { return };
        let side = &mut self.sides[target];
        side.alive = false;
        side.epoch += 1;
        side.engine.clear();
        let lost: Vec<usize> = side.tickets.values().map(|waiting| waiting.request).collect();
        for request in lost {
            self.retry(request, target, now);
        }
    }

    /// An entry process dies at the start of the outage; its slots can't be claimed before the end.
    pub(crate) fn log_outage(&mut self, step: u32, now: Timestamp) {
        if step == 0 {
            self.entries[0].alive = false;
            let end = now + Duration::from_secs(self.scenario.length_s / 3);
            self.agenda.push(end, Event::FaultStep(1));
            return;
        }
        let owned: Vec<SlotId> = self.slots.owned_by(&self.entries[0].id).collect();
        self.entries[0].restart(0, &self.config, &self.slots, now);
        for slot in owned {
            let layout = self.config.buckets.into();
            self.append_slot_record(0, SlotRecord::Claimed { slot, layout, replaces: None });
        }
        self.sync_slots(now);
    }

    /// Even steps stop an entry process, which hands its slots on; odd steps start it again.
    pub(crate) fn rolling_restart(&mut self, step: u32, now: Timestamp) {
        let at = step as usize / 2;
        if at >= self.entries.len() {
            return;
        }
        if step.is_multiple_of(2) {
            let heir = self.entries[(at + 1) % self.entries.len()].id.clone();
            let owned: Vec<SlotId> = self.slots.owned_by(&self.entries[at].id).collect();
            for slot in owned {
                let released = self.entries[at].owner.release(slot, now).unwrap_or_default();
                let record = SlotRecord::Released {
                    slot,
                    to: Some(heir.clone()),
                    levels: released.levels,
                    permit_holds_ms: released.permit_holds_ms,
                };
                self.append_slot_record(at, record);
            }
            self.sync_slots(now);
            self.entries[at].alive = false;
            self.agenda.push(now + RESTART, Event::FaultStep(step + 1));
        } else {
            self.entries[at].restart(at, &self.config, &self.slots, now);
            self.agenda.push(now + RESTART_SPACING, Event::FaultStep(step + 1));
        }
    }
}
