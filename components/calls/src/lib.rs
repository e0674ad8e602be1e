//! HTTP/1.1 client with timeouts for calls to the store, to engines and between processes of the
//! fleet, and connections to servers that may send bytes without end.

mod collect_body;
mod http_client;
mod response_watch;
mod target_connector;
mod target_io;

pub use collect_body::{IncompleteBody, collect_body};
pub use http_client::{CallError, CallResponse, HttpCall, HttpClient};
pub use response_watch::{ResponseWatch, WatchedBody};
pub use target_connector::TargetConnector;
pub use target_io::{READ_BUFFER_BYTES, TargetIo, open_http};
