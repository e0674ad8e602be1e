//! A request in flight at a target.

use std::cell::Cell;
use std::rc::Rc;

use base::Timestamp;
use compact_str::CompactString;
use routing::{DirectPick, SendId, TargetOutcome, WorkKind};
use telemetry::quote;

use crate::app::App;

/// Fewest parts of a stream whose average distance is used: with fewer, the first ones dominate.
const MIN_STREAM_PARTS: u32 = 4;

/// An attempt in flight; dropping it removes the request from the target's load.
pub(crate) struct InFlightSend {
    app: Rc<App>,
    /// Chosen target.
    pub pick: DirectPick,
    /// Version of the target's software.
    pub software: CompactString,
    /// Unix time of the target's start in milliseconds, if known.
    pub born_ms: Option<u64>,
    /// Id of the attempt at the target.
    pub number: SendId,
    /// When it was sent.
    pub sent_at: Timestamp,
    /// When the first and the last part of the stream were received.
    parts_between: Cell<Option<(Timestamp, Timestamp)>>,
    /// Number of parts of the stream that were received.
    parts: Cell<u32>,
}

impl Drop for InFlightSend {
    fn drop(&mut self) {
        self.record_end();
    }
}

impl InFlightSend {
    /// An attempt that starts now.
    pub(crate) fn new(app: Rc<App>, pick: DirectPick, number: SendId, now: Timestamp) -> Self {
        let (software, born_ms) = {
            let fleet = app.fleet.borrow();
            let target = fleet.target(pick.key);
            (target.software.clone(), target.started_unix_ms)
        };
        Self {
            software,
            born_ms,
            app,
            pick,
            number,
            sent_at: now,
            parts_between: Cell::new(None),
            parts: Cell::new(0),
        }
    }

    /// Removes the request from the target's load.
    pub(crate) fn record_end(&self) {
        self.app.fleet.borrow_mut().record_end(self.pick.key, self.number);
    }

    /// Records the outcome for the health of the target.
    pub(crate) fn record_outcome(&self, outcome: TargetOutcome) {
        let now = self.app.clock.now();
        self.app.fleet.borrow_mut().record_outcome(self.pick.key, outcome, now);
    }

    /// Records the time to the first event of a generation on `model`.
    pub(crate) fn record_first_event(&self, model: &str) {
        let now = self.app.clock.now();
        let took_ms = self.elapsed_ms(now);
        self.app.fleet.borrow_mut().record_first_event(
            &self.pick,
            model,
            self.number,
            took_ms,
            now,
        );
        self.log_speed_change(now);
    }

    /// Records that a part of a stream was received.
    pub(crate) fn record_part(&self, at: Timestamp) {
        let first = self.parts_between.get().map_or(at, |(first, _)| first);
        self.parts_between.set(Some((first, at)));
        self.parts.set(self.parts.get().saturating_add(1));
        self.app.fleet.borrow_mut().record_sign(self.pick.key, at);
    }

    /// Records the speed of a complete stream of `model`.
    pub(crate) fn record_stream_end(&self, model: &str) {
        let Some((first, last)) = self.parts_between.get() else { return };
        let gaps = self.parts.get().saturating_sub(1);
        if gaps + 1 < MIN_STREAM_PARTS {
            return;
        }
        let now = self.app.clock.now();
        let gap_ms = last.since(first).as_secs_f64() * 1_000.0 / f64::from(gaps);
        self.app.fleet.borrow_mut().record_event_gap(self.pick.key, model, gap_ms, now);
        self.log_speed_change(now);
    }

    /// Records the complete response of a plain request, which was read at `now`.
    pub(crate) fn record_plain_response(&self, now: Timestamp) {
        let took_ms = self.elapsed_ms(now);
        self.app.fleet.borrow_mut().record_plain_response(&self.pick, took_ms, now);
        self.log_speed_change(now);
    }

    /// Records that a plain request had no response in time.
    pub(crate) fn record_plain_timeout(&self) {
        let now = self.app.clock.now();
        let waited_ms = self.elapsed_ms(now);
        self.app.fleet.borrow_mut().record_plain_timeout(&self.pick, waited_ms, now);
        self.log_speed_change(now);
    }

    fn elapsed_ms(&self, now: Timestamp) -> f64 {
        now.since(self.sent_at).as_secs_f64() * 1_000.0
    }

    fn log_speed_change(&self, now: Timestamp) {
        let mut fleet = self.app.fleet.borrow_mut();
        let target = fleet.target_mut(self.pick.key);
        let Some(change) = target.speed.take_change(now) else { return };
        log::info!(
            "event=target_speed_changed target={} change={} plain={:.2} prefill={:.2} decode={:.2} concurrency_limit={}",
            quote(&target.id),
            change.as_str(),
            target.speed.slowdown(WorkKind::Plain, now),
            target.speed.slowdown(WorkKind::Prefill, now),
            target.speed.slowdown(WorkKind::Decode, now),
            target.speed.concurrency_limit(now).map_or(-1, i64::from)
        );
    }
}
