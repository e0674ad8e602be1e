//! Request ids of recent calls, which must not run twice.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use base::Timestamp;
use wire::RequestId;

/// Retention of an id; far above the time for which a duplicate can be in flight.
const RETENTION: Duration = Duration::from_secs(600);

/// Request ids received within [`RETENTION`].
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentRequestIds {
    ids: BTreeSet<RequestId>,
    arrivals: VecDeque<(Timestamp, RequestId)>,
}

impl RecentRequestIds {
    /// Records an id; returns whether it is new.
    pub fn insert(&mut self, id: RequestId, now: Timestamp) -> bool {
        while let Some((arrived, oldest)) = self.arrivals.front()
            && now.since(*arrived) > RETENTION
        {
            // An id that was removed by `forget` and received again expires early, with its first
            // arrival; a duplicate of the second arrival is just as unlikely by then.
            self.ids.remove(oldest);
            self.arrivals.pop_front();
        }
        let new = self.ids.insert(id);
        if new {
            self.arrivals.push_back((now, id));
        }
        new
    }

    /// Removes the id of a call that did not run, so that it can be retried.
    pub fn forget(&mut self, id: RequestId) {
        self.ids.remove(&id);
    }
}
