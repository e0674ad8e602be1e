//! Usual times of work, with which the times at single targets are compared.

use base::{SortedMap, Timestamp};
use compact_str::CompactString;
use wire::TargetSpeedReport;

use crate::shared_times::Totals;
use crate::usual_time::UsualTime;
use crate::{DirectPick, DirectTarget};

/// Usual times over all targets.
#[derive(Clone, Debug, Default)]
pub(crate) struct UsualTimes {
    /// Requests alone at their target, by plain service.
    requests: SortedMap<CompactString, UsualTime>,
    /// Time between two parts of a stream, by model.
    event_gaps: SortedMap<CompactString, UsualTime>,
}

impl UsualTimes {
    /// Returns the usual time of a request to a plain service, in milliseconds.
    pub(crate) fn service_ms(&self, service: &str) -> f64 {
        self.requests.get(service).copied().unwrap_or_default().ms()
    }

    /// Records the response of a plain request before its end.
    pub(crate) fn record_plain_response(
        &mut self,
        target: &mut DirectTarget,
        pick: &DirectPick,
        took_ms: f64,
        now: Timestamp,
    ) {
        let in_flight = target.mean_in_flight(pick.in_flight, now);
        let usual = self.requests.get_or_insert_with(target.service.clone(), UsualTime::default);
        target.speed.record_plain(took_ms, in_flight, usual.ms(), now);
        usual.record(took_ms / target.speed.growth(in_flight, now));
    }

    /// Records that a plain request had no response for `waited_ms`.
    pub(crate) fn record_plain_timeout(
        &self,
        target: &mut DirectTarget,
        pick: &DirectPick,
        waited_ms: f64,
        now: Timestamp,
    ) {
        let in_flight = target.mean_in_flight(pick.in_flight, now);
        let usual_ms = self.service_ms(&target.service);
        target.speed.record_plain_timeout(waited_ms, in_flight, usual_ms, now);
    }

    /// Applies another gateway's report of the times of its plain requests.
    pub(crate) fn apply_report(
        &self,
        target: &mut DirectTarget,
        peer: u32,
        report: &TargetSpeedReport,
        now: Timestamp,
    ) {
        if target.started_unix_ms == report.born_ms {
            let totals = Totals { responses: report.responses, log_ms_sum: report.log_ms_sum };
            let usual_ms = self.service_ms(&target.service);
            target.speed.apply_peer_totals(peer, totals, usual_ms, now);
        }
    }

    /// Records the average time between two parts of a complete stream.
    pub(crate) fn record_event_gap(
        &mut self,
        target: &mut DirectTarget,
        model: &str,
        gap_ms: f64,
        now: Timestamp,
    ) {
        let usual = self.event_gaps.get_or_insert_with(model.into(), UsualTime::default);
        if usual.is_known() {
            target.speed.record_event_gap(gap_ms / usual.ms(), now);
        }
        usual.record(gap_ms);
    }
}
