//! JSON calls over HTTP/1.1 with time limits.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use calls::{CallError, HttpCall, HttpClient};
use http::{HeaderValue, StatusCode, header};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::StoreError;

#[derive(Clone, Debug)]
pub(crate) struct JsonClient {
    address: SocketAddr,
    client: HttpClient,
}

impl JsonClient {
    /// A client with a pool of connections; `connect_limit` is the time to open one.
    pub(crate) fn new(address: SocketAddr, connect_limit: Duration) -> Self {
        Self { address, client: HttpClient::new(connect_limit) }
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
        let answer = self.client.call(call).await.map_err(|error| match error {
            // Only a stream name that is no URI path gets here.
            CallError::Invalid => StoreError::Rejected { status: 400 },
            CallError::NoAnswer => StoreError::OutcomeUnknown,
            CallError::Unreachable => StoreError::Unreachable,
        })?;
        let body: Bytes = match answer.status {
            StatusCode::OK => answer.body,
            StatusCode::SERVICE_UNAVAILABLE => return Err(StoreError::Unavailable),
            StatusCode::TOO_MANY_REQUESTS => return Err(StoreError::RateLimited),
            status if status.is_client_error() => {
                return Err(StoreError::Rejected { status: status.as_u16() });
            }
            _ => return Err(StoreError::OutcomeUnknown),
        };
        serde_json::from_slice(&body).map_err(|_| StoreError::Malformed)
    }
}
