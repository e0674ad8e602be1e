//! Stand-in of the platform's store: keyed topics with one partition, and groups.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{Head, response, serve};

/// Partitions of a group's topic.
const PARTITIONS: usize = 8;

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Vec<Vec<u8>>>,
    groups: BTreeMap<String, Group>,
}

#[derive(Default)]
struct Group {
    generation: u64,
    /// When the membership of each member ends.
    members: BTreeMap<String, Instant>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

/// Another address of the store, for machines that it may turn away.
pub struct Gate {
    pub address: SocketAddr,
    /// Whether calls are answered 503; nothing is done.
    pub is_closed: Arc<AtomicBool>,
}

impl Store {
    /// Opens another address for some of the machines.
    pub fn gate(&self) -> io::Result<Gate> {
        let listener = TcpListener::bind((self.address.ip(), 0))?;
        let gate = Gate { address: listener.local_addr()?, is_closed: Arc::default() };
        let (store, is_closed) = (self.clone(), Arc::clone(&gate.is_closed));
        serve(listener, move |head, body, socket| {
            if is_closed.load(Ordering::Relaxed) {
                socket.write_all(&response(503, &[], b""))?;
                return Ok(true);
            }
            store.answer(head, body, socket)
        });
        Ok(gate)
    }

    /// Starts a store on a free port of an address.
    pub fn start(ip: std::net::IpAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Self { state: Arc::default(), address: listener.local_addr()? };
        let served = store.clone();
        serve(listener, move |head, body, socket| served.answer(head, body, socket));
        Ok(store)
    }

    /// Writes a record of a keyed topic as operators and workers do; an empty value deletes the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value.as_bytes());
        self.lock().topics.entry(topic.to_owned()).or_default().push(record);
        self.state.1.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn answer(&self, head: &Head, body: &[u8], socket: &mut TcpStream) -> io::Result<bool> {
        let topic = head.query("topic").unwrap_or_default().to_owned();
        let bytes = match head.path() {
            "/log-append" => self.append(&topic, body),
            "/log-read" => self.read(head, &topic),
            "/log-newest" => self.newest(&topic),
            "/log-join" => self.join(&String::from_utf8_lossy(body)),
            "/log-leave" => self.leave(&String::from_utf8_lossy(body)),
            _ => response(404, &[], b""),
        };
        socket.write_all(&bytes)?;
        Ok(true)
    }

    fn append(&self, topic: &str, body: &[u8]) -> Vec<u8> {
        let mut state = self.lock();
        let records = state.topics.entry(topic.to_owned()).or_default();
        let offset = records.len();
        let mut rest = body;
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let Some(record) = rest.get(4..4 + length) else { return response(400, &[], b"") };
            records.push(record.to_vec());
            rest = &rest[4 + length..];
        }
        let answer = format!("{{\"offset\":{offset},\"end\":{}}}", records.len());
        self.state.1.notify_all();
        json(&answer)
    }

    fn read(&self, head: &Head, topic: &str) -> Vec<u8> {
        let number =
            |name: &str| head.query(name).and_then(|value| value.parse().ok()).unwrap_or(0_u64);
        let from = number("from") as usize;
        let until = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
        let mut state = self.lock();
        loop {
            let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
            if from > records.len() {
                return response(410, &[], b"{\"first\":0}");
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < records.len() || left.is_zero() {
                let mut page = (records.len() as u64).to_be_bytes().to_vec();
                page.extend(0_u64.to_be_bytes());
                for record in &records[from..] {
                    page.extend((record.len() as u32).to_be_bytes());
                    page.extend(record);
                }
                return response(200, &[], &page);
            }
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let state = self.lock();
        let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest: BTreeMap<&[u8], (usize, &[u8])> = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let length = usize::from(record[0]);
            let (key, value) = (&record[1..1 + length], &record[1 + length..]);
            if value.is_empty() {
                newest.remove(key);
            } else {
                newest.insert(key, (offset, value));
            }
        }
        let items: Vec<String> = newest
            .iter()
            .map(|(key, (offset, value))| {
                let key = String::from_utf8_lossy(key);
                format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
            })
            .collect();
        json(&format!(
            "{{\"items\":[{}],\"more\":false,\"end\":{}}}",
            items.join(","),
            records.len()
        ))
    }

    fn join(&self, body: &str) -> Vec<u8> {
        let (group_name, member) = (text(body, "group"), text(body, "member"));
        let lifetime = Duration::from_millis(number(body, "lifetime_ms"));
        let now = Instant::now();
        let mut state = self.lock();
        let group = state.groups.entry(group_name.clone()).or_default();
        let before: Vec<String> = group.members.keys().cloned().collect();
        group.members.retain(|_, until| now < *until);
        group.members.insert(member.clone(), now + lifetime);
        let members: Vec<String> = group.members.keys().cloned().collect();
        if members != before {
            group.generation += 1;
        }
        let parts: Vec<String> = (0..PARTITIONS)
            .filter(|part| members[part % members.len()] == member)
            .map(|part| format!("[\"{group_name}\",{part},0]"))
            .collect();
        json(&format!(
            "{{\"generation\":{},\"lifetime_ms\":{},\"parts\":[{}]}}",
            group.generation,
            lifetime.as_millis(),
            parts.join(",")
        ))
    }

    fn leave(&self, body: &str) -> Vec<u8> {
        let (group, member) = (text(body, "group"), text(body, "member"));
        self.lock().groups.entry(group).or_default().members.remove(&member);
        json("{}")
    }
}

fn json(body: &str) -> Vec<u8> {
    response(200, &[("Content-Type", "application/json")], body.as_bytes())
}

/// Value of a string field of a flat JSON object.
pub fn text(body: &str, name: &str) -> String {
    let start = body.split_once(&format!("\"{name}\":\"")).map_or("", |(_, rest)| rest);
    start.split('"').next().unwrap_or_default().to_owned()
}

/// Value of a number field of a flat JSON object.
pub fn number(body: &str, name: &str) -> u64 {
    let start = body.split_once(&format!("\"{name}\":")).map_or("", |(_, rest)| rest);
    start.chars().take_while(char::is_ascii_digit).collect::<String>().parse().unwrap_or(0)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut encoded = String::new();
    for group in bytes.chunks(3) {
        let bits = group.iter().fold(0_u32, |bits, byte| bits << 8 | u32::from(*byte))
            << (8 * (3 - group.len()));
        for at in 0..4 {
            let digit = (bits >> (18 - 6 * at) & 63) as usize;
            encoded.push(if at <= group.len() { char::from(DIGITS[digit]) } else { '=' });
        }
    }
    encoded
}
