//! Targets whose entries are missing in the target list after an outage of the store.

use std::time::Duration;

use base::Timestamp;

use crate::{DirectFleet, TargetKey};

/// Age of its last sign of life up to which a target without an entry is known to live: longer than the
/// reports of an agent are apart.
const KNOWN_ALIVE: Duration = Duration::from_millis(1_000);

impl DirectFleet {
    /// Marks the targets with these ids, in order, as missing in the list, and no others.
    pub fn set_missing<'a>(&mut self, ids: impl Iterator<Item = &'a str>) {
        let ids: Vec<&str> = ids.collect();
        for target in &mut self.targets {
            target.is_missing = ids.binary_search(&target.id.as_str()).is_ok();
        }
    }

    /// Returns the targets of a service that have no entry and of which nothing was heard lately. A request
    /// that may run only once would be lost at a target that has ended.
    pub fn missing_unheard(&self, service: &str, now: Timestamp) -> Vec<TargetKey> {
        (0..)
            .map(TargetKey)
            .zip(&self.targets)
            .filter(|(_, target)| {
                target.service == service
                    && target.is_missing
                    && !target.silence.was_heard_within(KNOWN_ALIVE, now)
            })
            .map(|(key, _)| key)
            .collect()
    }
}
