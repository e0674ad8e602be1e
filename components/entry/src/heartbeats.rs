//! Heartbeats to other entries, the VM list, and the watch over authority.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use api::ErrorCode;
use base::{Role, Timestamp};
use compact_str::CompactString;
use ingress::ShutdownStage;
use membership::{HeartbeatOutcome, Liveness, Vm, VmList as VmListing};
use store::{VmListSource, VmState};
use tokio::time::{MissedTickBehavior, interval, sleep_until};
use wire::{Heartbeat, PeerCall, PeerReply};

use crate::app::App;
use crate::config_reader::start_catch_up;

/// Time between looks at the authority to serve keyed requests.
const WATCH_PERIOD: Duration = Duration::from_millis(100);

impl App {
    /// What this process says of itself to the process at `address`.
    ///
    /// Only the planner needs the demand, which takes 7 KB for 280 models.
    pub(crate) fn heartbeat_to(&self, address: SocketAddr) -> Heartbeat {
        let process = &self.settings.process;
        let now = self.clock.now();
        let to_planner = self.membership.borrow().is_first_entry_at(address, now);
        let demand = if to_planner { self.fleet.borrow_mut().demand(now) } else { Vec::new() };
        Heartbeat {
            from: self.process_id.clone(),
            role: Role::Entry,
            region: process.region.clone(),
            data_centre: process.data_centre.clone(),
            address: self.address,
            config_offset: self.version(),
            log: self.authority.borrow().view(now),
            draining: *self.stage.borrow() >= ShutdownStage::Draining,
            target: None,
            demand,
        }
    }

    /// Takes a heartbeat that came as a call; false if its sender is out of date.
    pub(crate) fn apply_heartbeat(self: &Rc<Self>, heartbeat: &Heartbeat) -> bool {
        let now = self.clock.now();
        if self.membership.borrow_mut().apply_heartbeat(heartbeat, now) == HeartbeatOutcome::Refused
        {
            return false;
        }
        self.apply_peer_state(heartbeat, now);
        true
    }

    fn apply_heartbeat_reply(
        self: &Rc<Self>,
        heartbeat: &Heartbeat,
        address: SocketAddr,
        asked: Timestamp,
    ) {
        if self.membership.borrow_mut().apply_reply(heartbeat, asked) == HeartbeatOutcome::Refused {
            return;
        }
        if heartbeat.role == Role::Entry {
            let (view, offset) = (heartbeat.log, heartbeat.config_offset);
            self.authority.borrow_mut().note_peer(address, view, offset, asked);
        }
        self.apply_peer_state(heartbeat, self.clock.now());
    }

    fn apply_peer_state(self: &Rc<Self>, heartbeat: &Heartbeat, now: Timestamp) {
        self.fleet.borrow_mut().apply_heartbeat(heartbeat, now);
        if heartbeat.role == Role::Entry && heartbeat.config_offset > self.version() {
            start_catch_up(self, heartbeat.address);
        }
    }

    /// Names of peers that are not silent, sorted.
    pub(crate) fn live_peers(&self) -> Vec<CompactString> {
        let now = self.clock.now();
        let membership = self.membership.borrow();
        membership
            .members()
            .filter(|member| membership.liveness(member, now) != Liveness::Silent)
            .map(|member| member.process.name.0.clone())
            .collect()
    }
}

/// Sends heartbeats until the task is aborted.
pub(crate) async fn send_heartbeats(app: Rc<App>) {
    loop {
        let now = app.clock.now();
        let (due, next) = {
            let mut membership = app.membership.borrow_mut();
            membership.expire(now);
            app.expire_targets(&membership);
            (membership.due(now), membership.next_due())
        };
        for address in due {
            tokio::task::spawn_local(exchange(Rc::clone(&app), address));
        }
        // An announcement must not wait for the next round.
        tokio::select! {
            () = sleep_until(app.clock.instant(next)) => {}
            () = app.announced.notified() => {}
        }
    }
}

async fn exchange(app: Rc<App>, address: SocketAddr) {
    let requested_at = app.clock.now();
    let call = PeerCall::Heartbeat(Box::new(app.heartbeat_to(address)));
    match app.pool.call(address, &call, app.call_timeout()).await {
        Ok(PeerReply::Heartbeat(heartbeat)) => {
            app.apply_heartbeat_reply(&heartbeat, address, requested_at)
        }
        Ok(_) => log::warn!("event=heartbeat_not_answered address={address}"),
        Err(error) => {
            log::debug!("event=heartbeat_failed address={address} error=\"{error}\"");
            app.record_failure_at(address);
        }
    }
}

impl App {
    /// Notes that the process at an address could not be reached.
    pub(crate) fn record_failure_at(&self, address: SocketAddr) {
        let now = self.clock.now();
        let mut membership = self.membership.borrow_mut();
        let process = membership.members().find(|m| m.address == address).map(|m| &m.process);
        if let Some(process) = process.cloned() {
            membership.note_failure(&process, now);
        }
    }
}

/// Reads the VM list until the task is aborted.
pub(crate) async fn watch_vm_list(app: Rc<App>) {
    let period = Duration::from_millis(app.settings.membership.vm_list_poll_ms);
    let mut ticks = interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let requested_at = app.clock.now();
        match app.vm_list.list().await {
            Ok(snapshot) => {
                let vms = snapshot.vms.into_iter().map(|vm| Vm {
                    name: vm.name,
                    address: vm.address,
                    role: vm.role,
                    region: vm.region,
                    data_centre: vm.data_centre,
                    leaving: vm.state == VmState::Leaving,
                });
                let list = VmListing { version: snapshot.version, vms: vms.collect() };
                let now = app.clock.now();
                app.membership.borrow_mut().apply_vm_list(&list, requested_at, now);
            }
            Err(error) => log::debug!("event=vm_list_failed error=\"{error}\""),
        }
    }
}

/// Ends keyed requests once there is no authority to serve them; until the task is aborted.
pub(crate) async fn watch_authority(app: Rc<App>) {
    let mut ticks = interval(WATCH_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut held = false;
    loop {
        ticks.tick().await;
        app.metrics.set_in_flight(app.in_flight.len() as u64);
        let holds = app.check_authority().is_ok();
        if holds != held {
            log::info!("event=authority_changed held={holds}");
            held = holds;
        }
        if !holds {
            app.in_flight.cancel_keyed(ErrorCode::NoAuthority);
        }
    }
}
