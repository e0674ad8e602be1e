//! Which versions of their software the targets of a service run, and who remembers the streams that
//! they began.

use std::time::Duration;

use base::Timestamp;
use compact_str::CompactString;
use streams::Keeper;
use wire::SoftwareVersion;

use crate::{DirectFleet, DirectTarget, TargetKey};

/// Time for which a version counts after its last target left; longer than a stream lasts together with
/// the attempts to take it up.
pub const SOFTWARE_RETENTION: Duration = Duration::from_secs(60);

/// Targets of one version of a service's software, counted by what they can do for a model.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct VersionTargets {
    /// Targets in the list that accept work.
    pub accepting: usize,
    /// Of these, targets that requests may be sent to now.
    pub usable: usize,
    /// Of these, targets that serve the model.
    pub with_model: usize,
    /// Targets that accept work and load the model.
    pub loading: usize,
    /// Targets in the list that serve the model and don't accept work.
    pub leaving_with_model: usize,
}

impl DirectTarget {
    /// Returns whether the target is an engine of which no state has said whether it has an agent.
    fn may_have_agent(&self) -> bool {
        !self.models().is_empty() && self.agent_state_received_at.is_none()
    }
}

impl DirectFleet {
    /// Records the version that a target runs now, before it changes or leaves the list.
    pub(crate) fn record_software(&mut self, key: TargetKey, now: Timestamp) {
        let target = &self.targets[key.0 as usize];
        let (service, software) = (&target.service, &target.software);
        self.software_history.record(service, software, SOFTWARE_RETENTION, now);
    }

    /// Returns whether a listed target of a service that is not excluded runs this version.
    pub fn has_software(&self, service: &str, software: &str, exclude: &[TargetKey]) -> bool {
        (0..).map(TargetKey).zip(&self.targets).any(|(key, target)| {
            target.service == service
                && target.software == software
                && target.is_listed()
                && !exclude.contains(&key)
        })
    }

    /// Returns whether targets of one service run several versions.
    pub fn has_mixed_software(&self) -> bool {
        let mut listed = self.targets.iter().filter(|target| target.is_listed());
        let Some(first) = listed.next() else { return false };
        let mut known: Vec<(&str, &str)> = vec![(&first.service, &first.software)];
        listed.any(|target| match known.iter().find(|(service, _)| *service == target.service) {
            Some((_, software)) => *software != target.software,
            None => {
                known.push((&target.service, &target.software));
                false
            }
        })
    }

    /// Returns the targets of a service that run this version.
    pub fn version_targets(
        &self,
        service: &str,
        software: &str,
        model: &str,
        now: Timestamp,
    ) -> VersionTargets {
        let mut count = VersionTargets::default();
        let of_version = self.targets.iter().filter(|target| {
            target.service == service && target.software == software && target.is_listed()
        });
        for target in of_version {
            let serves = target.serves(model).is_some();
            if !target.accepts_work {
                count.leaving_with_model += usize::from(serves);
                continue;
            }
            let is_usable = target.is_usable(now);
            let loads = target.model_change().is_some_and(|c| c.loading && c.model == model);
            count.accepting += 1;
            count.usable += usize::from(is_usable);
            count.with_model += usize::from(is_usable && serves);
            count.loading += usize::from(loads);
        }
        count
    }

    /// Records a version that was in service lately, as another process has seen.
    pub fn record_former_software(&mut self, version: &SoftwareVersion, now: Timestamp) {
        let SoftwareVersion { service, software } = version;
        self.software_history.record(service, software, SOFTWARE_RETENTION, now);
    }

    /// Returns the versions that listed targets run, of all services, sorted.
    pub fn listed_software(&self) -> Vec<SoftwareVersion> {
        let mut found: Vec<SoftwareVersion> = Vec::new();
        for target in self.targets.iter().filter(|target| target.is_listed()) {
            let key = (&target.service, &target.software);
            if let Err(at) =
                found.binary_search_by(|known| (&known.service, &known.software).cmp(&key))
            {
                let (service, software) = (target.service.clone(), target.software.clone());
                found.insert(at, SoftwareVersion { service, software });
            }
        }
        found
    }

    /// Returns the versions that were recorded lately, of all services, sorted. A version without changes
    /// among its targets may be missing while it is listed.
    pub fn former_software(&self, now: Timestamp) -> Vec<SoftwareVersion> {
        let seen = self.software_history.all(SOFTWARE_RETENTION, now);
        seen.cloned().map(|(service, software)| SoftwareVersion { service, software }).collect()
    }

    /// Returns the versions of a service that are in service or were lately, sorted.
    pub fn software_versions(&self, service: &str, now: Timestamp) -> Vec<CompactString> {
        let listed = self
            .targets
            .iter()
            .filter(|target| target.service == service && target.is_listed())
            .map(|target| &target.software);
        let former = self.software_history.versions(service, SOFTWARE_RETENTION, now);
        let mut versions: Vec<CompactString> = listed.chain(former).cloned().collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }

    /// Returns the agents that are told of streams: those that were heard lately and run beside targets that
    /// accept work. With fewer than `least` machines of these, others on listed machines are added, and then
    /// those that may have an agent: after a restart, this process hasn't heard of them yet.
    pub fn keepers(&self, least: usize, now: Timestamp) -> Vec<Keeper> {
        let listed = || self.targets.iter().filter(|target| target.is_listed());
        let serves = |target: &&DirectTarget| {
            target.has_local_agent() && target.accepts_work && target.has_recent_agent_state(now)
        };
        let mut keepers = distinct(listed().filter(serves));
        if keepers.len() < least {
            keepers = distinct(listed().filter(|target| target.has_local_agent()));
        }
        if keepers.len() < least {
            let may_know =
                |target: &&DirectTarget| target.has_local_agent() || target.may_have_agent();
            keepers = distinct(listed().filter(may_know));
        }
        keepers
    }

    /// Returns the other agents that may have been told of streams, whose targets don't accept work or left
    /// the list lately; `keepers` are those that are told now.
    pub fn former_keepers(&self, keepers: &[Keeper], now: Timestamp) -> Vec<Keeper> {
        let may_know = |target: &&DirectTarget| {
            let since_unlisted = target.unlisted_at.map(|at| now.since(at));
            (target.has_local_agent() || target.may_have_agent())
                && since_unlisted.is_none_or(|since| since < SOFTWARE_RETENTION)
        };
        let mut former = distinct(self.targets.iter().filter(may_know));
        former.retain(|one| keepers.binary_search_by_key(&one.ip, |keeper| keeper.ip).is_err());
        former
    }
}

/// Agents beside these targets, sorted by machine; the newest run of each machine.
fn distinct<'a>(targets: impl Iterator<Item = &'a DirectTarget>) -> Vec<Keeper> {
    let mut keepers: Vec<Keeper> = targets
        .map(|target| Keeper { ip: target.address.ip(), incarnation: target.agent_incarnation })
        .collect();
    keepers.sort_unstable_by(|a, b| a.ip.cmp(&b.ip).then(b.incarnation.cmp(&a.incarnation)));
    keepers.dedup_by_key(|keeper| keeper.ip);
    keepers
}
