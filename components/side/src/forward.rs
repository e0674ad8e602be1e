//! Task of one call to a plain service: waits in the queue, calls the target, streams the response.

use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::{ExecutionState, Tokens};
use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use tokio::time::{Instant, sleep_until, timeout_at};
use wire::{ForwardDown, ForwardHead, ForwardUp, FrameReceiver, FrameSender, RefuseReason};

use crate::plain_client::{PlainConnection, end_to_end, request_of};
use crate::recent_request_ids::RecentRequestIds;
use crate::request_body::{BodyPart, RequestBody};
use crate::request_task::{Decision, QueueGuard};
use crate::response_end::ResponseEnd;

/// Maximum body bytes of a response in one frame; below the frame limit.
pub(crate) const MAX_DATA_BYTES: usize = 256 << 10;
/// Retry delay while the target or the log is unavailable, in milliseconds.
const RETRY_AFTER_MS: u32 = 200;

/// One call with its streams from and to the entry process.
pub(crate) struct Forward {
    pub head: ForwardHead,
    pub body: FrameReceiver<ForwardUp>,
    pub sender: FrameSender<ForwardDown>,
    pub target: SocketAddr,
    pub deadline: Instant,
}

/// Reason for which a call ended before its response was complete.
enum CallFailure {
    /// Reported to the entry process with this last frame.
    Report(ForwardDown),
    /// The entry process reset the stream.
    CallerGone,
}

impl Forward {
    /// Waits in the queue, calls the target and streams the response back.
    pub async fn run(mut self, mut guard: QueueGuard, recent_ids: Rc<RefCell<RecentRequestIds>>) {
        let decision = {
            let closed = self.sender.closed();
            guard.decision(closed).await
        };
        match decision {
            None => {}
            Some(Decision::Refuse { reason, retry_after_ms }) => {
                drop(guard);
                recent_ids.borrow_mut().forget(self.head.request_id);
                self.finish(ForwardDown::Refused { reason, retry_after_ms }).await;
            }
            Some(Decision::Start { .. }) => {
                guard.set_used(Tokens(1));
                let ended = self.call().await;
                drop(guard);
                match ended {
                    Ok(()) => self.finish(ForwardDown::End).await,
                    Err(CallFailure::Report(frame)) => {
                        if matches!(frame, ForwardDown::Refused { .. }) {
                            recent_ids.borrow_mut().forget(self.head.request_id);
                        }
                        self.finish(frame).await;
                    }
                    Err(CallFailure::CallerGone) => {}
                }
            }
        }
    }

    /// Sends the last frame and ends the stream.
    pub async fn finish(mut self, last: ForwardDown) {
        let sent = timeout_at(self.deadline + Duration::from_secs(1), self.sender.send(&last));
        if sent.await.is_ok_and(|sent| sent.is_ok())
            && let Err(error) = self.sender.finish()
        {
            log::debug!("event=answer_lost error=\"{error}\"");
        }
    }

    async fn call(&mut self) -> Result<(), CallFailure> {
        let (parts, request_body) = RequestBody::new(self.head.body_bytes);
        let Some(request) = request_of(&self.head, self.target, request_body) else {
            return Err(CallFailure::Report(failed(ExecutionState::NotRun)));
        };
        let Some(mut connection) = PlainConnection::open(self.target).await else {
            return Err(CallFailure::Report(refused(RefuseReason::TargetUnhealthy)));
        };
        // Point of no return: from here on the call may have run.
        let Self { head, body, sender, target, deadline } = self;
        let exchange = exchange(&mut connection, request, head, sender, *target, *deadline);
        // A response may begin before the caller's body has ended, so both run concurrently.
        let upload = upload(body, parts);
        tokio::pin!(exchange, upload);
        let mut uploading = true;
        loop {
            tokio::select! {
                ended = &mut exchange => return ended,
                // An incomplete body is reported by the exchange.
                () = &mut upload, if uploading => uploading = false,
            }
        }
    }
}

/// Sends the request and streams the response back, which is complete only if its body ends as its
/// framing states.
async fn exchange(
    connection: &mut PlainConnection<RequestBody>,
    request: Request<RequestBody>,
    head: &ForwardHead,
    sender: &mut FrameSender<ForwardDown>,
    target: SocketAddr,
    deadline: Instant,
) -> Result<(), CallFailure> {
    let answer = tokio::select! {
        answer = connection.send(request) => {
            answer.map_err(|error| connection_failure(head, &error))?
        }
        () = sender.closed() => return Err(CallFailure::CallerGone),
        () = sleep_until(deadline) => {
            return Err(CallFailure::Report(failed(ExecutionState::Unknown)));
        }
    };
    let first = ForwardDown::Head {
        request_id: head.request_id,
        attempt: head.attempt,
        status: answer.status().as_u16(),
        headers: end_to_end(answer.headers()),
        replayed: false,
    };
    let mut end = ResponseEnd::new(&answer);
    send(sender, &first, deadline).await?;
    let mut body = answer.into_body();
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = sender.closed() => return Err(CallFailure::CallerGone),
            () = sleep_until(deadline) => {
                return Err(CallFailure::Report(failed(ExecutionState::Unknown)));
            }
        };
        let Some(frame) = frame else {
            return if end.is_complete(target).await { Ok(()) } else { Err(truncated(head)) };
        };
        let frame = frame.map_err(|error| connection_failure(head, &error))?;
        let Ok(mut data) = frame.into_data() else { continue };
        end.push(&data);
        while !data.is_empty() {
            let part = data.split_to(data.len().min(MAX_DATA_BYTES));
            send(sender, &ForwardDown::Data(part.to_vec()), deadline).await?;
        }
    }
}

fn truncated(head: &ForwardHead) -> CallFailure {
    let (request, route) = (head.request_id, &head.route);
    log::warn!(
        "event=call_broken request_id={request} route={route} error=\"the response is cut off\""
    );
    CallFailure::Report(failed(ExecutionState::Unknown))
}

fn connection_failure(head: &ForwardHead, error: &dyn fmt::Display) -> CallFailure {
    let (request, route) = (head.request_id, &head.route);
    log::warn!("event=call_broken request_id={request} route={route} error=\"{error}\"");
    CallFailure::Report(failed(ExecutionState::Unknown))
}

/// Sends a frame; the stream ends if the receiver does not accept it before the deadline.
async fn send(
    sender: &mut FrameSender<ForwardDown>,
    frame: &ForwardDown,
    deadline: Instant,
) -> Result<(), CallFailure> {
    match timeout_at(deadline, sender.send(frame)).await {
        Ok(Ok(())) => Ok(()),
        _ => Err(CallFailure::CallerGone),
    }
}

/// Forwards the caller's body. Returning without [`BodyPart::End`] aborts the request.
async fn upload(body: &mut FrameReceiver<ForwardUp>, parts: tokio::sync::mpsc::Sender<BodyPart>) {
    loop {
        match body.next().await {
            Ok(Some(ForwardUp::Data(data))) => {
                if parts.send(BodyPart::Data(Bytes::from(data))).await.is_err() {
                    return;
                }
            }
            Ok(Some(ForwardUp::End)) => {
                // A closed receiver already has the complete body.
                let _sent = parts.send(BodyPart::End).await;
                return;
            }
            Ok(Some(ForwardUp::Head(_)) | None) | Err(_) => return,
        }
    }
}

/// Last frame of a call that failed.
pub(crate) const fn failed(ran: ExecutionState) -> ForwardDown {
    ForwardDown::Failed { ran }
}

/// Last frame of a call that did not run and may be retried soon.
pub(crate) const fn refused(reason: RefuseReason) -> ForwardDown {
    ForwardDown::Refused { reason, retry_after_ms: Some(RETRY_AFTER_MS) }
}
