//! HTTP client for the demo checks.

use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

type Error = Box<dyn std::error::Error>;

/// Timeout for the server to close a connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Client with one persistent connection.
pub(super) struct Client {
    sender: SendRequest<Full<Bytes>>,
    host: String,
}

/// Response with its complete body.
pub(super) struct Answer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) text: String,
}

/// Request to send.
pub(super) struct Call<'a> {
    pub(super) method: Method,
    pub(super) path: &'a str,
    pub(super) key: Option<&'a str>,
    pub(super) headers: &'a [(&'static str, &'a str)],
    pub(super) body: String,
}

impl Call<'_> {
    /// Creates a call without additional headers.
    pub(super) fn new<'a>(
        method: Method,
        path: &'a str,
        key: Option<&'a str>,
        body: String,
    ) -> Call<'a> {
        Call { method, path, key, headers: &[], body }
    }
}

impl Answer {
    /// Parses the body as JSON; returns null if it is not valid JSON.
    pub(super) fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or(Value::Null)
    }

    /// Returns the status and, for an error, its code and whether the request ran.
    pub(super) fn summary(&self) -> String {
        let json = self.json();
        match json["error"]["code"].as_str() {
            Some(code) => {
                let ran = json["error"]["ran"].as_str().unwrap_or("-");
                format!("{} {code} {ran}", self.status.as_u16())
            }
            None => self.status.as_u16().to_string(),
        }
    }

    /// Returns a header value as text, or `-` if it is missing.
    pub(super) fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("-")
    }
}

impl Client {
    pub(super) async fn connect(address: SocketAddr) -> Result<Self, Error> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("event=demo_connection_ended error=\"{error}\"");
            }
        });
        Ok(Self { sender, host: address.to_string() })
    }

    /// Sends a request; the response body can be read as a stream.
    pub(super) async fn start(
        &mut self,
        call: Call<'_>,
    ) -> Result<http::Response<Incoming>, Error> {
        let mut request =
            Request::builder().method(call.method).uri(call.path).header("host", &self.host);
        if let Some(key) = call.key {
            request = request.header("authorization", format!("Bearer {key}"));
        }
        for (name, value) in call.headers {
            request = request.header(*name, *value);
        }
        self.sender.ready().await?;
        Ok(self.sender.send_request(request.body(Full::new(Bytes::from(call.body)))?).await?)
    }

    /// Sends a request and reads the complete response.
    pub(super) async fn call(&mut self, call: Call<'_>) -> Result<Answer, Error> {
        let (parts, body) = self.start(call).await?.into_parts();
        let bytes = body.collect().await?.to_bytes();
        let text = String::from_utf8_lossy(&bytes).into_owned();
        Ok(Answer { status: parts.status, headers: parts.headers, text })
    }

    /// Returns whether the server closes the connection within [`CLOSE_TIMEOUT`].
    pub(super) async fn closes_in_time(&mut self) -> bool {
        let closed = async {
            while !self.sender.is_closed() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(CLOSE_TIMEOUT, closed).await.is_ok()
    }
}

/// Sends one request on a new connection.
pub(super) async fn call_once(address: SocketAddr, call: Call<'_>) -> Result<Answer, Error> {
    Client::connect(address).await?.call(call).await
}

/// Sends raw bytes and reads until the server closes the connection.
pub(super) async fn send_raw(address: SocketAddr, bytes: &[u8]) -> Result<String, Error> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(bytes).await?;
    let mut answer = Vec::new();
    tokio::time::timeout(CLOSE_TIMEOUT, stream.read_to_end(&mut answer)).await??;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

/// Concatenates the text of a server-sent event stream; also returns whether `[DONE]` was sent.
pub(super) fn stream_text(events: &str) -> (String, bool) {
    let mut text = String::new();
    let mut done = false;
    for data in events.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            done = true;
        } else if let Ok(event) = serde_json::from_str::<Value>(data) {
            text += event["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
        }
    }
    (text, done)
}
