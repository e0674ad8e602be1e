//! Admission of a caller's request.

use std::sync::Arc;
use std::time::Duration;

use api::{ApiError, ErrorCode};
use auth::authenticate;
use base::{RouteId, Timestamp};
use bytes::Bytes;
use compact_str::CompactString;
use config::{Access, DirectKind, FleetConfig};
use http::uri::PathAndQuery;
use http::{HeaderMap, Method, Uri, header};
use platform::RequestHead;
use quarantine::RequestIdentity;
use rand::Rng;
use rates::{GatewayCount, RequestRank, SharedBucket};
use routing::{Homes, LatencyObjectives, PrefixLink, prefix_links};
use telemetry::quote;

use crate::app::App;

/// `Retry-After` while this process has no configuration or no valid evidence: the time between two
/// attempts to get it.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Lower bound of the jitter factor on `Retry-After` for a caller over its rate; the factor is
/// drawn between it and 1.
const MIN_RETRY_JITTER: f64 = 0.7;
/// Age of the evidence up to which an unknown key or route is rejected permanently. With older
/// evidence, a configuration that contains it may be in force at another gateway.
const MAX_REJECTION_EVIDENCE_AGE: Duration = Duration::from_millis(1_900);
/// Expected share of the output token limit that is used if the caller gives no estimate.
const EXPECTED_OUTPUT_SHARE: f64 = 0.6;

/// Properties of the route that apply to a request.
#[derive(Clone, Debug)]
pub(crate) struct RoutePlan {
    /// Name of the route.
    pub route: CompactString,
    /// Service.
    pub service: CompactString,
    /// Whether its targets are engines.
    pub engine: bool,
    /// Kind of the route.
    pub kind: DirectKind,
    /// Most targets that may execute the request.
    pub attempts: u32,
    /// Latency objectives.
    pub objectives: LatencyObjectives,
    /// Scheduling priority; 0 is the most urgent.
    pub priority: u8,
    /// Regions in which the request may run.
    pub homes: Homes,
    /// Priority within the customer's rate; 0 is the most urgent. Plain requests cost next to
    /// nothing.
    pub rate_priority: u8,
}

/// An admitted request.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    /// Request id set by the caller.
    pub id: CompactString,
    /// Method.
    pub method: Method,
    /// Path and query as received.
    pub uri: Uri,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Decoded headers.
    pub head: RequestHead,
    /// Properties of the route.
    pub plan: RoutePlan,
    /// Customer; none on open routes.
    pub customer: Option<CompactString>,
    /// Tokens charged to the customer.
    pub tokens: u64,
    /// When it arrived.
    pub arrived: Timestamp,
    /// When the caller or the route times out.
    pub deadline: Timestamp,
    /// Hash chain of the prompt's prefixes.
    pub links: Vec<PrefixLink>,
    /// Ids of the prompt's parts; the last one is the request's own.
    pub parts: Vec<u64>,
    /// Digest that the repetitions of the request share.
    pub digest: u64,
}

/// A received request before it is admitted, without its body.
pub(crate) struct ReceivedRequest {
    pub id: CompactString,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub head: RequestHead,
    pub arrived: Timestamp,
}

impl ReceivedRequest {
    /// Host without the port, which the host of a route doesn't include.
    fn host(&self) -> &str {
        let host = self
            .uri
            .host()
            .or_else(|| self.headers.get(header::HOST).and_then(|host| host.to_str().ok()))
            .unwrap_or_default();
        host.rsplit_once(':').map_or(host, |(name, _)| name)
    }
}

impl CallerRequest {
    /// Tokens of the prompt: the caller's count or, without one, the tokens of its parts.
    pub(crate) fn prompt_tokens(&self) -> u64 {
        self.head
            .prompt_tokens
            .unwrap_or_else(|| self.links.iter().map(|link| u64::from(link.tokens)).sum())
    }

    /// Whether the caller has events of the stream from another attempt.
    pub(crate) fn is_taken_up(&self) -> bool {
        self.plan.kind.is_stream() && self.head.last_event.is_some_and(|event| event > 0)
    }

    /// Id of the attempt whose stream the request takes up, for log lines.
    pub(crate) fn resumed_attempt(&self) -> &str {
        match &self.head.resumes {
            Some(attempt) if self.is_taken_up() => attempt,
            None if self.is_taken_up() => "unnamed",
            Some(_) | None => "-",
        }
    }

    /// Rank within the customer's rate.
    fn rate_rank(&self) -> RequestRank {
        match self.is_taken_up() && self.plan.kind.may_run_again() {
            true => RequestRank::Resumed,
            false => RequestRank::New(self.plan.rate_priority),
        }
    }

    /// Expected tokens of the output.
    pub(crate) fn output_tokens(&self) -> u64 {
        let most = self.head.max_output_tokens.unwrap_or_default();
        match self.head.output_hint_tokens {
            Some(hint) => hint.min(most.max(1)),
            None => (most as f64 * EXPECTED_OUTPUT_SHARE) as u64,
        }
    }
}

fn not_ready(text: &str) -> ApiError {
    ApiError::new(ErrorCode::NoAuthority, text).with_retry_after(NOT_READY_RETRY_AFTER)
}

/// Checks a request's route and key against the configuration and the evidence. Returns both, the
/// customer only if the route is not open.
///
/// # Errors
///
/// The error to return to the caller; the request has not been executed.
pub(crate) fn check_access(
    app: &App,
    received: &ReceivedRequest,
    now: Timestamp,
) -> Result<(Arc<FleetConfig>, RouteId, Option<CompactString>), ApiError> {
    let config = app.config().ok_or_else(|| not_ready("no configuration is in force yet"))?;
    let evidence = app.evidence_age(now);
    // A permanent rejection requires a current configuration.
    let is_current = evidence.is_some_and(|age| age <= MAX_REJECTION_EVIDENCE_AGE);
    let Some(route_id) = config.match_direct(received.host(), received.uri.path()) else {
        return Err(match is_current {
            true => ApiError::new(ErrorCode::RouteNotFound, "no route has this host and path"),
            false => not_ready("the configuration here may be out of date"),
        });
    };
    let customer =
        authenticate_customer(&config, route_id, received, is_current, evidence.is_some())?;
    Ok((config, route_id, customer))
}

/// Checks a request against the configuration and the evidence.
///
/// # Errors
///
/// The error to return to the caller; the request has not been executed.
pub(crate) fn resolve_request(
    app: &App,
    received: ReceivedRequest,
    body: Bytes,
) -> Result<CallerRequest, ApiError> {
    let now = app.clock.now();
    let (config, route_id, customer) = check_access(app, &received, now)?;
    let plan = route_plan(&config, route_id, customer.as_deref());
    app.rates.borrow_mut().retries.record_request(&plan.service, now);
    let tokens = charged_tokens(&config, customer.as_deref(), &received.head);
    let route = config.route(route_id);
    let route_timeout = Duration::from_millis(route.timeout_ms);
    let allowed = received
        .head
        .deadline_ms
        .map_or(route_timeout, |deadline_ms| route_timeout.min(Duration::from_millis(deadline_ms)));
    let links = match &received.head.model {
        Some(model) => {
            prefix_links(model, received.head.adapter.as_deref(), &received.head.prompt_parts)
        }
        None => Vec::new(),
    };
    let parts: Vec<u64> = received.head.prompt_parts.iter().map(|part| part.id).collect();
    let identity = RequestIdentity {
        host: received.host(),
        method: received.method.as_str(),
        path: received.uri.path_and_query().map_or("", PathAndQuery::as_str),
        customer: customer.as_deref(),
        model: received.head.model.as_deref(),
        adapter: received.head.adapter.as_deref(),
        parts: &parts,
        body: &body,
    };
    let digest = identity.digest();
    Ok(CallerRequest {
        id: received.id,
        method: received.method,
        uri: received.uri,
        headers: received.headers,
        body,
        head: received.head,
        plan,
        customer,
        tokens,
        arrived: received.arrived,
        deadline: received.arrived + allowed,
        links,
        parts,
        digest,
    })
}

fn authenticate_customer(
    config: &Arc<FleetConfig>,
    route: RouteId,
    received: &ReceivedRequest,
    is_current: bool,
    has_evidence: bool,
) -> Result<Option<CompactString>, ApiError> {
    if config.route(route).access == Access::All {
        return Ok(None);
    }
    if !has_evidence {
        return Err(not_ready("this process has lost touch with the store of withdrawn keys"));
    }
    let Some(key) = &received.head.key else {
        return Err(ApiError::new(ErrorCode::MissingKey, "no API key was presented"));
    };
    match authenticate(config, key) {
        Ok(caller) => Ok(Some(config.customer(caller.customer).name.clone())),
        Err(_) if is_current => {
            Err(ApiError::new(ErrorCode::InvalidKey, "the API key is not valid"))
        }
        Err(_) => {
            log::info!("event=key_unknown request_id={} evidence=old", received.id);
            Err(not_ready("the configuration here may be out of date"))
        }
    }
}

fn route_plan(config: &FleetConfig, id: RouteId, customer: Option<&str>) -> RoutePlan {
    let route = config.route(id);
    let direct = &route.direct;
    let total: u32 = direct.shares.iter().map(|share| share.weight).sum();
    let mut draw = if total > 0 { rand::rng().random_range(0..total) } else { 0 };
    let drawn = direct.shares.iter().find(|share| {
        let hit = draw < share.weight;
        draw = draw.saturating_sub(share.weight);
        hit
    });
    let service = config.service(drawn.map_or(route.service, |share| share.service));
    let customer = customer.and_then(|name| config.customer_id(name)).map(|id| config.customer(id));
    RoutePlan {
        route: route.name.clone(),
        service: service.name.clone(),
        engine: service.engine.is_some(),
        kind: direct.kind,
        attempts: direct.attempts.max(1),
        objectives: LatencyObjectives {
            response: Duration::from_millis(direct.answer_objective_ms),
            event_gap: Duration::from_millis(direct.gap_objective_ms),
        },
        priority: customer.and_then(|customer| customer.priority).unwrap_or(direct.priority),
        homes: Homes::of(
            &direct.home_regions,
            customer.map_or(&[], |customer| &customer.home_regions),
        ),
        rate_priority: if service.engine.is_some() { direct.priority } else { 0 },
    }
}

fn charged_tokens(config: &FleetConfig, customer: Option<&str>, head: &RequestHead) -> u64 {
    match (head.prompt_tokens, head.max_output_tokens) {
        (Some(prompt), Some(output)) => prompt.saturating_add(output),
        _ => customer
            .and_then(|name| config.customer_id(name))
            .map_or(0, |id| config.customer(id).uncounted_tokens),
    }
}

/// Rejects a request whose customer's bucket is empty before it waits for a target.
///
/// # Errors
///
/// `rate_exceeded`, with the time until the bucket has tokens again.
pub(crate) fn check_rate(
    app: &App,
    request: &CallerRequest,
    now: Timestamp,
) -> Result<(), ApiError> {
    let Some(customer) = &request.customer else { return Ok(()) };
    let gateways = app.gateway_count(now);
    let mut rates = app.rates.borrow_mut();
    // Every customer of the configuration in force has a bucket.
    let Some(bucket) = rates.bucket_mut(customer) else { return Ok(()) };
    bucket.check(request.tokens, request.rate_rank(), gateways, now).map_err(|wait| {
        log_rate(request, customer, bucket, gateways, false);
        rate_exceeded(request, wait, now)
    })
}

/// Takes the tokens of a request from its customer's bucket.
///
/// # Errors
///
/// `rate_exceeded`, with the time until the bucket has tokens again.
pub(crate) fn charge(app: &App, request: &CallerRequest, now: Timestamp) -> Result<(), ApiError> {
    let Some(customer) = &request.customer else { return Ok(()) };
    let gateways = app.gateway_count(now);
    let mut rates = app.rates.borrow_mut();
    let Some(bucket) = rates.bucket_mut(customer) else { return Ok(()) };
    let result = bucket.take(request.tokens, request.rate_rank(), gateways, now);
    log_rate(request, customer, bucket, gateways, result.is_ok());
    result.map_err(|wait| rate_exceeded(request, wait, now))
}

fn log_rate(
    request: &CallerRequest,
    customer: &str,
    bucket: &SharedBucket,
    gateways: GatewayCount,
    admitted: bool,
) {
    let levels = bucket.levels();
    log::info!(
        "event=rate_checked request_id={} customer={} tokens={} admitted={admitted} level={} own_level={} gateways={} heard={}",
        quote(&request.id),
        quote(customer),
        request.tokens,
        levels.shared.round(),
        levels.own.round(),
        gateways.known,
        gateways.reporting
    );
}

/// Error for a request over its customer's rate. `Retry-After` is at most a third of the time left,
/// since callers retry within that time, and has jitter so that requests rejected together aren't
/// retried together.
fn rate_exceeded(request: &CallerRequest, wait: Duration, now: Timestamp) -> ApiError {
    let wait = wait.min(request.deadline.since(now) / 3);
    let jitter = rand::rng().random_range(MIN_RETRY_JITTER..=1.0);
    ApiError::new(ErrorCode::RateExceeded, "the customer's rate is used up")
        .with_retry_after(wait.mul_f64(jitter))
}
