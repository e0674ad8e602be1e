//! Evacuations of data centres.
//!
//! They are learned from the operators' topic and from the other gateways. Evidence that no key was
//! withdrawn covers them as well: a read to the end of the topic contains their records, and the
//! datagram that carries the evidence of another gateway carries its evacuations.

use base::{ProcessId, Timestamp};
use membership::EvacuationChange;
use platform::evacuation_records;
use store::KeyedRead;
use telemetry::quote;
use wire::EvacuationReport;

use crate::app::App;

impl App {
    /// Applies the evacuations in a read of the operators' topic.
    pub(crate) fn apply_evacuation_read(&self, read: &KeyedRead, now: Timestamp) {
        let records = evacuation_records(read.page());
        let changes = {
            let mut evacuations = self.evacuations.borrow_mut();
            match read {
                KeyedRead::Snapshot(page) => evacuations.apply_snapshot(&records, page.end, now),
                KeyedRead::Changes(page) => {
                    evacuations.note_read_to(page.next);
                    records
                        .iter()
                        .filter_map(|record| evacuations.apply_record(record, now))
                        .collect()
                }
            }
        };
        self.apply_evacuation_changes(&changes, "store", now);
    }

    /// Applies what another gateway reports of evacuations.
    pub(crate) fn apply_evacuation_reports(
        &self,
        reports: &[EvacuationReport],
        from: &ProcessId,
        now: Timestamp,
    ) {
        let changes: Vec<EvacuationChange> = {
            let mut evacuations = self.evacuations.borrow_mut();
            reports.iter().filter_map(|report| evacuations.apply_report(report, now)).collect()
        };
        self.apply_evacuation_changes(&changes, from.name.as_str(), now);
    }

    fn apply_evacuation_changes(&self, changes: &[EvacuationChange], source: &str, now: Timestamp) {
        if changes.is_empty() {
            return;
        }
        self.fleet.borrow_mut().set_evacuated(self.evacuations.borrow().active());
        for change in changes {
            if !change.is_active {
                let mut fleet = self.fleet.borrow_mut();
                fleet.assume_cold(&change.data_centre, change.age, now);
            }
            log::warn!(
                "event=evacuation_changed data_centre={} active={} offset={} age_ms={} source={source}",
                quote(&change.data_centre),
                change.is_active,
                change.offset.0,
                change.age.as_millis()
            );
        }
        // Requests that wait for a target choose again.
        self.engines_changed.notify_waiters();
    }
}
