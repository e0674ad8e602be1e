//! Ownership of bucket slots: the stream `slots`, claims and releases.

use std::rc::Rc;
use std::time::Duration;

use base::{Offset, ProcessId, Role, SnapshotSchedule, Timestamp};
use compact_str::format_compact;
use config::FleetConfig;
use ingress::ShutdownStage;
use rates::{
    AppendOutcome, Distance, EntryLocation, PlanInput, SlotEntry, SlotHolder, SlotLedger,
    SlotOwner, SlotPlanner, SlotRecord, Verdict, VoidReason, slot_holders,
};
use store::{Log, LogPage};
use tokio::time::{MissedTickBehavior, interval};
use wire::{LogRecordCopy, PeerReply};

use crate::app::App;
use crate::log_reader::Follower;

/// Name of the stream.
pub(crate) const SLOTS_STREAM: &str = "slots";
/// Time between looks at claims and releases.
const PLAN_PERIOD: Duration = Duration::from_millis(50);
/// Records since the last snapshot after which a new one is due.
const RECORDS_PER_SNAPSHOT: u64 = 1_000;

/// State of slot ownership in this process.
pub(crate) struct Slots {
    /// Owners by the log.
    pub ledger: SlotLedger,
    /// Slots owned here.
    pub owner: SlotOwner,
    planner: SlotPlanner,
    schedule: SnapshotSchedule,
    read_end_at: Option<Timestamp>,
}

impl Slots {
    /// A process that owns nothing; the log keeps records for `retention`.
    pub(crate) fn new(process_id: ProcessId, retention: Duration) -> Self {
        Self {
            ledger: SlotLedger::new(),
            owner: SlotOwner::new(process_id.clone(), Rc::new(FleetConfig::default())),
            planner: SlotPlanner::new(process_id),
            schedule: SnapshotSchedule::new(retention, RECORDS_PER_SNAPSHOT),
            read_end_at: None,
        }
    }

    /// Whether the stream has been read to its end.
    pub(crate) fn is_read(&self) -> bool {
        self.read_end_at.is_some() && self.ledger.is_complete()
    }

    /// The ledger as a snapshot at its last offset, for a peer that lacks records.
    pub(crate) fn records_for_peer(&self, process_id: &ProcessId, from: Offset) -> PeerReply {
        let offset = self.ledger.through();
        let mut records = Vec::new();
        if from <= offset && self.ledger.is_complete() {
            let record = SlotRecord::Snapshot(self.ledger.snapshot());
            let entry = SlotEntry { writer: process_id.clone(), sequence: 0, record };
            if let Ok(payload) = entry.encode() {
                records.push(LogRecordCopy { offset, payload });
            }
        }
        PeerReply::Records { records, end: offset }
    }
}

/// Follows slot ownership.
pub(crate) struct SlotFollower;

impl Follower for SlotFollower {
    const STREAM: &'static str = SLOTS_STREAM;

    fn next_offset(&self, app: &App) -> Offset {
        app.slots.borrow().ledger.through().next()
    }

    fn apply_page(&self, app: &Rc<App>, page: &LogPage, at_end: bool, requested_at: Timestamp) {
        for record in &page.records {
            app.apply_slot_record(record.offset, &record.payload);
        }
        app.sync_slots();
        if at_end {
            let now = app.clock.now();
            let mut slots = app.slots.borrow_mut();
            slots.read_end_at = Some(requested_at);
            slots.schedule.note_end(now);
        }
    }
}

/// Claims and releases slots until the task is aborted.
pub(crate) async fn plan_slots(app: Rc<App>) {
    let mut ticks = interval(PLAN_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if let Some(entry) = app.next_slot_entry() {
            append(&app, entry).await;
        }
        app.write_slot_snapshot_if_due();
    }
}

async fn append(app: &Rc<App>, entry: SlotEntry) {
    let end = match entry.encode() {
        Err(error) => {
            log::error!("event=slot_record_not_encoded error=\"{error}\"");
            AppendOutcome::NotStored
        }
        Ok(payload) => match app.log.append(SLOTS_STREAM, &entry.id(), &payload).await {
            Ok(_) => AppendOutcome::Stored,
            Err(error) => {
                log::info!("event=slot_append_failed error=\"{error}\"");
                if error.may_have_taken_effect() {
                    AppendOutcome::Unknown
                } else {
                    AppendOutcome::NotStored
                }
            }
        },
    };
    let now = app.clock.now();
    app.slots.borrow_mut().planner.append_finished(entry.sequence, end, now);
}

impl App {
    /// Takes a record of the stream.
    pub(crate) fn apply_slot_record(&self, offset: Offset, payload: &[u8]) {
        let mut slots = self.slots.borrow_mut();
        let verdict = slots.ledger.apply_payload(offset, payload);
        match verdict {
            Verdict::Restored | Verdict::Void(VoidReason::OldSnapshot) => {
                let now = self.clock.now();
                slots.schedule.note_snapshot(now);
            }
            _ => slots.schedule.note_record(),
        }
        log::debug!("event=slot_record offset={} verdict=\"{verdict:?}\"", offset.0);
    }

    /// Opens and closes slots as the ledger says.
    pub(crate) fn sync_slots(&self) {
        let now = self.clock.now();
        let slots = &mut *self.slots.borrow_mut();
        slots.owner.sync(&slots.ledger, now);
    }

    fn next_slot_entry(&self) -> Option<SlotEntry> {
        let config = self.config()?;
        let now = self.clock.now();
        let stopping = *self.stage.borrow() >= ShutdownStage::Draining;
        let live = self.live_entries(stopping);
        let membership = self.membership.borrow();
        let proof = |process: &ProcessId| membership.termination_proof(process, now);
        let slots = &mut *self.slots.borrow_mut();
        let input = PlanInput {
            ledger: &slots.ledger,
            config: &config,
            live: &live,
            proof: &proof,
            caught_up_at: slots.read_end_at,
            stopping,
        };
        slots.planner.next_entry(&input, &mut slots.owner, now)
    }

    fn live_entries(&self, stopping: bool) -> Vec<EntryLocation> {
        let now = self.clock.now();
        let membership = self.membership.borrow();
        let local = membership.local();
        let own = (!stopping).then(|| EntryLocation {
            process: local.process.clone(),
            region: local.region.clone(),
            data_centre: local.data_centre.clone(),
        });
        let others = membership.candidates(Role::Entry, now).map(|member| EntryLocation {
            process: member.process.clone(),
            region: member.region.clone(),
            data_centre: member.data_centre.clone(),
        });
        own.into_iter().chain(others).collect()
    }

    /// Owned slots of a customer's bucket, nearest first.
    pub(crate) fn slot_holders(&self, customer: &str, config: &FleetConfig) -> Vec<SlotHolder> {
        let now = self.clock.now();
        let membership = self.membership.borrow();
        let local = membership.local();
        let distance = |owner: &ProcessId| {
            if *owner == local.process {
                return Some(Distance::Local);
            }
            let member = membership.member(&owner.name)?;
            if !membership.is_reachable(owner, now) {
                None
            } else if member.data_centre == local.data_centre {
                Some(Distance::DataCentre)
            } else if member.region == local.region {
                Some(Distance::Region)
            } else {
                Some(Distance::OtherRegion)
            }
        };
        slot_holders(customer, config.buckets, &self.slots.borrow().ledger, distance)
    }

    fn write_slot_snapshot_if_due(self: &Rc<Self>) {
        let now = self.clock.now();
        let mut slots = self.slots.borrow_mut();
        if !slots.ledger.is_complete()
            || !slots.schedule.is_due(now)
            || !self.membership.borrow().is_first_entry(now)
        {
            return;
        }
        slots.schedule.note_sent(now);
        // Judged by its content alone, so that it takes no number in the order of this writer.
        let record = SlotRecord::Snapshot(slots.ledger.snapshot());
        let entry = SlotEntry { writer: self.process_id.clone(), sequence: 0, record };
        let Ok(payload) = entry.encode() else { return };
        let id = format_compact!("{}/snapshot/{}", self.process_id, self.next_record_number());
        let app = Rc::clone(self);
        tokio::task::spawn_local(async move {
            if let Err(error) = app.log.append(SLOTS_STREAM, &id, &payload).await {
                log::warn!("event=snapshot_not_written stream={SLOTS_STREAM} error=\"{error}\"");
            }
        });
    }
}
