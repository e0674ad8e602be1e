//! An engine without an agent, managed by this gateway.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use agent::send_order;
use base::{Incarnation, ProcessId, ProcessName, Timestamp};
use compact_str::CompactString;
use placement::EngineOrderScheduler;
use platform::EngineClient;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::app::App;
use crate::fleet_link::{FleetLink, broadcast_engine_state};
use crate::fleet_receiver::apply_agent_state;

/// Process name under which all gateways report the state of engines without an agent; the fencing
/// token, used as incarnation, orders their reports.
const ORDERING_PROCESS_NAME: &str = "engine-orders";
/// Time between two report requests while no change is pending. Each one is billed, and a restart
/// of the engine is visible in the target list.
const IDLE_REPORT_INTERVAL: Duration = Duration::from_secs(4);
/// Time between two report requests while a model change is pending; a report is about 100 ms old.
const CHANGE_REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Longest time between two state datagrams about an engine; gateways consider one valid for 2.5 s.
const STATE_INTERVAL: Duration = Duration::from_millis(700);
/// Consecutive failed report requests after which the engine counts as lost.
const MAX_MISSED_REPORTS: u32 = 2;

/// An engine to which this gateway sends orders.
pub(crate) struct RemoteEngine {
    /// Target id of the engine's current incarnation.
    pub target: CompactString,
    /// Partition of the engine.
    pub partition: u32,
    /// Pending orders and the last report.
    pub scheduler: RefCell<EngineOrderScheduler>,
    /// Notified when an order may be due.
    pub wakeup: Notify,
    client: EngineClient,
    fencing_number: u64,
    failures: Cell<u32>,
    report_requested_at: Cell<Option<Timestamp>>,
    state_sent_at: Cell<Option<Timestamp>>,
}

impl RemoteEngine {
    /// An engine without a report.
    pub(crate) fn new(
        target: CompactString,
        partition: u32,
        address: SocketAddr,
        fencing_number: u64,
    ) -> Self {
        Self {
            target,
            partition,
            scheduler: RefCell::new(EngineOrderScheduler::remote()),
            wakeup: Notify::new(),
            client: EngineClient::new(address),
            fencing_number,
            failures: Cell::new(0),
            report_requested_at: Cell::new(None),
            state_sent_at: Cell::new(None),
        }
    }

    /// Sends due orders until the partition is assigned to another gateway.
    pub(crate) async fn drive(self: Rc<Self>, app: Rc<App>, link: Rc<FleetLink>) {
        while app.engine_orders.may_send_orders(self.partition, app.clock.now()) {
            let before = self.scheduler.borrow().report().clone();
            let was_lost = self.is_lost();
            if self.needs_report(app.clock.now()) {
                self.fetch_report(&app).await;
            }
            let now = app.clock.now();
            let unload_selected = self.scheduler.borrow_mut().select_unload(now);
            if unload_selected {
                self.send_state(&app, &link);
            }
            if app.engine_orders.may_send_orders(self.partition, now) {
                let process_name = app.settings().name.clone();
                let sent = send_order(
                    &self.scheduler,
                    &self.client,
                    &process_name,
                    self.fencing_number,
                    &app.clock,
                )
                .await;
                if sent {
                    self.wakeup.notify_one();
                }
            }
            let changed = *self.scheduler.borrow().report() != before || was_lost != self.is_lost();
            if changed || self.is_due(self.state_sent_at.get(), STATE_INTERVAL, app.clock.now()) {
                self.send_state(&app, &link);
            }
            // Wakes up for an order, a report or a state datagram that is due.
            let _woken = timeout(self.interval(), self.wakeup.notified()).await;
        }
    }

    /// Requests a report at once because the engine has probably restarted.
    pub(crate) fn request_report(&self) {
        self.report_requested_at.set(None);
        self.wakeup.notify_one();
    }

    fn is_lost(&self) -> bool {
        self.failures.get() >= MAX_MISSED_REPORTS
    }

    fn is_due(&self, last: Option<Timestamp>, interval: Duration, now: Timestamp) -> bool {
        last.is_none_or(|at| now.since(at) >= interval)
    }

    fn interval(&self) -> Duration {
        if self.awaits_report() { CHANGE_REPORT_INTERVAL } else { STATE_INTERVAL }
    }

    fn awaits_report(&self) -> bool {
        let scheduler = self.scheduler.borrow();
        self.is_lost() || scheduler.awaits_report() || !scheduler.is_report_current()
    }

    fn needs_report(&self, now: Timestamp) -> bool {
        let interval =
            if self.awaits_report() { CHANGE_REPORT_INTERVAL } else { IDLE_REPORT_INTERVAL };
        self.is_due(self.report_requested_at.get(), interval, now)
    }

    async fn fetch_report(&self, app: &App) {
        self.report_requested_at.set(Some(app.clock.now()));
        match self.client.report().await {
            Ok(report) => {
                if self.is_lost() {
                    log::info!("event=engine_regained target={}", self.target);
                }
                self.failures.set(0);
                self.scheduler.borrow_mut().apply_report(report, app.clock.now());
            }
            Err(error) => {
                self.failures.set(self.failures.get().saturating_add(1));
                if self.failures.get() == MAX_MISSED_REPORTS {
                    log::warn!(
                        "event=engine_lost target={} failures={MAX_MISSED_REPORTS} error=\"{error}\"",
                        self.target
                    );
                }
            }
        }
    }

    /// Sends the state of the engine to all gateways.
    fn send_state(&self, app: &App, link: &FleetLink) {
        let now = app.clock.now();
        let settings = app.settings();
        let from = ProcessId {
            name: ProcessName::new(ORDERING_PROCESS_NAME),
            incarnation: Incarnation(self.fencing_number),
        };
        let order_address = SocketAddr::new(settings.ip, settings.peer_port);
        let state = self.scheduler.borrow().state(from, !self.is_lost(), Some(order_address), now);
        let Some(state) = state else { return };
        self.state_sent_at.set(Some(now));
        apply_agent_state(app, &state, now);
        broadcast_engine_state(app, link, state, now);
    }
}
