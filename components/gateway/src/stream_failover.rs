//! Streams that go on at another target.

use std::time::Duration;

use base::Timestamp;
use routing::{DirectChoice, TargetOutcome};

use crate::dispatch::Dispatch;
use crate::in_flight_send::InFlightSend;

/// Time that a caller must still wait for another look for a target of its stream to make sense: a look and the
/// reading of a prompt.
const MIN_RESUME_TIME: Duration = Duration::from_millis(200);
/// Part of the longest pause of a stream that a move may be expected to take.
const MOVE_PAUSE_SHARE: f64 = 0.5;
/// Wait for news that a target has ended, after a stream broke off there: the time in which its agent finds
/// out and the word is passed on. A caller bears a pause of at least 2 s.
const TARGET_END_WAIT: Duration = Duration::from_millis(1_000);

impl Dispatch {
    /// Excludes the target of a stream that broke, so that another one can go on.
    pub(crate) fn note_broken(&mut self, send: &InFlightSend) {
        self.attempts.record_broken();
        self.excluded.push(send.pick.key);
        send.note(TargetOutcome::Failed);
    }

    /// Excludes the target of a stream that leaves it in order.
    pub(crate) fn note_moved(&mut self, send: &InFlightSend) {
        self.attempts.record_may_have_run();
        self.excluded.push(send.pick.key);
    }

    /// Excludes the target of a stream that has not gone on for too long.
    pub(crate) fn note_stalled(&mut self, send: &InFlightSend) {
        self.attempts.record_may_have_run();
        self.excluded.push(send.pick.key);
        send.note(TargetOutcome::Failed);
    }

    /// Whether the stream can go on at another target than `current` at once. Before it is known that one
    /// can take it, a pause is better than the loss of what the current target has made.
    pub(crate) fn may_move(&self, current: &InFlightSend) -> bool {
        let now = self.app.clock.now();
        let left_ms = self.time_for_first_event(now).as_secs_f64() * 1_000.0;
        self.may_move_within(current, left_ms, now)
    }

    /// Whether another target than `current` can take the stream now and is expected to go on within `limit_ms`.
    fn may_move_within(&self, current: &InFlightSend, limit_ms: f64, now: Timestamp) -> bool {
        if !self.request.plan.kind.may_run_again() || !self.attempts.allow_another(self.end_of(now))
        {
            return false;
        }
        let mut exclude = self.excluded.clone();
        exclude.push(current.pick.key);
        match self.select_target(&exclude, now) {
            DirectChoice::Serve(pick) => !pick.needs_adapter_load && pick.estimate_ms < limit_ms,
            DirectChoice::NoCopy { .. } | DirectChoice::NoTarget => false,
        }
    }

    /// Whether the stream should go on elsewhere, since its target waits for it to give up the model, and can do
    /// so without a pause that is too long.
    pub(crate) fn should_leave(&self, current: &InFlightSend) -> bool {
        let now = self.app.clock.now();
        let model = self.request.head.model.as_deref().unwrap_or_default();
        let waited_for =
            self.app.fleet.borrow().target(current.pick.key).unload_is_overdue(model, now);
        let gap_ms = self.request.plan.objectives.event_gap.as_secs_f64() * 1_000.0;
        waited_for && self.may_move_within(current, gap_ms * MOVE_PAUSE_SHARE, now)
    }

    /// Whether a stream that found no target to go on at may look again: the caller still waits.
    pub(crate) fn may_retry_resume(&self) -> bool {
        let now = self.app.clock.now();
        self.attempts.allow_another(self.end_of(now))
            && self.time_for_first_event(now) > MIN_RESUME_TIME
    }

    /// Waits for news and takes targets into account again that lacked an adapter.
    pub(crate) async fn wait_before_retry(&mut self) {
        self.without_adapter.clear();
        self.adapter_asked = None;
        self.wait_for_engine_change().await;
    }

    /// Records that the caller was passed an event.
    pub(crate) fn note_event(&mut self, id: Option<u64>, now: Timestamp) {
        self.last_event_at = Some(now);
        if id.is_some() {
            self.last_event = id;
        }
    }

    /// Waits until another send is allowed, since a target is found to have ended; false if none is found to
    /// in time.
    pub(crate) async fn wait_for_send_allowance(&self) -> bool {
        let until = self.app.clock.now() + TARGET_END_WAIT;
        loop {
            let now = self.app.clock.now();
            if self.attempts.allow_another(self.end_of(now)) {
                return true;
            }
            if now >= until {
                return false;
            }
            self.wait_for_engine_change().await;
        }
    }
}
