//! Stand-in of the platform's store: a log with keyed topics.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, Head, response, serve};

/// Most bytes of records in the answer to a read that names no other limit.
const MAX_READ_KB: usize = 1_024;
/// Time that a call takes.
const CALL_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    bytes: u64,
}

impl Topic {
    fn append(&mut self, record: Vec<u8>) -> Option<u64> {
        let length = usize::from(*record.first()?);
        let key = String::from_utf8(record.get(1..1 + length)?.to_vec()).ok()?;
        let value = record[1 + length..].to_vec();
        let offset = self.records.len() as u64;
        match value.is_empty() {
            true => self.newest.remove(&key),
            false => self.newest.insert(key, (offset, value)),
        };
        self.bytes += record.len() as u64 + 4;
        self.records.push(record);
        Some(offset)
    }
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    topics: Arc<(Mutex<BTreeMap<String, Topic>>, Condvar)>,
    partial_reads: Arc<Mutex<Vec<PartialRead>>>,
    pub address: SocketAddr,
}

/// A read that returned only a part of the records there are.
#[derive(Clone, Debug)]
pub struct PartialRead {
    pub at: Instant,
    pub topic: String,
    pub from: usize,
    pub records: usize,
    pub end: usize,
}

impl Store {
    /// Starts a store at `address`.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let store = Self { topics: Arc::default(), partial_reads: Arc::default(), address };
        let served = store.clone();
        serve(listener, move |connection| served.serve_connection(connection));
        Ok(store)
    }

    /// Writes a record of a keyed topic as operators and workers do; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        self.topics.0.lock().unwrap().entry(topic.to_owned()).or_default().append(record);
        self.topics.1.notify_all();
    }

    /// Bytes of the records of a topic.
    pub fn bytes(&self, topic: &str) -> u64 {
        self.topics.0.lock().unwrap().get(topic).map_or(0, |topic| topic.bytes)
    }

    /// Reads that returned only a part of the records there were.
    pub fn partial_reads(&self) -> Vec<PartialRead> {
        self.partial_reads.lock().unwrap().clone()
    }

    fn serve_connection(&self, mut connection: Connection) {
        while let Ok(Some(head)) = connection.read_head() {
            let length = head.content_length().unwrap_or(0);
            let Ok(body) = connection.read_exact(length) else { return };
            std::thread::sleep(CALL_TIME);
            if connection.write(&self.answer(&head, &body)).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8]) -> Vec<u8> {
        let json = "Content-Type: application/json\r\n";
        let topic = head.query("topic").unwrap_or_default();
        match (head.method(), head.target().split('?').next().unwrap_or_default()) {
            ("POST", "/log-append") => {
                let mut topics = self.topics.0.lock().unwrap();
                let partition = topics.entry(topic.to_owned()).or_default();
                let first = partition.records.len();
                let mut at = 0;
                while at + 4 <= body.len() {
                    let length = [body[at], body[at + 1], body[at + 2], body[at + 3]];
                    let end = at + 4 + u32::from_be_bytes(length) as usize;
                    let record = body.get(at + 4..end).map(<[u8]>::to_vec);
                    if record.and_then(|record| partition.append(record)).is_none() {
                        return response(400, json, b"{}");
                    }
                    at = end;
                }
                let end = partition.records.len();
                self.topics.1.notify_all();
                response(200, json, format!("{{\"offset\":{first},\"end\":{end}}}").as_bytes())
            }
            ("GET", "/log-read") => self.read(head, topic),
            ("GET", "/log-newest") => {
                let topics = self.topics.0.lock().unwrap();
                let empty = Topic::default();
                let partition = topics.get(topic).unwrap_or(&empty);
                let items: Vec<String> = partition
                    .newest
                    .iter()
                    .map(|(key, (offset, value))| {
                        let value = base64(value);
                        format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
                    })
                    .collect();
                let text = format!(
                    "{{\"items\":[{}],\"more\":false,\"end\":{}}}",
                    items.join(","),
                    partition.records.len()
                );
                response(200, json, text.as_bytes())
            }
            _ => response(404, json, b"{}"),
        }
    }

    fn read(&self, head: &Head, topic: &str) -> Vec<u8> {
        let number = |name: &str| head.query(name).and_then(|value| value.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let most_bytes = number("max_read_kb").map_or(MAX_READ_KB, |kb| kb as usize) * 1_024;
        let mut topics = self.topics.0.lock().unwrap();
        loop {
            let records = topics.get(topic).map_or(&[][..], |topic| &topic.records);
            let left = until.saturating_duration_since(Instant::now());
            if from < records.len() || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0u64.to_be_bytes());
                for (count, record) in records.iter().skip(from).enumerate() {
                    if body.len() + 4 + record.len() > most_bytes {
                        let read = PartialRead {
                            at: Instant::now(),
                            topic: topic.to_owned(),
                            from,
                            records: count,
                            end: records.len(),
                        };
                        self.partial_reads.lock().unwrap().push(read);
                        break;
                    }
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return response(200, "", &body);
            }
            topics = self.topics.1.wait_timeout(topics, left).unwrap().0;
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = part.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - part.len()));
        for at in 0..4 {
            let is_digit = at <= part.len();
            let digit = DIGITS[(word >> (18 - 6 * at) & 63) as usize];
            text.push(if is_digit { char::from(digit) } else { '=' });
        }
    }
    text
}
