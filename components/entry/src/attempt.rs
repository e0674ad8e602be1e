//! One attempt of a generation at one side process.

use std::pin::pin;
use std::time::Duration;

use base::{ExecutionState, Timestamp};
use routing::{Failure, Pick};
use tokio::time::{MissedTickBehavior, interval, sleep_until};
use wire::{FinishReason, GenerateEvent, GenerateFrame};

use crate::generate_job::{GenerateJob, Progress, StopReason};
use crate::response_writer::ResponseWriter;

/// Time between checks whether the side process still lives.
const LIVENESS_PERIOD: Duration = Duration::from_millis(250);

/// An attempt in progress. Dropping it cancels the generation at the side process.
pub(crate) struct Attempt<'a> {
    /// The generation.
    pub job: &'a GenerateJob,
    /// Where it runs.
    pub pick: &'a Pick,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AttemptOutcome {
    /// The answer is whole.
    Finished { reason: FinishReason, prompt_tokens: u64, output_tokens: u64 },
    /// There is no whole answer.
    Failed {
        /// Why.
        failure: Failure,
        /// When to try again, in milliseconds, if the side process says so.
        retry_after_ms: Option<u32>,
    },
    /// Something outside ended it.
    Stopped(StopReason),
}

const fn failed(failure: Failure) -> AttemptOutcome {
    AttemptOutcome::Failed { failure, retry_after_ms: None }
}

impl Attempt<'_> {
    /// Runs the attempt; the text is written to `response_writer`.
    pub(crate) async fn run(
        &self,
        response_writer: &mut ResponseWriter,
        progress: &mut Progress,
    ) -> AttemptOutcome {
        let app = &self.job.app;
        let _sent = app.record_send(self.pick, self.job.tokens.0);
        let connected = async {
            let client = app.pool.client(self.pick.address).await.map_err(|_| Failure::NotSent)?;
            client.generate(&self.job.request).await.map_err(|_| Failure::NoAnswer)
        };
        let deadline = sleep_until(app.clock.instant(self.job.deadline));
        let mut deadline = pin!(deadline);
        let mut liveness = interval(LIVENESS_PERIOD);
        liveness.set_missed_tick_behavior(MissedTickBehavior::Delay);
        // Until a refusal says otherwise, the side process may have the request.
        let before = progress.may_have_run;
        progress.may_have_run = true;
        let mut connected = pin!(connected);
        let mut frames = loop {
            tokio::select! {
                result = &mut connected => match result {
                    Ok(frames) => break frames,
                    Err(failure) => {
                        app.pool.forget(self.pick.address);
                        app.record_failure_at(self.pick.address);
                        progress.may_have_run = before || failure != Failure::NotSent;
                        return failed(failure);
                    }
                },
                reason = self.job.in_flight_guard.cancel.cancelled() => {
                    return AttemptOutcome::Stopped(StopReason::Cancelled(reason));
                }
                () = response_writer.caller_disconnected() => return AttemptOutcome::Stopped(StopReason::CallerDisconnected),
                () = &mut deadline => return AttemptOutcome::Stopped(StopReason::Deadline),
                _ = liveness.tick() => if app.is_unreachable(&self.pick.process) {
                    return failed(Failure::NoAnswer);
                },
            }
        };
        loop {
            let event = tokio::select! {
                event = frames.next() => event,
                reason = self.job.in_flight_guard.cancel.cancelled() => {
                    return AttemptOutcome::Stopped(StopReason::Cancelled(reason));
                }
                () = response_writer.caller_disconnected() => return AttemptOutcome::Stopped(StopReason::CallerDisconnected),
                () = &mut deadline => return AttemptOutcome::Stopped(StopReason::Deadline),
                _ = liveness.tick() => {
                    if app.is_unreachable(&self.pick.process) {
                        return failed(Failure::NoAnswer);
                    }
                    continue;
                }
            };
            let frame = match event {
                Ok(Some(event)) if self.matches(&event) => event.frame,
                Ok(Some(_)) => {
                    app.metrics.record_late_answer();
                    continue;
                }
                // Without a last frame the answer is truncated.
                Ok(None) | Err(_) => return failed(Failure::NoAnswer),
            };
            match frame {
                GenerateFrame::Started { queue_wait_ms } => {
                    let wait = Duration::from_millis(u64::from(queue_wait_ms));
                    let customer = &self.job.request.customer;
                    app.metrics.record_queue_wait(customer, self.job.class, wait);
                }
                GenerateFrame::Token { index, count, text } => {
                    if index + u64::from(count) <= progress.delivered {
                        app.metrics.record_late_answer();
                        continue;
                    }
                    if index != progress.delivered {
                        app.metrics.record_late_answer();
                        return failed(Failure::Mismatched);
                    }
                    if let Some(end) = self.deliver(response_writer, &text).await {
                        return end;
                    }
                    progress.delivered += u64::from(count);
                    self.record_token(progress, app.clock.now());
                }
                GenerateFrame::Finished { reason, prompt_tokens, output_tokens } => {
                    // A different count means that tokens were lost on the way.
                    if output_tokens != progress.delivered {
                        app.metrics.record_late_answer();
                        return failed(Failure::Mismatched);
                    }
                    if let Err(reason) = app.check_authority() {
                        return AttemptOutcome::Stopped(StopReason::Cancelled(reason.code));
                    }
                    return AttemptOutcome::Finished { reason, prompt_tokens, output_tokens };
                }
                GenerateFrame::Refused { reason, retry_after_ms } => {
                    progress.may_have_run = before;
                    return AttemptOutcome::Failed {
                        failure: Failure::Refused(reason),
                        retry_after_ms,
                    };
                }
                GenerateFrame::Failed { ran } => {
                    progress.may_have_run = before || ran != ExecutionState::NotRun;
                    return failed(Failure::Failed(ran));
                }
            }
        }
    }

    fn matches(&self, event: &GenerateEvent) -> bool {
        event.request_id == self.job.request.request_id && event.attempt == self.job.request.attempt
    }

    /// Gives text to the caller; the authority to do so is checked each time.
    async fn deliver(
        &self,
        response_writer: &mut ResponseWriter,
        text: &str,
    ) -> Option<AttemptOutcome> {
        if let Err(error) = self.job.app.check_authority() {
            return Some(AttemptOutcome::Stopped(StopReason::Cancelled(error.code)));
        }
        let deadline = sleep_until(self.job.app.clock.instant(self.job.deadline));
        tokio::select! {
            biased;
            reason = self.job.in_flight_guard.cancel.cancelled() => {
                Some(AttemptOutcome::Stopped(StopReason::Cancelled(reason)))
            }
            pushed = response_writer.push(text) => {
                pushed.err().map(|_| AttemptOutcome::Stopped(StopReason::CallerDisconnected))
            }
            () = deadline => Some(AttemptOutcome::Stopped(StopReason::Deadline)),
        }
    }

    fn record_token(&self, progress: &mut Progress, now: Timestamp) {
        let (metrics, job) = (&self.job.app.metrics, self.job);
        match progress.last_token_at {
            None => {
                metrics.record_first_token(&job.request.customer, job.class, now.since(job.arrived))
            }
            Some(last) => {
                metrics.record_between_tokens(&job.request.customer, job.class, now.since(last));
            }
        }
        progress.last_token_at = Some(now);
    }
}
