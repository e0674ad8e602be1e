//! Handling of a caller's request.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use api::{ApiError, ErrorCode};
use base::{Timestamp, short_hash};
use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Request, Response};
use http_body::Body;
use hyper::body::Incoming;
use ingress::{BudgetedConnection, CallerResponse, CountGuard, ResponseBody};
use platform::{RequestHead, forwarded_response_headers, local_response_headers};
use telemetry::{RequestClass, quote};

use crate::app::App;
use crate::dispatch::{Dispatch, DispatchOutcome, FullResponse};
use crate::fleet_link::FleetLink;
use crate::relay::{RelayEnd, StreamRelay};
use crate::request::{CallerRequest, ReceivedRequest, check_access, resolve_request};
use crate::shutdown::{aborting, check_time_left, draining_error};
use crate::unanswered_request::UnansweredRequest;

/// Limit on a request body while no configuration is in force.
const DEFAULT_MAX_BODY_BYTES: usize = 4 << 20;
/// Largest body that is read before the key of its request is checked.
const MAX_UNCHECKED_BODY_BYTES: u64 = 64 << 10;
/// Longest time to receive a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Handles one request and returns its response.
pub(crate) async fn handle_request(
    app: Rc<App>,
    link: Rc<FleetLink>,
    request: Request<Incoming>,
    budgeted: Rc<BudgetedConnection>,
) -> CallerResponse {
    let arrived = app.clock.now();
    let in_flight = CountGuard::new(&app.in_flight);
    let (parts, body) = request.into_parts();
    let head = RequestHead::decode(&parts.headers);
    let id = head.request_id.clone().unwrap_or_default();
    let unanswered = UnansweredRequest::new(Rc::clone(&app), id.clone(), arrived);
    for field in &head.malformed {
        log::info!("event=header_unreadable request_id={} field={}", quote(&id), field.as_str());
    }
    let received = ReceivedRequest {
        id: id.clone(),
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        head,
        arrived,
    };
    // What is left of an unread body would be taken for the next request.
    let body_read = Cell::new(false);
    let outcome = async {
        let body = read_body(&app, &received, body, &budgeted).await?;
        body_read.set(true);
        if received.id.is_empty() {
            return Err(ApiError::new(ErrorCode::InvalidRequest, "the request has no id"));
        }
        let request = resolve_request(&app, received, body)?;
        if let Some(abort_at) = app.abort_at.get() {
            check_time_left(&request.plan, abort_at.since(app.clock.now()))?;
        }
        Ok(Rc::new(request))
    };
    let outcome = tokio::select! {
        biased;
        () = aborting(&app) => Err(draining_error()),
        outcome = outcome => outcome,
    };
    let request = match outcome {
        Ok(request) => request,
        Err(error) => {
            unanswered.answered();
            let mut response = error_response(&app, &error, &id, None, arrived);
            if !body_read.get() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            return response;
        }
    };
    let mut dispatch = Dispatch::new(Rc::clone(&app), link, Rc::clone(&request));
    let end = tokio::select! {
        biased;
        () = aborting(&app) => None,
        end = dispatch.run() => Some(end),
    };
    unanswered.answered();
    match end.unwrap_or_else(|| Err(dispatch.shutdown_error())) {
        Ok(DispatchOutcome::Whole(full)) => {
            log_request_end(
                &app,
                &request,
                "whole",
                full.status.as_u16(),
                dispatch.attempt_count(),
                None,
            );
            full_response(full)
        }
        Ok(DispatchOutcome::Stream(target_response, send)) => {
            let mut response = Response::new(());
            *response.status_mut() = target_response.status;
            *response.headers_mut() = forwarded_response_headers(&target_response.headers);
            let (sender, body) = ResponseBody::streaming(None);
            let relay = StreamRelay::new(dispatch, sender);
            tokio::task::spawn_local(async move {
                let (relay, end) = relay.run(*target_response, send).await;
                let request = Rc::clone(&relay.dispatch.request);
                log_request_end(
                    &app,
                    &request,
                    end.as_str(),
                    200,
                    relay.dispatch.attempt_count(),
                    Some(&relay),
                );
                if end == RelayEnd::Whole {
                    // Fails only if the caller has disconnected, in which case nothing is left to
                    // send.
                    let _ended = relay.body.finish().await;
                }
                drop(in_flight);
            });
            response.map(|()| body)
        }
        Err(error) => error_response(&app, &error, &id, Some(&request), arrived),
    }
}

/// Reads the body of a request. A large one is read only if its route and key are valid.
async fn read_body(
    app: &App,
    received: &ReceivedRequest,
    body: Incoming,
    budgeted: &BudgetedConnection,
) -> Result<Bytes, ApiError> {
    let limit = app
        .config()
        .and_then(|config| config.caller_bounds)
        .map_or(DEFAULT_MAX_BODY_BYTES, |bounds| bounds.body_bytes);
    let is_small = body.size_hint().upper().is_some_and(|bytes| bytes <= MAX_UNCHECKED_BODY_BYTES);
    let owner = match is_small {
        true => received.head.key.clone(),
        false => check_access(app, received, app.clock.now())?.2,
    };
    let group = owner.map_or(0, |owner| short_hash(owner.as_bytes()));
    let read = budgeted.read_body(body, limit, BODY_TIMEOUT, group).await;
    read.map_err(|fault| fault.into_error(limit))
}

fn full_response(full: FullResponse) -> CallerResponse {
    let mut response = Response::new(ResponseBody::full(full.body));
    *response.status_mut() = full.status;
    *response.headers_mut() = full.headers;
    response
}

/// Error response of this process itself.
fn error_response(
    app: &App,
    error: &ApiError,
    id: &str,
    request: Option<&CallerRequest>,
    arrived: Timestamp,
) -> CallerResponse {
    let now = app.clock.now();
    app.metrics.record_refusal(error.code.as_str());
    if request.is_some_and(CallerRequest::is_taken_up) {
        app.metrics.record_resumed_stream("refused");
    }
    log::info!(
        "event=request_refused request_id={} code={} reason={} ran={} retry_after_ms={} route={} customer={} resumes={} after_ms={} config={} evidence_age_ms={}",
        quote(id),
        error.code.as_str(),
        quote(&error.message),
        error.ran.as_str(),
        error.retry_after_ms.unwrap_or_default(),
        request.map_or("-", |request| request.plan.route.as_str()),
        request.and_then(|request| request.customer.as_deref()).unwrap_or("-"),
        quote(request.map_or("-", CallerRequest::resumed_attempt)),
        now.since(arrived).as_millis(),
        app.version().0,
        app.evidence_age(now).map_or(-1, |age| age.as_millis() as i64)
    );
    let mut response = Response::new(ResponseBody::full(error.to_json(id)));
    *response.status_mut() = error.code.status();
    *response.headers_mut() = local_response_headers((!id.is_empty()).then_some(id));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(retry_ms) = error.retry_after_ms {
        let seconds = format!("{:.3}", retry_ms as f64 / 1_000.0);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

fn log_request_end(
    app: &App,
    request: &CallerRequest,
    end: &str,
    status: u16,
    sends: u32,
    relay: Option<&StreamRelay>,
) {
    let first_event_at = relay.and_then(|relay| relay.first_event_at);
    let now = app.clock.now();
    let total = now.since(request.arrived);
    let customer = request.customer.as_deref().unwrap_or("-");
    let class =
        if request.plan.kind.is_stream() { RequestClass::Streamed } else { RequestClass::Plain };
    app.metrics.record_request(customer, class);
    if let Some(first) = first_event_at {
        app.metrics.record_first_token(customer, class, first.since(request.arrived));
    }
    if let (Some(relay), Some(first)) = (relay, first_event_at) {
        let data_centre = relay.data_centre.as_str();
        if first.since(request.arrived) > request.plan.objectives.response {
            app.metrics.record_late_stream("first_event", data_centre);
        }
        if relay.longest_gap > request.plan.objectives.event_gap {
            app.metrics.record_late_stream("pause", data_centre);
        }
    }
    app.metrics.record_total(customer, class, total, request.output_tokens());
    log::info!(
        "event=request_ended request_id={} end={end} status={status} route={} kind={} customer={} resumes={} sends={sends} events={} longest_gap_ms={} first_event_ms={} total_ms={} objective_ms={} framing={} rest_bytes={}",
        quote(&request.id),
        quote(&request.plan.route),
        request.plan.kind.as_str(),
        quote(customer),
        quote(request.resumed_attempt()),
        relay.map_or(0, |relay| relay.events),
        relay.map_or(0, |relay| relay.longest_gap.as_millis()),
        first_event_at.map_or(-1, |at| at.since(request.arrived).as_millis() as i64),
        total.as_millis(),
        request.plan.objectives.response.as_millis(),
        relay.map_or("-", |relay| relay.framing.as_str()),
        relay.map_or(0, |relay| relay.rest_bytes)
    );
}
