//! Stand-in for the platform's log service.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base::{SortedMap, seeded_rng};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use compact_str::CompactString;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use crate::rate::Rate;
use crate::reply::{Reply, json, lose_answer, query, read_body, take_one, text, wait_ms};
use crate::server::{Server, Service, lock};

/// Settings of the stand-in log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogServerSettings {
    /// Every call is answered 503; nothing is stored.
    pub outage: bool,
    /// Appends a second, all streams together; more are answered 429.
    pub appends_per_s: u32,
    /// Time before a call is looked at, in milliseconds.
    pub delay_ms: u64,
    /// Number of appends to come that are stored without an answer.
    pub lose_answers: u32,
    /// Share of the other appends that are stored without an answer, in percent.
    pub lose_answers_percent: u32,
    /// Number of appends to come that are neither stored nor answered.
    pub lose_appends: u32,
    /// A lost answer leaves the connection open instead of breaking it.
    pub lost_hang: bool,
    /// Most records kept in a stream; zero for all.
    pub retention_records: usize,
    /// Time for which a record is kept, in milliseconds; zero for ever.
    pub retention_ms: u64,
    /// Seed of the random faults.
    pub seed: u64,
}

impl Default for LogServerSettings {
    fn default() -> Self {
        Self {
            outage: false,
            appends_per_s: 500,
            delay_ms: 0,
            lose_answers: 0,
            lose_answers_percent: 0,
            lose_appends: 0,
            lost_hang: false,
            retention_records: 0,
            retention_ms: 0,
            seed: 1,
        }
    }
}

/// A record as the log holds it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredRecord {
    /// Position in the stream.
    pub offset: u64,
    /// The writer's id.
    pub id: CompactString,
    /// Content.
    pub payload: Bytes,
    stored: Instant,
}

#[derive(Debug, Default)]
struct Stream {
    records: VecDeque<StoredRecord>,
    end: u64,
}

impl Stream {
    fn prune(&mut self, settings: &LogServerSettings) {
        let age = Duration::from_millis(settings.retention_ms);
        while let Some(first) = self.records.front()
            && ((settings.retention_records > 0 && self.records.len() > settings.retention_records)
                || (settings.retention_ms > 0 && first.stored.elapsed() >= age))
        {
            self.records.pop_front();
        }
    }

    fn oldest(&self) -> u64 {
        self.records.front().map_or(self.end + 1, |record| record.offset)
    }
}

struct State {
    streams: SortedMap<CompactString, Stream>,
    rate: Rate,
    rng: ChaCha8Rng,
    appends_refused: u64,
}

/// Behaviour of the stand-in log.
pub struct LogService {
    settings: Mutex<LogServerSettings>,
    state: Mutex<State>,
    changed: Notify,
}

/// The stand-in log.
pub type LogServer = Server<LogService>;

#[derive(Deserialize)]
struct AppendBody {
    id: CompactString,
    payload_base64: String,
}

#[derive(Serialize)]
struct AppendAnswer {
    offset: u64,
}

#[derive(Serialize)]
struct ReadAnswer {
    records: Vec<RecordBody>,
    oldest: u64,
    end: u64,
}

#[derive(Serialize)]
struct RecordBody {
    offset: u64,
    id: CompactString,
    payload_base64: String,
}

struct ReadRange {
    from: u64,
    limit: usize,
    deadline: Instant,
}

impl Server<LogService> {
    /// Records that a stream still keeps.
    pub fn records(&self, stream: &str) -> Vec<StoredRecord> {
        let state = lock(&self.service.state);
        state.streams.get(stream).map_or_else(Vec::new, |s| s.records.iter().cloned().collect())
    }

    /// Stores a record, whatever the faults in force, and returns its offset.
    pub fn append(&self, stream: &str, id: &str, payload: &[u8]) -> u64 {
        self.service.store(stream, id.into(), Bytes::copy_from_slice(payload))
    }

    /// Number of appends answered 429.
    pub fn appends_refused(&self) -> u64 {
        lock(&self.service.state).appends_refused
    }
}

impl Service for LogService {
    type Settings = LogServerSettings;

    fn new(settings: LogServerSettings) -> Self {
        let state = State {
            streams: SortedMap::new(),
            rate: Rate::default(),
            rng: seeded_rng(settings.seed),
            appends_refused: 0,
        };
        Self { settings: Mutex::new(settings), state: Mutex::new(state), changed: Notify::new() }
    }

    fn settings(&self) -> &Mutex<LogServerSettings> {
        &self.settings
    }

    fn settings_changed(&self) {
        self.changed.notify_waiters();
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Reply {
        let delay_ms = lock(&self.settings).delay_ms;
        wait_ms(delay_ms).await;
        if lock(&self.settings).outage {
            return text(StatusCode::SERVICE_UNAVAILABLE, "outage");
        }
        let path = request.uri().path().to_owned();
        let stream = path.strip_prefix("/streams/").and_then(|p| p.strip_suffix("/records"));
        let Some(stream) = stream else {
            return text(StatusCode::NOT_FOUND, "no such path");
        };
        match *request.method() {
            Method::POST => {
                let body = read_body(request.into_body()).await?;
                self.append(stream, &body).await
            }
            Method::GET => {
                let range = ReadRange::parse(request.uri().query());
                self.read(stream, &range).await
            }
            _ => text(StatusCode::METHOD_NOT_ALLOWED, "method not allowed"),
        }
    }
}

impl ReadRange {
    fn parse(text: Option<&str>) -> Self {
        let number = |name| query(text, name).and_then(|value| value.parse::<u64>().ok());
        let limit = number("limit").and_then(|limit| usize::try_from(limit).ok()).unwrap_or(500);
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
        Self { from: number("from").unwrap_or(1), limit, deadline: Instant::now() + wait }
    }
}

impl LogService {
    fn store(&self, stream: &str, id: CompactString, payload: Bytes) -> u64 {
        let settings = lock(&self.settings).clone();
        let mut state = lock(&self.state);
        let stream = state.streams.get_or_insert_with(stream.into(), Stream::default);
        stream.end += 1;
        let offset = stream.end;
        stream.records.push_back(StoredRecord { offset, id, payload, stored: Instant::now() });
        stream.prune(&settings);
        drop(state);
        self.changed.notify_waiters();
        offset
    }

    async fn append(&self, stream: &str, body: &[u8]) -> Reply {
        let Some((body, payload)) = serde_json::from_slice::<AppendBody>(body)
            .ok()
            .and_then(|body| STANDARD.decode(&body.payload_base64).ok().map(|p| (body, p)))
        else {
            return text(StatusCode::BAD_REQUEST, "malformed record");
        };
        let (lose_append, lose_answer_now, hang) = {
            let mut settings = lock(&self.settings);
            let mut state = lock(&self.state);
            let per_s = f64::from(settings.appends_per_s);
            if !state.rate.take(per_s, per_s.max(1.0)) {
                state.appends_refused += 1;
                return text(StatusCode::TOO_MANY_REQUESTS, "append rate");
            }
            let lose_append = take_one(&mut settings.lose_appends);
            let by_chance = state.rng.random_range(0..100) < settings.lose_answers_percent;
            let lose = !lose_append && (take_one(&mut settings.lose_answers) || by_chance);
            (lose_append, lose, settings.lost_hang)
        };
        if lose_append {
            return lose_answer(hang).await;
        }
        let offset = self.store(stream, body.id, payload.into());
        if lose_answer_now {
            return lose_answer(hang).await;
        }
        json(StatusCode::OK, &AppendAnswer { offset })
    }

    async fn read(&self, stream: &str, range: &ReadRange) -> Reply {
        loop {
            let mut changed = std::pin::pin!(self.changed.notified());
            changed.as_mut().enable();
            if lock(&self.settings).outage {
                return text(StatusCode::SERVICE_UNAVAILABLE, "outage");
            }
            let answer = self.page(stream, range);
            if !answer.records.is_empty() || timeout_at(range.deadline, changed).await.is_err() {
                return json(StatusCode::OK, &answer);
            }
        }
    }

    fn page(&self, name: &str, range: &ReadRange) -> ReadAnswer {
        let settings = lock(&self.settings).clone();
        let mut state = lock(&self.state);
        let Some(stream) = state.streams.get_mut(name) else {
            return ReadAnswer { records: Vec::new(), oldest: 1, end: 0 };
        };
        stream.prune(&settings);
        let skipped = usize::try_from(range.from.saturating_sub(stream.oldest()));
        let records = stream.records.iter().skip(skipped.unwrap_or(usize::MAX)).take(range.limit);
        ReadAnswer {
            records: records.map(RecordBody::from).collect(),
            oldest: stream.oldest(),
            end: stream.end,
        }
    }
}

impl From<&StoredRecord> for RecordBody {
    fn from(record: &StoredRecord) -> Self {
        Self {
            offset: record.offset,
            id: record.id.clone(),
            payload_base64: STANDARD.encode(&record.payload),
        }
    }
}
