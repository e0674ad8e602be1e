//! Benchmarks of the decisions of the `rates` crate.

use std::hint::black_box;
use std::rc::Rc;
use std::time::Duration;

use base::{Incarnation, Offset, ProcessId, ProcessName, Timestamp, Tokens};
use compact_str::CompactString;
use config::{BucketLayout, Customer, DataCentre, FleetConfig};
use criterion::{BenchmarkId, Criterion};
use rates::{
    Bucket, CollectAction, CollectRequest, Collector, Distance, EntryLocation, PlanInput, Share,
    SlotEntry, SlotLedger, SlotOwner, SlotPlanner, SlotRecord, preferred_owner, slot_holders,
    slots_of,
};
use wire::{ReserveOutcome, SlotId};

fn process(name: &str) -> ProcessId {
    ProcessId { name: ProcessName::new(name), incarnation: Incarnation(1) }
}

fn config(customers: usize, partitions: u16) -> Rc<FleetConfig> {
    let mut customers: Vec<Customer> = (0..customers)
        .map(|at| Customer {
            name: compact_str::format_compact!("customer-{at}"),
            rate_tokens_per_s: 1_000_000_000,
            burst_tokens: 1_000_000_000,
            weight: 1,
            ..Customer::default()
        })
        .collect();
    customers.sort_by(|a, b| a.name.cmp(&b.name));
    let data_centres = (0..7)
        .map(|at| DataCentre {
            name: compact_str::format_compact!("dc-{at}"),
            region: compact_str::format_compact!("region-{}", at % 2),
        })
        .collect();
    let buckets = BucketLayout { partitions, slots: 4 };
    Rc::new(FleetConfig { customers, data_centres, buckets, ..FleetConfig::default() })
}

fn claims(owners: usize, partitions: u16) -> impl Iterator<Item = SlotEntry> {
    let slots =
        (0..partitions).flat_map(|p| (0..4).map(move |index| SlotId { partition: p, index }));
    (1..).zip(slots).map(move |(sequence, slot)| SlotEntry {
        writer: process(&format!("e{}", sequence as usize % owners)),
        sequence,
        record: SlotRecord::Claimed {
            slot,
            layout: BucketLayout { partitions, slots: 4 }.into(),
            replaces: None,
        },
    })
}

fn ledger(owners: usize, partitions: u16) -> SlotLedger {
    let mut ledger = SlotLedger::new();
    for (offset, entry) in (1..).zip(claims(owners, partitions)) {
        ledger.apply(Offset(offset), entry);
    }
    ledger
}

fn bucket(c: &mut Criterion) {
    let mut group = c.benchmark_group("bucket take and settle, by open reservations");
    for open in [10u64, 100, 1_000] {
        group.bench_with_input(BenchmarkId::from_parameter(open), &open, |b, open| {
            let share = Share { rate_tokens_per_s: 1_000_000, cap_tokens: 1_000_000_000 };
            let mut bucket = Bucket::full(share, Timestamp::default());
            let mut now = Timestamp::default();
            let mut number = 0;
            b.iter(|| {
                now = now + Duration::from_micros(100);
                bucket.take(number, Tokens(100), now);
                if number >= *open {
                    bucket.settle(number - open, Tokens(60), now);
                }
                number += 1;
            });
        });
    }
    group.finish();
}

fn reserve(c: &mut Criterion) {
    let mut group = c.benchmark_group("reserve and settle at the owner, by customers");
    for customers in [10usize, 100, 1_000] {
        group.bench_with_input(
            BenchmarkId::from_parameter(customers),
            &customers,
            |b, customers| {
                let config = config(*customers, 1);
                let mut owner = SlotOwner::new(process("e0"), config.clone());
                owner.sync(&ledger(1, 1), Timestamp::default());
                let slot = SlotId { partition: 0, index: 0 };
                let (mut now, mut at) = (Timestamp::default(), 0);
                b.iter(|| {
                    now = now + Duration::from_micros(100);
                    at = (at + 7) % customers;
                    let name = &config.customers[at].name;
                    let outcome = owner.reserve(slot, name, Tokens(100), now);
                    if let ReserveOutcome::Granted { reservation, .. } = outcome {
                        black_box(owner.settle(slot, name, reservation, Tokens(60), now));
                    }
                });
            },
        );
    }
    group.finish();
}

fn collect(c: &mut Criterion) {
    let mut group = c.benchmark_group("collection of four parts, by entries");
    for entries in [10usize, 100, 380] {
        group.bench_with_input(BenchmarkId::from_parameter(entries), &entries, |b, entries| {
            let layout = BucketLayout { partitions: 64, slots: 4 };
            let ledger = ledger(*entries, 64);
            b.iter(|| {
                let holders =
                    slot_holders("customer-3", layout, &ledger, |_| Some(Distance::DataCentre));
                let request = CollectRequest {
                    customer: CompactString::const_new("customer-3"),
                    tokens: Tokens(400),
                    burst: Tokens(4_000),
                    rate_tokens_per_s: 100,
                    slot_count: 4,
                    holders,
                    local_nearly_full: false,
                    validity: Duration::from_secs(2),
                    call_timeout: Duration::from_millis(500),
                    max_wait: Duration::ZERO,
                    seed: 1,
                };
                let now = Timestamp::from_millis(1);
                let (mut collector, mut actions) = Collector::start(request, now);
                while let Some(CollectAction::Reserve { slot, .. }) = actions.first() {
                    let granted = ReserveOutcome::Granted { reservation: 1, tokens: Tokens(100) };
                    actions = collector.on_reply(*slot, &granted, now);
                }
                black_box(actions)
            });
        });
    }
    group.finish();
}

fn ownership(c: &mut Criterion) {
    c.bench_function("ledger replay of 256 claims", |b| {
        b.iter(|| black_box(ledger(380, 64)));
    });
    c.bench_function("slots of a customer", |b| {
        let layout = BucketLayout { partitions: 64, slots: 4 };
        b.iter(|| black_box(slots_of("customer-3", layout).count()));
    });
    let mut group = c.benchmark_group("plan step without work, by entries");
    for entries in [10usize, 100, 380] {
        let live: Vec<EntryLocation> = (0..entries)
            .map(|at| EntryLocation {
                process: process(&format!("e{at}")),
                region: compact_str::format_compact!("region-{}", at % 2),
                data_centre: compact_str::format_compact!("dc-{}", at % 7),
            })
            .collect();
        group.bench_with_input(BenchmarkId::from_parameter(entries), &live, |b, live| {
            let config = config(100, 64);
            let ledger = ledger(entries, 64);
            let me = process("e0");
            let mut owner = SlotOwner::new(me.clone(), config.clone());
            owner.sync(&ledger, Timestamp::default());
            let mut planner = SlotPlanner::new(me);
            let now = Timestamp::from_millis(1);
            let input = PlanInput {
                ledger: &ledger,
                config: &config,
                live,
                proof: &|_| None,
                caught_up_at: Some(now),
                stopping: false,
            };
            b.iter(|| black_box(planner.next_entry(&input, &mut owner, now)));
        });
        group.bench_with_input(BenchmarkId::new("preferred owner", entries), &live, |b, live| {
            let slot = SlotId { partition: 9, index: 2 };
            b.iter(|| black_box(preferred_owner(slot, live)));
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default()
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_millis(1_000))
        .configure_from_args();
    bucket(&mut criterion);
    reserve(&mut criterion);
    collect(&mut criterion);
    ownership(&mut criterion);
    criterion.final_summary();
}
