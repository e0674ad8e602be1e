//! One generation from its reservation to its settlement, over as many attempts as it takes.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use api::{ApiError, ErrorCode, Usage};
use base::{ExecutionState, Timestamp, Tokens};
use compact_str::CompactString;
use routing::{CallKind, Failure, RetryDecision, retry_decision};
use telemetry::{RequestClass, quote};
use tokio::time::{sleep, sleep_until};
use wire::{FinishReason, GenerateRequest, RefuseReason, ResumePoint};

use crate::app::App;
use crate::attempt::{Attempt, AttemptOutcome};
use crate::dispatch::cancel_error;
use crate::in_flight::InFlightGuard;
use crate::reserve::{Reservation, reserve};
use crate::response_writer::ResponseWriter;
use ingress::ConnectionCloser;

/// Wait that is advised when no target can take a request, in milliseconds.
const NO_CAPACITY_RETRY_MS: u64 = 1_000;
/// Time that is kept back from the deadline that a side process is told, for the way back.
const DEADLINE_MARGIN: Duration = Duration::from_millis(50);

/// A generation in progress.
pub(crate) struct GenerateJob {
    /// Process state.
    pub app: Rc<App>,
    /// Place among the requests in progress.
    pub in_flight_guard: InFlightGuard,
    /// Closes the caller's connection.
    pub closer: Rc<ConnectionCloser>,
    /// Class in metrics.
    pub class: RequestClass,
    /// When the request arrived.
    pub arrived: Timestamp,
    /// When it must be answered.
    pub deadline: Timestamp,
    /// Tokens to reserve.
    pub tokens: Tokens,
    /// What a side process is asked; attempt, deadline and resume point are set for each attempt.
    pub request: GenerateRequest,
}

/// Why a job ends before its answer is whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StopReason {
    /// The caller has gone.
    CallerDisconnected,
    /// It was ended from outside.
    Cancelled(ErrorCode),
    /// Its time is up.
    Deadline,
}

/// How far a generation has come.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Progress {
    /// Tokens passed to the response writer.
    pub delivered: u64,
    /// Whether a target may have run any of it.
    pub may_have_run: bool,
    /// When the last token came.
    pub last_token_at: Option<Timestamp>,
}

enum Outcome {
    Finished { output_tokens: u64, used: Tokens },
    Failed(ApiError),
    Stopped(StopReason),
}

impl GenerateJob {
    /// Runs the job to its end.
    pub(crate) async fn run(mut self, mut response_writer: ResponseWriter) {
        self.app.metrics.record_request(&self.request.customer, self.class);
        self.app.record_generation(&self.request.model, self.tokens.0);
        let mut progress = Progress::default();
        let reserved = tokio::select! {
            reserved = reserve(&self.app, &self.request.customer, self.tokens) => Ok(reserved),
            stop = stopped(&self, &mut response_writer) => Err(stop),
        };
        let (outcome, reservation) = match reserved {
            Err(stop) => (Outcome::Stopped(stop), None),
            Ok(Err(error)) => (Outcome::Failed(error), None),
            Ok(Ok(mut reservation)) => {
                let outcome =
                    self.run_attempts(&mut response_writer, &mut progress, &mut reservation).await;
                (outcome, Some(reservation))
            }
        };
        if let Some(reservation) = reservation {
            reservation.settle(match &outcome {
                Outcome::Finished { used, .. } => *used,
                _ => self.used(&progress),
            });
        }
        self.end(response_writer, outcome, &progress).await;
    }

    /// Tokens that an answer without final counts has used.
    fn used(&self, progress: &Progress) -> Tokens {
        if progress.may_have_run {
            Tokens(self.request.prompt_tokens + progress.delivered)
        } else {
            Tokens::ZERO
        }
    }

    async fn run_attempts(
        &mut self,
        response_writer: &mut ResponseWriter,
        progress: &mut Progress,
        reservation: &mut Reservation,
    ) -> Outcome {
        let mut tried: Vec<CompactString> = Vec::new();
        let mut last_error = None;
        loop {
            let Some(pick) = self.app.choose_engine(&self.request, &tried) else {
                return Outcome::Failed(last_error.unwrap_or_else(no_capacity));
            };
            self.prepare(response_writer, progress);
            let attempt = Attempt { job: self, pick: &pick };
            let end = attempt.run(response_writer, progress).await;
            reservation.set_used(self.used(progress));
            let end = match end {
                AttemptOutcome::Finished { reason, prompt_tokens, output_tokens } => {
                    let usage = Usage::new(prompt_tokens, output_tokens);
                    let reason = match reason {
                        FinishReason::Length => "length",
                        FinishReason::Stop => "stop",
                    };
                    // Settled to the engine's count even if the caller has gone meanwhile.
                    let _delivered = response_writer.finish(reason, usage).await;
                    return Outcome::Finished { output_tokens, used: Tokens(usage.total_tokens) };
                }
                AttemptOutcome::Stopped(stop) => return Outcome::Stopped(stop),
                AttemptOutcome::Failed { failure, retry_after_ms } => {
                    let error = match failure {
                        Failure::Refused(reason) => refusal_error(reason, retry_after_ms),
                        Failure::NotSent => no_capacity(),
                        _ => ApiError::new(ErrorCode::UpstreamFailed, "the target did not answer"),
                    };
                    let decision = retry_decision(CallKind::Repeatable, failure);
                    (error, decision == RetryDecision::TryAnother)
                }
            };
            let (error, may_retry) = end;
            log::info!(
                "event=attempt_failed request_id={} attempt={} target={} code={}",
                self.request.request_id,
                self.request.attempt,
                quote(&pick.target),
                error.code.as_str()
            );
            tried.push(pick.target.clone());
            let error = error.with_ran(self.ran(progress));
            if !may_retry {
                return Outcome::Failed(error);
            }
            let Some(wait) = self.app.next_retry(self.request.attempt) else {
                return Outcome::Failed(error);
            };
            if self.app.clock.now() + wait >= self.deadline {
                return Outcome::Failed(error);
            }
            self.app.metrics.record_retry();
            last_error = Some(error);
            tokio::select! {
                () = sleep(wait) => {}
                stop = stopped(self, response_writer) => return Outcome::Stopped(stop),
            }
            self.request.attempt += 1;
        }
    }

    fn prepare(&mut self, response_writer: &ResponseWriter, progress: &Progress) {
        let left = self.deadline.since(self.app.clock.now()).saturating_sub(DEADLINE_MARGIN);
        self.request.deadline_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
        self.request.resume = (progress.delivered > 0).then(|| ResumePoint {
            delivered_tokens: progress.delivered,
            delivered_text: response_writer.text().to_owned(),
        });
    }

    fn ran(&self, progress: &Progress) -> ExecutionState {
        if progress.may_have_run { ExecutionState::Unknown } else { ExecutionState::NotRun }
    }

    async fn end(
        &self,
        mut response_writer: ResponseWriter,
        outcome: Outcome,
        progress: &Progress,
    ) {
        let now = self.app.clock.now();
        let took = now.since(self.arrived);
        let metrics = &self.app.metrics;
        let (result, output_tokens) = match outcome {
            Outcome::Finished { output_tokens, .. } => ("finished", output_tokens),
            Outcome::Failed(error) => {
                metrics.record_refusal(error.code.as_str());
                // A caller that has gone needs no answer.
                let _sent = response_writer.fail(&error, false).await;
                (error.code.as_str(), progress.delivered)
            }
            Outcome::Stopped(StopReason::CallerDisconnected) => ("caller_gone", progress.delivered),
            Outcome::Stopped(StopReason::Cancelled(reason)) => {
                let error = cancel_error(reason).with_ran(self.ran(progress));
                metrics.record_refusal(reason.as_str());
                response_writer.fail_at_once(&error);
                self.closer.close();
                (reason.as_str(), progress.delivered)
            }
            Outcome::Stopped(StopReason::Deadline) => {
                let error = ApiError::new(ErrorCode::DeadlineExceeded, "the time allowed ran out")
                    .with_ran(self.ran(progress));
                metrics.record_refusal(error.code.as_str());
                response_writer.fail_at_once(&error);
                (error.code.as_str(), progress.delivered)
            }
        };
        metrics.record_total(&self.request.customer, self.class, took, output_tokens);
        log::info!(
            "event=request_end request_id={} customer={} model={} result={result} attempts={} \
             output_tokens={output_tokens} took_ms={}",
            self.request.request_id,
            quote(&self.request.customer),
            quote(&self.request.model),
            self.request.attempt + 1,
            took.as_millis()
        );
    }
}

fn no_capacity() -> ApiError {
    ApiError::new(ErrorCode::NoCapacity, "no target can take this request now")
        .with_retry_after_ms(NO_CAPACITY_RETRY_MS)
}

/// Waits until something outside ends the job.
async fn stopped(job: &GenerateJob, response_writer: &mut ResponseWriter) -> StopReason {
    let deadline = pin!(sleep_until(job.app.clock.instant(job.deadline)));
    tokio::select! {
        reason = job.in_flight_guard.cancel.cancelled() => StopReason::Cancelled(reason),
        () = response_writer.caller_disconnected() => StopReason::CallerDisconnected,
        () = deadline => StopReason::Deadline,
    }
}

/// The error for a request that a side process did not run.
pub(crate) fn refusal_error(reason: RefuseReason, retry_after_ms: Option<u32>) -> ApiError {
    let (code, text) = match reason {
        RefuseReason::ClaimUnsettled => (
            ErrorCode::ClaimUnsettled,
            "the claim of the idempotency key could not be settled; use a new key",
        ),
        RefuseReason::DeadlineTooShort => {
            (ErrorCode::DeadlineExceeded, "the request could not run in the time allowed")
        }
        RefuseReason::IdempotencyMismatch => {
            (ErrorCode::IdempotencyMismatch, "another body was sent under the same idempotency key")
        }
        RefuseReason::LogUnavailable => {
            (ErrorCode::LogUnavailable, "the log that records idempotency keys is unavailable")
        }
        RefuseReason::QueueFull => (ErrorCode::QueueFull, "the customer's queue is full"),
        RefuseReason::Draining
        | RefuseReason::NoCapacity
        | RefuseReason::TargetUnhealthy
        | RefuseReason::Unknown => (ErrorCode::NoCapacity, "no target can take this request now"),
    };
    let error = ApiError::new(code, text).with_ran(ExecutionState::NotRun);
    let helps = !matches!(code, ErrorCode::IdempotencyMismatch | ErrorCode::ClaimUnsettled);
    let wait = retry_after_ms.map_or(NO_CAPACITY_RETRY_MS, u64::from);
    if helps { error.with_retry_after_ms(wait) } else { error }
}
