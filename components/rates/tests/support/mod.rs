//! Oracle for I6 and small builders, shared by the tests of this crate.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::rc::Rc;

use base::{Incarnation, Offset, ProcessId, ProcessName, Timestamp};
use compact_str::CompactString;
use config::{BucketLayout, Customer, DataCentre, Town, WeightStoreLimits};
use rates::Share;

/// A debit with what counts as taken in the end, in micro-tokens.
#[derive(Clone, Copy, Debug)]
pub struct Debit {
    pub at: Timestamp,
    pub micros: u128,
}

/// Rate and cap in force from a time on.
#[derive(Clone, Copy, Debug)]
pub struct InForce {
    pub from: Timestamp,
    pub share: Share,
}

/// Checks admitted <= burst + rate x t for every window that starts and ends at a debit; other windows
/// admit no more in no less time. `in_force` is in time order.
pub fn check_windows(debits: &[Debit], in_force: &[InForce]) -> Result<(), String> {
    let mut debits = debits.to_vec();
    debits.sort_by_key(|d| d.at);
    let accrued: Vec<u128> = debits.iter().map(|d| accrued_until(in_force, d.at)).collect();
    for (first, start) in debits.iter().enumerate() {
        if first > 0 && debits[first - 1].at == start.at {
            continue;
        }
        let mut admitted = 0;
        let cap = largest_cap(in_force, start.at);
        for (end, accrued_by_end) in debits[first..].iter().zip(&accrued[first..]) {
            admitted += end.micros;
            let allowed = cap + accrued_by_end - accrued[first];
            if admitted > allowed {
                return Err(format!(
                    "admitted {admitted} of {allowed} micro-tokens in [{}, {}] us",
                    start.at.micros, end.at.micros
                ));
            }
        }
    }
    Ok(())
}

/// Cap at a time; the larger one at the very moment of a change.
fn largest_cap(in_force: &[InForce], at: Timestamp) -> u128 {
    let now = in_force.iter().filter(|f| f.from == at);
    let before = in_force.iter().rev().find(|f| f.from < at);
    let caps = now.chain(before).map(|f| u128::from(f.share.cap_tokens) * 1_000_000);
    caps.max().unwrap_or(0)
}

fn accrued_until(in_force: &[InForce], to: Timestamp) -> u128 {
    in_force
        .iter()
        .enumerate()
        .map(|(at, f)| {
            let end = in_force.get(at + 1).map_or(to, |next| next.from.min(to));
            end.since(f.from).as_micros() * u128::from(f.share.rate_tokens_per_s)
        })
        .sum()
}

pub fn process(name: &str, incarnation: u64) -> ProcessId {
    ProcessId { name: ProcessName::new(name), incarnation: Incarnation(incarnation) }
}

/// A configuration with one customer, `chapel`, and three data centres in two regions.
pub fn town(version: u64, rate: u64, burst: u64, slots: u16) -> Rc<Town> {
    let data_centre = |name: &str, region: &str| DataCentre {
        name: CompactString::new(name),
        region: CompactString::new(region),
    };
    Rc::new(Town {
        version: Offset(version),
        customers: vec![Customer {
            name: CompactString::new("chapel"),
            rate_tokens_per_s: rate,
            burst_tokens: burst,
            weight: 1,
            ..Customer::default()
        }],
        data_centres: vec![
            data_centre("dc-a", "north"),
            data_centre("dc-b", "north"),
            data_centre("dc-c", "south"),
        ],
        weight_store: WeightStoreLimits { loads_per_1000_s: 1_500, concurrent_loads: 5 },
        buckets: BucketLayout { partitions: 1, slots },
        ..Town::default()
    })
}
