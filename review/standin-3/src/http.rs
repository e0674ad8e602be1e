//! A small HTTP/1.1 server side.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// A request, read whole.
pub struct Request {
    pub method: String,
    pub target: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Value of a header; the name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Value of a field of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|pair| pair.0 == name)
            .map(|pair| pair.1)
    }

    /// Reads a request; none at the end of the connection.
    pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Self>> {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let mut words = line.split_whitespace().map(str::to_owned);
        let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let headers = read_headers(reader)?;
        let mut request = Self { method, target, headers, body: Vec::new() };
        if let Some(length) = request.header("content-length").and_then(|text| text.parse().ok()) {
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
            request.body = body;
        }
        Ok(Some(request))
    }
}

/// Reads header lines up to the empty one.
pub fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = Vec::new();
        if reader.read_until(b'\n', &mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = String::from_utf8_lossy(&line);
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Writes a response with a body of known length.
pub fn respond(socket: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len())
        .into_bytes();
    bytes.extend_from_slice(body);
    socket.write_all(&bytes)
}

/// Accepts connections at `address` on a thread of its own, and handles each on another one.
pub fn serve(
    address: SocketAddr,
    handle: impl Fn(TcpStream) + Send + Sync + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            let _nodelay = socket.set_nodelay(true);
            thread::spawn(move || handle(socket));
        }
    });
    Ok(())
}

/// Text of a field of a flat JSON object.
pub fn json_text(body: &[u8], name: &str) -> Option<String> {
    let text = String::from_utf8_lossy(body);
    let (_, rest) = text.split_once(&format!("\"{name}\":\""))?;
    rest.split('"').next().map(str::to_owned)
}

/// Number of a field of a flat JSON object.
pub fn json_number(body: &[u8], name: &str) -> Option<u64> {
    let text = String::from_utf8_lossy(body);
    let (_, rest) = text.split_once(&format!("\"{name}\":"))?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}
