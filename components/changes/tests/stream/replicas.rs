//! Replicas that receive records in any order reach the same version and never go back to an older
//! one.

use crate::common::{feed, files, key, record, replica, withdraw};
use base::{Offset, Timestamp};
use changes::{Change, ConfigLog, RecordId};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const REPLICAS: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    /// An operator appends files based on the version in force, or on a version `stale` before it.
    Files {
        stale: u64,
        rate: i64,
    },
    AddKey(u8),
    WithdrawKey(u8),
    /// A writer appends an earlier record again.
    Repeat(usize),
    Garbage(u8),
    /// A replica writes a snapshot.
    Snapshot(usize),
    /// The log drops its oldest records, up to the newest snapshot.
    Trim,
    /// A replica reads records from its position.
    Read(usize, usize),
    /// A replica receives one record out of order.
    ReadOutOfOrder(usize, usize),
    /// A replica catches up from another.
    CatchUp(usize, usize),
    /// A replica restarts with an empty state.
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let replica = 0..REPLICAS;
    prop_oneof![
        3 => (0..2_u64, -1..5_i64).prop_map(|(stale, rate)| Step::Files { stale, rate }),
        2 => (0..6_u8).prop_map(Step::AddKey),
        2 => (0..6_u8).prop_map(Step::WithdrawKey),
        1 => (0..40_usize).prop_map(Step::Repeat),
        1 => any::<u8>().prop_map(Step::Garbage),
        2 => replica.clone().prop_map(Step::Snapshot),
        1 => Just(Step::Trim),
        6 => (replica.clone(), 1..6_usize).prop_map(|(r, n)| Step::Read(r, n)),
        2 => (replica.clone(), 0..40_usize).prop_map(|(r, n)| Step::ReadOutOfOrder(r, n)),
        2 => (replica.clone(), replica.clone()).prop_map(|(a, b)| Step::CatchUp(a, b)),
        1 => replica.prop_map(Step::Restart),
    ]
}

struct Simulation {
    records: Vec<Vec<u8>>,
    /// First offset that the log keeps.
    oldest: u64,
    /// Reference replica that receives every record in order.
    reference: ConfigLog,
    /// Version of the reference after each offset.
    versions: Vec<Offset>,
    replicas: Vec<ConfigLog>,
}

impl Simulation {
    fn new() -> Self {
        Self {
            records: Vec::new(),
            oldest: 1,
            reference: replica(),
            versions: vec![Offset(0)],
            replicas: vec![replica(); REPLICAS],
        }
    }

    fn append(&mut self, payload: Vec<u8>) {
        self.records.push(payload.clone());
        let end = self.end();
        feed(&mut self.reference, end, &payload);
        self.versions.push(self.reference.version());
    }

    fn append_change(&mut self, change: Change) {
        let id = format!("r{}", self.records.len());
        self.append(record(&id, change));
    }

    fn end(&self) -> u64 {
        self.records.len() as u64
    }

    fn feed(&mut self, who: usize, offset: u64) {
        if offset < self.oldest || offset > self.end() {
            return;
        }
        let payload = self.records[offset as usize - 1].clone();
        let before = self.replicas[who].version();
        let position = self.replicas[who].position();
        let result = feed(&mut self.replicas[who], offset, &payload);
        let after = self.replicas[who].version();
        assert!(self.replicas[who].position() >= position);
        assert!(after >= before, "version went back from {before:?} to {after:?}");
        assert_eq!(result.new_config.is_some(), after > before);
        self.check(who);
    }

    /// The version of a replica depends only on its position.
    fn check(&self, who: usize) {
        let replica = &self.replicas[who];
        assert_eq!(replica.version(), self.versions[replica.position().0 as usize]);
    }

    fn read(&mut self, who: usize, count: usize) {
        for _ in 0..count {
            let next = self.replicas[who].next_offset(Offset(self.oldest));
            self.feed(who, next.0);
        }
    }

    fn run(&mut self, step: &Step) {
        match *step {
            Step::Files { stale, rate } => {
                let version = self.reference.version().0.saturating_sub(stale);
                self.append_change(files(version, rate));
            }
            Step::AddKey(n) => self.append_change(Change::AddKey(key(&format!("k{n}"), n))),
            Step::WithdrawKey(n) => self.append_change(withdraw(&format!("k{n}"))),
            Step::Repeat(at) => {
                if let Some(payload) = self.records.get(at).cloned() {
                    self.append(payload);
                }
            }
            Step::Garbage(byte) => self.append(vec![byte; usize::from(byte) % 9]),
            Step::Snapshot(who) => {
                let id = RecordId(format!("s{}", self.records.len()).into());
                if let Some(payload) = self.replicas[who].take_snapshot(id, Timestamp::default()) {
                    self.append(payload);
                }
            }
            Step::Trim => self.oldest = self.oldest.max(self.trim_to()),
            Step::Read(who, count) => self.read(who, count),
            Step::ReadOutOfOrder(who, offset) => self.feed(who, offset as u64),
            Step::CatchUp(who, from) => self.catch_up(who, from),
            Step::Restart(who) => self.replicas[who] = replica(),
        }
    }

    fn catch_up(&mut self, who: usize, from: usize) {
        let wanted = self.replicas[who].position().next();
        for record in self.replicas[from].records_from(wanted) {
            let before = self.replicas[who].version();
            self.replicas[who].apply(record.offset, &record.payload, Timestamp::default());
            assert!(self.replicas[who].version() >= before);
            self.check(who);
        }
        assert!(self.replicas[who].position() >= self.replicas[from].position());
    }

    /// The log may drop the records that its newest snapshot covers.
    fn trim_to(&self) -> u64 {
        let covered =
            self.records.iter().filter_map(|payload| match changes::Record::decode(payload) {
                changes::DecodedRecord::Record(changes::Record {
                    change: Change::Snapshot(snapshot),
                    ..
                }) => Some(snapshot.through.0 + 1),
                _ => None,
            });
        covered.max().unwrap_or(1)
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x5eed_0001),
        ..Config::default()
    })]

    #[test]
    fn replicas_agree_regardless_of_the_order_of_records(
        steps in proptest::collection::vec(step(), 1..60)
    ) {
        let mut simulation = Simulation::new();
        for step in &steps {
            simulation.run(step);
        }
        for who in 0..REPLICAS {
            simulation.read(who, simulation.records.len() + 1);
            prop_assert_eq!(simulation.replicas[who].position(), Offset(simulation.end()));
            prop_assert_eq!(simulation.replicas[who].version(), simulation.reference.version());
            prop_assert_eq!(simulation.replicas[who].sources(), simulation.reference.sources());
            prop_assert_eq!(simulation.replicas[who].current(), simulation.reference.current());
        }
    }
}
