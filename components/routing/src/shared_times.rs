//! Times of plain requests at one target, which the gateways tell each other.

use std::time::Duration;

use base::{SortedMap, Timestamp};

/// Time since the last response for which the times are reported.
const REPORT_TIME: Duration = Duration::from_secs(5);
/// Time after which a peer's totals are forgotten; longer than it reports them.
const PEER_TTL: Duration = Duration::from_secs(60);
/// Most responses of one report that count.
const MAX_RESPONSES: u64 = 100;

/// Responses of one gateway since its start or the target's.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Totals {
    /// Number of responses.
    pub responses: u64,
    /// Sum of the natural logarithms of their times in milliseconds, in thousandths.
    pub log_ms_sum: i64,
}

/// Totals of this gateway and its peers.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedTimes {
    local: Totals,
    recorded_at: Option<Timestamp>,
    peers: SortedMap<u32, (Totals, Timestamp)>,
}

impl SharedTimes {
    /// Adds a response of this gateway.
    pub(crate) fn add(&mut self, log_ms: f64, now: Timestamp) {
        self.local.responses += 1;
        let thousandths = (log_ms * 1_000.0).round() as i64;
        self.local.log_ms_sum = self.local.log_ms_sum.saturating_add(thousandths);
        self.recorded_at = Some(now);
    }

    /// Returns the totals of this gateway, if they have changed recently.
    pub(crate) fn report(&self, now: Timestamp) -> Option<Totals> {
        self.recorded_at.filter(|at| now.since(*at) < REPORT_TIME).map(|_| self.local)
    }

    /// Applies a peer's totals; returns the number of its responses since its previous report and the
    /// mean of their logarithms. The first report of a peer may contain old responses, so it is only
    /// compared with later ones.
    pub(crate) fn apply(
        &mut self,
        peer: u32,
        totals: Totals,
        now: Timestamp,
    ) -> Option<(u32, f64)> {
        self.peers.retain(|_, (_, at)| now.since(*at) < PEER_TTL);
        let previous = self.peers.get(&peer).map(|(totals, _)| *totals);
        if previous.is_some_and(|previous| totals.responses < previous.responses) {
            return None;
        }
        self.peers.insert(peer, (totals, now));
        let previous = previous?;
        let responses = totals.responses - previous.responses;
        let sum = totals.log_ms_sum.saturating_sub(previous.log_ms_sum) as f64 / 1_000.0;
        let count = u32::try_from(responses.min(MAX_RESPONSES)).ok()?;
        (count > 0).then(|| (count, sum / responses as f64))
    }
}
