//! Times of planning rounds, which show whether the planner may know the state of the fleet.

use std::time::Duration;

use base::Timestamp;

/// Gap between rounds after which the process counts as having been stopped, and time without a datagram
/// after which it counts as cut off. Datagrams that were buffered meanwhile are old.
const MAX_GAP: Duration = Duration::from_millis(1_000);
/// Time after such a gap until every agent has been queried twice and has answered.
const SETTLE_TIME: Duration = Duration::from_millis(900);

/// Rounds of one process.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlanningRounds {
    last_at: Option<Timestamp>,
    gap_ended_at: Option<Timestamp>,
}

impl PlanningRounds {
    /// Records a round. `heard_at` is the time of the last datagram, none if there is nobody to be heard.
    pub fn record(&mut self, heard_at: Option<Timestamp>, now: Timestamp) {
        let is_gap = |at: Option<Timestamp>| at.is_some_and(|at| now.since(at) >= MAX_GAP);
        if is_gap(self.last_at) || is_gap(heard_at) {
            self.gap_ended_at = Some(now);
        }
        self.last_at = Some(now);
    }

    /// Returns whether the known state of the fleet may be from before a gap.
    pub fn is_view_outdated(&self, now: Timestamp) -> bool {
        self.gap_ended_at.is_some_and(|at| now.since(at) < SETTLE_TIME)
    }
}
