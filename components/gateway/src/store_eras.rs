//! Restorations of the store from an older copy.

use base::Timestamp;

use crate::app::App;

impl App {
    /// Records the era that the store itself names in its answers.
    pub(crate) fn record_answered_era(&self, now: Timestamp) {
        if let Some(era) = self.store.era() {
            self.record_store_era(era, "store", now);
        }
    }

    /// Records an era of the store. After a restoration, everything that this process has written
    /// there may be lost.
    pub(crate) fn record_store_era(&self, era: u64, source: &str, now: Timestamp) {
        let mut known = self.store_era.get();
        let former = known.known();
        let restored = known.record(era, now);
        if self.settings().first_start && former.is_none() {
            known.record_settled(era);
        }
        self.store_era.set(known);
        if !restored {
            return;
        }
        log::warn!(
            "event=store_restored era={era} former={} source={source}",
            former.unwrap_or_default()
        );
        self.directory.borrow_mut().note_restored(now);
        self.engine_orders.reset(now);
        self.store_quarantines();
        self.store_restored.notify_waiters();
    }

    /// Records that the store's content is complete in an era.
    pub(crate) fn record_settled_era(&self, era: u64) {
        let mut known = self.store_era.get();
        known.record_settled(era);
        self.store_era.set(known);
    }

    /// Whether the content of the store is evidence of what was written there.
    pub(crate) fn store_is_settled(&self, now: Timestamp) -> bool {
        self.store_era.get().is_settled(now)
    }
}
