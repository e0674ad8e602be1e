//! Arrival of a call to a plain service: route, permission, and what the side process is sent.

use std::rc::Rc;
use std::time::Duration;

use api::{
    ApiError, ErrorCode, forwardable_headers, is_unambiguous_path, path_contains_key,
    presented_key, strip_query_credentials,
};
use auth::{authenticate, hash_key, permit_route};
use base::RouteId;
use compact_str::CompactString;
use config::FleetConfig;
use http::request::Parts;
use http::{HeaderMap, Method};
use hyper::body::Body;
use telemetry::RequestClass;
use tokio::sync::oneshot;
use wire::{ForwardHead, Header};

use crate::app::App;
use crate::dispatch::{IncomingRequest, auth_error, cancel_error, head_error, read_body};
use crate::forward_job::{ForwardJob, Payload};
use crate::in_flight::{Principal, RequestedResource};
use ingress::CallerResponse;

/// Header that makes a call run at most once over all its attempts.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Longest idempotency key in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// Forwards a call to the plain service of the route with the longest matching prefix.
///
/// # Errors
///
/// Why it was refused before anything was sent; later errors come as the response.
pub(crate) async fn forward(
    app: &Rc<App>,
    incoming: IncomingRequest,
    config: &FleetConfig,
) -> Result<CallerResponse, ApiError> {
    let IncomingRequest { request, id, at, closer, budgeted } = incoming;
    let (parts, body) = request.into_parts();
    let path = parts.uri.path();
    if !is_unambiguous_path(path) {
        let text = "the path has dot segments or encoded separators";
        return Err(ApiError::new(ErrorCode::InvalidRequest, text));
    }
    let route_id = config
        .match_route(path)
        .ok_or_else(|| ApiError::new(ErrorCode::RouteNotFound, "no route has this path"))?;
    let key = presented_key(&parts.headers).map_err(head_error)?;
    let principal = principal_of(app, config, route_id, key)?;
    let route = config.route(route_id);
    let repeatable =
        route.repeatable || matches!(parts.method, Method::GET | Method::HEAD | Method::OPTIONS);
    let idempotency_key = if repeatable { None } else { idempotency_key(&parts.headers)? };
    let path_and_query = forwarded_target(&parts, key)?;
    let limits = app.settings.callers;
    let announced = body.size_hint();
    if announced.lower() > limits.forward_body_bytes {
        let text = format!("the body is larger than {} bytes", limits.forward_body_bytes);
        return Err(ApiError::new(ErrorCode::BodyTooLarge, text));
    }
    let in_flight_guard =
        app.in_flight.insert(principal.clone(), RequestedResource::Route(route.name.clone()));
    let timeout = Duration::from_millis(route.timeout_ms);
    let small = announced.upper().is_some_and(|most| most <= limits.idempotent_body_bytes as u64);
    let payload = if idempotency_key.is_some() || small {
        let time = timeout.min(Duration::from_millis(limits.body_timeout_ms));
        let customer = principal.as_ref().map(|principal| principal.customer.as_str());
        let bytes = tokio::select! {
            bytes = read_body(&budgeted, customer, body, limits.idempotent_body_bytes, time) => bytes?,
            reason = in_flight_guard.cancel.cancelled() => return Err(cancel_error(reason)),
        };
        Payload::Buffered(bytes)
    } else {
        Payload::Streamed(body)
    };
    let body_bytes = match &payload {
        Payload::Buffered(bytes) => Some(bytes.len() as u64),
        Payload::Streamed(body) => body.size_hint().exact(),
        Payload::Consumed => None,
    };
    let head = ForwardHead {
        request_id: id,
        attempt: 0,
        customer: principal.map(|principal| principal.customer),
        route: route.name.clone(),
        repeatable,
        idempotency_key_sha256: idempotency_key.map(hash_key),
        method: CompactString::new(parts.method.as_str()),
        path_and_query,
        headers: forwardable_headers(&parts.headers, key)
            .map(|(name, value)| Header {
                name: CompactString::new(name.as_str()),
                value: value.as_bytes().to_vec(),
            })
            .collect(),
        body_bytes,
        deadline_ms: 0,
    };
    let (sender, receiver) = oneshot::channel();
    let job = ForwardJob {
        app: Rc::clone(app),
        in_flight_guard,
        closer,
        class: RequestClass::Plain,
        arrived: at,
        deadline: at + timeout,
        service: config.service(route.service).name.clone(),
        head,
        payload,
        response_sender: Some(sender),
        answer_begun: Rc::default(),
        reached_target: false,
    };
    tokio::task::spawn_local(job.run());
    receiver.await.map_err(|_| {
        let error = ApiError::new(ErrorCode::OutcomeUnknown, "the call ended without an answer");
        error.with_ran(base::ExecutionState::Unknown)
    })
}

/// On whose behalf the call runs; none on a public route without a key.
fn principal_of(
    app: &App,
    config: &FleetConfig,
    route: RouteId,
    key: Option<&str>,
) -> Result<Option<Principal>, ApiError> {
    let public = matches!(config.route(route).access, config::Access::All);
    let Some(key) = key else {
        return match permit_route(config, None, route) {
            Ok(()) => Ok(None),
            Err(_) => Err(ApiError::new(ErrorCode::MissingKey, "no API key was presented")),
        };
    };
    // A wrong key is refused on a public route too: the caller means to act as a customer.
    let caller = authenticate(config, key).map_err(auth_error)?;
    if !public {
        app.check_authority()?;
    }
    permit_route(config, Some(caller.customer), route).map_err(auth_error)?;
    Ok(Some(Principal {
        key_sha256: config.key(caller.key).sha256,
        customer: config.customer(caller.customer).name.clone(),
    }))
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<&str>, ApiError> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else { return Ok(None) };
    match value.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= MAX_IDEMPOTENCY_KEY_BYTES => Ok(Some(key)),
        _ => {
            let text = "Idempotency-Key must have 1 to 255 visible ASCII characters";
            Err(ApiError::new(ErrorCode::InvalidRequest, text).with_param("Idempotency-Key"))
        }
    }
}

/// Path and query without credentials.
fn forwarded_target(parts: &Parts, key: Option<&str>) -> Result<String, ApiError> {
    let path = parts.uri.path();
    if key.is_some_and(|key| path_contains_key(path, key)) {
        return Err(ApiError::new(ErrorCode::InvalidRequest, "the path holds the API key"));
    }
    let query = parts.uri.query().map(|query| strip_query_credentials(query, key));
    Ok(match query {
        Some(query) if !query.is_empty() => format!("{path}?{query}"),
        _ => path.to_owned(),
    })
}
