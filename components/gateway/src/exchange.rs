//! One request at one target.

use std::time::Duration;

use base::Timestamp;
use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, Version};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use platform::{AnswerHead, SendHeaders, forwarded_headers};
use routing::DirectPick;
use tokio::time::timeout;

use crate::app::App;
use crate::request::CallerRequest;
use crate::target_pool::{SendFailure, TargetConnection};

/// Most bytes of an answer that is no stream. Targets in trouble send bytes without end; some thirty such answers at
/// once fit into the memory of the smallest gateways, 160 MB.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Idle time up to which a kept connection carries a request that may not run twice. A target may have
/// closed a longer idle one, which leaves open whether the request ran.
const MAX_IDLE_NON_REPEATABLE: Duration = Duration::from_millis(1_000);
/// Idle time up to which a kept connection carries a request that may run again.
const MAX_IDLE_REPEATABLE: Duration = Duration::from_secs(60);
/// Least time that a target is given.
const MIN_DEADLINE: Duration = Duration::from_millis(1);

/// Answer of a target whose body has not been read.
pub(crate) struct TargetResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers as they came.
    pub headers: HeaderMap,
    /// What they say.
    pub head: AnswerHead,
    body: Incoming,
    connection: TargetConnection,
}

/// Why there is no answer to use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ExchangeFailure {
    /// The request was not sent.
    NotSent,
    /// The target refused the connection: nothing listens at its address.
    Refused,
    /// It was sent, and no answer came, or none that belongs to it.
    NoResponse(NoResponse),
}

/// What came instead of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NoResponse {
    /// The connection broke.
    Broken,
    /// The answer was cut short.
    Truncated,
    /// An answer to another request, or no answer of the target at all.
    Mismatched,
    /// Nothing within the time.
    Timeout,
}

impl NoResponse {
    /// The reason as a value in logs.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Broken => "connection_broken",
            Self::Truncated => "answer_cut_short",
            Self::Mismatched => "foreign_answer",
            Self::Timeout => "no_answer_in_time",
        }
    }
}

/// Sends a request to a target and waits up to `limit` for the head of the answer.
///
/// # Errors
///
/// Why there is none.
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
    check_answer(request, response, connection)
}

fn target_request(
    request: &CallerRequest,
    pick: &DirectPick,
    urgency: Option<u8>,
    last_event: Option<u64>,
    now: Timestamp,
) -> Request<Full<Bytes>> {
    let left = request.deadline.since(now).max(MIN_DEADLINE);
    let send = SendHeaders {
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
    *target_request.headers_mut() = forwarded_headers(&request.headers, &send);
    target_request
}

fn check_answer(
    request: &CallerRequest,
    response: Response<Incoming>,
    connection: TargetConnection,
) -> Result<TargetResponse, ExchangeFailure> {
    let (parts, body) = response.into_parts();
    let head = AnswerHead::decode(&parts.headers);
    // A target may send a second answer late, where the next one is due.
    let belongs = head.request_id.as_ref().is_none_or(|id| *id == request.id);
    let is_whole = !head.encoded && (head.sealed || !parts.status.is_success());
    if !belongs || !is_whole {
        return Err(ExchangeFailure::NoResponse(NoResponse::Mismatched));
    }
    Ok(TargetResponse { status: parts.status, headers: parts.headers, head, body, connection })
}

impl TargetResponse {
    /// Whether the answer is a stream of events.
    pub(crate) fn is_stream(&self) -> bool {
        self.headers
            .get(http::header::CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .is_some_and(|value| value.starts_with("text/event-stream"))
    }

    /// Reads the whole body and keeps the connection.
    ///
    /// # Errors
    ///
    /// If the body is cut short or does not come within `limit`.
    pub(crate) async fn read_whole(
        self,
        app: &App,
        limit: Duration,
    ) -> Result<(StatusCode, HeaderMap, Bytes), NoResponse> {
        let Self { status, headers, head, body, connection } = self;
        let collected = Limited::new(body, MAX_RESPONSE_BYTES).collect();
        let bytes = match timeout(limit, collected).await {
            Ok(Ok(collected)) => collected.to_bytes(),
            Ok(Err(_)) => return Err(NoResponse::Truncated),
            Err(_) => return Err(NoResponse::Timeout),
        };
        keep(app, connection, &head).await;
        Ok((status, headers, bytes))
    }

    /// Body and connection of a stream; the connection must live as long as the body is read.
    pub(crate) fn into_stream(self) -> TargetStream {
        TargetStream { head: self.head, body: self.body, connection: self.connection }
    }
}

async fn keep(app: &App, mut connection: TargetConnection, head: &AnswerHead) {
    if !head.closes && connection.is_reusable().await {
        app.pool.keep(connection, head.keep_alive);
    }
}

/// A stream of a target.
pub(crate) struct TargetStream {
    head: AnswerHead,
    body: Incoming,
    connection: TargetConnection,
}

/// What came next on a stream.
#[derive(Clone, Debug)]
pub(crate) enum StreamPart {
    /// Bytes.
    Bytes(Bytes),
    /// The end, in order.
    End,
    /// The stream broke.
    Broken,
    /// Nothing came within the time.
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

    /// Keeps the connection of a stream that was read to its end.
    pub(crate) async fn finish(self, app: &App) {
        keep(app, self.connection, &self.head).await;
    }
}
