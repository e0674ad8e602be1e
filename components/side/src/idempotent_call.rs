//! Task of a call that runs at most once per idempotency key.

use std::net::SocketAddr;
use std::rc::Rc;

use base::{ExecutionState, Tokens};
use bytes::{Bytes, BytesMut};
use calls::WatchedBody;
use http::Response;
use http_body_util::{BodyExt, Full};
use once::{AttemptId, ClaimKey, Fingerprint, PriorOutcome, StoredHeader, StoredOutcome};
use tokio::time::{Instant, sleep_until, timeout_at};
use wire::{ForwardDown, ForwardHead, ForwardUp, FrameSender, Header, RefuseReason};

use crate::claim_replica::{ClaimReplica, ClaimResult};
use crate::forward::{Forward, MAX_DATA_BYTES, failed, refused};
use crate::plain_client::{PlainConnection, end_to_end, request_of};
use crate::process::Shared;
use crate::request_task::Decision;
use crate::response_end::ResponseEnd;

/// Maximum body of a call with an idempotency key, in bytes; entry processes have a smaller limit.
const MAX_BODY_BYTES: usize = 1 << 20;

/// A call with an idempotency key.
pub(crate) struct IdempotentCall {
    pub call: Forward,
    pub key_sha256: [u8; 32],
}

/// Stream to the caller. The call continues if the caller disconnects, so that its outcome is
/// recorded.
struct CallerStream {
    sender: Option<FrameSender<ForwardDown>>,
    deadline: Instant,
}

impl CallerStream {
    async fn send(&mut self, frame: &ForwardDown) {
        if let Some(sender) = &mut self.sender {
            let sent = timeout_at(self.deadline, sender.send(frame)).await;
            if !sent.is_ok_and(|sent| sent.is_ok()) {
                self.sender = None;
            }
        }
    }

    async fn finish(mut self, last: &ForwardDown) {
        self.send(last).await;
        if let Some(sender) = self.sender.take()
            && let Err(error) = sender.finish()
        {
            log::debug!("event=answer_lost error=\"{error}\"");
        }
    }
}

impl IdempotentCall {
    /// Waits in the queue, claims the call, runs it and records its outcome.
    pub async fn run(mut self, shared: Rc<Shared>) {
        let Some(body) = self.collect_body().await else { return };
        let head = &self.call.head;
        let key = ClaimKey {
            customer: head.customer.clone().unwrap_or_default(),
            route: head.route.clone(),
            key_sha256: self.key_sha256,
        };
        let fingerprint = Fingerprint::of(&head.method, &head.path_and_query, &body);
        let replica = shared.claims.clone();
        if let Some(answer) = replica.look_up(&key, fingerprint) {
            shared.metrics.record_replay();
            return self.reply(answer).await;
        }
        let mut guard = match shared.enqueue(|core, now| core.admit_forward(head, now)) {
            Ok(guard) => guard,
            Err(refusal) => {
                let last = ForwardDown::Refused {
                    reason: refusal.reason,
                    retry_after_ms: refusal.retry_after_ms,
                };
                return self.call.finish(last).await;
            }
        };
        let decision = {
            let closed = self.call.sender.closed();
            guard.decision(closed).await
        };
        match decision {
            None => return,
            Some(Decision::Refuse { reason, retry_after_ms }) => {
                drop(guard);
                return self.call.finish(ForwardDown::Refused { reason, retry_after_ms }).await;
            }
            Some(Decision::Start { .. }) => guard.set_used(Tokens(1)),
        }
        let claimed = tokio::select! {
            claimed = replica.claim(key, fingerprint) => Some(claimed),
            () = sleep_until(self.call.deadline) => None,
            () = self.call.sender.closed() => return,
        };
        match claimed {
            Some(ClaimResult::Run(attempt)) => {
                let Forward { head, sender, target, deadline, .. } = self.call;
                let caller = CallerStream { sender: Some(sender), deadline };
                run_claimed(&replica, &attempt, &head, target, body, caller).await;
            }
            Some(ClaimResult::Known(answer)) => self.reply(answer).await,
            Some(ClaimResult::LogUnavailable) => {
                self.call.finish(refused(RefuseReason::LogUnavailable)).await;
            }
            Some(ClaimResult::Unsettled) | None => {
                self.call.finish(refused(RefuseReason::ClaimUnsettled)).await;
            }
        }
    }

    /// Returns the complete body, or none if it is incomplete or too large or the deadline passed.
    async fn collect_body(&mut self) -> Option<Bytes> {
        let mut body = BytesMut::new();
        loop {
            let frame = timeout_at(self.call.deadline, self.call.body.next()).await.ok()?;
            match frame {
                Ok(Some(ForwardUp::Data(data))) if body.len() + data.len() <= MAX_BODY_BYTES => {
                    body.extend_from_slice(&data);
                }
                Ok(Some(ForwardUp::End)) => return Some(body.freeze()),
                // Dropping the stream reports to the entry process that the call did not run.
                _ => return None,
            }
        }
    }

    /// Replies with the known outcome of a call that must not run again.
    async fn reply(mut self, answer: PriorOutcome) {
        let last = match answer {
            PriorOutcome::Ran(outcome) => match outcome.body {
                None => failed(ExecutionState::Ran),
                Some(body) => {
                    let head = ForwardDown::Head {
                        request_id: self.call.head.request_id,
                        attempt: self.call.head.attempt,
                        status: outcome.status,
                        headers: outcome.headers.into_iter().map(from_stored).collect(),
                        replayed: true,
                    };
                    let deadline = self.call.deadline;
                    let frames = std::iter::once(head)
                        .chain(body.chunks(MAX_DATA_BYTES).map(|p| ForwardDown::Data(p.to_vec())));
                    for frame in frames {
                        let sent = timeout_at(deadline, self.call.sender.send(&frame)).await;
                        if !sent.is_ok_and(|sent| sent.is_ok()) {
                            return;
                        }
                    }
                    ForwardDown::End
                }
            },
            PriorOutcome::Unknown => failed(ExecutionState::Unknown),
            PriorOutcome::Mismatch => ForwardDown::Refused {
                reason: RefuseReason::IdempotencyMismatch,
                retry_after_ms: None,
            },
        };
        self.call.finish(last).await;
    }
}

/// Runs a claimed call and records its outcome.
async fn run_claimed(
    replica: &Rc<ClaimReplica>,
    attempt: &AttemptId,
    head: &ForwardHead,
    target: SocketAddr,
    body: Bytes,
    mut caller: CallerStream,
) {
    let Some(request) = request_of(head, target, Full::new(body)) else {
        replica.release(attempt);
        return caller.finish(&failed(ExecutionState::NotRun)).await;
    };
    let Some(mut connection) = PlainConnection::open(target).await else {
        replica.release(attempt);
        return caller.finish(&refused(RefuseReason::TargetUnhealthy)).await;
    };
    // Point of no return: from here on the call may have run.
    let deadline = caller.deadline;
    let answer = match timeout_at(deadline, connection.send(request)).await {
        Ok(Ok(answer)) => stream_and_collect(answer, head, target, replica, &mut caller).await,
        Ok(Err(_)) | Err(_) => None,
    };
    match answer {
        Some(outcome) => {
            replica.finish(attempt, outcome);
            caller.finish(&ForwardDown::End).await;
        }
        None => {
            log::warn!("event=call_broken request_id={} route={}", head.request_id, head.route);
            replica.mark_outcome_unknown(attempt);
            caller.finish(&failed(ExecutionState::Unknown)).await;
        }
    }
}

/// Streams the response to the caller and collects it; none if it is incomplete.
async fn stream_and_collect(
    answer: Response<WatchedBody>,
    head: &ForwardHead,
    target: SocketAddr,
    replica: &ClaimReplica,
    caller: &mut CallerStream,
) -> Option<StoredOutcome> {
    let status = answer.status().as_u16();
    let headers = end_to_end(answer.headers());
    let first = ForwardDown::Head {
        request_id: head.request_id,
        attempt: head.attempt,
        status,
        headers: headers.clone(),
        replayed: false,
    };
    let mut end = ResponseEnd::new(&answer);
    caller.send(&first).await;
    let limit = replica.outcome_body_bytes();
    let mut stored_body = Some(Vec::new());
    let mut body = answer.into_body();
    while let Some(frame) = timeout_at(caller.deadline, body.frame()).await.ok()? {
        let Ok(mut data) = frame.ok()?.into_data() else { continue };
        end.push(&data);
        stored_body = stored_body.filter(|stored_body| stored_body.len() + data.len() <= limit);
        if let Some(stored_body) = &mut stored_body {
            stored_body.extend_from_slice(&data);
        }
        while !data.is_empty() {
            let part = data.split_to(data.len().min(MAX_DATA_BYTES));
            caller.send(&ForwardDown::Data(part.to_vec())).await;
        }
    }
    if !end.is_complete(target).await {
        return None;
    }
    let headers = headers.into_iter().map(to_stored).collect();
    Some(StoredOutcome { status, headers, body: stored_body })
}

fn to_stored(header: Header) -> StoredHeader {
    StoredHeader { name: header.name, value: header.value }
}

fn from_stored(header: StoredHeader) -> Header {
    Header { name: header.name, value: header.value }
}
