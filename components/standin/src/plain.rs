//! Stand-in for a plain HTTP service.

use std::sync::{Arc, Mutex};

use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::BodyExt;
use http_body_util::channel::{Channel, Sender};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::reply::{Hangup, Reply, full, json, lose_answer, take_one, text, wait_ms};
use crate::server::{Server, Service, lock};

/// Frames of an echoed body that may wait for a slow reader.
const ECHO_FRAMES: usize = 8;
/// Time for hyper to write out the last bytes before a break, in milliseconds.
const BREAK_PAUSE_MS: u64 = 20;

/// Settings of the stand-in plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainSettings {
    /// Whether `GET /healthz` answers 200.
    pub healthy: bool,
    /// Status of the answers.
    pub status: u16,
    /// Body of the answer to a request without one; other bodies are echoed.
    pub answer: String,
    /// Time before an answer begins, in milliseconds.
    pub delay_ms: u64,
    /// Time before each part of an echoed body, in milliseconds.
    pub chunk_delay_ms: u64,
    /// Number of answers to come that break off before their end.
    pub break_answers: u32,
    /// Number of requests to come that run without an answer.
    pub lose_answers: u32,
    /// A lost answer leaves the connection open instead of breaking it.
    pub lost_hang: bool,
    /// Number of connections to come that break before the request is read.
    pub lose_requests: u32,
}

impl Default for PlainSettings {
    fn default() -> Self {
        Self {
            healthy: true,
            status: 200,
            answer: "ok".to_owned(),
            delay_ms: 0,
            chunk_delay_ms: 0,
            break_answers: 0,
            lose_answers: 0,
            lost_hang: false,
            lose_requests: 0,
        }
    }
}

/// A header field that the service received.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SeenHeader {
    /// Name.
    pub name: CompactString,
    /// Value; bytes that are no UTF-8 are replaced.
    pub value: CompactString,
}

/// A request that the service received.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SeenRequest {
    /// Method.
    pub method: CompactString,
    /// Path and query.
    pub path: CompactString,
    /// Header fields.
    pub headers: Vec<SeenHeader>,
    /// Bytes of the body received.
    pub body_bytes: u64,
    /// SHA-256 of the whole body in hexadecimal; none if it broke off.
    pub body_sha256: Option<CompactString>,
    /// Whether the request arrived whole and ran.
    pub ran: bool,
}

/// Behaviour of the stand-in plain service.
pub struct PlainService {
    settings: Mutex<PlainSettings>,
    requests: Mutex<Vec<SeenRequest>>,
}

/// The stand-in plain service.
pub type PlainServer = Server<PlainService>;

impl Server<PlainService> {
    /// Requests received so far, health checks apart.
    pub fn requests(&self) -> Vec<SeenRequest> {
        lock(&self.service.requests).clone()
    }
}

pub(crate) fn seen_headers(headers: &HeaderMap) -> Vec<SeenHeader> {
    let seen = headers.iter().map(|(name, value)| SeenHeader {
        name: name.as_str().into(),
        value: String::from_utf8_lossy(value.as_bytes()).into(),
    });
    seen.collect()
}

impl Service for PlainService {
    type Settings = PlainSettings;

    fn new(settings: PlainSettings) -> Self {
        Self { settings: Mutex::new(settings), requests: Mutex::default() }
    }

    fn settings(&self) -> &Mutex<PlainSettings> {
        &self.settings
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Reply {
        match request.uri().path() {
            "/healthz" if lock(&self.settings).healthy => return text(StatusCode::OK, "ok"),
            "/healthz" => return text(StatusCode::SERVICE_UNAVAILABLE, "unhealthy"),
            "/journal" => {
                let requests = lock(&self.requests).clone();
                return json(StatusCode::OK, &requests);
            }
            _ => {}
        }
        if take_one(&mut lock(&self.settings).lose_requests) {
            return Err(Hangup);
        }
        let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
        let seen = SeenRequest {
            method: request.method().as_str().into(),
            path: path.into(),
            headers: seen_headers(request.headers()),
            body_bytes: 0,
            body_sha256: None,
            ran: false,
        };
        let at = {
            let mut requests = lock(&self.requests);
            requests.push(seen);
            requests.len() - 1
        };
        self.answer(request.into_body(), at).await
    }
}

/// What happens to one answer.
#[derive(Clone, Copy)]
struct Fate {
    breaks: bool,
    loses: bool,
    hang: bool,
}

impl PlainService {
    async fn answer(self: Arc<Self>, body: Incoming, at: usize) -> Reply {
        let (settings, fate) = {
            let mut settings = lock(&self.settings);
            let loses = take_one(&mut settings.lose_answers);
            let breaks = !loses && take_one(&mut settings.break_answers);
            (settings.clone(), Fate { breaks, loses, hang: settings.lost_hang })
        };
        let head = Response::builder().status(settings.status);
        if hyper::body::Body::is_end_stream(&body) {
            self.mark_ran(at, Sha256::new(), 0);
            wait_ms(settings.delay_ms).await;
            if fate.loses {
                return lose_answer(fate.hang).await;
            }
            if !fate.breaks {
                return head.body(full(settings.answer)).map_err(|_| Hangup);
            }
            let (mut sender, channel) = Channel::new(ECHO_FRAMES);
            tokio::spawn(async move {
                if sender.send_data(Bytes::from(settings.answer)).await.is_ok() {
                    wait_ms(BREAK_PAUSE_MS).await;
                }
                sender.abort(Hangup);
            });
            return head.body(channel.boxed_unsync()).map_err(|_| Hangup);
        }
        if fate.loses {
            self.echo(body, at, 0, None).await;
            return lose_answer(fate.hang).await;
        }
        wait_ms(settings.delay_ms).await;
        let (sender, channel) = Channel::new(ECHO_FRAMES);
        tokio::spawn(async move {
            let service = self.clone();
            let sender = service.echo(body, at, settings.chunk_delay_ms, Some(sender)).await;
            if let Some(sender) = sender
                && fate.breaks
            {
                wait_ms(BREAK_PAUSE_MS).await;
                sender.abort(Hangup);
            }
        });
        head.body(channel.boxed_unsync()).map_err(|_| Hangup)
    }

    /// Reads the body to its end and sends it back; a broken body breaks the answer.
    async fn echo(
        &self,
        mut body: Incoming,
        at: usize,
        chunk_delay_ms: u64,
        mut sender: Option<Sender<Bytes, Hangup>>,
    ) -> Option<Sender<Bytes, Hangup>> {
        let (mut hash, mut length) = (Sha256::new(), 0);
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                if let Some(sender) = sender.take() {
                    sender.abort(Hangup);
                }
                return None;
            };
            let Ok(data) = frame.into_data() else { continue };
            hash.update(&data);
            length += data.len() as u64;
            lock(&self.requests)[at].body_bytes = length;
            wait_ms(chunk_delay_ms).await;
            if let Some(open) = &mut sender
                && open.send_data(data).await.is_err()
            {
                // The caller no longer reads; the request still runs to its end.
                sender = None;
            }
        }
        self.mark_ran(at, hash, length);
        sender
    }

    fn mark_ran(&self, at: usize, hash: Sha256, length: u64) {
        let seen = &mut lock(&self.requests)[at];
        let hex: String = hash.finalize().iter().map(|byte| format!("{byte:02x}")).collect();
        seen.body_sha256 = Some(hex.into());
        seen.body_bytes = length;
        seen.ran = true;
    }
}
