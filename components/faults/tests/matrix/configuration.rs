//! Configuration change, key withdrawal and snapshot (I5, I12): two operators who race, the log, which
//! drops what a snapshot covers, two entries and a side process that takes records from an entry.

use std::net::SocketAddr;
use std::time::Duration;

use base::{Offset, Timestamp};
use changes::{Change, ConfigLog, EncodedRecord, Record, RecordId};
use config::{AddedKey, SourceFile, Sources};
use faults::{Fault, Network, Protocol, Timing, enumerate_some};
use membership::Authority;
use wire::LogView;

use crate::support::{process, red_run, report};

const OPERATORS: [usize; 2] = [0, 1];
const LOG: usize = 2;
const ENTRIES: [usize; 2] = [3, 4];
const SIDE: usize = 5;
const KEY: [u8; 32] = [9; 32];
const LIMIT: Duration = Duration::from_secs(2);
/// Limit of I5.
const WITHDRAWN_WITHIN: Duration = Duration::from_secs(3);
const RETENTION: Duration = Duration::from_secs(8);
const EVERY: Duration = Duration::from_millis(300);
const RESEND: Duration = Duration::from_millis(600);
/// Silence of the entry after which the side process reads the log itself.
const FALL_BACK: Duration = Duration::from_millis(1_500);

#[derive(Clone)]
enum Message {
    Append {
        payload: Vec<u8>,
        kind: &'static str,
    },
    Stored {
        payload: Vec<u8>,
    },
    Read {
        from: Offset,
        asked_at: Timestamp,
    },
    /// Records from `from` to the end of the log.
    Records {
        records: Vec<EncodedRecord>,
        asked_at: Timestamp,
    },
    Unavailable,
    Contact {
        asked_at: Timestamp,
    },
    View {
        log: LogView,
        version: Offset,
        asked_at: Timestamp,
    },
    CatchUp {
        from: Offset,
    },
    CaughtUp {
        records: Vec<EncodedRecord>,
    },
}

#[derive(Clone, Copy, Default)]
struct Naive {
    /// Adopts what a reply says, though it is older.
    adopts_older: bool,
    /// Serves keys without authority.
    serves_always: bool,
}

/// What a run is about.
#[derive(Clone, Copy, Eq, PartialEq)]
enum About {
    /// I12, with every fault.
    Versions,
    /// I5 and I12, with every fault but those that make the log unavailable.
    Keys,
    /// I5 and I12, with every fault.
    KeysInOutages,
}

struct Reader {
    incarnation: u64,
    log: ConfigLog,
    authority: Authority,
    highest: Offset,
    read_at: Timestamp,
    contact_at: Timestamp,
    heard_at: Timestamp,
    /// Snapshots taken.
    snapshots: u64,
}

impl Reader {
    fn start(incarnation: u64, now: Timestamp) -> Self {
        Self {
            incarnation,
            log: ConfigLog::new("north", RETENTION),
            authority: Authority::new(LIMIT),
            highest: Offset::default(),
            read_at: Timestamp::default(),
            contact_at: Timestamp::default(),
            heard_at: now,
            snapshots: 0,
        }
    }

    fn has_key(&self) -> bool {
        has_key(&self.log)
    }
}

/// One operator's work: the next change, and what it has sent of it.
struct Operator {
    incarnation: u64,
    next: usize,
    sent: Option<(Vec<u8>, Timestamp)>,
}

struct World {
    naive: Naive,
    about: About,
    operators: [Operator; 2],
    readers: Vec<Reader>,
    oldest: Offset,
    records: Vec<Vec<u8>>,
    /// Judges every record on the log, in order.
    reference: ConfigLog,
    accepted: Vec<(Offset, Sources)>,
    withdrawn_at: Option<Timestamp>,
    snapshot_stored: bool,
    now: Timestamp,
}

fn has_key(log: &ConfigLog) -> bool {
    log.current().is_some_and(|config| config.keys.iter().any(|key| key.sha256 == KEY))
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], node as u16))
}

fn files(base_version: Offset, rate: u64) -> Change {
    let text = format!(
        "name: town\ndata_centres: [{{name: a, region: north}}]\ncustomers:\n  - {{name: chapel, \
         rate_tokens_per_s: {rate}, burst_tokens: 1000}}\n"
    );
    let base = SourceFile::new("base.yaml", &text);
    Change::Files { base_version, base, overlays: Vec::new() }
}

impl World {
    fn new(naive: Naive, about: About) -> Self {
        let now = Timestamp::from_millis(1);
        Self {
            naive,
            about,
            operators: [1, 1].map(|incarnation| Operator { incarnation, next: 0, sent: None }),
            readers: (0..3).map(|_| Reader::start(1, now)).collect(),
            oldest: Offset(1),
            records: Vec::new(),
            reference: ConfigLog::new("north", RETENTION),
            accepted: Vec::new(),
            withdrawn_at: None,
            snapshot_stored: false,
            now,
        }
    }

    /// The changes of an operator, each from a time on; the two publish files at the same time.
    fn change(&self, operator: usize) -> Option<(&'static str, Change)> {
        let ready = |ms: u64| self.now >= Timestamp::from_millis(ms);
        let version = self.reference.version();
        let has_key = has_key(&self.reference);
        let added = AddedKey { name: "k".into(), customer: "chapel".into(), sha256: KEY };
        match (operator, self.operators[operator].next) {
            (0, 0) => Some(("append files", files(version, 10))),
            (0, 1) if ready(900) => Some(("append key", Change::AddKey(added))),
            (0, 2) if ready(1_800) => Some(("append files", files(version, 20))),
            (1, 0) if ready(1_800) => Some(("append files", files(version, 30))),
            (1, 1) if ready(3_000) && (has_key || self.withdrawn_at.is_some()) => {
                Some(("append withdrawal", Change::WithdrawKey { name: "k".into() }))
            }
            _ => None,
        }
    }

    fn publish(&mut self, operator: usize, network: &mut Network<Message>) {
        let now = self.now;
        if let Some((payload, sent)) = &mut self.operators[operator].sent {
            if now.since(*sent) >= RESEND {
                *sent = now;
                let again = Message::Append { payload: payload.clone(), kind: "again" };
                network.send(OPERATORS[operator], LOG, "append again", again);
            }
            return;
        }
        let Some((kind, change)) = self.change(operator) else { return };
        let own = &mut self.operators[operator];
        let writer = process(["operator-a", "operator-b"][operator], own.incarnation);
        let id = RecordId::new(&writer, own.next as u64);
        let payload = Record { id, change }.encode().unwrap();
        own.sent = Some((payload.clone(), now));
        network.send(OPERATORS[operator], LOG, kind, Message::Append { payload, kind });
    }

    fn store(&mut self, payload: &[u8], kind: &'static str) {
        self.records.push(payload.to_vec());
        let offset = Offset(self.records.len() as u64);
        let (before, had_key) = (self.reference.version(), has_key(&self.reference));
        self.reference.apply(offset, payload, self.now);
        if self.reference.version() != before {
            let sources = self.reference.sources().cloned().unwrap();
            self.accepted.push((self.reference.version(), sources));
            if had_key && !has_key(&self.reference) {
                self.withdrawn_at.get_or_insert(self.now);
            }
        }
        if kind == "append snapshot" {
            // What the snapshot covers is dropped at once, so that a late reader needs it.
            self.snapshot_stored = true;
            if let changes::DecodedRecord::Record(Record {
                change: Change::Snapshot(snapshot),
                ..
            }) = Record::decode(payload)
            {
                self.oldest = self.oldest.max(snapshot.through.next());
            }
        }
    }

    fn take(&mut self, node: usize, records: &[EncodedRecord]) {
        let now = self.now;
        let naive = self.naive;
        let reader = &mut self.readers[node - ENTRIES[0]];
        if naive.adopts_older {
            let mut fresh = ConfigLog::new("north", RETENTION);
            for record in records {
                fresh.apply(record.offset, &record.payload, now);
            }
            if fresh.version() > Offset::default() {
                reader.log = fresh;
                return;
            }
        }
        for record in records {
            reader.log.apply(record.offset, &record.payload, now);
        }
    }

    fn serves_key(&self, node: usize) -> bool {
        let reader = &self.readers[node - ENTRIES[0]];
        let grant = reader.authority.grant(reader.log.version(), self.now);
        reader.has_key() && (grant.is_some() || self.naive.serves_always)
    }

    /// Names of the steps after the withdrawal differ, so that faults strike them too.
    fn late(&self, before: &'static str, after: &'static str) -> &'static str {
        if self.withdrawn_at.is_some() { after } else { before }
    }

    fn read(&mut self, node: usize, network: &mut Network<Message>) {
        let from = self.readers[node - ENTRIES[0]].log.next_offset(self.oldest);
        let kind = self.late("read", "late read");
        network.send(node, LOG, kind, Message::Read { from, asked_at: self.now });
    }

    fn work_entry(&mut self, node: usize, network: &mut Network<Message>) {
        let now = self.now;
        let nth = node - ENTRIES[0];
        if now.since(self.readers[nth].read_at) >= EVERY {
            self.readers[nth].read_at = now;
            self.read(node, network);
        }
        let peer = ENTRIES[1 - nth];
        if now.since(self.readers[nth].contact_at) >= EVERY {
            self.readers[nth].contact_at = now;
            let kind = self.late("contact", "late contact");
            network.send(node, peer, kind, Message::Contact { asked_at: now });
            let reader = &self.readers[nth];
            if reader.authority.is_behind_peer(reader.log.version()) || reader.log.has_gap() {
                let from = reader.log.position().next();
                network.send(node, peer, "catch up", Message::CatchUp { from });
            }
        }
        // The first live entry writes snapshots.
        let first = node == ENTRIES[0] || !network.runs(ENTRIES[0]);
        let reader = &mut self.readers[nth];
        if first && reader.log.is_snapshot_due(now) {
            reader.snapshots += 1;
            let writer = process(["entry-a", "entry-b"][nth], reader.incarnation);
            let id = RecordId::new(&writer, reader.snapshots);
            if let Some(payload) = reader.log.take_snapshot(id, now) {
                let kind = "append snapshot";
                network.send(node, LOG, kind, Message::Append { payload, kind });
            }
        }
    }
}

impl Protocol for World {
    type Message = Message;

    fn timing(&self) -> Timing {
        Timing {
            tick: Duration::from_millis(100),
            latency: Duration::from_millis(20),
            delay: Duration::from_millis(2_500),
            outage: Duration::from_millis(4_000),
            horizon: Duration::from_secs(60),
        }
    }

    fn regions(&self) -> Vec<u8> {
        vec![0, 0, 0, 0, 1, 1]
    }

    fn log(&self) -> Option<usize> {
        Some(LOG)
    }

    fn applies(&self, kind: &'static str, fault: Fault) -> bool {
        let to_log = kind.starts_with("append") || kind.ends_with("read");
        let from_log = kind.starts_with("stored") || kind.ends_with("records");
        let outage = match fault {
            Fault::LogDown => true,
            Fault::ReceiverDiesBefore | Fault::ReceiverDiesAfter => to_log,
            Fault::SenderDiesBefore | Fault::SenderDiesAfter | Fault::SenderPaused => from_log,
            _ => false,
        };
        !outage || self.about != About::Keys
    }

    fn deliver(
        &mut self,
        from: usize,
        to: usize,
        message: Message,
        network: &mut Network<Message>,
    ) {
        self.now = network.now();
        let now = self.now;
        match message {
            Message::Append { payload, kind } => {
                if !network.log_down() {
                    self.store(&payload, kind);
                    let kind = self.late("stored", "stored late");
                    network.send(LOG, from, kind, Message::Stored { payload });
                }
            }
            Message::Stored { payload } => {
                if OPERATORS.contains(&to) {
                    let own = &mut self.operators[to];
                    if own.sent.take_if(|(sent, _)| *sent == payload).is_some() {
                        own.next += 1;
                    }
                }
            }
            Message::Read { from: first, asked_at } => {
                if network.log_down() {
                    network.send(LOG, from, "unavailable", Message::Unavailable);
                    return;
                }
                let records = (1..).zip(&self.records).map(|(offset, payload)| EncodedRecord {
                    offset: Offset(offset),
                    payload: payload.clone(),
                });
                let first = first.max(self.oldest);
                let records = records.filter(|record| record.offset >= first).collect();
                let kind = self.late("records", "late records");
                network.send(LOG, from, kind, Message::Records { records, asked_at });
            }
            Message::Records { records, asked_at } => {
                self.take(to, &records);
                let reader = &mut self.readers[to - ENTRIES[0]];
                if !reader.log.has_gap() {
                    reader.log.note_end(now);
                    reader.authority.note_end_read(asked_at);
                }
            }
            // No evidence on withdrawals: one may have been stored before the outage.
            Message::Unavailable => {}
            Message::Contact { asked_at } => {
                let reader = &self.readers[to - ENTRIES[0]];
                let (log, version) = (reader.authority.view(now), reader.log.version());
                let kind = self.late("contact view", "late contact view");
                network.send(to, from, kind, Message::View { log, version, asked_at });
            }
            Message::View { log, version, asked_at } => {
                let authority = &mut self.readers[to - ENTRIES[0]].authority;
                authority.note_peer(address(from), log, version, asked_at);
            }
            Message::CatchUp { from: first } => {
                let records = self.readers[to - ENTRIES[0]].log.records_from(first);
                let kind = self.late("caught up", "late caught up");
                network.send(to, from, kind, Message::CaughtUp { records });
            }
            Message::CaughtUp { records } => {
                self.readers[to - ENTRIES[0]].heard_at = now;
                self.take(to, &records);
            }
        }
    }

    fn tick(&mut self, node: usize, network: &mut Network<Message>) {
        self.now = network.now();
        let now = self.now;
        match node {
            0 | 1 => self.publish(node, network),
            3 | 4 => self.work_entry(node, network),
            SIDE => {
                let reader = &mut self.readers[SIDE - ENTRIES[0]];
                if now.since(reader.read_at) < EVERY {
                    return;
                }
                reader.read_at = now;
                if now.since(reader.heard_at) >= FALL_BACK {
                    self.read(SIDE, network);
                }
                let from = self.readers[SIDE - ENTRIES[0]].log.position().next();
                let kind = self.late("catch up", "late catch up");
                network.send(SIDE, ENTRIES[1], kind, Message::CatchUp { from });
            }
            _ => {}
        }
    }

    fn die(&mut self, _: usize, _: Timestamp) {}

    fn restart(&mut self, node: usize, now: Timestamp) {
        if OPERATORS.contains(&node) {
            let own = &mut self.operators[node];
            own.incarnation += 1;
            own.sent = None;
        } else if node != LOG {
            let nth = node - ENTRIES[0];
            self.readers[nth] = Reader::start(self.readers[nth].incarnation + 1, now);
        }
    }

    fn check(&mut self, network: &Network<Message>) -> Result<(), String> {
        self.now = network.now();
        for nth in 0..self.readers.len() {
            let reader = &mut self.readers[nth];
            let version = reader.log.version();
            if version < reader.highest {
                let highest = reader.highest.0;
                return Err(format!("I12: a reader went back from {highest} to {}", version.0));
            }
            let same = version == reader.highest;
            reader.highest = version;
            if same {
                continue;
            }
            let known = self.accepted.iter().find(|(offset, _)| *offset == version);
            if known.map(|(_, sources)| sources) != reader.log.sources() {
                return Err(format!("I12: version {} differs between readers", version.0));
            }
        }
        let late = self.withdrawn_at.is_some_and(|at| self.now > at + WITHDRAWN_WITHIN)
            && self.about != About::Versions;
        for entry in ENTRIES {
            if late && network.runs(entry) && self.serves_key(entry) {
                return Err(format!("I5: entry {entry} serves a withdrawn key"));
            }
        }
        Ok(())
    }

    fn finished(&self) -> bool {
        let done = self.operators[0].next == 3 && self.operators[1].next == 2;
        let version = self.reference.version();
        let equal = self.readers.iter().all(|r| r.log.version() == version && !r.has_key());
        let served = ENTRIES.into_iter().all(|entry| {
            let reader = &self.readers[entry - ENTRIES[0]];
            reader.authority.grant(version, self.now).is_some()
        });
        let late = self.withdrawn_at.is_some_and(|at| self.now > at + WITHDRAWN_WITHIN);
        done && equal && served && late && self.snapshot_stored
    }
}

/// Guards against versions that differ or revert, and against readers that never catch up.
#[test]
fn configuration_is_equal_everywhere_and_never_reverts_under_every_fault() {
    let matrix = enumerate_some(|| World::new(Naive::default(), About::Versions), 1, 24);
    report("Configuration change and snapshot", &matrix, 234, 1_125);
}

/// Guards against keys that are served more than 3 s after the log has stored their withdrawal.
#[test]
fn a_withdrawn_key_ends_while_the_log_is_up() {
    let matrix = enumerate_some(|| World::new(Naive::default(), About::Keys), 1, 24);
    report("Key withdrawal", &matrix, 192, 756);
}

/// Guards against keys that are served more than 3 s after the log has stored their withdrawal, also
/// if the log fails before an entry has read it.
#[test]
fn a_withdrawn_key_ends_although_the_log_fails() {
    let matrix = enumerate_some(|| World::new(Naive::default(), About::KeysInOutages), 1, 24);
    report("Key withdrawal, with outages of the log", &matrix, 234, 1_125);
}

/// Guards against a check of I12 that cannot fail.
#[test]
fn check_catches_an_adoption_of_an_older_offset() {
    let naive = Naive { adopts_older: true, ..Naive::default() };
    red_run("adoption of an older offset", || World::new(naive, About::Versions), "I12");
}

/// Guards against a check of I5 that cannot fail.
#[test]
fn check_catches_an_entry_that_serves_without_authority() {
    let naive = Naive { serves_always: true, ..Naive::default() };
    red_run("key served without authority", || World::new(naive, About::Keys), "I5");
}
