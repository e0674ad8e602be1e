//! Parts of targets that speak HTTP on raw sockets.

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Reads the head of a request, in lower case; none if the connection ends before.
pub async fn read_head(socket: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.windows(4).any(|part| part == b"\r\n\r\n") {
        let mut part = [0; 4_096];
        match socket.read(&mut part).await {
            Ok(length) if length > 0 => bytes.extend_from_slice(&part[..length]),
            Ok(_) | Err(_) => return None,
        }
    }
    Some(String::from_utf8_lossy(&bytes).to_lowercase())
}

/// Value of a header in a head.
pub fn header_value<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| Some(line.strip_prefix(name)?.strip_prefix(':')?.trim()))
}
