//! A gateway process whose store lists targets of a plain service.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use platform_standin::{
    CallerConnection, CallerKind, CallerRequest, CallerResponse, CustomerSpec, DeploymentSpec,
    FleetLimits, MachineSpec, PlainTargetService, PlainTargetSettings, RouteKind, RouteSpec,
    StoreServer, StoreService, StoreSettings, TargetAnnouncement,
};
use standin::Service;
use tempfile::TempDir;

use super::{Process, own_ip};

/// Service of the targets.
pub const SERVICE: &str = "plain";
/// Key of the one customer.
pub const CUSTOMER_KEY: &str = "key-1";
/// Host of the route.
pub const HOST: &str = "soak.example";

/// A running gateway with its store.
pub struct PlainGateway {
    /// The process.
    pub process: Process,
    /// Where callers connect.
    pub callers: SocketAddr,
    store: StoreServer,
    machine: MachineSpec,
    settings: PathBuf,
    directory: TempDir,
}

impl PlainGateway {
    /// Starts a gateway with one route to `targets` and waits until it knows both.
    pub async fn start(route: RouteSpec, targets: &[SocketAddr]) -> Self {
        let store = StoreServer::start(StoreSettings::default()).await.unwrap();
        let (topic, key) = DeploymentSpec::KEY;
        store.service().put(topic, key, &Self::deployment(vec![route]).document());
        for (number, target) in (1..).zip(targets) {
            announce(store.service(), number, *target);
        }
        let spec = gateway_machine(store.address());
        let directory = tempfile::tempdir().unwrap();
        let path = directory.path().join("settings.conf");
        std::fs::write(&path, spec.settings_file(&FleetLimits::default())).unwrap();
        let process = start_process(&path).await;
        Self {
            process,
            callers: spec.caller_address(),
            store,
            machine: spec,
            settings: path,
            directory,
        }
    }

    /// The store.
    pub fn store(&self) -> &StoreService {
        self.store.service()
    }

    /// Starts a second gateway on the same store; returns it and where callers connect.
    pub async fn start_peer(&self) -> (Process, SocketAddr) {
        let spec = MachineSpec {
            name: "front-2".into(),
            first_start: false,
            ..gateway_machine(self.machine.store)
        };
        let path = self.directory.path().join("peer.conf");
        std::fs::write(&path, spec.settings_file(&FleetLimits::default())).unwrap();
        (start_process(&path).await, spec.caller_address())
    }

    /// Stores a configuration.
    pub fn configure(&self, spec: &DeploymentSpec) {
        let (topic, key) = DeploymentSpec::KEY;
        self.store().put(topic, key, &spec.document());
    }

    /// A deployment with these routes.
    pub fn deployment(routes: Vec<RouteSpec>) -> DeploymentSpec {
        DeploymentSpec {
            version: 1,
            host: HOST.into(),
            engine_service: "engines".into(),
            plain_service: SERVICE.into(),
            engine_slots: 4,
            weights_mb: 100,
            adapter_slots: 2,
            loads_per_s: 1.0,
            models: Vec::new(),
            routes,
            tenants: vec![CustomerSpec {
                name: "shop".into(),
                keys: vec![CUSTOMER_KEY.into()],
                tokens_per_s: 0,
                burst_tokens: 0,
            }],
        }
    }

    /// Kills the process and starts it again, which is not the first start of the system.
    pub async fn restart(&mut self) {
        self.process.kill().await;
        self.machine.first_start = false;
        let settings = self.machine.settings_file(&FleetLimits::default());
        std::fs::write(&self.settings, settings).unwrap();
        self.process = start_process(&self.settings).await;
    }

    /// Writes the entry of a target, by its number from one, to the list in the store.
    pub fn announce(&self, number: usize, address: SocketAddr) {
        announce(self.store(), number, address);
    }

    /// Writes the entry of a target that will leave to the list in the store.
    pub fn announce_leaving(&self, number: usize, address: SocketAddr) {
        write_entry(self.store(), number, address, true);
    }

    /// Removes a target, by its number from one, from the list in the store.
    pub fn remove_target(&self, number: usize) {
        self.store.service().put(DeploymentSpec::TARGETS, &target_id(number), &[]);
    }
}

/// The machine of a gateway on the loopback interface.
pub fn gateway_machine(store: SocketAddr) -> MachineSpec {
    MachineSpec {
        name: "front-1".into(),
        data_centre: "north-a".into(),
        data_centres: vec!["north-a".into()],
        ip: own_ip().into(),
        peer_port: 7_600,
        caller_port: 8_221,
        store,
        engine: None,
        first_start: true,
    }
}

async fn start_process(settings: &Path) -> Process {
    let arguments = ["gateway", "--settings", settings.to_str().unwrap()].map(str::to_owned);
    let process = Process::start("gateway", &arguments);
    process.wait_for_line("event=target_announced").await;
    process.wait_for_line("event=configuration_in_force").await;
    process
}

/// A route to the plain service under its name.
pub fn plain_route(name: &str, kind: RouteKind) -> RouteSpec {
    RouteSpec {
        name: name.into(),
        prefix: format!("/{name}/").into(),
        service: SERVICE.into(),
        kind,
        attempts: 2,
        timeout_ms: 4_000,
        objective_ms: 300,
    }
}

fn announce(store: &StoreService, number: usize, address: SocketAddr) {
    write_entry(store, number, address, false);
}

fn write_entry(store: &StoreService, number: usize, address: SocketAddr, leaves: bool) {
    let id = target_id(number);
    let settings = PlainTargetSettings {
        id: id.as_str().into(),
        service: SERVICE.into(),
        data_centre: "north-a".into(),
        slots: 64,
        ..PlainTargetSettings::default()
    };
    let notice = TargetAnnouncement { born_ms: 1, leaves, number: 1 };
    let entry = PlainTargetService::new(settings).entry(address, notice);
    store.put(DeploymentSpec::TARGETS, &id, &entry);
}

/// Sends a request of the customer with 4 s left, on a connection of its own.
pub async fn plain_call(
    gateway: &PlainGateway,
    id: &str,
    path: &str,
    kind: CallerKind,
) -> CallerResponse {
    plain_call_at(gateway.callers, id, path, kind).await
}

/// Sends a request like [`plain_call`] to a caller address.
pub async fn plain_call_at(
    callers: SocketAddr,
    id: &str,
    path: &str,
    kind: CallerKind,
) -> CallerResponse {
    let deadline = Duration::from_secs(4);
    let mut connection = CallerConnection::open(callers, deadline).await.unwrap();
    let request = CallerRequest {
        id: id.into(),
        host: HOST.into(),
        path: path.into(),
        key: CUSTOMER_KEY.into(),
        deadline,
        kind,
        after_event: None,
    };
    connection.call(&request).await
}

fn target_id(number: usize) -> String {
    format!("target-{number}")
}
