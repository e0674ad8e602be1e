//! Check of the rate limit over all time windows, and builders shared by the tests of this crate.
#![allow(dead_code, reason = "each test file uses only some of these items")]

use std::rc::Rc;

use base::{Incarnation, Offset, ProcessId, ProcessName, Timestamp};
use compact_str::CompactString;
use config::{BucketLayout, Customer, DataCentre, FleetConfig, WeightStoreLimits};
use rates::Share;

/// A debit with the micro-tokens that count as taken after its settlement.
#[derive(Clone, Copy, Debug)]
pub struct Debit {
    pub at: Timestamp,
    pub micros: u128,
}

/// Rate and cap in force from `from` until the next entry.
#[derive(Clone, Copy, Debug)]
pub struct ShareInForce {
    pub from: Timestamp,
    pub share: Share,
}

/// Checks that admitted <= burst + rate x t in every window that starts and ends at a debit; any
/// other window admits no more in no less time. `in_force` must be in time order.
pub fn check_windows(debits: &[Debit], in_force: &[ShareInForce]) -> Result<(), String> {
    let mut debits = debits.to_vec();
    debits.sort_by_key(|debit| debit.at);
    let accrued: Vec<u128> = debits.iter().map(|debit| accrued_until(in_force, debit.at)).collect();
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

/// Returns the cap at a time; at the instant of a change, the larger of the old and the new cap.
fn largest_cap(in_force: &[ShareInForce], at: Timestamp) -> u128 {
    let now = in_force.iter().filter(|entry| entry.from == at);
    let before = in_force.iter().rev().find(|entry| entry.from < at);
    let caps = now.chain(before).map(|entry| u128::from(entry.share.cap_tokens) * 1_000_000);
    caps.max().unwrap_or(0)
}

fn accrued_until(in_force: &[ShareInForce], to: Timestamp) -> u128 {
    in_force
        .iter()
        .enumerate()
        .map(|(at, entry)| {
            let end = in_force.get(at + 1).map_or(to, |next| next.from.min(to));
            end.since(entry.from).as_micros() * u128::from(entry.share.rate_tokens_per_s)
        })
        .sum()
}

pub fn process(name: &str, incarnation: u64) -> ProcessId {
    ProcessId { name: ProcessName::new(name), incarnation: Incarnation(incarnation) }
}

/// Builds a configuration with one customer, `chapel`, and three data centres in two regions.
pub fn config(version: u64, rate: u64, burst: u64, slots: u16) -> Rc<FleetConfig> {
    let data_centre = |name: &str, region: &str| DataCentre {
        name: CompactString::new(name),
        region: CompactString::new(region),
    };
    Rc::new(FleetConfig {
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
        ..FleetConfig::default()
    })
}
