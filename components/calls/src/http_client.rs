//! Pooled HTTP client.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::time::timeout;

use crate::{IncompleteBody, READ_BUFFER_BYTES, ResponseWatch, TargetConnector, collect_body};

/// Limit on a response body, if a call states none: four pages of the platform's store, of 1 MB each. A
/// gateway reads four topics at once with 120 MB of memory.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Idle time after which a pooled connection is closed; below the idle timeouts of the servers
/// called.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Most idle connections to one address.
const MAX_IDLE_PER_HOST: usize = 4;

/// Why a call has no response, and whether it may have had an effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallError {
    /// The call is not a valid request; nothing was sent.
    Invalid,
    /// The request was sent, and no complete response arrived in time.
    NoResponse,
    /// The request was sent, and the response is larger than the call allows.
    TooLarge,
    /// No connection could be opened; nothing was sent.
    Unreachable,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Invalid => "the call is not a valid request",
            Self::NoResponse => "no complete response in time",
            Self::TooLarge => "the response is too large",
            Self::Unreachable => "connection failed",
        })
    }
}

impl std::error::Error for CallError {}

/// A request to one address.
#[derive(Clone, Debug)]
pub struct HttpCall<'a> {
    /// Method.
    pub method: Method,
    /// Address of the server.
    pub address: SocketAddr,
    /// Path and query.
    pub path: &'a str,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Timeout for the whole response.
    pub timeout: Duration,
    /// Most bytes of the response's body.
    pub max_response_bytes: usize,
}

impl<'a> HttpCall<'a> {
    /// A `GET` without headers.
    pub fn get(address: SocketAddr, path: &'a str, timeout: Duration) -> Self {
        let (headers, body) = (HeaderMap::new(), Bytes::new());
        let max_response_bytes = MAX_RESPONSE_BYTES;
        Self { method: Method::GET, address, path, headers, body, timeout, max_response_bytes }
    }

    /// A `POST` without headers.
    pub fn post(address: SocketAddr, path: &'a str, body: Bytes, timeout: Duration) -> Self {
        Self { method: Method::POST, body, ..Self::get(address, path, timeout) }
    }
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct CallResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Pooled HTTP client; clones share the pool. A call that exceeds its timeout closes its
/// connection, so that an unresponsive connection is used at most once.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<TargetConnector, Full<Bytes>>,
}

impl HttpClient {
    /// A client with `connect_timeout` as the timeout for opening a connection.
    pub fn new(connect_timeout: Duration) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .http1_max_buf_size(READ_BUFFER_BYTES)
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_PER_HOST)
            .build(TargetConnector::new(connect_timeout));
        Self { client }
    }

    /// Sends a request and waits for the complete response.
    ///
    /// # Errors
    ///
    /// `NoResponse` or `TooLarge` if the call may have had an effect, else `Invalid` or `Unreachable`.
    pub async fn call(&self, call: HttpCall<'_>) -> Result<CallResponse, CallError> {
        let max_response_bytes = call.max_response_bytes;
        let mut request = Request::builder()
            .method(call.method)
            .uri(format!("http://{}{}", call.address, call.path))
            .body(Full::new(call.body))
            .map_err(|_| CallError::Invalid)?;
        *request.headers_mut() = call.headers;
        let watch = ResponseWatch::default();
        watch.watch(&mut request);
        let exchange = async {
            tokio::select! {
                result = self.exchange(request, max_response_bytes) => result,
                () = watch.interim_exceeded() => Err(CallError::NoResponse),
            }
        };
        timeout(call.timeout, exchange).await.unwrap_or(Err(CallError::NoResponse))
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        max_response_bytes: usize,
    ) -> Result<CallResponse, CallError> {
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() { CallError::Unreachable } else { CallError::NoResponse }
        })?;
        let (parts, body) = response.into_parts();
        let body = collect_body(body, max_response_bytes).await;
        let body = body.map_err(|error| match error {
            IncompleteBody::Broken => CallError::NoResponse,
            IncompleteBody::TooLarge => CallError::TooLarge,
        })?;
        Ok(CallResponse { status: parts.status, headers: parts.headers, body })
    }
}
