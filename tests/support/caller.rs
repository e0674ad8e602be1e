//! A caller: an HTTP client with a key.

use std::net::SocketAddr;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use tokio::time::timeout;

use super::WAIT_LIMIT;

/// A caller of one entry process; connections are kept alive.
#[derive(Clone)]
pub struct Caller {
    address: SocketAddr,
    key: String,
    client: Client<hyper_util::client::legacy::connect::HttpConnector, Full<Bytes>>,
}

/// A streamed answer in progress.
pub struct StreamedAnswer {
    /// Status of the answer.
    pub status: StatusCode,
    /// Text so far.
    pub text: String,
    /// Whether `[DONE]` came.
    pub done: bool,
    /// The error event, or the error body of an answer that is no stream.
    pub error: Option<Value>,
    /// Whether the connection broke before the end of the body.
    pub broken: bool,
    body: Incoming,
    rest: Vec<u8>,
}

impl Caller {
    /// A caller with a key at the entry process that listens at `address`.
    pub fn new(address: SocketAddr, key: &str) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self { address, key: key.to_owned(), client }
    }

    /// Asks for a streamed completion; an error if no answer began.
    pub async fn stream(
        &self,
        model: &str,
        prompt: &str,
        max_tokens: u64,
    ) -> Result<StreamedAnswer, Error> {
        let body = json!({
            "model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": true,
        });
        let request = http::Request::post(format!("http://{}/v1/completions", self.address))
            .header("authorization", format!("Bearer {}", self.key))
            .header("content-type", "application/json")
            .body(Full::from(body.to_string()))
            .unwrap();
        let response = timeout(WAIT_LIMIT, self.client.request(request)).await.unwrap()?;
        Ok(StreamedAnswer {
            status: response.status(),
            text: String::new(),
            done: false,
            error: None,
            broken: false,
            body: response.into_body(),
            rest: Vec::new(),
        })
    }

    /// Asks for a streamed completion and reads it to its end.
    pub async fn complete(
        &self,
        model: &str,
        prompt: &str,
        max_tokens: u64,
    ) -> Result<StreamedAnswer, Error> {
        let mut answer = self.stream(model, prompt, max_tokens).await?;
        answer.read_to_end().await;
        Ok(answer)
    }

    /// Status of a `GET`.
    pub async fn get_status(address: SocketAddr, path: &str) -> Option<StatusCode> {
        let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
        let uri = format!("http://{address}{path}").parse().unwrap();
        client.get(uri).await.ok().map(|response| response.status())
    }
}

impl StreamedAnswer {
    /// Reads the next part of the body; false at its end.
    pub async fn read_more(&mut self) -> bool {
        match timeout(WAIT_LIMIT, self.body.frame()).await.expect("the answer stalls") {
            None => {
                if let Ok(error) = serde_json::from_slice(&self.rest) {
                    self.error = Some(error);
                }
                false
            }
            Some(Err(_)) => {
                self.broken = true;
                false
            }
            Some(Ok(frame)) => {
                self.rest.extend_from_slice(&frame.into_data().unwrap_or_default());
                self.take_lines();
                true
            }
        }
    }

    /// Reads the body to its end.
    pub async fn read_to_end(&mut self) {
        while self.read_more().await {}
    }

    /// Whether the answer arrived whole.
    pub fn is_whole(&self) -> bool {
        self.status == StatusCode::OK && self.done && self.error.is_none() && !self.broken
    }

    /// What there is to say about an answer that is not as expected.
    pub fn describe(&self) -> String {
        format!(
            "status {} done {} broken {} error {:?} text bytes {}",
            self.status,
            self.done,
            self.broken,
            self.error,
            self.text.len()
        )
    }

    fn take_lines(&mut self) {
        while let Some(end) = self.rest.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.rest.drain(..=end).collect();
            let line = String::from_utf8(line).unwrap();
            let Some(data) = line.trim().strip_prefix("data: ") else { continue };
            if data == "[DONE]" {
                self.done = true;
                continue;
            }
            assert!(!self.done, "an event after the last one: {data}");
            let event: Value = serde_json::from_str(data).unwrap();
            if event.get("error").is_some() {
                self.error = Some(event);
            } else if let Some(text) = event["choices"][0]["text"].as_str() {
                self.text.push_str(text);
            }
        }
    }
}
