//! Versions of services' software that were in service lately.

use std::time::Duration;

use base::{SortedMap, Timestamp};
use compact_str::CompactString;

/// When each version was last seen at a target in service.
#[derive(Clone, Debug, Default)]
pub struct SoftwareHistory {
    /// By service and version.
    seen: SortedMap<(CompactString, CompactString), Timestamp>,
}

impl SoftwareHistory {
    /// Records that a target of the service ran a version until now; forgets those of `retention` ago.
    pub fn record(&mut self, service: &str, software: &str, retention: Duration, now: Timestamp) {
        self.seen.retain(|_, at| now.since(*at) < retention);
        self.seen.insert((service.into(), software.into()), now);
    }

    /// Iterates over the services and versions that were seen within `retention`, sorted.
    pub fn all(
        &self,
        retention: Duration,
        now: Timestamp,
    ) -> impl Iterator<Item = &(CompactString, CompactString)> {
        self.seen.iter().filter(move |(_, at)| now.since(**at) < retention).map(|(key, _)| key)
    }

    /// Returns the versions of a service that were seen within `retention`, sorted.
    pub fn versions<'a>(
        &'a self,
        service: &'a str,
        retention: Duration,
        now: Timestamp,
    ) -> impl Iterator<Item = &'a CompactString> {
        self.seen
            .iter()
            .filter(move |((known, _), at)| known == service && now.since(**at) < retention)
            .map(|((_, software), _)| software)
    }
}
