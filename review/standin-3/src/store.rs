//! Stand-in of the platform's store: a log with keyed topics, as PROTOCOL.md has it.

use std::collections::BTreeMap;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{Request, json_number, json_text, respond, serve};

/// Most keys of a page of newest records.
const PAGE_KEYS: usize = 500;

#[derive(Default)]
struct Partition {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
}

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Partition>,
    /// Members of groups and their generation.
    groups: BTreeMap<String, (u64, Vec<String>)>,
}

/// A store; clones share it.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
    appended: Arc<Condvar>,
}

impl Store {
    /// Starts a store at `address`.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let store = Self::default();
        let served = store.clone();
        serve(address, move |socket| served.serve_connection(socket))?;
        Ok(store)
    }

    /// Writes a value under a key, or removes the key if the value is empty.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        self.append(topic, vec![record]);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn append(&self, topic: &str, records: Vec<Vec<u8>>) -> (u64, u64) {
        let mut state = self.state();
        let partition = state.topics.entry(topic.to_owned()).or_default();
        let offset = partition.records.len() as u64;
        for record in records {
            let at = partition.records.len() as u64;
            if topic.starts_with("keyed.") {
                let length = usize::from(record[0]);
                let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
                let value = record[1 + length..].to_vec();
                if value.is_empty() {
                    partition.newest.remove(&key);
                } else {
                    partition.newest.insert(key, (at, value));
                }
            }
            partition.records.push(record);
        }
        let end = partition.records.len() as u64;
        drop(state);
        self.appended.notify_all();
        (offset, end)
    }

    fn serve_connection(&self, socket: TcpStream) {
        let Ok(mut writer) = socket.try_clone() else { return };
        let mut reader = BufReader::new(socket);
        while let Ok(Some(request)) = Request::read(&mut reader) {
            std::thread::sleep(Duration::from_millis(4));
            if self.answer(&request, &mut writer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request, writer: &mut TcpStream) -> io::Result<()> {
        const JSON: &str = "Content-Type: application/json\r\n";
        let topic = request.query("topic").unwrap_or_default();
        match (request.method.as_str(), request.path()) {
            ("POST", "/log-append") => {
                if ["keyed.op", "keyed.servers"].contains(&topic) {
                    return respond(writer, "403 Forbidden", "", b"");
                }
                let (offset, end) = self.append(topic, split(&request.body));
                let body = format!("{{\"offset\":{offset},\"end\":{end}}}");
                respond(writer, "200 OK", JSON, body.as_bytes())
            }
            ("GET", "/log-read") => {
                let number = |name: &str| request.query(name).and_then(|text| text.parse().ok());
                let from: u64 = number("from").unwrap_or_default();
                let wait = Duration::from_millis(number("wait_ms").unwrap_or_default());
                match self.read(topic, from, wait) {
                    Some(body) => respond(writer, "200 OK", "", &body),
                    None => respond(writer, "410 Gone", JSON, b"{\"first\":0}"),
                }
            }
            ("GET", "/log-newest") => {
                let after = request.query("after").unwrap_or_default();
                respond(writer, "200 OK", JSON, self.newest(topic, after).as_bytes())
            }
            ("POST", "/log-join") => {
                let group = json_text(&request.body, "group").unwrap_or_default();
                let member = json_text(&request.body, "member").unwrap_or_default();
                let lifetime = json_number(&request.body, "lifetime_ms").unwrap_or_default();
                let generation = {
                    let mut state = self.state();
                    let (generation, members) = state.groups.entry(group).or_default();
                    if !members.contains(&member) {
                        members.push(member);
                        *generation += 1;
                    }
                    *generation
                };
                // No engine of these cases lacks an agent, so that no part is ever dealt.
                let body = format!(
                    "{{\"generation\":{generation},\"lifetime_ms\":{lifetime},\"parts\":[]}}"
                );
                respond(writer, "200 OK", JSON, body.as_bytes())
            }
            ("POST", "/log-leave") => respond(writer, "200 OK", JSON, b"{}"),
            _ => respond(writer, "404 Not Found", "", b""),
        }
    }

    fn read(&self, topic: &str, from: u64, wait: Duration) -> Option<Vec<u8>> {
        let until = Instant::now() + wait;
        let mut state = self.state();
        loop {
            let none = Vec::new();
            let records = state.topics.get(topic).map_or(&none, |partition| &partition.records);
            let end = records.len() as u64;
            if from > end {
                return None;
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < end || left.is_zero() {
                let mut body = end.to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in &records[from as usize..] {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return Some(body);
            }
            state =
                self.appended.wait_timeout(state, left).unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn newest(&self, topic: &str, after: &str) -> String {
        let state = self.state();
        let Some(partition) = state.topics.get(topic) else {
            return "{\"items\":[],\"more\":false,\"end\":0}".into();
        };
        let left: Vec<_> =
            partition.newest.iter().filter(|(key, _)| key.as_str() > after).collect();
        let items: Vec<String> = left
            .iter()
            .take(PAGE_KEYS)
            .map(|(key, (offset, value))| {
                format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
            })
            .collect();
        let more = left.len() > PAGE_KEYS;
        let end = partition.records.len();
        format!("{{\"items\":[{}],\"more\":{more},\"end\":{end}}}", items.join(","))
    }
}

/// Records of the body of an append.
fn split(body: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    let mut rest = body;
    while let Some((length, after)) = rest.split_first_chunk::<4>() {
        let length = u32::from_be_bytes(*length) as usize;
        let (record, after) = after.split_at(length.min(after.len()));
        records.push(record.to_vec());
        rest = after;
    }
    records
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let bits = chunk.iter().fold(0_u32, |bits, byte| bits << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for at in 0..4 {
            match at <= chunk.len() {
                true => text.push(char::from(DIGITS[(bits >> (18 - 6 * at) & 63) as usize])),
                false => text.push('='),
            }
        }
    }
    text
}
