//! From a caller's request to its answer.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use api::{ApiError, CompletionFormat, ErrorCode, HeadError, model_list, presented_key};
use auth::{AuthFault, Caller, authenticate, permitted_names};
use base::{Timestamp, short_hash};
use bytes::Bytes;
use config::FleetConfig;
use http::{HeaderMap, Method, Request};
use hyper::body::Incoming;
use wire::RequestId;

use crate::app::App;
use crate::forward_call::forward;
use crate::generate_call::generate;
use crate::request_id::new_request_id;
use ingress::{
    BudgetedConnection, CallerResponse, ConnectionCloser, ShutdownStage, error_response,
    json_response,
};

/// Wait that is advised while the process stops, in milliseconds; by then it accepts no connections.
const DRAINING_RETRY_MS: u64 = 1_000;
/// Wait that is advised while the process has no configuration, in milliseconds.
const NO_CONFIGURATION_RETRY_MS: u64 = 1_000;

/// A request with what is known of it on arrival.
pub(crate) struct IncomingRequest {
    /// The request.
    pub request: Request<Incoming>,
    /// Its name.
    pub id: RequestId,
    /// When it arrived.
    pub at: Timestamp,
    /// Closes the connection after the answer.
    pub closer: Rc<ConnectionCloser>,
    /// The connection under the budget.
    pub budgeted: Rc<BudgetedConnection>,
}

/// Answers one request.
pub(crate) async fn dispatch(
    app: Rc<App>,
    request: Request<Incoming>,
    closer: Rc<ConnectionCloser>,
    budgeted: Rc<BudgetedConnection>,
) -> CallerResponse {
    let incoming =
        IncomingRequest { request, id: new_request_id(), at: app.clock.now(), closer, budgeted };
    let id = incoming.id.to_string();
    match route(&app, incoming).await {
        Ok(response) => response,
        Err(error) => {
            let code = error.code;
            app.metrics.record_refusal(code.as_str());
            log::info!(
                "event=request_refused request_id={id} code={} ran={}",
                code.as_str(),
                error.ran.as_str()
            );
            error_response(&error, &id, code == ErrorCode::KeyWithdrawn)
        }
    }
}

async fn route(app: &Rc<App>, incoming: IncomingRequest) -> Result<CallerResponse, ApiError> {
    // The process exits before a target could answer.
    if *app.stage.borrow() >= ShutdownStage::Aborting {
        return Err(cancel_error(ErrorCode::Draining));
    }
    let config = current_config(app)?;
    let request = &incoming.request;
    let expected = match request.uri().path() {
        "/v1/chat/completions" | "/v1/completions" => Method::POST,
        "/v1/models" => Method::GET,
        _ => return forward(app, incoming, &config).await,
    };
    if request.method() != expected {
        let text = format!("this path takes {expected} only");
        return Err(ApiError::new(ErrorCode::MethodNotAllowed, text));
    }
    match request.uri().path() {
        "/v1/chat/completions" => generate(app, incoming, &config, CompletionFormat::Chat).await,
        "/v1/completions" => generate(app, incoming, &config, CompletionFormat::Text).await,
        _ => {
            let (caller, _) = authenticated(app, &config, request.headers())?;
            let body = model_list(permitted_names(&config, caller.customer));
            Ok(json_response(body, &incoming.id.to_string()))
        }
    }
}

/// The configuration in force.
///
/// # Errors
///
/// `no_authority` before the first configuration.
pub(crate) fn current_config(app: &App) -> Result<Arc<FleetConfig>, ApiError> {
    app.config().ok_or_else(|| {
        ApiError::new(ErrorCode::NoAuthority, "no configuration is in force yet")
            .with_retry_after_ms(NO_CONFIGURATION_RETRY_MS)
    })
}

/// The caller by its key, and the key.
///
/// # Errors
///
/// `missing_key`, `invalid_key`, `no_authority`, or `invalid_request` for a malformed credential.
pub(crate) fn authenticated<'a>(
    app: &App,
    config: &FleetConfig,
    headers: &'a HeaderMap,
) -> Result<(Caller, &'a str), ApiError> {
    let key = presented_key(headers)
        .map_err(head_error)?
        .ok_or_else(|| ApiError::new(ErrorCode::MissingKey, "no API key was presented"))?;
    let caller = authenticate(config, key).map_err(auth_error)?;
    app.check_authority()?;
    Ok((caller, key))
}

/// The error for a credential that is malformed.
pub(crate) fn head_error(fault: HeadError) -> ApiError {
    ApiError::new(fault.code(), fault.to_string())
}

/// The error for a caller who is not accepted.
pub(crate) fn auth_error(fault: AuthFault) -> ApiError {
    match fault {
        AuthFault::NotAllowed => {
            ApiError::new(ErrorCode::NotAllowed, "this customer may not use it")
        }
        AuthFault::UnknownKey => ApiError::new(ErrorCode::InvalidKey, "the API key is not valid"),
        AuthFault::UnknownModel => {
            ApiError::new(ErrorCode::ModelNotFound, "no model or adapter has this name")
                .with_param("model")
        }
    }
}

/// Reads a body of at most `limit` bytes within `time`; the customer shares the memory for bodies
/// fairly with others.
///
/// # Errors
///
/// `body_too_large`, `request_timeout`, `no_capacity`, or `invalid_request` if it breaks off.
pub(crate) async fn read_body(
    budgeted: &BudgetedConnection,
    customer: Option<&str>,
    body: Incoming,
    limit: usize,
    time: Duration,
) -> Result<Bytes, ApiError> {
    let group = customer.map_or(0, |name| short_hash(name.as_bytes()));
    budgeted.read_body(body, limit, time, group).await.map_err(|fault| fault.into_error(limit))
}

/// The error for a request that is ended from outside.
pub(crate) fn cancel_error(reason: ErrorCode) -> ApiError {
    let text = match reason {
        ErrorCode::KeyWithdrawn => "the API key was withdrawn",
        ErrorCode::NotAllowed => "this customer may no longer use it",
        ErrorCode::ModelNotFound => "the model or adapter was removed",
        ErrorCode::RouteNotFound => "the route was removed",
        ErrorCode::NoAuthority => "this process has lost touch with the log of withdrawn keys",
        ErrorCode::Draining => "this process is shutting down",
        _ => "the request was ended",
    };
    let error = ApiError::new(reason, text);
    match reason {
        ErrorCode::Draining => error.with_retry_after_ms(DRAINING_RETRY_MS),
        _ => error,
    }
}
