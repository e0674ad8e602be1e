//! Answers of the stand-ins.

use std::fmt;
use std::future::pending;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use serde::Serialize;
use tokio::time::sleep;

/// Largest body of a request that is read whole, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// The connection breaks off.
#[derive(Clone, Copy, Debug)]
pub struct Hangup;

impl fmt::Display for Hangup {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection broken off on purpose")
    }
}

impl std::error::Error for Hangup {}

/// Body of an answer.
pub type ReplyBody = UnsyncBoxBody<Bytes, Hangup>;

/// An answer, or the end of the connection.
pub type Reply = Result<Response<ReplyBody>, Hangup>;

/// A body that is there.
pub fn full(bytes: impl Into<Bytes>) -> ReplyBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// An answer in JSON.
pub fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    let bytes = serde_json::to_vec(value).map_err(|_| Hangup)?;
    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "application/json")
        .body(full(bytes))
        .map_err(|_| Hangup)
}

/// An answer in plain text.
pub fn text(status: StatusCode, text: &str) -> Reply {
    Response::builder().status(status).body(full(text.to_owned())).map_err(|_| Hangup)
}

/// Reads a body whole; a longer one than the stand-ins take breaks the connection.
pub async fn read_body(body: Incoming) -> Result<Bytes, Hangup> {
    let collected = Limited::new(body, MAX_BODY_BYTES).collect().await.map_err(|_| Hangup)?;
    Ok(collected.to_bytes())
}

/// Never answers (until the caller gives up), or breaks the connection.
pub async fn lose_answer(hang: bool) -> Reply {
    if hang {
        pending::<()>().await;
    }
    Err(Hangup)
}

/// Waits, unless the time is zero.
pub async fn wait_ms(millis: u64) {
    if millis > 0 {
        sleep(Duration::from_millis(millis)).await;
    }
}

/// Uses up one of the faults that are still to happen.
pub(crate) fn take_one(counter: &mut u32) -> bool {
    let some = *counter > 0;
    *counter = counter.saturating_sub(1);
    some
}

/// The value of `name` in a query.
pub fn query<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}
