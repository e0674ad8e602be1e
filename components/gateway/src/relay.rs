//! Relays a stream to its caller and resumes it at another target if it breaks.

use std::time::Duration;

use api::RunEnd;
use base::Timestamp;
use compact_str::CompactString;
use ingress::{BodySender, CallerDisconnected};
use platform::ResponseFraming;
use routing::TargetOutcome;
use telemetry::quote;

use crate::dispatch::{Dispatch, DispatchOutcome};
use crate::events::{EventSplitter, StreamEvent};
use crate::exchange::{StreamPart, TargetResponse, TargetStream};
use crate::in_flight_send::InFlightSend;
use crate::run_end::RunState;
use crate::stream_keepers::LiveStreamGuard;

/// Shortest time between two searches for a target that can resume a stalled stream.
pub(crate) const MOVE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Bytes of an incomplete event that each stream may hold; events of a model have some 200.
const SMALL_EVENT_BYTES: usize = 32 << 10;
/// Bytes beyond these that all streams together may hold: four of the largest events.
pub(crate) const MAX_LARGE_EVENT_BYTES: usize = 4 << 20;

/// How a stream, or one run of it at a target, ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RelayEnd {
    /// Complete.
    Whole,
    /// The caller disconnected.
    CallerDisconnected,
    /// The connection was lost, or an event is too long or missing.
    Broken,
    /// No event arrived in time.
    Stalled,
    /// The target stands still, and another one can resume the stream at once.
    TargetSilent,
    /// The stream is moved away from a target that is waiting to unload the model.
    Moved,
    /// The deadline passed.
    TimedOut,
}

impl RelayEnd {
    /// Value for log lines.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::CallerDisconnected => "caller_gone",
            Self::Broken => "broken",
            Self::Stalled => "silent",
            Self::Moved => "moved",
            Self::TargetSilent => "target_silent",
            Self::TimedOut => "timed_out",
        }
    }
}

/// A stream that is relayed to a caller.
pub(crate) struct StreamRelay {
    pub dispatch: Dispatch,
    pub body: BodySender,
    /// When the first event was passed to the caller.
    pub first_event_at: Option<Timestamp>,
    /// When the last event was passed to the caller.
    pub last_event_at: Option<Timestamp>,
    /// Longest pause between two events.
    pub longest_gap: Duration,
    /// Data centre of the current target.
    pub data_centre: CompactString,
    /// Number of events passed to the caller.
    pub events: u64,
    /// Framing of the current target's response.
    pub framing: ResponseFraming,
    /// Bytes that the current target sent after its last complete event.
    pub rest_bytes: usize,
    /// Whether a target broke off inside the event that the caller lacks next.
    next_event_begun: bool,
    /// Entry in the table of streams whose keepers are told of changes.
    live_stream: Option<LiveStreamGuard>,
}

impl StreamRelay {
    /// A relay that has not passed on any event.
    pub(crate) fn new(dispatch: Dispatch, body: BodySender) -> Self {
        Self {
            dispatch,
            body,
            first_event_at: None,
            last_event_at: None,
            longest_gap: Duration::ZERO,
            data_centre: CompactString::default(),
            events: 0,
            framing: ResponseFraming::default(),
            rest_bytes: 0,
            next_event_begun: false,
            live_stream: None,
        }
    }

    /// Relays events until the stream ends. Doesn't finish the response body; the caller of this
    /// function does so if the stream is complete.
    pub(crate) async fn run(
        mut self,
        response: TargetResponse,
        send: InFlightSend,
    ) -> (Self, RelayEnd) {
        let mut current = (response, send);
        loop {
            let (response, send) = current;
            self.data_centre = {
                let fleet = self.dispatch.app.fleet.borrow();
                fleet.target(send.pick.key).data_centre.clone()
            };
            self.framing = response.head.framing;
            let end = self.relay_from(response.into_stream(), &send).await;
            match end {
                RelayEnd::Whole => {
                    let model = self.dispatch.request.head.model.as_deref().unwrap_or_default();
                    send.record_stream_end(model);
                    send.record_outcome(TargetOutcome::Answered);
                    return (self, end);
                }
                RelayEnd::CallerDisconnected | RelayEnd::TimedOut => return (self, end),
                RelayEnd::Broken => self.dispatch.exclude_broken(&send),
                RelayEnd::Stalled | RelayEnd::TargetSilent => self.dispatch.exclude_stalled(&send),
                RelayEnd::Moved => self.dispatch.exclude_moved(&send),
            }
            log::info!(
                "event=stream_broken request_id={} target={} last_event={} reason={} sends={} framing={} rest_bytes={}",
                quote(&self.dispatch.request.id),
                quote(&send.pick.id),
                self.dispatch.last_event.unwrap_or_default(),
                end.as_str(),
                self.dispatch.attempt_count(),
                self.framing.as_str(),
                self.rest_bytes
            );
            let before_output = end == RelayEnd::Broken && !self.dispatch.caller_has_events();
            let allowed =
                !before_output || self.dispatch.allows_retry_after_break(&send, true).await;
            drop(send);
            if !allowed {
                return (self, end);
            }
            match self.resume().await {
                Some(next) => current = next,
                None => return (self, end),
            }
        }
    }

    /// Resumes the stream at another target after the last event that was passed on.
    async fn resume(&mut self) -> Option<(TargetResponse, InFlightSend)> {
        let has_place = self.events == 0 || self.dispatch.last_event.is_some();
        if !self.dispatch.request.plan.kind.may_run_again() || !has_place {
            return None;
        }
        let resumed = async {
            self.dispatch.wait_for_send_allowance().await;
            loop {
                match self.dispatch.run().await {
                    Err(_) if self.dispatch.may_retry_resume() => {
                        self.dispatch.wait_before_retry().await
                    }
                    end => return end,
                }
            }
        };
        let resumed = tokio::select! {
            resumed = resumed => resumed,
            () = self.body.closed() => return None,
        };
        match resumed {
            Ok(DispatchOutcome::Stream(response, send)) => Some((*response, send)),
            Ok(DispatchOutcome::Whole(_)) => None,
            Err(error) => {
                log::info!(
                    "event=stream_not_resumed request_id={} code={}",
                    quote(&self.dispatch.request.id),
                    error.code.as_str()
                );
                None
            }
        }
    }

    async fn relay_from(&mut self, mut stream: TargetStream, send: &InFlightSend) -> RelayEnd {
        let mut splitter = EventSplitter::default();
        let mut large_event = self.dispatch.app.large_events.empty();
        let mut started = false;
        let mut has_events = false;
        // An event without an id can't be placed after those that the caller has.
        let needs_ids = self.dispatch.caller_has_events();
        self.rest_bytes = 0;
        let mut received_at = self.dispatch.app.clock.now();
        loop {
            let left = self.time_to_deadline();
            if left.is_zero() {
                return RelayEnd::TimedOut;
            }
            let idle = self.dispatch.app.clock.now().since(received_at);
            let limit =
                self.event_timeout().saturating_sub(idle).max(MOVE_CHECK_INTERVAL).min(left);
            let part = tokio::select! {
                part = stream.next(limit) => part,
                () = self.body.closed() => return RelayEnd::CallerDisconnected,
                () = self.dispatch.target_silent(send) => return RelayEnd::TargetSilent,
            };
            match part {
                StreamPart::Bytes(bytes) => {
                    received_at = self.dispatch.app.clock.now();
                    if !started {
                        started = true;
                        let model = self.dispatch.request.head.model.as_deref().unwrap_or_default();
                        send.record_first_event(model);
                    }
                    send.record_part(received_at);
                    if splitter.push(&bytes).is_err() {
                        return RelayEnd::Broken;
                    }
                    while let Some(event) = splitter.next_event() {
                        has_events = true;
                        if needs_ids && event.id.is_none() {
                            return RelayEnd::Broken;
                        }
                        if self.events == 0 && self.live_stream.is_none() {
                            self.live_stream = self.dispatch.record_software(send);
                        }
                        match self.forward_event(event).await {
                            Ok(true) => {}
                            Ok(false) => return RelayEnd::Broken,
                            Err(CallerDisconnected) => return RelayEnd::CallerDisconnected,
                        }
                    }
                    self.rest_bytes = splitter.rest_bytes();
                    if !large_event.resize(self.rest_bytes.saturating_sub(SMALL_EVENT_BYTES)) {
                        return RelayEnd::Broken;
                    }
                    if splitter.is_empty() && self.dispatch.should_leave(send) {
                        return RelayEnd::Moved;
                    }
                }
                StreamPart::End => {
                    let state = RunState {
                        framing: self.framing,
                        inside_event: splitter.is_inside_event(),
                        has_events,
                        caller_has_events: self.dispatch.caller_has_events(),
                        next_event_begun: self.next_event_begun,
                    };
                    self.next_event_begun |= state.inside_event;
                    match state.end() {
                        RunEnd::Complete => {}
                        RunEnd::CompleteIfAlive if self.dispatch.is_alive(send).await => {}
                        RunEnd::CompleteIfAlive | RunEnd::Truncated => return RelayEnd::Broken,
                    }
                    // Line ends after the last event.
                    let rest = splitter.rest();
                    if !rest.is_empty() && self.body.send(rest).await.is_err() {
                        return RelayEnd::CallerDisconnected;
                    }
                    stream.finish(&self.dispatch.app);
                    return RelayEnd::Whole;
                }
                StreamPart::Broken => {
                    self.next_event_begun |= splitter.is_inside_event();
                    return RelayEnd::Broken;
                }
                StreamPart::Timeout => {
                    if self.time_to_deadline().is_zero() {
                        return RelayEnd::TimedOut;
                    }
                    // If no other target can resume the stream, a pause doesn't end it.
                    if self.dispatch.may_move(send) {
                        return RelayEnd::Stalled;
                    }
                }
            }
        }
    }

    /// Passes an event to the caller; returns false if events before it are missing.
    async fn forward_event(&mut self, event: StreamEvent) -> Result<bool, CallerDisconnected> {
        if let (Some(id), Some(last)) = (event.id, self.dispatch.last_event) {
            if id <= last {
                return Ok(true);
            }
            if id > last.saturating_add(1) {
                return Ok(false);
            }
        }
        self.body.send(event.bytes).await?;
        let now = self.dispatch.app.clock.now();
        if self.events == 0 {
            self.dispatch.record_output(now);
            if self.dispatch.request.is_taken_up() {
                self.dispatch.app.metrics.record_resumed_stream("continued");
            }
        }
        self.events += 1;
        self.next_event_begun = false;
        self.dispatch.record_event(event.id, now);
        self.first_event_at.get_or_insert(now);
        if let Some(last) = self.last_event_at.replace(now) {
            self.longest_gap = self.longest_gap.max(now.since(last));
        }
        Ok(true)
    }

    fn time_to_deadline(&self) -> Duration {
        self.dispatch.request.deadline.since(self.dispatch.app.clock.now())
    }

    /// Longest wait for the next event before another target is tried.
    fn event_timeout(&self) -> Duration {
        self.dispatch.request.plan.objectives.event_timeout()
    }
}
