//! The core of a side process: queue, memory ledger, pins and permits of one target.
//!
//! Each method receives the current time and adds its side effects to a list of actions. Nothing
//! here performs I/O.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use base::{ProcessId, ServiceId, SortedMap, Timestamp, Tokens};
use compact_str::CompactString;
use config::{FleetConfig, ServiceKind, SideSettings, Target};
use placement::{DemandRate, Item, MemoryLedger, MemoryLedgerSettings, PermitSearch, PinTable};
use queue::{FairQueue, QueueLimits, Ticket};
use store::VmSnapshot;
use wire::Heartbeat;

use crate::action::{Action, SlotOwner};
use crate::cache_log::CacheLog;
use crate::peers::{PeerChange, Peers};
use crate::permit_state::PermitState;
use crate::pin_search::PinSearch;
use crate::placement_request::PlacementRequest;

/// Time without a response after which an order is sent again.
const ORDER_RESEND_AFTER: Duration = Duration::from_millis(200);

/// The target in the active configuration.
#[derive(Clone, Debug)]
pub(crate) struct TargetConfig {
    pub service: ServiceId,
    pub kind: ServiceKind,
    pub target: Target,
}

/// Items that a queued or running request needs, and its progress.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestState {
    pub model: Option<Item>,
    pub adapter: Option<Item>,
    pub customer: CompactString,
    pub running: bool,
    pub ready: bool,
}

impl RequestState {
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.model.iter().chain(&self.adapter)
    }
}

/// State of the target and of the requests for it.
pub(crate) struct Core {
    pub settings: Rc<SideSettings>,
    pub process: ProcessId,
    pub address: SocketAddr,
    pub config: Arc<FleetConfig>,
    pub target_config: Option<TargetConfig>,
    pub queue: FairQueue,
    pub ledger: MemoryLedger,
    pub pins: PinTable,
    pub pin_search: Option<PinSearch>,
    pub permits: PermitSearch<SlotOwner>,
    pub permit: PermitState,
    pub peers: Peers,
    pub requests: SortedMap<Ticket, RequestState>,
    pub demand: SortedMap<CompactString, DemandRate>,
    pub placement_requests: Vec<PlacementRequest>,
    /// Model whose outdated copy is being replaced; requests for it wait.
    pub retiring: Option<Item>,
    /// Load of the configured version, pending the unload of the outdated one.
    pub reload: Option<PlacementRequest>,
    pub cache: CacheLog,
    pub healthy: bool,
    pub failed_probes: u32,
    /// Tokens that wait inside the engine, as of its last load sample.
    pub engine_waiting_tokens: u64,
    pub draining: bool,
    pub start_pending: bool,
    pub fence_pending: bool,
    pub actions: Vec<Action>,
}

impl Core {
    pub fn new(
        settings: Rc<SideSettings>,
        process: ProcessId,
        address: SocketAddr,
        now: Timestamp,
    ) -> Self {
        let ledger = MemoryLedgerSettings {
            capacity_mb: 0,
            order_lifetime: Duration::from_millis(settings.order_lifetime_ms),
            resend_after: ORDER_RESEND_AFTER,
        };
        Self {
            queue: FairQueue::new(QueueLimits::default()),
            ledger: MemoryLedger::new(ledger, now),
            pins: PinTable::new(process.name.clone()),
            pin_search: None,
            permits: PermitSearch::new(),
            permit: PermitState::Idle,
            peers: Peers::default(),
            requests: SortedMap::new(),
            demand: SortedMap::new(),
            placement_requests: Vec::new(),
            retiring: None,
            reload: None,
            cache: CacheLog::default(),
            healthy: false,
            failed_probes: 0,
            engine_waiting_tokens: 0,
            draining: false,
            start_pending: false,
            fence_pending: false,
            actions: Vec::new(),
            config: Arc::default(),
            target_config: None,
            settings,
            process,
            address,
        }
    }

    /// Activates a configuration.
    pub fn configure(&mut self, config: Arc<FleetConfig>, now: Timestamp) {
        self.target_config = config.target(&self.settings.target).map(|(service, target)| {
            TargetConfig { service, kind: config.service(service).kind, target: target.clone() }
        });
        self.config = config;
        if let Some(target_config) = &self.target_config {
            self.ledger.set_capacity_mb(target_config.target.memory_mb);
            self.queue.set_limits(QueueLimits {
                max_in_flight: target_config.target.batch.max(1),
                max_customer_requests: self.settings.queue_requests,
                max_customer_tokens: Tokens(self.settings.queue_tokens),
                tokens_per_s: target_config.target.tokens_per_s,
            });
        }
        self.drive(now);
    }

    /// Whether requests are admitted.
    pub fn ready(&self) -> bool {
        self.target_config.is_some() && self.healthy && !self.draining
    }

    /// Whether the quarantine after a start still withholds orders to the engine.
    pub fn quarantined(&self) -> bool {
        self.is_engine() && !self.ledger.quarantine().is_over()
    }

    pub fn is_engine(&self) -> bool {
        self.target_config
            .as_ref()
            .is_none_or(|target_config| target_config.kind == ServiceKind::Engine)
    }

    /// Advances the state to `now`: fencing, placement, expiry and starts of requests.
    pub fn drive(&mut self, now: Timestamp) {
        self.drive_fencing();
        self.drive_placement(now);
        self.drive_queue(now);
    }

    /// Time at which [`Core::drive`] has to run again if no event arrives.
    pub fn next_wake(&self) -> Option<Timestamp> {
        self.queue.next_deadline()
    }

    fn drive_fencing(&mut self) {
        if !self.is_engine() || self.target_config.is_none() {
            return;
        }
        if self.ledger.quarantine().fencing().is_none() {
            if !self.start_pending {
                self.start_pending = true;
                self.actions.push(Action::AppendStart);
            }
        } else if let Some(fencing) = self.ledger.quarantine().pending_fence()
            && self.healthy
            && !self.fence_pending
        {
            self.fence_pending = true;
            self.actions.push(Action::RaiseFence(fencing));
        }
    }

    /// Applies a heartbeat of a peer.
    pub fn heartbeat_received(&mut self, heartbeat: &Heartbeat, now: Timestamp) {
        if let Some(PeerChange::NotQuarantined(process)) =
            self.peers.apply_heartbeat(heartbeat, now)
        {
            self.pins.requester_restarted(&process);
        }
        self.drive(now);
    }

    /// Applies a VM list.
    pub fn vm_list_received(&mut self, list: &VmSnapshot, silent_after: Duration, now: Timestamp) {
        for change in self.peers.apply_vm_list(list, silent_after, now) {
            if let PeerChange::Removed(name) = change {
                self.pins.requester_removed(&name);
            }
        }
        self.drive(now);
    }

    /// Addresses of the side processes that rely on a pin of this one.
    pub fn pin_requesters(&self) -> Vec<SocketAddr> {
        self.pins.requesters().filter_map(|name| self.peers.address_of(name)).collect()
    }

    /// Memory in MB and base model of an item in the active configuration.
    pub fn memory_and_base(&self, item: &Item) -> Option<(u64, Option<CompactString>)> {
        memory_and_base(&self.config, item)
    }

    /// Demand for an item in tokens per second.
    pub fn demand_of(&self, item: &Item, now: Timestamp) -> u64 {
        self.demand.get(item.name()).map_or(0, |rate| rate.tokens_per_s(now))
    }

    /// Returns and clears the actions added since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}

/// Memory in MB and base model of an item in a configuration.
pub(crate) fn memory_and_base(
    config: &FleetConfig,
    item: &Item,
) -> Option<(u64, Option<CompactString>)> {
    match item {
        Item::Adapter(name) => {
            let adapter = config.adapter(config.adapter_id(name)?);
            Some((adapter.memory_mb, Some(config.model(adapter.model).name.clone())))
        }
        Item::Model(name) => Some((config.model(config.model_id(name)?).memory_mb, None)),
    }
}
