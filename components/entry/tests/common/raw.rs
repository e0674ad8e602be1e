//! HTTP by raw bytes.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest wait for bytes; only a hang reaches it.
const READ_LIMIT: Duration = Duration::from_secs(20);

/// Answer as it came.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Answer {
    fn parse(bytes: &[u8]) -> Self {
        let text = String::from_utf8_lossy(bytes).into_owned();
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let status = head.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
        Self { status, head: head.to_ascii_lowercase(), body: body.to_owned() }
    }

    /// Status, code and state of execution.
    pub fn summary(&self) -> String {
        let json: serde_json::Value = serde_json::from_str(&self.body).unwrap_or_default();
        match json["error"]["code"].as_str() {
            Some(code) => {
                format!("{} {code} {}", self.status, json["error"]["ran"].as_str().unwrap_or("-"))
            }
            None => self.status.to_string(),
        }
    }

    /// A header field.
    pub fn header(&self, name: &str) -> Option<&str> {
        let prefix = format!("{name}: ");
        self.head.lines().find_map(|line| line.strip_prefix(prefix.as_str()))
    }
}

/// Sends bytes and reads until the server closes.
pub async fn send(address: SocketAddr, bytes: &[u8]) -> Answer {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The server may close before it has taken everything.
    let _sent = stream.write_all(bytes).await;
    read_answer(&mut stream).await
}

/// Reads an answer until the server closes.
pub async fn read_answer(stream: &mut TcpStream) -> Answer {
    Answer::parse(&read_to_end(stream).await)
}

/// Reads until the server closes; a reset counts as the end.
pub async fn read_to_end(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut part = [0; 4096];
    loop {
        match timeout(READ_LIMIT, stream.read(&mut part)).await.expect("server sent nothing") {
            Ok(0) | Err(_) => return bytes,
            Ok(length) => bytes.extend_from_slice(&part[..length]),
        }
    }
}

/// Reads until the bytes contain `text`.
pub async fn read_until(stream: &mut TcpStream, text: &str) -> String {
    let mut bytes = Vec::new();
    let mut part = [0; 4096];
    loop {
        let seen = String::from_utf8_lossy(&bytes).into_owned();
        if seen.contains(text) {
            return seen;
        }
        let length =
            timeout(READ_LIMIT, stream.read(&mut part)).await.expect("server sent nothing");
        let length = length.unwrap();
        assert!(length > 0, "closed before {text:?}: {seen}");
        bytes.extend_from_slice(&part[..length]);
    }
}

/// A request as text; the connection stays open unless `extra` says otherwise.
pub fn request(method: &str, path: &str, key: Option<&str>, extra: &str, body: &str) -> String {
    let key = key.map(|key| format!("Authorization: Bearer {key}\r\n")).unwrap_or_default();
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: test\r\n{key}{extra}Content-Length: {length}\r\n\r\n{body}"
    )
}

/// Makes one call on a connection of its own.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    key: Option<&str>,
    body: &str,
) -> Answer {
    let text = request(method, path, key, "Connection: close\r\n", body);
    send(address, text.as_bytes()).await
}

/// Opens a connection and sends a request on it.
pub async fn open(
    address: SocketAddr,
    method: &str,
    path: &str,
    key: Option<&str>,
    body: &str,
) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let text = request(method, path, key, "", body);
    stream.write_all(text.as_bytes()).await.unwrap();
    stream
}
