//! State of an entry process that its tasks share.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use api::{ApiError, ErrorCode};
use base::{Offset, ProcessId, Timestamp};
use changes::ConfigLog;
use config::{EntrySettings, FleetConfig};
use ingress::{SharedCallerBudget, ShutdownStage};
use membership::{Authority, Membership};
use store::{HttpLog, HttpVmList};
use telemetry::Metrics;
use tokio::sync::{Notify, watch};
use wire::{PeerPool, ProcessStatus, StatusProblem};

use crate::clock::Clock;
use crate::fleet::Fleet;
use crate::in_flight::InFlight;
use crate::slots::Slots;

/// Wait that is advised while there is no authority, in milliseconds.
const NO_AUTHORITY_RETRY_MS: u64 = 1_000;

/// Longest time after the start for which readiness waits for peers that have not been heard.
const WARM_UP_LIMIT: Duration = Duration::from_secs(3);

/// Shared state. Everything runs on one thread, so that a borrow never outlives a step.
pub(crate) struct App {
    /// Settings.
    pub settings: EntrySettings,
    /// This run.
    pub process_id: ProcessId,
    /// Where others reach this process.
    pub address: SocketAddr,
    /// Clock.
    pub clock: Clock,
    /// Connections to peers.
    pub pool: PeerPool,
    /// Log service.
    pub log: HttpLog,
    /// VM list.
    pub vm_list: HttpVmList,
    /// Metrics.
    pub metrics: Metrics,
    /// Requests in progress.
    pub in_flight: Rc<InFlight>,
    /// Memory and connections for callers.
    pub budget: Rc<SharedCallerBudget>,
    /// Callers' connections.
    pub connections: Rc<Cell<usize>>,
    /// Stage of life.
    pub stage: watch::Sender<ShutdownStage>,
    /// Configuration.
    pub config: RefCell<ConfigLog>,
    /// Bucket slots.
    pub slots: RefCell<Slots>,
    /// Who is alive.
    pub membership: RefCell<Membership>,
    /// Contact with the log.
    pub authority: RefCell<Authority>,
    /// Targets and the choice among them.
    pub fleet: RefCell<Fleet>,
    /// End of the authority that was last found, so that not every frame asks for it.
    pub authority_expires_at: Cell<Timestamp>,
    /// Whether the process has known its peers well enough to serve; never taken back.
    pub warmed_up: Cell<bool>,
    /// Whether a catch-up from a peer is under way.
    pub catching_up: Cell<bool>,
    /// Last number of a record that this run has written.
    pub record_number: Cell<u64>,
    /// Wakes the sender of heartbeats for an announcement.
    pub announced: Notify,
}

impl App {
    /// Configuration in force.
    pub(crate) fn config(&self) -> Option<Arc<FleetConfig>> {
        self.config.borrow().current().cloned()
    }

    /// Version in force.
    pub(crate) fn version(&self) -> Offset {
        self.config.borrow().version()
    }

    /// A number for the next record that this run writes.
    pub(crate) fn next_record_number(&self) -> u64 {
        let number = self.record_number.get() + 1;
        self.record_number.set(number);
        number
    }

    /// Longest wait for a reply of a peer.
    pub(crate) fn call_timeout(&self) -> Duration {
        Duration::from_millis(self.settings.membership.call_timeout_ms)
    }

    /// Whether requests with a key may be served now.
    ///
    /// # Errors
    ///
    /// `no_authority`.
    pub(crate) fn check_authority(&self) -> Result<(), ApiError> {
        let now = self.clock.now();
        if now < self.authority_expires_at.get() {
            return Ok(());
        }
        match self.authority.borrow().grant(self.version(), now) {
            Some(grant) => {
                self.authority_expires_at.set(grant.until);
                Ok(())
            }
            None => Err(ApiError::new(
                ErrorCode::NoAuthority,
                "this process has lost touch with the log of withdrawn keys",
            )
            .with_retry_after_ms(NO_AUTHORITY_RETRY_MS)),
        }
    }

    /// Whether this process knows the owners of the bucket slots and the targets, as far as they are
    /// alive.
    ///
    /// Without this a process that replaces another one gets requests that it must refuse, because it
    /// has not heard from an owner or a target yet.
    fn is_warmed_up(&self) -> bool {
        if !self.warmed_up.get() {
            let contacted_peers = self.membership.borrow().has_contacted_all_listed();
            let owners_read = self.slots.borrow().is_read();
            let waited = self.clock.now().since(Timestamp::default()) >= WARM_UP_LIMIT;
            self.warmed_up.set(waited || (contacted_peers && owners_read));
        }
        self.warmed_up.get()
    }

    /// Why the load balancer should look elsewhere, if it should.
    pub(crate) fn not_ready_reason(&self) -> Option<&'static str> {
        if *self.stage.borrow() > ShutdownStage::Serving {
            Some("shutting down")
        } else if self.config().is_none() {
            Some("no configuration in force")
        } else if self.check_authority().is_err() {
            Some("no contact with the log")
        } else if !self.is_warmed_up() {
            Some("not all peers have been heard yet")
        } else {
            None
        }
    }

    /// Puts a configuration in force.
    pub(crate) fn apply_configuration(&self, config: &Arc<FleetConfig>) {
        let now = self.clock.now();
        log::info!("event=configuration_in_force version={}", config.version.0);
        self.slots.borrow_mut().owner.apply_configuration(Rc::new(FleetConfig::clone(config)), now);
        self.metrics
            .admit_customers(config.customers.iter().map(|customer| customer.name.as_str()));
        self.in_flight.reauthorise(config);
    }

    /// State for operators.
    pub(crate) fn status(&self) -> ProcessStatus {
        let now = self.clock.now();
        let view = self.authority.borrow().view(now);
        let config = self.config.borrow();
        let mut problems = Vec::new();
        if self.check_authority().is_err() {
            problems.push(StatusProblem::NoAuthority);
        }
        if config.current().is_none() {
            problems.push(StatusProblem::NoConfiguration);
        }
        let limit_ms = u32::try_from(self.settings.authority_ms).unwrap_or(u32::MAX);
        if view.end_read_age_ms.is_none_or(|age| age > limit_ms) {
            problems.push(StatusProblem::LogUnreachable);
        }
        if config.newer_rules().is_some() {
            problems.push(StatusProblem::NewerRules);
        }
        let process = &self.settings.process;
        ProcessStatus {
            process: self.process_id.clone(),
            role: base::Role::Entry,
            region: process.region.clone(),
            data_centre: process.data_centre.clone(),
            config_offset: config.version(),
            log_age_ms: view.end_read_age_ms,
            draining: *self.stage.borrow() > ShutdownStage::Serving,
            in_flight: self.in_flight.len() as u64,
            slots_owned: u32::try_from(self.slots.borrow().owner.open_slots().count())
                .unwrap_or(u32::MAX),
            live_peers: self.live_peers(),
            problems,
        }
    }
}
