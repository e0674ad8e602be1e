//! HTTP API for callers: requests, completions, error objects, server-sent events and header rules.

mod completion;
mod completion_format;
mod error;
mod error_code;
mod estimate;
mod event_boundary;
mod final_status;
mod generation_request;
mod head_check;
mod headers;
mod key_removal;
mod models;
mod query;
mod response_framing;
mod run_end;
mod sse;

pub use completion::{Completion, completion_body};
pub use completion_format::CompletionFormat;
pub use error::ApiError;
pub use error_code::ErrorCode;
pub use estimate::estimate_tokens;
pub use event_boundary::{EventBoundary, is_event_stream};
pub use final_status::is_final_status;
pub use generation_request::{GenerationRequest, GenerationRequestError};
pub use head_check::{BodyFraming, ChunkedScanner, HeadError, check_head};
pub use headers::{
    forwardable_headers, forwardable_response_headers, is_forwardable, presented_key,
};
pub use models::model_list;
pub use query::{is_unambiguous_path, path_contains_key, strip_query_credentials};
pub use response_framing::ResponseFraming;
pub use run_end::RunEnd;
pub use sse::{
    DONE_EVENT, Usage, delta_event, error_event, finish_event, first_event, usage_event,
};
