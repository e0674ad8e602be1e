//! Client with a pool of connections.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::time::timeout;

/// Most bytes of an answer; pages of the store hold a few MB at most.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Idle time after which a pooled connection is closed; below the idle limits of the servers called.
const POOL_IDLE: Duration = Duration::from_secs(10);
/// Most idle connections to one address.
const POOL_SIZE: usize = 4;

/// Why there is no answer, by what is known about the effect of the call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallError {
    /// The call can't be expressed as a request; nothing was sent.
    Invalid,
    /// The request was sent, and no complete answer came in time.
    NoAnswer,
    /// No connection could be opened; nothing was sent.
    Unreachable,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Invalid => "the call is no valid request",
            Self::NoAnswer => "no complete answer in time",
            Self::Unreachable => "no connection",
        })
    }
}

impl std::error::Error for CallError {}

/// A call.
#[derive(Clone, Debug)]
pub struct HttpCall<'a> {
    /// Method.
    pub method: Method,
    /// Where it goes.
    pub address: SocketAddr,
    /// Path and query.
    pub path: &'a str,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Longest wait for the whole answer.
    pub limit: Duration,
}

impl<'a> HttpCall<'a> {
    /// A `GET` without headers.
    pub fn get(address: SocketAddr, path: &'a str, limit: Duration) -> Self {
        let (headers, body) = (HeaderMap::new(), Bytes::new());
        Self { method: Method::GET, address, path, headers, body, limit }
    }

    /// A `POST` without headers.
    pub fn post(address: SocketAddr, path: &'a str, body: Bytes, limit: Duration) -> Self {
        Self { method: Method::POST, address, path, headers: HeaderMap::new(), body, limit }
    }
}

/// Answer to a call, whole.
#[derive(Clone, Debug)]
pub struct CallAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Client with a pool of connections; clones share it. A call that exceeds its limit closes its
/// connection, so that one that has gone silent is used once at most.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// A client; `connect_limit` is the time to open a connection.
    pub fn new(connect_limit: Duration) -> Self {
        let mut connector = HttpConnector::new();
        // A connection that can't be opened must fail before the call's own limit, since only then
        // is it known that nothing was sent.
        connector.set_connect_timeout(Some(connect_limit));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE)
            .pool_max_idle_per_host(POOL_SIZE)
            .build(connector);
        Self { client }
    }

    /// Makes a call and waits for the whole answer.
    ///
    /// # Errors
    ///
    /// `NoAnswer` if the call may have had an effect, else `Invalid` or `Unreachable`.
    pub async fn call(&self, call: HttpCall<'_>) -> Result<CallAnswer, CallError> {
        let mut request = Request::builder()
            .method(call.method)
            .uri(format!("http://{}{}", call.address, call.path))
            .body(Full::new(call.body))
            .map_err(|_| CallError::Invalid)?;
        *request.headers_mut() = call.headers;
        match timeout(call.limit, self.exchange(request)).await {
            Ok(answer) => answer,
            Err(_) => Err(CallError::NoAnswer),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<CallAnswer, CallError> {
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() { CallError::Unreachable } else { CallError::NoAnswer }
        })?;
        let (parts, body) = response.into_parts();
        let collected = Limited::new(body, MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|_| CallError::NoAnswer)?;
        let body = collected.to_bytes();
        Ok(CallAnswer { status: parts.status, headers: parts.headers, body })
    }
}
