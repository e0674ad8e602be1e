//! HTTP/1.1 client with timeouts for calls to the store, to engines and between processes of the
//! fleet.

mod http_client;

pub use http_client::{CallError, CallResponse, HttpCall, HttpClient};
