//! Which versions of their software the targets of a service run, and who remembers the streams that
//! they began.

use std::net::IpAddr;
use std::time::Duration;

use base::{Timestamp, rendezvous_score};
use compact_str::CompactString;

use crate::{DirectFleet, DirectTarget, TargetKey};

/// Time for which a version counts after its last target left; longer than a stream lasts together with
/// the attempts to take it up.
pub const SOFTWARE_RETENTION: Duration = Duration::from_secs(60);

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

    /// Returns the machines whose agents remember the stream of an attempt, the first ones first: those of
    /// engines, in an order that depends on the attempt alone. With `leaving`, machines that are about
    /// to go are among them, for streams that were recorded before.
    pub fn stream_keepers(&self, attempt: u64, leaving: bool, most: usize) -> Vec<IpAddr> {
        let key = attempt.to_le_bytes();
        let has_agent = |target: &&DirectTarget| {
            !target.models.is_empty() || target.agent_state_received_at.is_some()
        };
        let mut ranked: Vec<(u64, IpAddr)> = self
            .targets
            .iter()
            .filter(has_agent)
            .filter(|target| target.is_listed() && (leaving || target.accepts_work))
            .map(|target| target.address.ip())
            .map(|ip| (rendezvous_score(&key, &ip.to_string()), ip))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.dedup();
        ranked.into_iter().take(most).map(|(_, address)| address).collect()
    }
}
