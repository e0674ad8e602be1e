//! Times of planning rounds, which show whether the planner's process stood still.

use std::time::Duration;

use base::Timestamp;

/// Time without a round from which the process stood still. What it then reads first is as old as that.
const MIN_STANDSTILL: Duration = Duration::from_millis(1_000);
/// Time after a standstill until every agent has been queried twice and has answered.
const RESUMED_SETTLE_TIME: Duration = Duration::from_millis(900);

/// Rounds of one process.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlanningRounds {
    last_at: Option<Timestamp>,
    resumed_at: Option<Timestamp>,
}

impl PlanningRounds {
    /// Records a round; returns whether the process stood still before it.
    pub fn record(&mut self, now: Timestamp) -> bool {
        let stood_still = self.last_at.is_some_and(|at| now.since(at) >= MIN_STANDSTILL);
        self.last_at = Some(now);
        if stood_still {
            self.resumed_at = Some(now);
        }
        stood_still
    }

    /// Returns whether the state of the fleet may still be from before a standstill.
    pub fn is_view_outdated(&self, now: Timestamp) -> bool {
        self.resumed_at.is_some_and(|at| now.since(at) < RESUMED_SETTLE_TIME)
    }
}
