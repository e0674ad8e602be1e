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
    NoResponse,
    /// No connection could be opened; nothing was sent.
    Unreachable,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Invalid => "the call is no valid request",
            Self::NoResponse => "no complete answer in time",
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
    pub timeout: Duration,
}

impl<'a> HttpCall<'a> {
    /// A `GET` without headers.
    pub fn get(address: SocketAddr, path: &'a str, timeout: Duration) -> Self {
        let (headers, body) = (HeaderMap::new(), Bytes::new());
        Self { method: Method::GET, address, path, headers, body, timeout }
    }

    /// A `POST` without headers.
    pub fn post(address: SocketAddr, path: &'a str, body: Bytes, timeout: Duration) -> Self {
        Self { method: Method::POST, address, path, headers: HeaderMap::new(), body, timeout }
    }
}

/// Answer to a call, whole.
#[derive(Clone, Debug)]
pub struct CallResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Client with a pool of connections; clones share it. A call that exceeds its timeout closes its
/// connection, so that one that has gone silent is used once at most.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// A client; `connect_timeout` is the time to open a connection.
    pub fn new(connect_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        // A connection that can't be opened must fail before the call's own timeout, since only then
        // is it known that nothing was sent.
        connector.set_connect_timeout(Some(connect_timeout));
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
    /// `NoResponse` if the call may have had an effect, else `Invalid` or `Unreachable`.
    pub async fn call(&self, call: HttpCall<'_>) -> Result<CallResponse, CallError> {
        let mut request = Request::builder()
            .method(call.method)
            .uri(format!("http://{}{}", call.address, call.path))
            .body(Full::new(call.body))
            .map_err(|_| CallError::Invalid)?;
        *request.headers_mut() = call.headers;
        match timeout(call.timeout, self.exchange(request)).await {
            Ok(answer) => answer,
            Err(_) => Err(CallError::NoResponse),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<CallResponse, CallError> {
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() { CallError::Unreachable } else { CallError::NoResponse }
        })?;
        let (parts, body) = response.into_parts();
        let collected = Limited::new(body, MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|_| CallError::NoResponse)?;
        let body = collected.to_bytes();
        Ok(CallResponse { status: parts.status, headers: parts.headers, body })
    }
}
