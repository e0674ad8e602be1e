//! Targets as their side processes report them, and the choice among them.

use std::net::SocketAddr;
use std::time::Duration;

use base::{ProcessId, ProcessName, SortedMap, Timestamp, rank_members};
use membership::Liveness;
use wire::{CopyState, GenerateRequest, ModelDemand, TargetKind, TargetReport};

use crate::app::App;
use crate::choice::Choice;

struct Seen {
    process: ProcessId,
    address: SocketAddr,
    report: TargetReport,
    sent_since: u64,
}

/// Targets by the name of their side process.
#[derive(Default)]
pub(crate) struct Fleet {
    targets: SortedMap<ProcessName, Seen>,
}

impl Fleet {
    pub(crate) fn take_report(
        &mut self,
        process: &ProcessId,
        address: SocketAddr,
        report: &TargetReport,
        _now: Timestamp,
    ) {
        let seen = Seen { process: process.clone(), address, report: report.clone(), sent_since: 0 };
        self.targets.insert(process.name.clone(), seen);
    }

    pub(crate) fn demand(&mut self, _now: Timestamp) -> Vec<ModelDemand> {
        Vec::new()
    }
}

impl App {
    pub(crate) fn is_gone(&self, process: &ProcessId) -> bool {
        !self.membership.borrow().is_reachable(process, self.clock.now())
    }

    pub(crate) fn address_of(&self, process: &ProcessId) -> Option<SocketAddr> {
        let membership = self.membership.borrow();
        membership.member(&process.name).filter(|m| m.process == *process).map(|m| m.address)
    }

    fn candidates(&self, keep: impl Fn(&Seen) -> bool, tried: &[ProcessName]) -> Vec<Choice> {
        let now = self.clock.now();
        let membership = self.membership.borrow();
        let fleet = self.fleet.borrow();
        let mut found: Vec<(bool, u64, Choice)> = fleet
            .targets
            .values()
            .filter(|seen| seen.report.healthy && keep(seen))
            .filter_map(|seen| {
                let member = membership.member(&seen.process.name)?;
                let liveness = membership.liveness(member, now);
                if member.process != seen.process
                    || !member.takes_work()
                    || liveness == Liveness::Silent
                {
                    return None;
                }
                let load = seen.report.queued_tokens
                    + u64::from(seen.report.running) * 64
                    + seen.sent_since;
                let choice = Choice {
                    process: seen.process.clone(),
                    target: seen.report.target.clone(),
                    address: seen.address,
                };
                let second = tried.contains(&seen.process.name) || liveness == Liveness::Suspect;
                Some((second, load, choice))
            })
            .collect();
        found.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)));
        found.into_iter().map(|(_, _, choice)| choice).collect()
    }

    pub(crate) fn choose_engine(
        &self,
        request: &GenerateRequest,
        tried: &[ProcessName],
    ) -> Option<Choice> {
        let town = self.town()?;
        let model = town.model(town.model_id(&request.model)?);
        let service = town.service(model.service).name.clone();
        let in_service = |seen: &Seen| {
            seen.report.kind == TargetKind::Engine && seen.report.service == service
        };
        let resident = self.candidates(
            |seen| {
                in_service(seen)
                    && seen
                        .report
                        .models
                        .iter()
                        .any(|c| c.model == request.model && c.state == CopyState::Resident)
            },
            tried,
        );
        if let Some(first) = resident.into_iter().next() {
            return Some(first);
        }
        let holders = self.candidates(
            |seen| in_service(seen) && seen.report.capacity_mb >= model.memory_mb,
            tried,
        );
        let first = *rank_members(
            request.model.as_bytes(),
            holders.iter().map(|choice| choice.process.name.as_str()),
        )
        .first()?;
        holders.iter().find(|choice| choice.process.name.as_str() == first).cloned()
    }

    pub(crate) fn choose_plain(
        &self,
        service: &str,
        _route: &str,
        tried: &[ProcessName],
    ) -> Option<Choice> {
        self.candidates(
            |seen| seen.report.kind == TargetKind::Plain && seen.report.service == service,
            tried,
        )
        .into_iter()
        .next()
    }

    pub(crate) fn record_sent(&self, choice: &Choice, tokens: u64) {
        if let Some(seen) = self.fleet.borrow_mut().targets.get_mut(&choice.process.name) {
            seen.sent_since += tokens;
        }
    }

    pub(crate) fn record_finished(&self, _choice: &Choice, _took: Duration) {}

    pub(crate) fn next_retry(&self, attempt: u32) -> Option<Duration> {
        (attempt < 3).then_some(Duration::from_millis(20 << attempt))
    }
}
