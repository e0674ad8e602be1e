//! Failover of a stream to another target.

use std::time::Duration;

use base::Timestamp;
use routing::{DirectChoice, TargetOutcome};
use tokio::time::sleep;

use crate::dispatch::Dispatch;
use crate::in_flight_send::InFlightSend;
use crate::relay::MOVE_CHECK_INTERVAL;

/// Shortest remaining patience of the caller for which resuming the stream is tried again: it
/// covers one check of the targets and the prefill of a prompt.
const MIN_RESUME_TIME: Duration = Duration::from_millis(200);
/// Share of the longest allowed pause of a stream that a planned move may be expected to take.
const MOVE_PAUSE_SHARE: f64 = 0.5;
/// How long to wait for confirmation that a target has terminated after a stream broke there: the
/// time in which its agent detects the end and the gateways are informed. A caller tolerates a
/// pause of at least 2 s.
const TARGET_END_WAIT: Duration = Duration::from_millis(1_000);

impl Dispatch {
    /// Excludes the target of a broken stream so that another target can resume it.
    pub(crate) fn exclude_broken(&mut self, send: &InFlightSend) {
        self.attempts.record_broken();
        self.excluded.push(send.pick.key);
        send.record_outcome(TargetOutcome::Failed);
    }

    /// Excludes the target of a stream that is moved away from it.
    pub(crate) fn exclude_moved(&mut self, send: &InFlightSend) {
        self.attempts.record_may_have_run();
        self.excluded.push(send.pick.key);
    }

    /// Excludes the target of a stream that has stalled.
    pub(crate) fn exclude_stalled(&mut self, send: &InFlightSend) {
        self.attempts.record_may_have_run();
        self.excluded.push(send.pick.key);
        send.record_outcome(TargetOutcome::Failed);
    }

    /// Waits until the target of a send stands still and another target can take the request at once.
    pub(crate) async fn target_silent(&self, current: &InFlightSend) {
        loop {
            let changed = self.app.target_silent.notified();
            let is_silent = self.app.fleet.borrow().target(current.pick.key).silence.is_silent();
            if is_silent && self.may_move(current) {
                return;
            }
            if is_silent {
                sleep(MOVE_CHECK_INTERVAL).await;
            } else {
                changed.await;
            }
        }
    }

    /// Whether another target than `current` can resume the stream at once. Until one can, a pause
    /// is better than the loss of the progress made at the current target.
    pub(crate) fn may_move(&self, current: &InFlightSend) -> bool {
        let now = self.app.clock.now();
        let left_ms = self.time_for_first_event(now).as_secs_f64() * 1_000.0;
        self.may_move_within(current, left_ms, now)
    }

    /// Whether another target than `current` can resume the stream now and is expected to produce
    /// output within `limit_ms`.
    fn may_move_within(&self, current: &InFlightSend, limit_ms: f64, now: Timestamp) -> bool {
        if !self.request.plan.kind.may_run_again()
            || !self.attempts.allow_another(self.target_phase(now))
        {
            return false;
        }
        let mut exclude = self.excluded.clone();
        exclude.push(current.pick.key);
        match self.select_target(&exclude, now) {
            DirectChoice::Serve(pick) => !pick.needs_adapter_load && pick.estimate_ms < limit_ms,
            DirectChoice::Limited { .. } | DirectChoice::NoCopy { .. } | DirectChoice::NoTarget => {
                false
            }
        }
    }

    /// Whether the stream should move because its target is waiting to unload the model, and
    /// another target can resume it without too long a pause.
    pub(crate) fn should_leave(&self, current: &InFlightSend) -> bool {
        let now = self.app.clock.now();
        let model = self.request.head.model.as_deref().unwrap_or_default();
        let target_waits =
            self.app.fleet.borrow().target(current.pick.key).unload_is_overdue(model, now);
        let gap_ms = self.request.plan.objectives.event_gap.as_secs_f64() * 1_000.0;
        target_waits && self.may_move_within(current, gap_ms * MOVE_PAUSE_SHARE, now)
    }

    /// Whether another attempt to resume a stream is worthwhile: attempts are left, a target of its version
    /// is listed, no part is in quarantine, and the caller is still waiting.
    pub(crate) fn may_retry_resume(&self) -> bool {
        let now = self.app.clock.now();
        self.attempts.allow_another(self.target_phase(now))
            && self.may_find_software()
            && !self.is_quarantined(now)
            && self.time_for_first_event(now) > MIN_RESUME_TIME
    }

    /// Waits for an engine state change and makes targets without the adapter eligible again.
    pub(crate) async fn wait_before_retry(&mut self) {
        self.without_adapter.clear();
        self.adapter_requested = None;
        self.wait_for_engine_change().await;
    }

    /// Records that an event was passed to the caller.
    pub(crate) fn record_event(&mut self, id: Option<u64>, now: Timestamp) {
        self.last_event_at = Some(now);
        if id.is_some() {
            self.last_event = id;
        }
    }

    /// Whether the caller has an event of the stream, from this response or from one before.
    pub(crate) const fn caller_has_events(&self) -> bool {
        self.last_event_at.is_some() || self.last_event.is_some()
    }

    /// Waits until another attempt is allowed because a target was confirmed to have terminated;
    /// returns false if that isn't confirmed in time.
    pub(crate) async fn wait_for_send_allowance(&self) -> bool {
        let until = self.app.clock.now() + TARGET_END_WAIT;
        loop {
            let now = self.app.clock.now();
            if self.attempts.allow_another(self.target_phase(now)) {
                return true;
            }
            if now >= until {
                return false;
            }
            self.wait_for_engine_change().await;
        }
    }
}
