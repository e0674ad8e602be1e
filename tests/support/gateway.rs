//! A gateway process whose store lists targets of a plain service.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use platform_standin::{
    CallerConnection, CallerKind, CallerRequest, CallerResponse, CustomerSpec, DeploymentSpec,
    FleetLimits, MachineSpec, PlainTargetService, PlainTargetSettings, RouteKind, RouteSpec,
    StoreServer, StoreService, StoreSettings, TargetAnnouncement,
};
use rustix::process::Signal;
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
    limits: FleetLimits,
    _directory: TempDir,
}

impl PlainGateway {
    /// Starts a gateway with one route to `targets` and waits until it knows both.
    pub async fn start(route: RouteSpec, targets: &[SocketAddr]) -> Self {
        let deployment = Self::deployment(vec![route]);
        Self::start_with(&deployment, targets, FleetLimits::default()).await
    }

    /// Starts a gateway of this deployment with these limits and waits until it knows the
    /// configuration and the targets.
    pub async fn start_with(
        deployment: &DeploymentSpec,
        targets: &[SocketAddr],
        limits: FleetLimits,
    ) -> Self {
        let store = StoreServer::start(StoreSettings::default()).await.unwrap();
        let (topic, key) = DeploymentSpec::KEY;
        store.service().put(topic, key, &deployment.document());
        for (number, target) in (1..).zip(targets) {
            announce(store.service(), number, *target);
        }
        let spec = gateway_machine(store.address());
        let directory = tempfile::tempdir().unwrap();
        let path = directory.path().join("settings.conf");
        std::fs::write(&path, spec.settings_file(&limits)).unwrap();
        let process = start_process(&path).await;
        Self {
            process,
            callers: spec.caller_address(),
            store,
            machine: spec,
            settings: path,
            limits,
            _directory: directory,
        }
    }

    /// The store.
    pub fn store(&self) -> &StoreService {
        self.store.service()
    }

    /// Where the store listens.
    pub fn store_address(&self) -> SocketAddr {
        self.store.address()
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
            body_bytes: 1 << 20,
        }
    }

    /// Kills the process and starts it again, which is not the first start of the system.
    pub async fn restart(&mut self) {
        self.process.kill().await;
        self.machine.first_start = false;
        let settings = self.machine.settings_file(&self.limits);
        std::fs::write(&self.settings, settings).unwrap();
        self.process = start_process(&self.settings).await;
    }

    /// Has the process use the store at `address` from now on.
    pub fn move_to_store(&mut self, address: SocketAddr) {
        self.machine.store = address;
        std::fs::write(&self.settings, self.machine.settings_file(&self.limits)).unwrap();
        self.process.signal(Signal::HUP);
    }

    /// Writes the entry of a target, by its number from one, to the list in the store.
    pub fn announce(&self, number: usize, address: SocketAddr) {
        announce(self.store(), number, address);
    }

    /// Writes the entry of a target that has started at this Unix time, by its number from one.
    pub fn announce_born(&self, number: usize, address: SocketAddr, born_ms: u64) {
        let notice = TargetAnnouncement { born_ms, ..announcement() };
        put_entry(self.store(), "north-a", number, address, notice);
    }

    /// Writes the entry of a target in a data centre, by its number from one.
    pub fn announce_in(&self, data_centre: &str, number: usize, address: SocketAddr) {
        put_entry(self.store(), data_centre, number, address, announcement());
    }

    /// Writes the entry of a target that runs this version of its software, by its number from one.
    pub fn announce_version(&self, number: usize, address: SocketAddr, software: &'static str) {
        let notice = TargetAnnouncement { software: Some(software), ..announcement() };
        put_entry(self.store(), "north-a", number, address, notice);
    }

    /// Writes the entry of a target that is cold for some time, by its number from one.
    pub fn announce_cold(&self, number: usize, address: SocketAddr, time: Duration) {
        let notice = TargetAnnouncement {
            cold_ms: u64::try_from(time.as_millis()).unwrap(),
            ..announcement()
        };
        put_entry(self.store(), "north-a", number, address, notice);
    }

    /// Writes the operators' record that begins the evacuation of a data centre, or ends it.
    pub fn set_evacuated(&self, data_centre: &str, is_active: bool) {
        let (topic, _) = DeploymentSpec::KEY;
        let value: &[u8] = if is_active { b"{}" } else { b"" };
        self.store().put(topic, &DeploymentSpec::evacuation_key(data_centre), value);
    }

    /// Writes the entry of a target that will leave to the list in the store.
    pub fn announce_leaving(&self, number: usize, address: SocketAddr) {
        let notice = TargetAnnouncement { leaves: true, ..announcement() };
        put_entry(self.store(), "north-a", number, address, notice);
    }

    /// Removes a target, by its number from one, from the list in the store.
    pub fn remove_target(&self, number: usize) {
        self.store.service().put(DeploymentSpec::TARGETS, &target_id(number), &[]);
    }
}

/// A further gateway of the same fleet.
pub struct PeerGateway {
    /// The process.
    pub process: Process,
    /// Where callers connect.
    pub callers: SocketAddr,
    _directory: TempDir,
}

impl PeerGateway {
    /// Starts a gateway that reaches the store of `first` at `store`, and waits until it knows the
    /// targets and the two know each other.
    pub async fn start(first: &PlainGateway, store: SocketAddr) -> Self {
        let machine = MachineSpec { name: "front-2".into(), ..gateway_machine(store) };
        let directory = tempfile::tempdir().unwrap();
        let path = directory.path().join("settings.conf");
        std::fs::write(&path, machine.settings_file(&FleetLimits::default())).unwrap();
        let process = start_process(&path).await;
        process.wait_for_line("event=gateway_heard").await;
        first.process.wait_for_line("event=gateway_heard").await;
        Self { process, callers: machine.caller_address(), _directory: directory }
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
    put_entry(store, "north-a", number, address, announcement());
}

fn announcement() -> TargetAnnouncement {
    TargetAnnouncement { born_ms: 1, number: 1, ..TargetAnnouncement::default() }
}

fn put_entry(
    store: &StoreService,
    data_centre: &str,
    number: usize,
    address: SocketAddr,
    notice: TargetAnnouncement,
) {
    let id = target_id(number);
    let settings = PlainTargetSettings {
        id: id.as_str().into(),
        service: SERVICE.into(),
        data_centre: data_centre.into(),
        slots: 64,
        ..PlainTargetSettings::default()
    };
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

/// Sends such a request to the gateway at `callers`.
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
        resumes: None,
    };
    connection.call(&request).await
}

fn target_id(number: usize) -> String {
    format!("target-{number}")
}
