//! The soak, short: real processes, the users' platform as stand-ins, faults from outside.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::path::PathBuf;
use std::time::Duration;

use soak::{SoakOptions, SoakReport, run};
use tokio::task::LocalSet;

/// Seed of the short run; its schedule stops and kills gateways and slows a link to the store.
const SEED: u64 = 1;

fn soak(options: SoakOptions) -> SoakReport {
    let options = SoakOptions {
        binary: PathBuf::from(env!("CARGO_BIN_EXE_plantainbeam")),
        gateways: 3,
        engines: 4,
        plain_targets: 2,
        callers: 12,
        ..options
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, run(&options)).unwrap()
}

/// Seed of the short run with and without agents.
const MIXED_SEED: u64 = 3;

/// Guards against a gateway or agent that breaks a promise under faults.
#[test]
fn promises_hold_under_a_short_schedule_of_faults() {
    let report =
        soak(SoakOptions { seed: SEED, length: Duration::from_secs(8), ..SoakOptions::default() });
    assert!(report.findings.is_empty(), "{}{report}", report.schedule);
}

/// Engines without agents: gateways share out the orders. Guards against a fleet that nobody gives orders to, and
/// against two gateways that order under one number.
#[test]
fn gateways_give_orders_where_there_are_no_agents() {
    let report = soak(SoakOptions { agents: 0, length: Duration::ZERO, ..SoakOptions::default() });
    assert!(report.findings.is_empty(), "{report}");
    assert!(report.orders > 0 && report.served * 10 > report.attempts * 5, "{report}");
}

/// Some engines with an agent and some without, under faults. Guards against a gateway that gives orders beside
/// an agent, and against orders of a gateway that was paused or cut off.
#[test]
fn promises_hold_with_agents_beside_some_engines_only() {
    let report = soak(SoakOptions {
        seed: MIXED_SEED,
        agents: 2,
        length: Duration::from_secs(8),
        ..SoakOptions::default()
    });
    assert!(report.findings.is_empty(), "{}{report}", report.schedule);
}

/// The whole path on a calm day: callers, gateways, agents, engines, plain targets and the store, as
/// processes of their own. Guards against a path that works on the users' bench only.
#[test]
fn a_calm_day_is_served_without_findings() {
    let report = soak(SoakOptions { length: Duration::ZERO, ..SoakOptions::default() });
    assert!(report.findings.is_empty(), "{report}");
    assert!(report.attempts > 300 && report.served * 10 > report.attempts * 5, "{report}");
}
