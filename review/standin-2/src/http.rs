//! HTTP/1.1 on blocking sockets, as far as the stand-ins need it.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// First line and header fields of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// Value of the first field with a name, whatever its case.
    pub fn field(&self, name: &str) -> Option<&str> {
        let known = self.fields.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        known.map(|(_, value)| value.as_str())
    }

    /// Second word of the first line: the target of a request, the status of a response.
    pub fn second_word(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or_default()
    }

    /// Value of a query parameter of a request.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.second_word().split_once('?')?;
        query
            .split('&')
            .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))
            .map(|(_, value)| value)
    }

    /// Path of a request without its query.
    pub fn path(&self) -> &str {
        let target = self.second_word();
        target.split_once('?').map_or(target, |(path, _)| path)
    }

    fn is_chunked(&self) -> bool {
        self.field("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    }
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

/// Reads a line without its end; an error at the end of the connection.
fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 || !line.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    line.truncate(line.trim_end_matches(['\r', '\n']).len());
    Ok(line)
}

/// Reads the head of a message.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Head> {
    let mut head = Head { first_line: read_line(reader)?, fields: Vec::new() };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(head);
        }
        let (name, value) =
            line.split_once(':').ok_or_else(|| broken("a field without a colon"))?;
        head.fields.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads the next chunk of a chunked body; empty for the last one.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let line = read_line(reader)?;
    let size = line.split(';').next().unwrap_or_default().trim();
    let size = usize::from_str_radix(size, 16).map_err(|_| broken("not a chunk size"))?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    read_line(reader)?;
    Ok(chunk)
}

/// Reads the body that follows a head, framed by a length or chunks.
pub fn read_body(head: &Head, reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.is_chunked() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }
    let length = head.field("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    body.resize(length, 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// A response with a length.
pub fn response(status: u16, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len()).into_bytes();
    for (name, value) in fields {
        bytes.extend(format!("{name}: {value}\r\n").into_bytes());
    }
    bytes.extend(b"\r\n");
    bytes.extend(body);
    bytes
}

/// Serves each connection to a listener in a thread of its own. `answer` returns false if the connection
/// ends with its response.
pub fn serve<A>(listener: TcpListener, answer: A)
where
    A: Fn(&Head, &[u8], &mut TcpStream) -> io::Result<bool> + Clone + Send + 'static,
{
    thread::spawn(move || {
        for socket in listener.incoming().map_while(Result::ok) {
            let answer = answer.clone();
            thread::spawn(move || {
                let _ended = serve_connection(socket, &answer);
            });
        }
    });
}

fn serve_connection(
    socket: TcpStream,
    answer: &impl Fn(&Head, &[u8], &mut TcpStream) -> io::Result<bool>,
) -> io::Result<()> {
    socket.set_nodelay(true)?;
    let mut writer = socket.try_clone()?;
    let mut reader = BufReader::new(socket);
    loop {
        let head = read_head(&mut reader)?;
        let body = read_body(&head, &mut reader)?;
        if !answer(&head, &body, &mut writer)? {
            return Ok(());
        }
    }
}

/// Connects as a caller does, which waits a second for it, and sends a request.
pub fn send(
    address: SocketAddr,
    request: &[u8],
    read_timeout: Duration,
) -> io::Result<BufReader<TcpStream>> {
    let mut socket = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    socket.set_nodelay(true)?;
    socket.set_read_timeout(Some(read_timeout))?;
    socket.write_all(request)?;
    Ok(BufReader::new(socket))
}

/// Sends a request without a body and returns the status of its response.
pub fn get_status(address: SocketAddr, path: &str) -> io::Result<u16> {
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    let mut reader = send(address, request.as_bytes(), Duration::from_secs(1))?;
    Ok(read_head(&mut reader)?.status())
}
