//! A server in trouble that sends bytes without end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Bytes of one write.
const WRITE_BYTES: usize = 64 << 10;

/// A response without end.
#[derive(Clone, Debug, Default)]
pub struct EndlessAnswer {
    /// What is sent first. A header name in braces stands for its value in the request.
    pub head: String,
    /// What is then repeated.
    pub part: &'static str,
}

/// Options of an [`EndlessServer`].
#[derive(Clone, Debug, Default)]
pub struct EndlessServerSettings {
    /// Responses in turn, one a connection.
    pub answers: Vec<EndlessAnswer>,
    /// Requests whose head contains one of these get the response beside it, written as the head of an
    /// [`EndlessAnswer`].
    pub ordinary: Vec<(&'static str, String)>,
    /// Pause between writes of 64 KB, so that all connections send in step.
    pub pause: Duration,
}

/// A server that sends endless responses until its clients close the connections.
#[derive(Debug)]
pub struct EndlessServer {
    address: SocketAddr,
    closed: UnboundedReceiver<CompactString>,
    task: JoinHandle<()>,
}

impl EndlessServer {
    /// Starts the server on an ephemeral loopback port.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub async fn start(settings: EndlessServerSettings) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let (sender, closed) = unbounded_channel();
        let task = tokio::spawn(async move {
            let settings = Arc::new(settings);
            let mut answers = settings.answers.iter().cycle();
            while let Ok((socket, _)) = listener.accept().await {
                let answer = answers.next().cloned().unwrap_or_default();
                tokio::spawn(serve(socket, answer, Arc::clone(&settings), sender.clone()));
            }
        });
        Ok(Self { address, closed, task })
    }

    /// Where it listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of connections that were closed during an endless response.
    pub fn closed(&self) -> usize {
        self.closed.len()
    }

    /// Waits until a connection is closed during an endless response; returns the first line of its
    /// request.
    pub async fn next_closed(&mut self) -> Option<CompactString> {
        self.closed.recv().await
    }
}

impl Drop for EndlessServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(
    mut socket: TcpStream,
    answer: EndlessAnswer,
    settings: Arc<EndlessServerSettings>,
    closed: UnboundedSender<CompactString>,
) {
    while let Some(request) = read_head(&mut socket).await {
        let known = settings.ordinary.iter().find(|(part, _)| request.contains(part));
        if let Some((_, response)) = known {
            if socket.write_all(fill_in(response, &request).as_bytes()).await.is_err() {
                return;
            }
            continue;
        }
        let noise = answer.part.repeat(WRITE_BYTES / answer.part.len().max(1));
        let mut written = socket.write_all(fill_in(&answer.head, &request).as_bytes()).await;
        while written.is_ok() && !noise.is_empty() {
            written = socket.write_all(noise.as_bytes()).await;
            sleep(settings.pause).await;
        }
        let line = request.lines().next().unwrap_or_default();
        // Nobody counts after the server has been dropped.
        let _sent = closed.send(line.into());
        return;
    }
}

async fn read_head(socket: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.windows(4).any(|part| part == b"\r\n\r\n") {
        let mut part = [0; 4_096];
        match socket.read(&mut part).await {
            Ok(length) if length > 0 => bytes.extend_from_slice(&part[..length]),
            Ok(_) | Err(_) => return None,
        }
    }
    Some(String::from_utf8_lossy(&bytes).into_owned())
}

/// Replaces the names of headers in braces by their values in a request.
fn fill_in(response: &str, request: &str) -> String {
    let fields = request.lines().filter_map(|line| line.split_once(':'));
    fields.fold(response.to_owned(), |text, (name, value)| {
        text.replace(&format!("{{{}}}", name.to_lowercase()), value.trim())
    })
}
