//! Requesters.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::read_headers;

/// What a requester got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Status; none if the channel ended before.
    pub status: Option<u16>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub is_complete: bool,
}

impl Answer {
    /// Value of a header; the name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Whether it is a whole success.
    pub fn is_success(&self) -> bool {
        self.status == Some(200) && self.is_complete
    }

    /// In short, for the record.
    pub fn text(&self) -> String {
        let status = self.status.map_or("no answer".to_owned(), |status| status.to_string());
        let end = if self.is_complete { "complete" } else { "cut" };
        format!("{status}, {} bytes, {end}", self.body.len())
    }
}

/// Sends one request on a channel of its own and reads the answer until `patience` ends.
pub fn call(address: SocketAddr, head: &str, body: &[u8], patience: Duration) -> Answer {
    let mut answer = Answer::default();
    let _end = exchange(address, head, body, Instant::now() + patience, &mut answer);
    answer
}

fn exchange(
    address: SocketAddr,
    head: &str,
    body: &[u8],
    until: Instant,
    answer: &mut Answer,
) -> std::io::Result<()> {
    let left = || until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let mut socket = TcpStream::connect_timeout(&address, left())?;
    socket.set_nodelay(true)?;
    let mut bytes = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    socket.write_all(&bytes)?;
    socket.set_read_timeout(Some(left()))?;
    let mut reader = BufReader::new(socket.try_clone()?);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    answer.status = line.split(' ').nth(1).and_then(|status| status.parse().ok());
    answer.headers = read_headers(&mut reader)?;
    if let Some(length) = answer.header("content-length").and_then(|text| text.parse().ok()) {
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        answer.body = body;
        answer.is_complete = true;
        return Ok(());
    }
    loop {
        socket.set_read_timeout(Some(left()))?;
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let length = usize::from_str_radix(line.trim(), 16).map_err(std::io::Error::other)?;
        let mut chunk = vec![0; length + 2];
        reader.read_exact(&mut chunk)?;
        if length == 0 {
            answer.is_complete = true;
            return Ok(());
        }
        answer.body.extend_from_slice(&chunk[..length]);
    }
}

/// Whether the gateway says that it is ready.
pub fn is_ready(address: SocketAddr) -> bool {
    let head = "GET /ready HTTP/1.1\r\nHost: ready\r\n";
    call(address, head, b"", Duration::from_secs(1)).status == Some(200)
}

/// Waits up to `limit` until the condition holds; returns whether it does.
pub fn wait_until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while !holds() {
        if Instant::now() >= until {
            return false;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    true
}
