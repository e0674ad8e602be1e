//! One attempt of a call to a plain service at one side process.

use api::{ApiError, ErrorCode};
use base::ExecutionState;
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HeaderName, HeaderValue};
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use routing::{Failure, Pick};
use wire::{ForwardDown, ForwardUp, FrameReceiver, FrameSender, Header, WireError};

use crate::forward_job::{ForwardJob, Payload};
use ingress::ResponseBody;
use ingress::{CallerResponse, with_request_id};

/// Most bytes of a body in one frame.
const PART_BYTES: usize = 64 << 10;
/// Says that the answer was stored from an earlier call.
const REPLAYED: HeaderName = HeaderName::from_static("idempotent-replayed");

/// An attempt in progress. Dropping it resets the stream to the side process.
pub(crate) struct ForwardAttempt<'a> {
    /// The call.
    pub job: &'a mut ForwardJob,
    /// Where it runs.
    pub pick: &'a Pick,
}

/// How an attempt ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum ForwardOutcome {
    /// The answer is whole.
    Completed,
    /// The caller has gone.
    CallerDisconnected,
    /// There is no whole answer.
    Failed {
        /// Why.
        failure: Failure,
        /// When to try again, in milliseconds, if the side process says so.
        retry_after_ms: Option<u32>,
    },
    /// It is over with this error.
    Stopped(ApiError),
}

impl ForwardAttempt<'_> {
    /// Runs the attempt.
    pub(crate) async fn run(self) -> ForwardOutcome {
        let Self { job, pick } = self;
        let app = std::rc::Rc::clone(&job.app);
        let opened = match app.pool.client(pick.address).await {
            Ok(client) => client.forward().await,
            Err(error) => Err(error),
        };
        let Ok((mut sender, receiver)) = opened else {
            app.pool.forget(pick.address);
            app.record_failure_at(pick.address);
            return failed(Failure::NotSent);
        };
        let before = job.reached_target;
        job.reached_target = true;
        if sender.send(&ForwardUp::Head(job.head.clone())).await.is_err() {
            return failed(Failure::NoAnswer);
        }
        let payload = match &job.payload {
            Payload::Buffered(bytes) => Payload::Buffered(bytes.clone()),
            _ => std::mem::replace(&mut job.payload, Payload::Consumed),
        };
        let limit = app.settings.callers.forward_body_bytes;
        let mut upload = Box::pin(send_body(sender, payload, limit));
        let mut uploading = true;
        let mut receiver = Box::pin(receiver.ready());
        let mut frames = loop {
            tokio::select! {
                frames = &mut receiver => match frames {
                    Ok(frames) => break frames,
                    Err(_) => return failed(Failure::NoAnswer),
                },
                sent = &mut upload, if uploading => {
                    uploading = false;
                    if let Err(UploadError::Caller(error)) = sent {
                        return ForwardOutcome::Stopped(error);
                    }
                }
            }
        };
        // An answer may come before the body is through.
        let answer = receive_answer(job, &mut frames, before);
        let mut answer = Box::pin(answer);
        loop {
            tokio::select! {
                end = &mut answer => return end,
                sent = &mut upload, if uploading => {
                    uploading = false;
                    if let Err(UploadError::Caller(error)) = sent {
                        return ForwardOutcome::Stopped(error);
                    }
                }
            }
        }
    }
}

enum UploadError {
    /// The caller's body is at fault.
    Caller(ApiError),
    /// The side process reads no more; its answer tells why.
    Side,
}

impl From<WireError> for UploadError {
    fn from(_: WireError) -> Self {
        Self::Side
    }
}

async fn send_body(
    mut sender: FrameSender<ForwardUp>,
    payload: Payload,
    limit: u64,
) -> Result<(), UploadError> {
    match payload {
        Payload::Buffered(bytes) => send_parts(&mut sender, &bytes).await?,
        Payload::Streamed(body) => stream_body(&mut sender, body, limit).await?,
        Payload::Consumed => {}
    }
    sender.send(&ForwardUp::End).await?;
    sender.finish()?;
    Ok(())
}

async fn send_parts(sender: &mut FrameSender<ForwardUp>, bytes: &Bytes) -> Result<(), WireError> {
    for part in bytes.chunks(PART_BYTES) {
        sender.send(&ForwardUp::Data(part.to_vec())).await?;
    }
    Ok(())
}

async fn stream_body(
    sender: &mut FrameSender<ForwardUp>,
    mut body: Incoming,
    limit: u64,
) -> Result<(), UploadError> {
    let mut total: u64 = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| {
            let error = ApiError::new(ErrorCode::InvalidRequest, "the body broke off");
            UploadError::Caller(error.with_ran(ExecutionState::Unknown))
        })?;
        let Ok(bytes) = frame.into_data() else { continue };
        total += bytes.len() as u64;
        if total > limit {
            let text = format!("the body is larger than {limit} bytes");
            let error = ApiError::new(ErrorCode::BodyTooLarge, text);
            return Err(UploadError::Caller(error.with_ran(ExecutionState::Unknown)));
        }
        send_parts(sender, &bytes).await?;
    }
    Ok(())
}

/// Passes the answer on to the caller.
async fn receive_answer(
    job: &mut ForwardJob,
    frames: &mut FrameReceiver<ForwardDown>,
    reached_before: bool,
) -> ForwardOutcome {
    let (status, headers, replayed) = match frames.next().await {
        Ok(Some(ForwardDown::Head { request_id, attempt, status, headers, replayed })) => {
            if request_id != job.head.request_id || attempt != job.head.attempt {
                job.app.metrics.record_late_answer();
                return failed(Failure::Mismatched);
            }
            (status, headers, replayed)
        }
        Ok(Some(ForwardDown::Refused { reason, retry_after_ms })) => {
            job.reached_target = reached_before;
            return ForwardOutcome::Failed { failure: Failure::Refused(reason), retry_after_ms };
        }
        Ok(Some(ForwardDown::Failed { ran })) => {
            if ran == ExecutionState::NotRun {
                job.reached_target = reached_before;
            }
            return failed(Failure::Failed(ran));
        }
        Ok(Some(ForwardDown::Data(_) | ForwardDown::End) | None) | Err(_) => {
            return failed(Failure::NoAnswer);
        }
    };
    if replayed {
        job.app.metrics.record_replay();
    }
    let Some(sender) = job.response_sender.take() else { return failed(Failure::NoAnswer) };
    job.answer_begun.set(true);
    let bodiless = job.head.method == "HEAD" || matches!(status, 204 | 304);
    let (mut response, length) = answer_head(status, &headers, bodiless);
    let (body, parts) = if bodiless {
        (ResponseBody::full(Bytes::new()), None)
    } else {
        let (parts, body) = ResponseBody::streaming(length);
        (body, Some(parts))
    };
    *response.body_mut() = body;
    if replayed {
        response.headers_mut().insert(REPLAYED, HeaderValue::from_static("true"));
    }
    let response = with_request_id(response, &job.head.request_id.to_string());
    if sender.send(response).is_err() {
        return ForwardOutcome::CallerDisconnected;
    }
    loop {
        let next = match &parts {
            Some(parts) => tokio::select! {
                next = frames.next() => next,
                () = parts.closed() => return ForwardOutcome::CallerDisconnected,
            },
            None => frames.next().await,
        };
        match (next, &parts) {
            (Ok(Some(ForwardDown::Data(bytes))), Some(parts)) => {
                if job.head.customer.is_some() && job.app.check_authority().is_err() {
                    return failed(Failure::NoAnswer);
                }
                if parts.send(Bytes::from(bytes)).await.is_err() {
                    return ForwardOutcome::CallerDisconnected;
                }
            }
            (Ok(Some(ForwardDown::Data(_))), None) => {}
            (Ok(Some(ForwardDown::End)), _) => break,
            // Dropping the body without its end breaks the connection off.
            _ => return failed(Failure::NoAnswer),
        }
    }
    if let Some(parts) = parts {
        // A caller that has gone needs no end.
        let _ended = parts.finish().await;
    }
    ForwardOutcome::Completed
}

const fn failed(failure: Failure) -> ForwardOutcome {
    ForwardOutcome::Failed { failure, retry_after_ms: None }
}

fn answer_head(status: u16, headers: &[Header], bodiless: bool) -> (CallerResponse, Option<u64>) {
    let mut response = Response::new(ResponseBody::full(Bytes::new()));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut length = None;
    for header in headers {
        let (Ok(name), Ok(value)) = (
            HeaderName::from_bytes(header.name.as_bytes()),
            HeaderValue::from_bytes(&header.value),
        ) else {
            continue;
        };
        if name == CONTENT_LENGTH {
            length = value.to_str().ok().and_then(|text| text.parse().ok());
            if !bodiless {
                // The HTTP server writes it from the length of the body.
                continue;
            }
        }
        response.headers_mut().append(name, value);
    }
    (response, length)
}
