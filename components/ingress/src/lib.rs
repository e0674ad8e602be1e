//! Server side of the processes that callers connect to: connections with validated request heads,
//! full or streamed responses, lingering close, shutdown stages, and HTTP servers for operators and
//! peers.

mod budgeted_connection;
mod caller_budget;
mod caller_budget_settings;
mod connection;
mod connection_activity;
mod connection_closer;
mod connection_end;
mod count_guard;
mod head_validating_stream;
mod held_bytes;
mod internal_http;
mod operator_endpoints;
mod respond;
mod response_body;
mod response_reader;
mod shared_caller_budget;
mod shutdown_stage;

pub use budgeted_connection::{BodyFault, BudgetedConnection};
pub use caller_budget::{Admission, CallerBudget, ConnectionKey, Reservation, ResponseRoom};
pub use caller_budget_settings::CallerBudgetSettings;
pub use connection::{ConnectionOptions, serve_caller};
pub use connection_closer::ConnectionCloser;
pub use connection_end::{CloseCause, ConnectionEnd};
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
pub use response_reader::IncompleteResponse;
pub use shared_caller_budget::{SharedCallerBudget, refuse_connection};
pub use shutdown_stage::ShutdownStage;
