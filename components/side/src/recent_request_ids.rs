//! Request ids of calls that must not run twice.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use base::Timestamp;
use wire::RequestId;

/// How long an id is kept; far above the time that a duplicate can be on its way.
const RETENTION: Duration = Duration::from_secs(600);

/// Ids seen lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentRequestIds {
    ids: BTreeSet<RequestId>,
    arrivals: VecDeque<(Timestamp, RequestId)>,
}

impl RecentRequestIds {
    /// Notes an id; returns whether it is new.
    pub fn insert(&mut self, id: RequestId, now: Timestamp) -> bool {
        while let Some((arrived, oldest)) = self.arrivals.front()
            && now.since(*arrived) > RETENTION
        {
            // An id that was forgotten and came again leaves early with its first arrival; by then a
            // duplicate of the second one is just as late.
            self.ids.remove(oldest);
            self.arrivals.pop_front();
        }
        let new = self.ids.insert(id);
        if new {
            self.arrivals.push_back((now, id));
        }
        new
    }

    /// Forgets an id whose call was not run, so that it may be tried again.
    pub fn forget(&mut self, id: RequestId) {
        self.ids.remove(&id);
    }
}
