//! Exchange of one request with one target.

use std::rc::Rc;
use std::time::Duration;

use api::{RunEnd, is_event_stream, is_final_status};
use base::Timestamp;
use bytes::Bytes;
use calls::WatchedBody;
use http::{HeaderMap, Request, Response, StatusCode, Version};
use http_body_util::{BodyExt, Full};
use hyper::body::Body;
use platform::{ForwardingHeaders, ResponseHead, forwarded_request_headers};
use routing::DirectPick;
use tokio::time::timeout;

use crate::app::App;
use crate::request::CallerRequest;
use crate::target_pool::{SendFailure, TargetConnection, TargetPool};

/// Limit on a response that isn't a stream; faulty targets send endless responses.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Idle time up to which a pooled connection is used for a non-repeatable request. A target may
/// have closed a connection that was idle for longer, and then it is unknown whether the request
/// ran.
const MAX_IDLE_NON_REPEATABLE: Duration = Duration::from_millis(1_000);
/// Idle time up to which a pooled connection is used for a repeatable request.
const MAX_IDLE_REPEATABLE: Duration = Duration::from_secs(60);
/// Shortest deadline that is sent to a target.
const MIN_DEADLINE: Duration = Duration::from_millis(1);

/// Response of a target whose body has not been read.
pub(crate) struct TargetResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Decoded headers.
    pub head: ResponseHead,
    body: WatchedBody,
    connection: TargetConnection,
}

/// Response of a target whose body has been read.
pub(crate) struct ReadResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether the body is complete.
    pub end: RunEnd,
}

/// Why there is no usable response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ExchangeFailure {
    /// The request was not sent.
    NotSent,
    /// The target refused the connection: nothing listens on its address.
    Refused,
    /// The request was sent, but no matching response arrived.
    NoResponse(NoResponse),
}

impl ExchangeFailure {
    /// Whether the connection ended while the target had the request.
    pub(crate) const fn breaks_connection(self) -> bool {
        matches!(self, Self::NoResponse(NoResponse::Broken | NoResponse::Truncated))
    }
}

/// What happened instead of a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NoResponse {
    /// The connection was lost.
    Broken,
    /// The response was truncated.
    Truncated,
    /// The response belongs to another request or doesn't come from the target.
    Mismatched,
    /// The target stands still, and another one can take the request at once.
    TargetSilent,
    /// The response didn't arrive in time.
    Timeout,
}

impl NoResponse {
    /// Value for log lines.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Broken => "connection_broken",
            Self::Truncated => "answer_cut_short",
            Self::Mismatched => "foreign_answer",
            Self::TargetSilent => "target_silent",
            Self::Timeout => "no_answer_in_time",
        }
    }
}

/// Sends a request to a target and waits up to `limit` for the response head.
///
/// # Errors
///
/// Why there is no usable response.
pub(crate) async fn exchange(
    app: &App,
    request: &CallerRequest,
    pick: &DirectPick,
    urgency: Option<u8>,
    last_event: Option<u64>,
    limit: Duration,
) -> Result<TargetResponse, ExchangeFailure> {
    let started = app.clock.now();
    let max_idle = if request.plan.kind.may_run_again() {
        MAX_IDLE_REPEATABLE
    } else {
        MAX_IDLE_NON_REPEATABLE
    };
    let mut connection =
        app.pool.connect(pick.address, max_idle, limit).await.map_err(|failure| match failure {
            SendFailure::Refused => ExchangeFailure::Refused,
            SendFailure::NotSent | SendFailure::NoResponse => ExchangeFailure::NotSent,
        })?;
    let now = app.clock.now();
    let rest = limit.saturating_sub(now.since(started));
    let sent = connection.send(target_request(request, pick, urgency, last_event, now));
    let response = match timeout(rest, sent).await {
        Ok(Ok(response)) => response,
        Ok(Err(SendFailure::NotSent | SendFailure::Refused)) => {
            return Err(ExchangeFailure::NotSent);
        }
        Ok(Err(SendFailure::NoResponse)) => {
            return Err(ExchangeFailure::NoResponse(NoResponse::Broken));
        }
        Err(_) => return Err(ExchangeFailure::NoResponse(NoResponse::Timeout)),
    };
    check_response(request, response, connection)
}

fn target_request(
    request: &CallerRequest,
    pick: &DirectPick,
    urgency: Option<u8>,
    last_event: Option<u64>,
    now: Timestamp,
) -> Request<Full<Bytes>> {
    let left = request.deadline.since(now).max(MIN_DEADLINE);
    let send = ForwardingHeaders {
        target: &pick.id,
        deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1),
        customer: request.customer.as_deref(),
        urgency,
        last_event,
    };
    let mut target_request = Request::new(Full::new(request.body.clone()));
    *target_request.method_mut() = request.method.clone();
    *target_request.uri_mut() = request.uri.clone();
    *target_request.version_mut() = Version::HTTP_11;
    *target_request.headers_mut() = forwarded_request_headers(&request.headers, &send);
    target_request
}

fn check_response(
    request: &CallerRequest,
    response: Response<WatchedBody>,
    connection: TargetConnection,
) -> Result<TargetResponse, ExchangeFailure> {
    let (parts, body) = response.into_parts();
    let mut head = ResponseHead::decode(&parts.headers);
    // A target that is not the addressed one says so with the status alone; an answer of a run can't
    // say that there was none.
    head.not_run = match parts.status {
        StatusCode::MISDIRECTED_REQUEST => true,
        status => head.not_run && !status.is_success(),
    };
    // A target may send a duplicate response late, where the next one is expected.
    let belongs = match &head.request_id {
        Some(id) => *id == request.id,
        None => connection.has_single_request(),
    };
    let is_complete = !head.encoded && (head.signed || !parts.status.is_success());
    // Only the target can promise that it won't run the request, and this one doesn't.
    let promises_in_vain = guarantees_not_run(parts.status) && !head.not_run;
    if !belongs || !is_complete || !is_final_status(parts.status) || promises_in_vain {
        return Err(ExchangeFailure::NoResponse(NoResponse::Mismatched));
    }
    Ok(TargetResponse { status: parts.status, headers: parts.headers, head, body, connection })
}

/// Whether callers take a status as a promise that the request has not run and never will.
const fn guarantees_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

impl TargetResponse {
    /// Whether the response is a stream of events.
    pub(crate) fn is_stream(&self) -> bool {
        is_event_stream(&self.headers)
    }

    /// Reads the whole body. The connection returns to the pool once the request is written.
    ///
    /// # Errors
    ///
    /// If the body is truncated or doesn't arrive within `limit`.
    pub(crate) async fn read_full(
        self,
        app: &Rc<App>,
        limit: Duration,
    ) -> Result<ReadResponse, NoResponse> {
        let Self { status, headers, head, body, connection } = self;
        let end = head.framing.end(!body.is_end_stream());
        let collected = app.budget.read_response(body, MAX_RESPONSE_BYTES);
        let body = match timeout(limit, collected).await {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(_)) => return Err(NoResponse::Truncated),
            Err(_) => return Err(NoResponse::Timeout),
        };
        return_to_pool(app, connection, &head);
        Ok(ReadResponse { status, headers, body, end })
    }

    /// Body and connection of a stream; the connection must stay open while the body is read.
    pub(crate) fn into_stream(self) -> TargetStream {
        TargetStream { head: self.head, body: self.body, connection: self.connection }
    }
}

fn return_to_pool(app: &Rc<App>, connection: TargetConnection, head: &ResponseHead) {
    if !head.closes_connection {
        TargetPool::keep_when_written(app, connection, head.keep_alive);
    }
}

/// A streamed response of a target.
pub(crate) struct TargetStream {
    head: ResponseHead,
    body: WatchedBody,
    connection: TargetConnection,
}

/// Result of a read from a stream.
#[derive(Clone, Debug)]
pub(crate) enum StreamPart {
    /// Data.
    Bytes(Bytes),
    /// The stream ended normally.
    End,
    /// The stream broke.
    Broken,
    /// No data arrived in time.
    Timeout,
}

impl TargetStream {
    /// Waits up to `limit` for the next bytes.
    pub(crate) async fn next(&mut self, limit: Duration) -> StreamPart {
        loop {
            match timeout(limit, self.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Ok(bytes) = frame.into_data() {
                        return StreamPart::Bytes(bytes);
                    }
                }
                Ok(Some(Err(_))) => return StreamPart::Broken,
                Ok(None) => return StreamPart::End,
                Err(_) => return StreamPart::Timeout,
            }
        }
    }

    /// Returns the connection of a completely read stream to the pool once the request is written.
    pub(crate) fn finish(self, app: &Rc<App>) {
        return_to_pool(app, self.connection, &self.head);
    }
}
