//! HTTP/1.1 for stand-ins, on blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A parsed head: the first line and the header fields with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// Value of a header field.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// Value of a parameter in the query of a request.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        query.split('&').filter_map(|part| part.split_once('=')).find(|p| p.0 == name).map(|p| p.1)
    }

    /// Length that the head announces.
    pub fn content_length(&self) -> Option<usize> {
        self.get("content-length")?.parse().ok()
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|value| value.contains("chunked"))
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub socket: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(socket: TcpStream) -> Self {
        // Without it only latency suffers.
        let _set = socket.set_nodelay(true);
        Self { socket, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, limit)?))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 16_384];
        let length = self.socket.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..length]);
        Ok(length)
    }

    /// Reads a head; `None` if the connection ends before it begins.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|part| part == b"\r\n\r\n") {
                let bytes: Vec<u8> = self.buffer.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&bytes).into_owned();
                let mut lines = text.lines();
                let first_line = lines.next().unwrap_or_default().to_owned();
                let fields = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                    .collect();
                return Ok(Some(Head { first_line, fields }));
            }
            if self.fill()? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    /// Reads exactly `length` bytes of a body.
    pub fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Number of bytes read ahead.
    pub fn read_ahead(&self) -> usize {
        self.buffer.len()
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|part| part == b"\r\n") {
                let bytes: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&bytes[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> io::Result<()> {
        loop {
            let line = self.read_line()?;
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            if size == 0 {
                return self.read_line().map(drop);
            }
            let chunk = self.read_exact(size)?;
            body.extend_from_slice(&chunk);
            self.read_line()?;
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.socket.write_all(bytes)
    }
}

/// What a caller got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub head: Option<Head>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing demands.
    pub is_complete: bool,
    pub error: Option<String>,
    pub took: Duration,
}

impl Answer {
    pub fn status(&self) -> u16 {
        self.head.as_ref().map_or(0, Head::status)
    }

    pub fn has_seal(&self) -> bool {
        self.head.as_ref().is_some_and(|head| head.get("plantainbeam-response-seal").is_some())
    }
}

/// Sends the bytes of a request on a connection and reads the response until `limit` has passed.
pub fn call(connection: &mut Connection, request: &[u8], limit: Duration) -> Answer {
    let started = Instant::now();
    let mut answer = Answer::default();
    let result = (|| -> io::Result<()> {
        connection.socket.set_read_timeout(Some(limit))?;
        connection.socket.set_write_timeout(Some(limit))?;
        connection.write(request)?;
        let head = connection.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        answer.head = Some(head.clone());
        if head.is_chunked() {
            connection.read_chunks(&mut answer.body)?;
        } else if let Some(length) = head.content_length() {
            answer.body = connection.read_exact(length)?;
        } else {
            while connection.fill()? > 0 {}
            answer.body = std::mem::take(&mut connection.buffer);
        }
        answer.is_complete = true;
        Ok(())
    })();
    answer.error = result.err().map(|error| error.to_string());
    answer.took = started.elapsed();
    answer
}

/// Serves each connection on a thread of its own for as long as the process runs.
pub fn serve(listener: TcpListener, handle: impl Fn(Connection) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(Connection::new(socket)));
        }
    });
}

/// Bytes of a response with a length.
pub fn response(status: u16, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 {status} S\r\n{fields}Content-Length: {}\r\n\r\n", body.len())
            .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
