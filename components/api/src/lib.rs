//! Callers' dialect: requests, answers, error objects, server-sent events and header rules.

mod answer;
mod dialect;
mod error;
mod error_code;
mod estimate;
mod generation_call;
mod head;
mod headers;
mod models;
mod query;
mod scrub;
mod sse;

pub use answer::{Answer, whole_answer};
pub use dialect::Dialect;
pub use error::ApiError;
pub use error_code::ErrorCode;
pub use estimate::estimate_tokens;
pub use generation_call::{CallFault, GenerationCall};
pub use head::{BodyFraming, ChunkedScanner, HeadFault, check_head};
pub use headers::{forwardable_headers, is_forwardable, presented_key, response_headers};
pub use models::model_list;
pub use query::{is_plain_path, path_holds_key, strip_query};
pub use sse::{DONE, Usage, delta_event, error_event, finish_event, first_event, usage_event};
