//! What processes that answer callers share: callers' connections with checked request heads, answers whole
//! or in parts and orderly closing; the stages of a stop; small servers for operators and peers.

mod caller_body;
mod closer;
mod connection;
mod counted;
mod guarded_stream;
mod operators;
mod plain_server;
mod respond;
mod stage;

pub use caller_body::{AnswerBroken, CallerBody, CallerGone, PartSender, Parts};
pub use closer::Closer;
pub use connection::{ConnectionOptions, serve_caller};
pub use counted::Counted;
pub use operators::serve_operators;
pub use plain_server::serve_plain;
pub use respond::{
    CallerResponse, REQUEST_ID, error_answer, event_stream, json_answer, raw_error_answer,
    with_request_id,
};
pub use stage::Stage;
