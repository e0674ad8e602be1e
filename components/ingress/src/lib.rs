//! Callers' connections: checked request heads, answers whole or in parts, orderly closing.

mod caller_body;
mod closer;
mod connection;
mod guarded_stream;
mod respond;

pub use caller_body::{AnswerBroken, CallerBody, CallerGone, PartSender, Parts};
pub use closer::Closer;
pub use connection::{ConnectionOptions, serve_caller};
pub use respond::{
    CallerResponse, REQUEST_ID, error_answer, event_stream, json_answer, raw_error_answer,
    with_request_id,
};
