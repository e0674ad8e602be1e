//! HTTP client of the VM list.

use std::net::SocketAddr;
use std::time::Duration;

use crate::json_client::JsonClient;
use crate::{StoreError, VmListSource, VmSnapshot};

/// Client of the VM list.
#[derive(Clone, Debug)]
pub struct HttpVmList {
    client: JsonClient,
    timeout: Duration,
}

impl HttpVmList {
    /// Creates a client of the list at `address` with a response timeout of `request_timeout`.
    pub fn new(address: SocketAddr, request_timeout: Duration) -> Self {
        Self { client: JsonClient::new(address, request_timeout / 2), timeout: request_timeout }
    }
}

impl VmListSource for HttpVmList {
    async fn list(&self) -> Result<VmSnapshot, StoreError> {
        self.client.get("/vms", self.timeout).await
    }
}
