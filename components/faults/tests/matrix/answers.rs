//! Request and streamed answer (I3, I4, I7): callers of two customers on one connection, an entry and two
//! targets. Headers and keys are judged by the crates `api` and `auth`; the matching of answers follows
//! design section 4.7 and is written here, since the entry does it in its I/O.

use std::time::Duration;

use base::{CustomerId, Timestamp};
use config::{Customer, FleetConfig, KeyEntry};
use faults::{Network, Protocol, Timing, enumerate_some};
use http::{HeaderMap, HeaderName, HeaderValue};

use crate::support::{red_run, report};

const CALLER: usize = 0;
const ENTRY: usize = 1;
const TARGETS: [usize; 2] = [2, 3];
const KEYS: [&str; 2] = ["key-capel", "key-stiwdio"];
const REQUESTS: u64 = 4;
const WORDS: u32 = 4;
const SEND_EVERY: Duration = Duration::from_millis(10);
/// Silence of a target after which the entry goes on at the other one.
const SILENCE: Duration = Duration::from_millis(60);
/// The caller's own limit.
const GIVE_UP: Duration = Duration::from_millis(1_500);
const ATTEMPTS: u32 = 6;

#[derive(Clone)]
enum Message {
    Request { id: u64, headers: HeaderMap },
    Generate { id: u64, attempt: u32, customer: CustomerId, headers: HeaderMap, from: u32 },
    Word { id: u64, attempt: u32, index: u32, text: String },
    Finished { id: u64, attempt: u32, count: u32 },
    Part { id: u64, text: String },
    Done { id: u64 },
}

#[derive(Clone, Copy, Default)]
struct Naive {
    /// The first key of a connection counts for all its requests.
    keeps_customer: bool,
    /// All headers go to the target.
    forwards_all: bool,
    /// Frames count for the request without regard to attempt and index.
    takes_any_frame: bool,
}

#[derive(Clone)]
struct Running {
    id: u64,
    headers: HeaderMap,
    customer: CustomerId,
    attempt: u32,
    next: u32,
    heard_at: Timestamp,
}

/// A request as its caller sees it.
struct Seen {
    sent_at: Timestamp,
    text: String,
    done: bool,
    broken: bool,
}

struct World {
    naive: Naive,
    config: FleetConfig,
    seen: Vec<Seen>,
    running: Vec<Running>,
    first_customer: Option<CustomerId>,
    violation: Option<String>,
}

fn owner(id: u64) -> usize {
    (id % 2) as usize
}

fn word(id: u64, index: u32) -> String {
    format!("{id}.{index} ")
}

fn config() -> FleetConfig {
    let customer = |name: &str| Customer { name: name.into(), ..Customer::default() };
    let mut keys: Vec<KeyEntry> = KEYS
        .iter()
        .zip(0..)
        .map(|(key, nth)| KeyEntry {
            sha256: auth::hash_key(key),
            name: format!("k{nth}").into(),
            customer: CustomerId(nth),
        })
        .collect();
    keys.sort_by_key(|key| key.sha256);
    FleetConfig {
        customers: vec![customer("capel"), customer("stiwdio")],
        keys,
        ..FleetConfig::default()
    }
}

fn request_headers(id: u64) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let bearer = format!("Bearer {}", KEYS[owner(id)]);
    let field = |value: &str| HeaderValue::from_str(value).unwrap();
    headers.insert("authorization", field(&bearer));
    headers.insert("x-trace", field(&format!("seen {}", KEYS[owner(id)])));
    headers.insert("accept", field("text/event-stream"));
    headers
}

impl World {
    fn new(naive: Naive) -> Self {
        Self {
            naive,
            config: config(),
            seen: Vec::new(),
            running: Vec::new(),
            first_customer: None,
            violation: None,
        }
    }

    fn generate(&self, running: &Running, network: &mut Network<Message>) {
        let key = api::presented_key(&running.headers).unwrap_or_default();
        let headers: HeaderMap = if self.naive.forwards_all {
            running.headers.clone()
        } else {
            let fields = api::forwardable_headers(&running.headers, key);
            fields.map(|(name, value)| (HeaderName::clone(name), value.clone())).collect()
        };
        let Running { id, attempt, customer, next, .. } = *running;
        let target = TARGETS[(attempt as usize) % 2];
        let message = Message::Generate { id, attempt, customer, headers, from: next };
        network.send(ENTRY, target, "generate", message);
    }

    fn accept(&mut self, id: u64, headers: HeaderMap, network: &mut Network<Message>) {
        if self.running.iter().any(|running| running.id == id) {
            return;
        }
        let key = api::presented_key(&headers).unwrap().unwrap();
        let Ok(caller) = auth::authenticate(&self.config, key) else { return };
        let first = *self.first_customer.get_or_insert(caller.customer);
        let customer = if self.naive.keeps_customer { first } else { caller.customer };
        let heard_at = network.now();
        let running = Running { id, headers, customer, attempt: 0, next: 0, heard_at };
        self.generate(&running, network);
        self.running.push(running);
    }
}

impl Protocol for World {
    type Message = Message;

    fn timing(&self) -> Timing {
        Timing {
            tick: Duration::from_millis(5),
            latency: Duration::from_millis(5),
            delay: Duration::from_millis(90),
            outage: Duration::from_millis(150),
            horizon: Duration::from_secs(4),
        }
    }

    fn regions(&self) -> Vec<u8> {
        vec![0, 0, 0, 1]
    }

    fn log(&self) -> Option<usize> {
        None
    }

    fn deliver(&mut self, _: usize, to: usize, message: Message, network: &mut Network<Message>) {
        match message {
            Message::Request { id, headers } => self.accept(id, headers, network),
            Message::Generate { id, attempt, customer, headers, from } => {
                if customer != CustomerId(owner(id) as u32) {
                    self.violation = Some(format!("I3: request {id} runs for another customer"));
                }
                let holds = |value: &HeaderValue| {
                    value.to_str().is_ok_and(|text| KEYS.iter().any(|key| text.contains(key)))
                };
                if headers.values().any(holds) {
                    self.violation = Some(format!("I4: the target sees the key of request {id}"));
                }
                for index in from..WORDS {
                    let text = word(id, index);
                    let frame = Message::Word { id, attempt, index, text };
                    network.send(to, ENTRY, "word", frame);
                }
                let last = Message::Finished { id, attempt, count: WORDS };
                network.send(to, ENTRY, "stream end", last);
            }
            Message::Word { id, attempt, index, text } => {
                let any = self.naive.takes_any_frame;
                let Some(own) = self.running.iter_mut().find(|own| own.id == id) else { return };
                if any || (own.attempt == attempt && own.next == index) {
                    own.next = index + 1;
                    own.heard_at = network.now();
                    network.send(ENTRY, CALLER, "part", Message::Part { id, text });
                }
            }
            Message::Finished { id, attempt, count } => {
                let any = self.naive.takes_any_frame;
                let whole = |own: &Running| any || (own.attempt == attempt && own.next == count);
                let at = self.running.iter().position(|own| own.id == id && whole(own));
                if let Some(at) = at {
                    self.running.remove(at);
                    network.send(ENTRY, CALLER, "done", Message::Done { id });
                }
            }
            // One connection delivers in order or breaks, which `applies` takes into account.
            Message::Part { id, text } => self.seen[id as usize].text.push_str(&text),
            Message::Done { id } => self.seen[id as usize].done = true,
        }
    }

    fn applies(&self, kind: &'static str, fault: faults::Fault) -> bool {
        use faults::Fault::{AnswerLost, Delayed, Duplicated, Lost, Reordered, SenderPaused};
        // Parts of one answer on the caller's connection are neither lost, repeated nor overtaken.
        let connection = matches!(kind, "part" | "done" | "request");
        !connection
            || !matches!(fault, AnswerLost | Delayed | Duplicated | Lost | Reordered | SenderPaused)
    }

    fn tick(&mut self, node: usize, network: &mut Network<Message>) {
        let now = network.now();
        if node == CALLER {
            let last = self.seen.last().map(|seen| seen.sent_at);
            let due = last.is_none_or(|at| now.since(at) >= SEND_EVERY);
            if due && (self.seen.len() as u64) < REQUESTS {
                let id = self.seen.len() as u64;
                let text = String::new();
                self.seen.push(Seen { sent_at: now, text, done: false, broken: false });
                let headers = request_headers(id);
                network.send(CALLER, ENTRY, "request", Message::Request { id, headers });
            }
            for seen in &mut self.seen {
                seen.broken |= !seen.done && now.since(seen.sent_at) >= GIVE_UP;
            }
        }
        if node == ENTRY {
            let silent = |own: &Running| now.since(own.heard_at) >= SILENCE;
            self.running.retain(|own| !silent(own) || own.attempt + 1 < ATTEMPTS);
            for nth in 0..self.running.len() {
                if silent(&self.running[nth]) {
                    self.running[nth].attempt += 1;
                    self.running[nth].heard_at = now;
                    let running = self.running[nth].clone();
                    self.generate(&running, network);
                }
            }
        }
    }

    fn die(&mut self, node: usize, _: Timestamp) {
        if node == ENTRY || node == CALLER {
            // The connection breaks; what was not whole by then is known to be broken.
            self.running.clear();
            self.first_customer = None;
            self.seen.iter_mut().filter(|seen| !seen.done).for_each(|seen| seen.broken = true);
        }
    }

    fn restart(&mut self, _: usize, _: Timestamp) {}

    fn check(&mut self, _: &Network<Message>) -> Result<(), String> {
        if let Some(violation) = &self.violation {
            return Err(violation.clone());
        }
        for (seen, id) in self.seen.iter().zip(0..) {
            let whole: String = (0..WORDS).map(|index| word(id, index)).collect();
            let prefix = whole.starts_with(&seen.text);
            if !seen.broken && (!prefix || (seen.done && seen.text != whole)) {
                return Err(format!("I7: request {id} was answered {:?}", seen.text));
            }
        }
        Ok(())
    }

    fn finished(&self) -> bool {
        self.seen.len() as u64 == REQUESTS && self.seen.iter().all(|seen| seen.done || seen.broken)
    }
}

/// Guards against answers that are mixed up, repeated or cut, against requests that run for another
/// customer, and against keys that reach a target.
#[test]
fn every_answer_is_whole_and_ones_own_under_every_fault() {
    let matrix = enumerate_some(|| World::new(Naive::default()), 2, 2);
    report("Request and streamed answer", &matrix, 96, 1_928);
}

/// Guards against a check of I3 that cannot fail.
#[test]
fn check_catches_a_customer_kept_for_a_connection() {
    let naive = Naive { keeps_customer: true, ..Naive::default() };
    red_run("customer kept for a connection", || World::new(naive), "I3");
}

/// Guards against a check of I4 that cannot fail.
#[test]
fn check_catches_headers_forwarded_as_they_are() {
    let naive = Naive { forwards_all: true, ..Naive::default() };
    red_run("headers forwarded as they are", || World::new(naive), "I4");
}

/// Guards against a check of I7 that cannot fail.
#[test]
fn check_catches_frames_taken_without_their_attempt() {
    let naive = Naive { takes_any_frame: true, ..Naive::default() };
    red_run("frames taken without attempt and index", || World::new(naive), "I7");
}
