//! JSON calls over HTTP/1.1 with time limits.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::StoreError;

/// Most bytes of an answer; a page of 500 records of 64 KiB in base64 fits.
const MAX_ANSWER_BYTES: usize = 64 << 20;

#[derive(Clone, Debug)]
pub(crate) struct JsonClient {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl JsonClient {
    /// A client with a pool of connections; `connect_limit` is the time to open one.
    pub(crate) fn new(address: SocketAddr, connect_limit: Duration) -> Self {
        let mut connector = HttpConnector::new();
        // A connection that can't be opened must fail before the call's own limit, since only then
        // is it known that nothing was sent.
        connector.set_connect_timeout(Some(connect_limit));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { address, client }
    }

    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        limit: Duration,
    ) -> Result<T, StoreError> {
        self.call(Method::GET, path, Bytes::new(), limit).await
    }

    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
        limit: Duration,
    ) -> Result<T, StoreError> {
        let body = serde_json::to_vec(body)
            .unwrap_or_else(|error| unreachable!("plain structs always serialise: {error}"));
        self.call(Method::POST, path, body.into(), limit).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<T, StoreError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            // Only a stream name that is no URI path gets here; nothing is sent.
            .map_err(|_| StoreError::Rejected { status: 400 })?;
        match timeout(limit, self.exchange(request)).await {
            Ok(answer) => serde_json::from_slice(&answer?).map_err(|_| StoreError::Malformed),
            Err(_) => Err(StoreError::OutcomeUnknown),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Bytes, StoreError> {
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() { StoreError::Unreachable } else { StoreError::OutcomeUnknown }
        })?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::SERVICE_UNAVAILABLE => return Err(StoreError::Unavailable),
            StatusCode::TOO_MANY_REQUESTS => return Err(StoreError::RateLimited),
            status if status.is_client_error() => {
                return Err(StoreError::Rejected { status: status.as_u16() });
            }
            _ => return Err(StoreError::OutcomeUnknown),
        }
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let collected = body.collect().await.map_err(|_| StoreError::OutcomeUnknown)?;
        Ok(collected.to_bytes())
    }
}
