//! Connections of pooled clients.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use http::Uri;
use hyper_util::client::legacy::connect::HttpConnector;
use tower_service::Service;

use crate::TargetIo;

/// Opens connections for a pooled HTTP client.
#[derive(Clone, Debug)]
pub struct TargetConnector {
    connector: HttpConnector,
}

impl TargetConnector {
    /// A connector with `connect_timeout` as the timeout for opening a connection. It must be shorter
    /// than that of a call: only a failed connection attempt proves that nothing was sent.
    pub fn new(connect_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_nodelay(true);
        Self { connector }
    }
}

impl Service<Uri> for TargetConnector {
    type Response = TargetIo;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<TargetIo, Self::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.connector.poll_ready(context)
    }

    fn call(&mut self, address: Uri) -> Self::Future {
        let connecting = self.connector.call(address);
        Box::pin(async { connecting.await.map(TargetIo::new) })
    }
}
