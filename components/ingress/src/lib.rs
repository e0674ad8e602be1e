//! Server side of the processes that callers connect to: connections with validated request heads,
//! full or streamed responses, lingering close, shutdown stages, and HTTP servers for operators and
//! peers.

mod connection;
mod connection_closer;
mod count_guard;
mod head_validating_stream;
mod internal_http;
mod operator_endpoints;
mod respond;
mod response_body;
mod shutdown_stage;

pub use connection::{ConnectionOptions, serve_caller};
pub use connection_closer::ConnectionCloser;
pub use count_guard::CountGuard;
pub use internal_http::serve_internal_http;
pub use operator_endpoints::serve_operator_endpoints;
pub use respond::{
    CallerResponse, REQUEST_ID, error_response, event_stream_response, json_response,
    raw_error_response, with_request_id,
};
pub use response_body::{
    BodySender, CallerDisconnected, ResponseAborted, ResponseBody, StreamingBody,
};
pub use shutdown_stage::ShutdownStage;
