//! One call to a plain service, with the rules for calls that may run only once.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use api::{ApiError, ErrorCode};
use base::{ExecutionState, Timestamp, hash_bytes};
use bytes::Bytes;
use compact_str::CompactString;
use http::StatusCode;
use hyper::body::Incoming;
use routing::{CallKind, Failure, Pick, RetryDecision, retry_decision};
use telemetry::{RequestClass, quote};
use tokio::sync::oneshot;
use tokio::time::{sleep, sleep_until};
use wire::{ForwardHead, RefuseReason};

use crate::app::App;
use crate::dispatch::cancel_error;
use crate::forward_attempt::{ForwardAttempt, ForwardOutcome};
use crate::generate_job::refusal_error;
use crate::in_flight::InFlightGuard;
use ingress::ConnectionCloser;
use ingress::{CallerResponse, error_response};

/// Time that is kept back from the deadline that a side process is told.
const DEADLINE_MARGIN: Duration = Duration::from_millis(50);
const NO_CAPACITY_RETRY_MS: u64 = 1_000;

/// Body of a call.
pub(crate) enum Payload {
    /// Read; can be sent again.
    Buffered(Bytes),
    /// Passed on as it arrives; can be sent once.
    Streamed(Incoming),
    /// Passed on.
    Consumed,
}

/// A call in progress.
pub(crate) struct ForwardJob {
    /// Process state.
    pub app: Rc<App>,
    /// Place among the requests in progress.
    pub in_flight_guard: InFlightGuard,
    /// Closes the caller's connection.
    pub closer: Rc<ConnectionCloser>,
    /// Class in metrics.
    pub class: RequestClass,
    /// When the call arrived.
    pub arrived: Timestamp,
    /// When it must be answered.
    pub deadline: Timestamp,
    /// Plain service.
    pub service: CompactString,
    /// What a side process is sent; attempt and deadline are set for each attempt.
    pub head: ForwardHead,
    /// Body.
    pub payload: Payload,
    /// Where the answer's head goes; none once it is sent.
    pub response_sender: Option<oneshot::Sender<CallerResponse>>,
    /// Whether the answer's head is sent.
    pub answer_begun: Rc<Cell<bool>>,
    /// Whether the target may have the call.
    pub reached_target: bool,
}

impl ForwardJob {
    /// Runs the call to its end.
    pub(crate) async fn run(mut self) {
        let customer = self.head.customer.clone().unwrap_or_default();
        self.app.metrics.record_request(&customer, self.class);
        self.app.record_call();
        let error = self.run_attempts().await;
        let took = self.app.clock.now().since(self.arrived);
        self.app.metrics.record_total(&customer, self.class, took, 0);
        let result = error.as_ref().map_or("finished", |error| error.code.as_str());
        log::info!(
            "event=request_end request_id={} customer={} route={} result={result} attempts={} \
             took_ms={}",
            self.head.request_id,
            quote(&customer),
            quote(&self.head.route),
            self.head.attempt + 1,
            took.as_millis()
        );
        if let Some(error) = error {
            self.app.metrics.record_refusal(error.code.as_str());
            let close = error.code == ErrorCode::KeyWithdrawn;
            if close {
                self.closer.close();
            }
            // Without a sender the head is out, and the dropped body breaks the connection off.
            if let Some(sender) = self.response_sender.take() {
                let id = self.head.request_id.to_string();
                let _sent = sender.send(error_response(&error, &id, close));
            }
        }
    }

    /// Runs attempts until one decides the call; returns the error, if any.
    async fn run_attempts(&mut self) -> Option<ApiError> {
        let affinity = hash_bytes(&self.head.request_id.0.to_le_bytes());
        let mut tried: Vec<CompactString> = Vec::new();
        let mut last_error = None;
        loop {
            let Some(pick) = self.app.choose_plain(&self.service, affinity, &tried) else {
                return Some(last_error.unwrap_or_else(|| {
                    ApiError::new(ErrorCode::NoCapacity, "no target can take this call now")
                        .with_retry_after_ms(NO_CAPACITY_RETRY_MS)
                }));
            };
            let left = self.deadline.since(self.app.clock.now()).saturating_sub(DEADLINE_MARGIN);
            self.head.deadline_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
            let end = self.attempt_until_stopped(&pick).await;
            let error = match end {
                ForwardOutcome::Completed | ForwardOutcome::CallerDisconnected => return None,
                ForwardOutcome::Stopped(error) => return Some(error),
                ForwardOutcome::Failed { failure, retry_after_ms } => {
                    let decision = retry_decision(self.kind(), failure);
                    let error = self.failure_error(failure, decision, retry_after_ms);
                    if decision != RetryDecision::TryAnother {
                        return Some(error);
                    }
                    error
                }
            };
            log::info!(
                "event=attempt_failed request_id={} attempt={} target={} code={}",
                self.head.request_id,
                self.head.attempt,
                quote(&pick.target),
                error.code.as_str()
            );
            tried.push(pick.target.clone());
            if self.response_sender.is_none() || matches!(self.payload, Payload::Consumed) {
                return Some(error);
            }
            let Some(wait) = self.app.next_retry(self.head.attempt) else { return Some(error) };
            if self.app.clock.now() + wait >= self.deadline {
                return Some(error);
            }
            self.app.metrics.record_retry();
            last_error = Some(error);
            tokio::select! {
                () = sleep(wait) => {}
                reason = self.in_flight_guard.cancel.cancelled() => {
                    return Some(self.stop_error(reason));
                }
            }
            self.head.attempt += 1;
        }
    }

    /// One attempt, ended by the deadline or from outside.
    async fn attempt_until_stopped(&mut self, pick: &Pick) -> ForwardOutcome {
        let cancel = Rc::clone(&self.in_flight_guard.cancel);
        let answer_begun = Rc::clone(&self.answer_begun);
        let deadline = self.app.clock.instant(self.deadline);
        let reason = {
            let mut attempt = pin!(ForwardAttempt { job: self, pick }.run());
            let mut deadline = pin!(sleep_until(deadline));
            let reason = tokio::select! {
                end = &mut attempt => return end,
                reason = cancel.cancelled() => reason,
                () = &mut deadline => ErrorCode::DeadlineExceeded,
            };
            if reason == ErrorCode::Draining && answer_begun.get() {
                // No error can replace it, and it may be complete before the process ends.
                tokio::select! {
                    end = attempt => return end,
                    () = deadline => ErrorCode::DeadlineExceeded,
                }
            } else {
                reason
            }
        };
        ForwardOutcome::Stopped(self.stop_error(reason))
    }

    /// The error for a call that ends before its answer. A 503 would invite the caller to repeat a call that
    /// may have run.
    fn stop_error(&self, reason: ErrorCode) -> ApiError {
        let may_have_run = self.reached_target && !self.head.repeatable;
        match reason {
            ErrorCode::DeadlineExceeded if may_have_run => {
                ApiError::new(ErrorCode::OutcomeUnknown, "no answer in the time allowed")
            }
            ErrorCode::DeadlineExceeded => {
                ApiError::new(ErrorCode::DeadlineExceeded, "no answer in the time allowed")
                    .with_ran(self.ran())
            }
            reason if may_have_run && reason.status() == StatusCode::SERVICE_UNAVAILABLE => {
                ApiError::new(ErrorCode::OutcomeUnknown, cancel_error(reason).message)
            }
            reason => cancel_error(reason).with_ran(self.ran()),
        }
    }

    fn kind(&self) -> CallKind {
        if self.head.repeatable {
            CallKind::Repeatable
        } else if self.head.idempotency_key_sha256.is_some() {
            CallKind::AtMostOnceKeyed
        } else {
            CallKind::AtMostOnce
        }
    }

    fn ran(&self) -> ExecutionState {
        if self.reached_target { ExecutionState::Unknown } else { ExecutionState::NotRun }
    }

    fn failure_error(
        &self,
        failure: Failure,
        decision: RetryDecision,
        retry_after_ms: Option<u32>,
    ) -> ApiError {
        let not_run = || {
            ApiError::new(ErrorCode::NoCapacity, "no target can take this call now")
                .with_ran(self.ran())
                .with_retry_after_ms(NO_CAPACITY_RETRY_MS)
        };
        let unknown = || {
            ApiError::new(ErrorCode::OutcomeUnknown, "the call may have run; its answer is lost")
        };
        match (failure, decision) {
            // An earlier attempt may have run it. A 503 would invite a retry, and `claim_unsettled`
            // would ask for a new key, under which the call would run again.
            (Failure::Refused(reason), _)
                if self.reached_target
                    && !self.head.repeatable
                    && reason != RefuseReason::IdempotencyMismatch =>
            {
                unknown()
            }
            (Failure::NotSent | Failure::Failed(ExecutionState::NotRun), _)
                if self.reached_target && !self.head.repeatable =>
            {
                unknown()
            }
            (Failure::Refused(reason), _) => {
                refusal_error(reason, retry_after_ms).with_ran(self.ran())
            }
            (Failure::NotSent | Failure::Failed(ExecutionState::NotRun), _) => not_run(),
            (_, RetryDecision::EndRan) => {
                let text = "the call ran; its answer is not kept";
                ApiError::new(ErrorCode::OutcomeUnknown, text).with_ran(ExecutionState::Ran)
            }
            _ if self.head.repeatable => {
                ApiError::new(ErrorCode::UpstreamFailed, "the target did not answer")
                    .with_ran(self.ran())
            }
            _ => unknown(),
        }
    }
}
