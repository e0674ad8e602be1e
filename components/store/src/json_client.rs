//! JSON calls over HTTP/1.1 with timeouts.

use std::net::SocketAddr;
use std::time::Duration;

use calls::{HttpCall, HttpClient};
use http::{HeaderValue, header};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::{StoreError, require_success};

/// Limit on a response body: eight of the largest records of the log, of 1 MB in base64.
const MAX_RESPONSE_BYTES: usize = 12 << 20;

#[derive(Clone, Debug)]
pub(crate) struct JsonClient {
    address: SocketAddr,
    client: HttpClient,
}

impl JsonClient {
    /// Creates a client with a connection pool; `connect_timeout` limits the time to open a
    /// connection.
    pub(crate) fn new(address: SocketAddr, connect_timeout: Duration) -> Self {
        Self { address, client: HttpClient::new(connect_timeout) }
    }

    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        limit: Duration,
    ) -> Result<T, StoreError> {
        self.call(HttpCall::get(self.address, path, limit)).await
    }

    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
        limit: Duration,
    ) -> Result<T, StoreError> {
        let body = serde_json::to_vec(body)
            .unwrap_or_else(|error| unreachable!("plain structs always serialise: {error}"));
        self.call(HttpCall::post(self.address, path, body.into(), limit)).await
    }

    async fn call<T: DeserializeOwned>(&self, mut call: HttpCall<'_>) -> Result<T, StoreError> {
        let json = HeaderValue::from_static("application/json");
        call.headers.insert(header::CONTENT_TYPE, json);
        call.max_response_bytes = MAX_RESPONSE_BYTES;
        let answer = require_success(self.client.call(call).await?)?;
        serde_json::from_slice(&answer.body).map_err(|_| StoreError::Malformed)
    }
}
