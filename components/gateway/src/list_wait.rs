//! Waits of requests for a view of the target list that is as new as they need.

use std::time::Duration;

use base::Timestamp;

use crate::app::App;

/// Time between two looks at the view.
pub(crate) const LIST_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Wait after which this gateway reads the list itself: a read interval and a call. Gateways hear of reads
/// in other data centres later, or not at all.
const LIST_WAIT: Duration = Duration::from_millis(600);
/// Longest wait, with the own read.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_000);

impl App {
    /// Time as of which the list of targets is known: the start of the newest read by this gateway, or by
    /// another one that has the same list.
    pub(crate) fn targets_known_at(&self) -> Option<Timestamp> {
        let digest = self.directory.borrow().digest();
        let known_by_others = self.gateways.borrow().targets_known_at(digest);
        self.targets_read_at.get().max(known_by_others)
    }

    /// Whether a newer view may come for a request that has `waited`. Failed reads of this gateway alone don't
    /// exclude it: another one may read the list.
    pub(crate) fn may_get_list(&self, waited: Duration, now: Timestamp) -> bool {
        let is_outage =
            self.directory.borrow().is_failing() && !self.version_view.get().is_fresh(now);
        waited < LIST_TIMEOUT && !is_outage
    }

    /// Has this gateway read the list if a request has `waited` in vain for a view as of `as_of`.
    pub(crate) fn request_list(&self, as_of: Timestamp, waited: Duration) {
        if waited >= LIST_WAIT {
            let wanted_at = self.targets_wanted_at.get().max(Some(as_of));
            self.targets_wanted_at.set(wanted_at);
        }
    }
}
