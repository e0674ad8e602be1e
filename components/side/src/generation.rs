//! Task of one generation: waits in the queue, calls the engine, streams the frames back.

use std::rc::Rc;
use std::time::Duration;

use base::{ExecutionState, Tokens};
use compact_str::format_compact;
use engine::{
    Answer, AnswerError, AnswerEvent, Engine, EngineError, GenerateCall, HttpEngine, ResumeFrom,
};
use telemetry::{Metrics, RequestClass};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep_until, timeout_at};
use wire::{
    FinishReason, FrameSender, GenerateEvent, GenerateFrame, GenerateRequest, RefuseReason,
    WireError,
};

use crate::clock::to_millis;
use crate::labels::refuse_label;
use crate::request_task::{Decision, QueueGuard, signalled};

/// Retry delay after the engine refused a request, in milliseconds.
const RETRY_AFTER_MS: u32 = 200;

/// Time beyond the deadline for the receiver to accept the last frame.
const LAST_FRAME_MARGIN: Duration = Duration::from_secs(1);

/// One generation with its stream to the entry process.
pub(crate) struct Generation {
    pub request: GenerateRequest,
    pub sender: FrameSender<GenerateEvent>,
    pub engine: HttpEngine,
    pub handover: watch::Receiver<bool>,
    pub deadline: Instant,
    pub incarnation: u64,
    /// Triggers a read of the engine's state.
    pub probe_now: Rc<Notify>,
    pub metrics: Rc<Metrics>,
}

/// End of a token stream.
enum StreamEnd {
    /// The last frame, still to be sent.
    Frame(GenerateFrame),
    /// The entry process reset the stream.
    CallerGone,
}

impl Generation {
    /// Waits in the queue, runs the request at the engine and streams the tokens back.
    pub async fn run(mut self, mut guard: QueueGuard) {
        let decision = {
            let closed = self.sender.closed();
            guard.decision(closed).await
        };
        let last = match decision {
            None => return,
            Some(Decision::Refuse { reason, retry_after_ms }) => {
                self.metrics.record_refusal(refuse_label(reason));
                GenerateFrame::Refused { reason, retry_after_ms }
            }
            Some(Decision::Start { waited }) => match self.stream(&mut guard, waited).await {
                StreamEnd::Frame(frame) => frame,
                StreamEnd::CallerGone => return,
            },
        };
        // The request has left the engine; a slow receiver must not keep its place in the batch.
        drop(guard);
        self.finish(last).await;
    }

    /// Sends the last frame and ends the stream.
    pub async fn finish(mut self, last: GenerateFrame) {
        let limit = self.deadline + LAST_FRAME_MARGIN;
        if timeout_at(limit, self.send(last)).await.is_ok_and(|sent| sent.is_ok())
            && let Err(error) = self.sender.finish()
        {
            log::debug!("event=answer_lost error=\"{error}\"");
        }
    }

    async fn send(&mut self, frame: GenerateFrame) -> Result<(), WireError> {
        let event = GenerateEvent {
            request_id: self.request.request_id,
            attempt: self.request.attempt,
            frame,
        };
        self.sender.send(&event).await
    }

    async fn stream(&mut self, guard: &mut QueueGuard, waited: Duration) -> StreamEnd {
        let Ok(call) = self.call() else {
            return StreamEnd::Frame(refused(RefuseReason::Unknown));
        };
        let customer = self.request.customer.as_str();
        self.metrics.record_queue_wait(customer, RequestClass::Streamed, waited);
        let resumed = self.request.resume.as_ref().map_or(0, |resume| resume.delivered_tokens);
        if !self.send_by_deadline(GenerateFrame::Started { queue_wait_ms: to_millis(waited) }).await
        {
            return StreamEnd::CallerGone;
        }
        let mut answer = tokio::select! {
            answer = self.engine.generate(&call) => match answer {
                Ok(answer) => answer,
                Err(error) => {
                    // The engine may have restarted or be down.
                    self.probe_now.notify_one();
                    if error == EngineError::Mismatched {
                        self.metrics.record_late_answer();
                    }
                    return StreamEnd::Frame(refusal_of(error));
                }
            },
            () = self.sender.closed() => return StreamEnd::CallerGone,
            () = sleep_until(self.deadline) => {
                return StreamEnd::Frame(failed(ExecutionState::Unknown));
            }
        };
        let mut delivered = resumed;
        loop {
            let event = tokio::select! {
                event = answer.next() => event,
                () = self.sender.closed() => return StreamEnd::CallerGone,
                () = sleep_until(self.deadline) => Err(AnswerError::Timeout),
                () = signalled(&mut self.handover) => {
                    log::info!("event=stream_handed_over request_id={}", self.request.request_id);
                    return StreamEnd::Frame(failed(ExecutionState::Unknown));
                }
            };
            match event {
                Ok(Some(AnswerEvent::Token { index, count, text })) => {
                    delivered = index + u64::from(count);
                    let generated = delivered.saturating_sub(resumed);
                    guard.set_used(Tokens(self.request.prompt_tokens + generated));
                    if self.send_by_deadline(GenerateFrame::Token { index, count, text }).await {
                        continue;
                    }
                    return StreamEnd::CallerGone;
                }
                Ok(Some(AnswerEvent::Finished { reason, prompt_tokens, output_tokens })) => {
                    let generated = output_tokens.saturating_sub(resumed);
                    guard.set_used(Tokens(prompt_tokens + generated));
                    let reason = match reason {
                        engine::FinishReason::Length => FinishReason::Length,
                        engine::FinishReason::Stop => FinishReason::Stop,
                    };
                    return StreamEnd::Frame(GenerateFrame::Finished {
                        reason,
                        prompt_tokens,
                        output_tokens,
                    });
                }
                // The client returns `None` only after `Finished`.
                Ok(None) => return StreamEnd::Frame(failed(ExecutionState::Unknown)),
                Err(error) => {
                    log::warn!(
                        "event=answer_broken request_id={} customer={} model={} tokens={delivered} \
                         error=\"{error}\"",
                        self.request.request_id,
                        self.request.customer,
                        self.request.model,
                    );
                    return StreamEnd::Frame(failed(ExecutionState::Unknown));
                }
            }
        }
    }

    /// Sends a frame; returns false if the receiver does not accept it before the deadline.
    async fn send_by_deadline(&mut self, frame: GenerateFrame) -> bool {
        let deadline = self.deadline;
        timeout_at(deadline, self.send(frame)).await.is_ok_and(|sent| sent.is_ok())
    }

    fn call(&self) -> Result<GenerateCall, serde_json::Error> {
        let request = &self.request;
        let parameters = if request.parameters_json.is_empty() {
            serde_json::Value::Object(serde_json::Map::new())
        } else {
            serde_json::from_str(&request.parameters_json)?
        };
        // The incarnation makes the id unique if the same attempt arrives again after a restart.
        Ok(GenerateCall {
            id: format_compact!("{}-{}-{}", request.request_id, request.attempt, self.incarnation),
            model: request.model.clone(),
            adapter: request.adapter.clone(),
            prompt: request.prompt.clone(),
            max_tokens: request.max_output_tokens,
            priority: request.priority,
            parameters,
            resume: request.resume.as_ref().map(|resume| ResumeFrom {
                tokens: resume.delivered_tokens,
                text: resume.delivered_text.clone(),
            }),
        })
    }
}

fn refused(reason: RefuseReason) -> GenerateFrame {
    GenerateFrame::Refused { reason, retry_after_ms: Some(RETRY_AFTER_MS) }
}

const fn failed(ran: ExecutionState) -> GenerateFrame {
    GenerateFrame::Failed { ran }
}

fn refusal_of(error: EngineError) -> GenerateFrame {
    match error {
        EngineError::Busy | EngineError::NotResident => refused(RefuseReason::NoCapacity),
        EngineError::Unreachable => refused(RefuseReason::TargetUnhealthy),
        EngineError::Rejected { .. } => failed(ExecutionState::NotRun),
        EngineError::Malformed | EngineError::Mismatched | EngineError::OutcomeUnknown => {
            failed(ExecutionState::Unknown)
        }
    }
}
