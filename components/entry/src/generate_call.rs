//! Arrival of a generation: checks, permission, and the start of its job.

use std::rc::Rc;
use std::time::Duration;

use api::{ApiError, CompletionFormat, ErrorCode, GenerationRequest};
use auth::{authenticate_hash, permit_model};
use base::Tokens;
use config::FleetConfig;
use telemetry::RequestClass;
use tokio::sync::oneshot;
use wire::GenerateRequest;

use crate::app::App;
use crate::clock::wall_seconds;
use crate::dispatch::{
    IncomingRequest, auth_error, authenticated, cancel_error, current_config, read_body,
};
use crate::generate_job::GenerateJob;
use crate::in_flight::{Principal, RequestedResource};
use crate::response_writer::{ResponseMetadata, ResponseWriter};
use ingress::CallerResponse;

/// Answers a request for generated text.
///
/// # Errors
///
/// Why it was refused before a job was started; later errors come as the response.
pub(crate) async fn generate(
    app: &Rc<App>,
    incoming: IncomingRequest,
    config: &FleetConfig,
    format: CompletionFormat,
) -> Result<CallerResponse, ApiError> {
    let IncomingRequest { request, id, at, closer, budgeted } = incoming;
    let (parts, body) = request.into_parts();
    let (caller, key) = authenticated(app, config, &parts.headers)?;
    let principal = Principal {
        key_sha256: config.key(caller.key).sha256,
        customer: config.customer(caller.customer).name.clone(),
    };
    let in_flight_guard =
        app.in_flight.insert(Some(principal.clone()), RequestedResource::Model(None));
    let limits = app.settings.callers;
    let time = Duration::from_millis(limits.body_timeout_ms);
    let customer = Some(principal.customer.as_str());
    let bytes = tokio::select! {
        bytes = read_body(&budgeted, customer, body, limits.body_bytes, time) => bytes?,
        reason = in_flight_guard.cancel.cancelled() => return Err(cancel_error(reason)),
    };
    let call = GenerationRequest::parse(format, &bytes, key).map_err(|fault| {
        let error = ApiError::new(ErrorCode::InvalidRequest, fault.message);
        ApiError { param: fault.param.map(str::to_owned), ..error }
    })?;

    // The configuration may have changed while the body arrived.
    let config = current_config(app)?;
    let caller = authenticate_hash(&config, &principal.key_sha256)
        .map_err(|_| cancel_error(ErrorCode::KeyWithdrawn))?;
    let permission = permit_model(&config, caller.customer, &call.model).map_err(auth_error)?;
    in_flight_guard.set_model(&call.model);
    let model = config.model(permission.model);
    let max_output_tokens = call
        .max_output_tokens
        .unwrap_or(model.default_max_output_tokens)
        .min(model.max_output_tokens)
        .max(1);
    let tokens = Tokens(call.prompt_tokens.saturating_add(max_output_tokens));
    if tokens.0 > config.customer(caller.customer).burst_tokens {
        let text = "prompt and max_tokens together exceed the customer's burst";
        return Err(ApiError::new(ErrorCode::ExceedsBurst, text).with_param("max_tokens"));
    }
    let request_id = id.to_string();
    let head = ResponseMetadata {
        format,
        id: format.completion_id(&request_id),
        created: wall_seconds(),
        model: call.model.to_string(),
        request_id,
        stream: call.stream,
        include_usage: call.include_usage,
    };
    let job = GenerateJob {
        app: Rc::clone(app),
        in_flight_guard,
        closer,
        class: if call.stream { RequestClass::Streamed } else { RequestClass::Whole },
        arrived: at,
        deadline: at + Duration::from_millis(limits.request_timeout_ms),
        tokens,
        request: GenerateRequest {
            request_id: id,
            attempt: 0,
            customer: principal.customer,
            model: model.name.clone(),
            adapter: permission.adapter.map(|adapter| config.adapter(adapter).name.clone()),
            priority: call.priority,
            deadline_ms: 0,
            prompt_tokens: call.prompt_tokens,
            max_output_tokens,
            prompt: call.prompt,
            parameters_json: call.parameters_json,
            resume: None,
        },
    };
    let (sender, receiver) = oneshot::channel();
    let response_writer = ResponseWriter::new(head, sender);
    tokio::task::spawn_local(job.run(response_writer));
    receiver.await.map_err(|_| {
        ApiError::new(ErrorCode::UpstreamFailed, "the request ended without an answer")
    })
}
