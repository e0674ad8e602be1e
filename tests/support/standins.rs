//! Stand-ins as processes of their own.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use super::Process;

/// A stand-in process.
pub struct StandinProcess {
    /// Where it listens.
    pub address: SocketAddr,
    process: Process,
}

impl StandinProcess {
    /// Starts a stand-in of a kind with the fields of a JSON object as its settings.
    pub async fn start(kind: &str, settings: &Value) -> Self {
        let mut arguments = vec!["standin".to_owned(), "--kind".to_owned(), kind.to_owned()];
        for (field, value) in settings.as_object().unwrap() {
            arguments.extend(["--set".to_owned(), format!("{field}={value}")]);
        }
        let process = Process::start(kind, &arguments);
        let line = process.wait_for_line("listening=").await;
        let address = line.trim().strip_prefix("listening=").unwrap().parse().unwrap();
        Self { address, process }
    }

    /// Changes settings.
    pub async fn control(&self, change: &Value) {
        self.call("POST", "/control", Bytes::from(change.to_string())).await;
    }

    /// Reads a JSON answer.
    pub async fn get(&self, path: &str) -> Value {
        self.call("GET", path, Bytes::new()).await
    }

    async fn call(&self, method: &str, path: &str, body: Bytes) -> Value {
        let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
        let request = http::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .body(Full::new(body))
            .unwrap();
        let response = client.request(request).await.unwrap();
        assert!(response.status().is_success(), "{method} {path}: {}", response.status());
        serde_json::from_slice(&response.into_body().collect().await.unwrap().to_bytes()).unwrap()
    }
}
