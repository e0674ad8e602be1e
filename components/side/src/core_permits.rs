//! Permits for loads from the weight store.

use std::time::Duration;

use base::{Role, Timestamp};
use placement::{Item, OrderKind};
use rates::{MAX_PERMIT_HOLD_MS, WEIGHT_STORE_CUSTOMER, slots_of};
use wire::SlotId;

use crate::action::{Action, SlotOwner};
use crate::core::Core;
use crate::permit_state::PermitState;

impl Core {
    /// Returns whether a permit is available for a load; requests one if none is held or requested.
    pub(crate) fn acquire_permit(&mut self, item: &Item, now: Timestamp) -> bool {
        match &self.permit {
            PermitState::Held { loading, .. } => return !loading,
            PermitState::Requested(_) => return false,
            PermitState::Idle => {}
        }
        let slots: Vec<SlotId> = slots_of(WEIGHT_STORE_CUSTOMER, self.config.buckets).collect();
        let silent_after = Duration::from_millis(self.settings.membership.silent_after_ms);
        let owners = self.peers.reachable(Role::Entry, silent_after, now);
        let candidates = owners
            .into_iter()
            .flat_map(|address| slots.iter().map(move |slot| SlotOwner { address, slot: *slot }));
        self.permits.set_candidates(candidates.collect());
        if let Some(owner) = self.permits.candidate(now) {
            let load_ms =
                self.config.model_id(item.name()).map_or(0, |id| self.config.model(id).load_ms);
            // A load takes proportionally longer while the store is busy.
            let hold_ms = self.settings.order_lifetime_ms + 4 * load_ms;
            let hold_ms = u32::try_from(hold_ms).unwrap_or(u32::MAX).min(MAX_PERMIT_HOLD_MS);
            self.permit = PermitState::Requested(owner);
            self.actions.push(Action::RequestPermit { owner, hold_ms });
        }
        false
    }

    /// Applies the response to a permit request: the permit's number, or the delay before a retry.
    pub fn permit_answered(
        &mut self,
        owner: SlotOwner,
        answer: Result<u64, Option<Duration>>,
        now: Timestamp,
    ) {
        if self.permit != PermitState::Requested(owner) {
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

    pub(crate) fn release_permit_after_load(&mut self) {
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

    pub(crate) fn release_unused_permit(&mut self, wanted: &[Item]) {
        let needed = wanted.iter().any(|item| matches!(item, Item::Model(_)));
        if let PermitState::Held { owner, permit, loading: false } = self.permit
            && !needed
        {
            self.permit = PermitState::Idle;
            self.actions.push(Action::ReturnPermit { owner, permit });
        }
    }
}
