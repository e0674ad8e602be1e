//! One generation from its reservation to its settlement, over as many attempts as it takes.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use api::{ApiError, ErrorCode, Usage};
use base::{ExecutionState, Timestamp, Tokens};
use compact_str::CompactString;
use routing::{CallKind, Failure, RetryDecision, retry_decision};
use telemetry::{Class, quote};
use tokio::time::{sleep, sleep_until};
use wire::{FinishReason, GenerateRequest, RefuseReason, ResumePoint};

use crate::app::App;
use crate::attempt::{Attempt, AttemptEnd};
use crate::dispatch::cancel_error;
use crate::in_flight::Ticket;
use crate::outlet::Outlet;
use crate::reserve::{Reservation, reserve};
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
    pub ticket: Ticket,
    /// Closes the caller's connection.
    pub closer: Rc<ConnectionCloser>,
    /// Class in metrics.
    pub class: Class,
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
pub(crate) enum Stop {
    /// The caller has gone.
    CallerGone,
    /// It was ended from outside.
    Cancelled(ErrorCode),
    /// Its time is up.
    Deadline,
}

/// How far a generation has come.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Progress {
    /// Tokens given to the outlet.
    pub delivered: u64,
    /// Whether a target may have run any of it.
    pub may_have_run: bool,
    /// When the last token came.
    pub last_token_at: Option<Timestamp>,
}

enum Outcome {
    Finished { output_tokens: u64, used: Tokens },
    Failed(ApiError),
    Stopped(Stop),
}

impl GenerateJob {
    /// Runs the job to its end.
    pub(crate) async fn run(mut self, mut outlet: Outlet) {
        self.app.metrics.record_request(&self.request.customer, self.class);
        self.app.note_generation(&self.request.model, self.tokens.0);
        let mut progress = Progress::default();
        let reserved = tokio::select! {
            reserved = reserve(&self.app, &self.request.customer, self.tokens) => Ok(reserved),
            stop = stopped(&self, &mut outlet) => Err(stop),
        };
        let (outcome, reservation) = match reserved {
            Err(stop) => (Outcome::Stopped(stop), None),
            Ok(Err(error)) => (Outcome::Failed(error), None),
            Ok(Ok(mut reservation)) => {
                let outcome = self.run_attempts(&mut outlet, &mut progress, &mut reservation).await;
                (outcome, Some(reservation))
            }
        };
        if let Some(reservation) = reservation {
            reservation.settle(match &outcome {
                Outcome::Finished { used, .. } => *used,
                _ => self.used(&progress),
            });
        }
        self.end(outlet, outcome, &progress).await;
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
        outlet: &mut Outlet,
        progress: &mut Progress,
        reservation: &mut Reservation,
    ) -> Outcome {
        let mut tried: Vec<CompactString> = Vec::new();
        let mut last_error = None;
        loop {
            let Some(pick) = self.app.choose_engine(&self.request, &tried) else {
                return Outcome::Failed(last_error.unwrap_or_else(no_capacity));
            };
            self.prepare(outlet, progress);
            let attempt = Attempt { job: self, pick: &pick };
            let end = attempt.run(outlet, progress).await;
            reservation.set_used(self.used(progress));
            let end = match end {
                AttemptEnd::Finished { reason, prompt_tokens, output_tokens } => {
                    let usage = Usage::new(prompt_tokens, output_tokens);
                    let reason = match reason {
                        FinishReason::Length => "length",
                        FinishReason::Stop => "stop",
                    };
                    // Settled to the engine's count even if the caller has gone meanwhile.
                    let _delivered = outlet.finish(reason, usage).await;
                    return Outcome::Finished { output_tokens, used: Tokens(usage.total_tokens) };
                }
                AttemptEnd::Stopped(stop) => return Outcome::Stopped(stop),
                AttemptEnd::Failed { failure, retry_after_ms } => {
                    let error = match failure {
                        Failure::Refused(reason) => refusal_error(reason, retry_after_ms),
                        Failure::NotSent => no_capacity(),
                        _ => ApiError::new(ErrorCode::UpstreamFailed, "the target did not answer"),
                    };
                    let verdict = retry_decision(CallKind::Repeatable, failure);
                    (error, verdict == RetryDecision::TryAnother)
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
                stop = stopped(self, outlet) => return Outcome::Stopped(stop),
            }
            self.request.attempt += 1;
        }
    }

    fn prepare(&mut self, outlet: &Outlet, progress: &Progress) {
        let left = self.deadline.since(self.app.clock.now()).saturating_sub(DEADLINE_MARGIN);
        self.request.deadline_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
        self.request.resume = (progress.delivered > 0).then(|| ResumePoint {
            delivered_tokens: progress.delivered,
            delivered_text: outlet.text().to_owned(),
        });
    }

    fn ran(&self, progress: &Progress) -> ExecutionState {
        if progress.may_have_run { ExecutionState::Unknown } else { ExecutionState::NotRun }
    }

    async fn end(&self, mut outlet: Outlet, outcome: Outcome, progress: &Progress) {
        let now = self.app.clock.now();
        let took = now.since(self.arrived);
        let metrics = &self.app.metrics;
        let (result, output_tokens) = match outcome {
            Outcome::Finished { output_tokens, .. } => ("finished", output_tokens),
            Outcome::Failed(error) => {
                metrics.record_refusal(error.code.as_str());
                // A caller that has gone needs no answer.
                let _told = outlet.fail(&error, false).await;
                (error.code.as_str(), progress.delivered)
            }
            Outcome::Stopped(Stop::CallerGone) => ("caller_gone", progress.delivered),
            Outcome::Stopped(Stop::Cancelled(reason)) => {
                let error = cancel_error(reason).with_ran(self.ran(progress));
                metrics.record_refusal(reason.as_str());
                outlet.fail_at_once(&error);
                self.closer.close();
                (reason.as_str(), progress.delivered)
            }
            Outcome::Stopped(Stop::Deadline) => {
                let error = ApiError::new(ErrorCode::DeadlineExceeded, "the time allowed ran out")
                    .with_ran(self.ran(progress));
                metrics.record_refusal(error.code.as_str());
                outlet.fail_at_once(&error);
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
async fn stopped(job: &GenerateJob, outlet: &mut Outlet) -> Stop {
    let deadline = pin!(sleep_until(job.app.clock.instant(job.deadline)));
    tokio::select! {
        reason = job.ticket.cancel.cancelled() => Stop::Cancelled(reason),
        () = outlet.caller_gone() => Stop::CallerGone,
        () = deadline => Stop::Deadline,
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
