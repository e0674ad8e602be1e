//! Cold targets of a fleet.

use std::time::Duration;

use base::Timestamp;
use compact_str::CompactString;

use crate::cold_limit::ColdContext;
use crate::{
    ColdLimit, ColdRule, ColdRules, DirectFleet, DirectTarget, SharingGateways, TargetKey,
};

impl DirectFleet {
    /// Sets the rules on cold targets by service; services without one have no cold targets.
    pub fn set_cold_rules(&mut self, rules: &[(CompactString, ColdRule)], now: Timestamp) {
        if self.cold_rules.set(rules) {
            self.update_cold_shares(now);
        }
    }

    /// Records whether this gateway has read the register of the gateways.
    pub fn record_register_read(&mut self, is_read: bool, now: Timestamp) {
        if self.cold_rules.record_register_read(is_read, now) {
            self.update_cold_shares(now);
        }
    }

    /// Counts the targets in a data centre as cold because its evacuation ended `age` ago: their
    /// entries may show late that they are.
    pub fn assume_cold(&mut self, data_centre: &str, age: Duration, now: Timestamp) {
        for target in self.targets.iter_mut().filter(|t| t.data_centre == data_centre) {
            let (cold, context) = target.cold_parts(&self.cold_rules, &self.sharing_gateways);
            cold.assume(age, context, now);
        }
    }

    /// Records what the entry of a target, or the state of its agent, says of its coldness.
    pub(crate) fn record_coldness(&mut self, key: TargetKey, cold_ms: Option<u64>, now: Timestamp) {
        let target = &mut self.targets[key.0 as usize];
        let (cold, context) = target.cold_parts(&self.cold_rules, &self.sharing_gateways);
        cold.record_report(cold_ms, context, now);
        if cold_ms.is_some() {
            self.cold_rules.record_entry(now);
        }
    }

    /// Computes the shares of this gateway again, after a change of the rules or of the gateways.
    pub(crate) fn update_cold_shares(&mut self, now: Timestamp) {
        for target in &mut self.targets {
            let (cold, context) = target.cold_parts(&self.cold_rules, &self.sharing_gateways);
            cold.update_share(context, now);
        }
    }
}

impl DirectTarget {
    /// Returns the state of the target's coldness, and what it depends on.
    fn cold_parts<'a>(
        &'a mut self,
        rules: &'a ColdRules,
        sharers: &'a SharingGateways,
    ) -> (&'a mut ColdLimit, ColdContext<'a>) {
        let context = ColdContext { rules, sharers, service: &self.service, target: &self.id };
        (&mut self.cold, context)
    }

    /// Whether this gateway may send the target a request now, by the limit that the target names and
    /// by its coldness.
    pub(crate) fn is_open(&self, now: Timestamp) -> bool {
        self.limit.is_open(now) && self.cold.is_open(now)
    }

    /// Records a request to the target in its limits.
    pub(crate) fn record_send(&mut self, now: Timestamp) {
        self.limit.record_send(now);
        self.cold.record_send(now);
    }

    /// Returns the time at which the next caller that is refused because of the limits would be asked
    /// to return.
    pub(crate) fn next_return(&self, now: Timestamp) -> Timestamp {
        let limit = if self.limit.is_open(now) { now } else { self.limit.next_return(now) };
        let cold = if self.cold.is_open(now) { now } else { self.cold.next_return(now) };
        limit.max(cold)
    }

    /// Returns the time after which a caller should return that is refused because of the limits.
    pub fn advise_return(&mut self, now: Timestamp) -> Duration {
        let limit = (!self.limit.is_open(now)).then(|| self.limit.advise_return(now));
        let cold = (!self.cold.is_open(now)).then(|| self.cold.advise_return(now));
        limit.max(cold).unwrap_or_default()
    }
}
