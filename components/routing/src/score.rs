//! Estimated cost of sending a request to a target.

use base::{ProcessId, Timestamp};
use membership::{Liveness, Membership};
use wire::TargetKind;

use crate::request::ModelRequirements;
use crate::target::Target;

/// Cost of loading an adapter, in microseconds: 5 to 10 ms while few loads are in progress.
const ADAPTER_LOAD_MICROS: u64 = 7_500;
/// Ratio of prefill throughput to decode throughput.
const PREFILL_SPEEDUP: u64 = 10;
/// Cost per request in flight at a plain target, in microseconds.
const PLAIN_REQUEST_MICROS: u64 = 2_000;
/// Queued tokens that a running request is counted as, because it lengthens every step of the
/// batch.
const TOKENS_PER_RUNNING_REQUEST: u64 = 16;
/// Cost added for a suspect target, in microseconds, so that it is chosen only if the others are
/// much worse.
const SUSPECT_PENALTY_MICROS: u64 = 1_000_000;

/// Whether requests can be sent to a side process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reachability {
    /// Requests can be sent.
    Usable,
    /// Requests are sent only if there is no better choice.
    Suspect,
    /// No requests are sent: the process is unknown, silent, draining, leaving, or has another
    /// incarnation.
    Unusable,
}

/// Returns the reachability of a side process according to the membership.
pub fn reachability_of(
    membership: &Membership,
    process: &ProcessId,
    now: Timestamp,
) -> Reachability {
    match membership.member(&process.name) {
        Some(member) if member.process == *process && member.accepts_work() => {
            match membership.liveness(member, now) {
                Liveness::Live => Reachability::Usable,
                Liveness::Suspect => Reachability::Suspect,
                Liveness::Silent => Reachability::Unusable,
            }
        }
        _ => Reachability::Unusable,
    }
}

/// One-way network delays in microseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NetworkDelays {
    /// Delay within a data centre.
    pub data_centre_micros: u64,
    /// Delay between data centres of a region.
    pub region_micros: u64,
    /// Delay between regions.
    pub inter_region_micros: u64,
}

impl Default for NetworkDelays {
    fn default() -> Self {
        Self { data_centre_micros: 100, region_micros: 500, inter_region_micros: 15_000 }
    }
}

impl NetworkDelays {
    pub(crate) fn one_way_to(&self, region: &str, data_centre: &str, target: &Target) -> u64 {
        if target.data_centre == data_centre && target.region == region {
            self.data_centre_micros
        } else if target.region == region {
            self.region_micros
        } else {
            self.inter_region_micros
        }
    }
}

/// Returns the estimated time until the target has finished its queued work, in microseconds.
fn wait_micros(target: &Target) -> u64 {
    let report = &target.report;
    match report.kind {
        TargetKind::Plain => {
            (u64::from(report.running) + target.sends.count()).saturating_mul(PLAIN_REQUEST_MICROS)
        }
        TargetKind::Engine => {
            let running = u64::from(report.running).saturating_mul(TOKENS_PER_RUNNING_REQUEST);
            let queued =
                report.queued_tokens.saturating_add(target.sends.tokens()).saturating_add(running);
            let micros = u128::from(queued) * 1_000_000 / u128::from(report.tokens_per_s.max(1));
            u64::try_from(micros).unwrap_or(u64::MAX)
        }
    }
}

/// Returns the cost of queueing, network delay and suspicion, in microseconds.
pub(crate) fn base_cost(target: &Target, one_way_micros: u64, reachability: Reachability) -> u64 {
    let suspect_penalty =
        if reachability == Reachability::Suspect { SUSPECT_PENALTY_MICROS } else { 0 };
    wait_micros(target).saturating_add(2 * one_way_micros).saturating_add(suspect_penalty)
}

/// Returns the cost of a generation of whose prompt `matched` leading blocks are cached at the
/// target, in microseconds.
pub(crate) fn model_cost(
    target: &Target,
    requirements: &ModelRequirements<'_>,
    matched: usize,
    base: u64,
) -> u64 {
    let adapter = match requirements.adapter {
        Some(adapter) if !target.has_adapter(adapter) => ADAPTER_LOAD_MICROS,
        _ => 0,
    };
    let blocks = requirements.blocks.len().max(1) as u64;
    let uncached =
        requirements.prompt_tokens - requirements.prompt_tokens * matched as u64 / blocks;
    let speed = target.report.tokens_per_s.max(1).saturating_mul(PREFILL_SPEEDUP);
    // Cached tokens reduce the prefill instead of the total cost, so the cost can't become
    // negative.
    let prefill = u128::from(uncached) * 1_000_000 / u128::from(speed);
    base.saturating_add(adapter).saturating_add(u64::try_from(prefill).unwrap_or(u64::MAX))
}
