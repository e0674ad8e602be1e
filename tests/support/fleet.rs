//! A fleet of entry and side processes with their platform, every link behind a proxy.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

use base::{Incarnation, Offset, ProcessId, ProcessName};
use changes::{CONFIG_STREAM, Change, Record, RecordId};
use config::SourceFile;
use http::StatusCode;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use standin::Link;
use store::{HttpLog, HttpLogOptions, Log};
use tempfile::TempDir;
use wire::{FleetSecret, PeerCall, PeerClient, PeerIdentity, PeerReply, ProcessStatus};

use super::{Caller, Process, StandinProcess, WAIT_LIMIT, wait_until};

/// The key of the one customer.
pub const KEY: &str = "key-of-the-chapel-0001";
/// Model that is resident at every engine.
pub const MODEL: &str = "caption";
const KEY_NAME: &str = "chapel-1";
const SECRET: &str = "a secret of the test fleet";
const DATA_CENTRES: [&str; 2] = ["caerdydd-a", "caerdydd-b"];
const MODEL_MB: u64 = 1_000;
const ENGINE_MB: u64 = 2_500;

/// Size and settings of a fleet.
pub struct FleetOptions {
    /// Number of entry processes.
    pub entries: usize,
    /// Number of engines, each with its side process.
    pub sides: usize,
    /// Settings of the engines, added to the defaults of the harness.
    pub engine: Value,
    /// Settings of the entry processes, added to the defaults of the harness.
    pub entry: Value,
    /// Targets of a plain service, each with its side process. Calls under `/once/` may run once only.
    pub plain: Vec<SocketAddr>,
    /// Longest time of a planned stop in milliseconds.
    pub drain_limit_ms: u64,
}

impl Default for FleetOptions {
    fn default() -> Self {
        let (engine, entry) = (json!({}), json!({}));
        Self { entries: 2, sides: 1, engine, entry, plain: Vec::new(), drain_limit_ms: 10_000 }
    }
}

/// Links of one process, each behind a proxy of its own.
pub struct Links {
    /// From its peers.
    pub peers: Link,
    /// To the log.
    pub log: Link,
    /// To the VM list.
    pub vm_list: Link,
}

/// An entry process on its VM.
pub struct Entry {
    /// The process.
    pub process: Process,
    /// Its links.
    pub links: Links,
    /// From its callers.
    pub callers: Link,
    peers: SocketAddr,
    operators: SocketAddr,
    arguments: Vec<String>,
}

/// A side process on its VM, and the engine beside it.
pub struct Side {
    /// The process.
    pub process: Process,
    /// Its links.
    pub links: Links,
    /// To the engine.
    pub to_engine: Link,
    /// The engine.
    pub engine: StandinProcess,
    peers: SocketAddr,
    operators: SocketAddr,
    arguments: Vec<String>,
}

/// A side process on its VM, beside a target of the plain service.
pub struct PlainSide {
    /// The process.
    pub process: Process,
    /// Its links.
    pub links: Links,
    operators: SocketAddr,
}

/// A running fleet.
pub struct Fleet {
    /// Stand-in log.
    pub log: StandinProcess,
    /// Stand-in VM list.
    pub vm_list: StandinProcess,
    /// Entry processes.
    pub entries: Vec<Entry>,
    /// Side processes of engines.
    pub sides: Vec<Side>,
    /// Side processes of the plain service.
    pub plain_sides: Vec<PlainSide>,
    drain_limit_ms: u64,
    directory: TempDir,
}

/// A free address of a VM. Each VM of a test has a loopback address of its own, so that nothing else
/// on the machine takes its ports between this check and the process's start.
fn free_addresses<const N: usize>() -> [SocketAddr; N] {
    static NEXT_VM: AtomicU32 = AtomicU32::new(1);
    let pid = std::process::id().to_be_bytes();
    let vm = NEXT_VM.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let ip = Ipv4Addr::new(127, 1 + pid[2] % 250, pid[3], vm[3]);
    let listeners = [(); N].map(|()| std::net::TcpListener::bind((ip, 0)).unwrap());
    listeners.map(|listener| listener.local_addr().unwrap())
}

fn add(settings: &mut Value, more: &Value) {
    let fields = settings.as_object_mut().unwrap();
    fields.extend(more.as_object().unwrap().clone());
}

impl Fleet {
    /// Starts a fleet and waits until every process is ready.
    pub async fn start(options: FleetOptions) -> Self {
        let log = StandinProcess::start("log", &json!({})).await;
        let vm_list = StandinProcess::start("vm-list", &json!({})).await;
        let directory = tempfile::tempdir().unwrap();
        let mut fleet = Self {
            log,
            vm_list,
            entries: Vec::new(),
            sides: Vec::new(),
            plain_sides: Vec::new(),
            drain_limit_ms: options.drain_limit_ms,
            directory,
        };
        for at in 0..options.entries {
            let entry = fleet.start_entry(at, &options.entry).await;
            fleet.entries.push(entry);
        }
        for at in 0..options.sides {
            let side = fleet.start_side(at, &options.engine).await;
            fleet.sides.push(side);
        }
        for (at, target) in options.plain.iter().enumerate() {
            let side = fleet.start_plain_side(at, *target).await;
            fleet.plain_sides.push(side);
        }
        fleet.list_vms().await;
        // The first entry process to see a configuration claims every bucket slot unless it knows
        // the others, and gives them away only much later.
        fleet.wait_acquainted().await;
        fleet.publish(options.sides, options.plain.len()).await;
        for entry in &fleet.entries {
            entry.wait_ready().await;
        }
        for side in &fleet.sides {
            side.wait_ready().await;
        }
        for side in &fleet.plain_sides {
            wait_ready(side.operators).await;
        }
        fleet.wait_served().await;
        fleet
    }

    /// A caller with the customer's key at an entry process.
    pub fn caller(&self, entry: usize) -> Caller {
        Caller::new(self.entries[entry].callers.address(), KEY)
    }

    /// Generations that all engines began, as their journals have them.
    pub async fn runs(&self) -> Vec<Value> {
        let mut runs = Vec::new();
        for side in &self.sides {
            let journal = side.engine.get("/journal").await;
            runs.extend(journal["runs"].as_array().unwrap().iter().cloned());
        }
        runs
    }

    /// Waits until the entry processes know each other.
    async fn wait_acquainted(&self) {
        for entry in &self.entries {
            wait_until("entries that know each other", async || {
                let peers = entry.status().await.live_peers;
                peers.iter().filter(|peer| peer.starts_with("entry-")).count() + 1
                    >= self.entries.len()
            })
            .await;
        }
    }

    /// Waits until each entry process routes requests to a side process.
    async fn wait_served(&self) {
        for at in 0..self.entries.len() {
            let caller = self.caller(at);
            wait_until("a first answer", async || {
                let answer = caller.complete(MODEL, "first", 1).await;
                answer.is_ok_and(|answer| answer.is_whole())
            })
            .await;
        }
    }

    async fn publish(&self, sides: usize, plain: usize) {
        let targets: Vec<Value> = (0..sides)
            .map(|at| {
                json!({
                    "name": format!("engine-{at}"), "data_centre": data_centre(at),
                    "memory_mb": ENGINE_MB, "tokens_per_s": 10_000, "batch": 16,
                })
            })
            .collect();
        let plain: Vec<Value> = (0..plain)
            .map(|at| json!({"name": format!("plain-{at}"), "data_centre": data_centre(at)}))
            .collect();
        let sha256: String = Sha256::digest(KEY).iter().map(|byte| format!("{byte:02x}")).collect();
        let base = json!({
            "name": "test",
            "data_centres": [
                {"name": DATA_CENTRES[0], "region": "cymru-de"},
                {"name": DATA_CENTRES[1], "region": "cymru-de"},
            ],
            "customers": [{
                "name": "chapel", "rate_tokens_per_s": 1_000_000, "burst_tokens": 10_000_000,
            }],
            "keys": [{"name": KEY_NAME, "customer": "chapel", "sha256": sha256}],
            "services": [
                {"name": "llais-models", "targets": targets},
                {"name": "desk", "kind": "plain", "targets": plain},
            ],
            "routes": [
                {"name": "once", "prefix": "/once/", "service": "desk", "customers": ["chapel"]},
            ],
            "models": [{
                "name": MODEL, "version": "1", "service": "llais-models",
                "memory_mb": MODEL_MB, "residency": "always",
            }],
        });
        let base = SourceFile::new("base.yaml", &base.to_string());
        let change = Change::Files { base_version: Offset(0), base, overlays: Vec::new() };
        self.append_change(1, change).await;
    }

    /// Withdraws the customer's key.
    pub async fn withdraw_key(&self) {
        self.append_change(2, Change::WithdrawKey { name: KEY_NAME.into() }).await;
    }

    /// Puts a change on the log as an operator would.
    async fn append_change(&self, number: u64, change: Change) {
        let writer = ProcessId { name: ProcessName::new("operator"), incarnation: Incarnation(1) };
        let record = Record { id: RecordId::new(&writer, number), change };
        let log = HttpLog::new(self.log.address, HttpLogOptions::default());
        log.append(CONFIG_STREAM, &record.id.0, &record.encode().unwrap()).await.unwrap();
    }

    async fn links(&self, peer_address: SocketAddr) -> Links {
        Links {
            peers: Link::start(peer_address).await.unwrap(),
            log: Link::start(self.log.address).await.unwrap(),
            vm_list: Link::start(self.vm_list.address).await.unwrap(),
        }
    }

    async fn start_entry(&self, at: usize, more: &Value) -> Entry {
        let [peers, operators, callers] = free_addresses();
        let links = self.links(peers).await;
        let name = format!("entry-{at}");
        let mut settings = self.settings(&name, at, [peers, operators], &links);
        settings["caller_address"] = json!(callers);
        settings["drain_notice_ms"] = json!(200);
        add(&mut settings, more);
        let arguments = self.arguments("entry", &name, &settings);
        Entry {
            process: Process::start(&name, &arguments),
            callers: Link::start(callers).await.unwrap(),
            links,
            peers,
            operators,
            arguments,
        }
    }

    async fn start_side(&self, at: usize, engine: &Value) -> Side {
        let [peers, operators] = free_addresses();
        let links = self.links(peers).await;
        let name = format!("side-{at}");
        let mut engine_settings = json!({
            "capacity_mb": ENGINE_MB,
            "models": [{"model": MODEL, "version": "1", "memory_mb": MODEL_MB}],
            "batch": 16,
        });
        add(&mut engine_settings, engine);
        let engine = StandinProcess::start("engine", &engine_settings).await;
        let to_engine = Link::start(engine.address).await.unwrap();
        let mut settings = self.settings(&name, at, [peers, operators], &links);
        add(
            &mut settings,
            &json!({
                "target": format!("engine-{at}"), "target_address": to_engine.address(),
                "order_lifetime_ms": 500, "probe_ms": 100,
            }),
        );
        let arguments = self.arguments("side", &name, &settings);
        let process = Process::start(&name, &arguments);
        Side { process, links, to_engine, engine, peers, operators, arguments }
    }

    async fn start_plain_side(&self, at: usize, target: SocketAddr) -> PlainSide {
        let [peers, operators] = free_addresses();
        let links = self.links(peers).await;
        let name = format!("plain-side-{at}");
        let mut settings = self.settings(&name, at, [peers, operators], &links);
        let more = json!({
            "target": format!("plain-{at}"), "target_address": target, "probe_ms": 100,
        });
        add(&mut settings, &more);
        let process = Process::start(&name, &self.arguments("side", &name, &settings));
        PlainSide { process, links, operators }
    }

    fn settings(
        &self,
        name: &str,
        number: usize,
        addresses: [SocketAddr; 2],
        links: &Links,
    ) -> Value {
        let [peers, operators] = addresses;
        json!({
            "process": {
                "name": name, "vm": format!("vm-{name}"), "region": "cymru-de",
                "data_centre": data_centre(number), "peer_address": peers,
                "advertised_address": links.peers.address(), "operator_address": operators,
                "fleet_secret": SECRET, "drain_limit_ms": self.drain_limit_ms,
            },
            "platform": {
                "log_address": links.log.address(), "vm_list_address": links.vm_list.address(),
                "log_poll_ms": 200,
            },
            "membership": {"vm_list_poll_ms": 200},
        })
    }

    fn arguments(&self, command: &str, name: &str, settings: &Value) -> Vec<String> {
        let file = self.directory.path().join(format!("{name}.yaml"));
        // JSON is YAML too.
        std::fs::write(&file, settings.to_string()).unwrap();
        vec![command.to_owned(), "--settings".to_owned(), file.to_str().unwrap().to_owned()]
    }

    async fn list_vms(&self) {
        let vm = |name: &str, at: usize, link: &Link| {
            json!({
                "name": format!("vm-{name}-{at}"), "address": link.address(),
                "role": if name == "entry" { "entry" } else { "side" },
                "region": "cymru-de", "data_centre": data_centre(at), "state": "live",
            })
        };
        let entries = self.entries.iter().zip(0..);
        let sides = self.sides.iter().zip(0..);
        let plain = self.plain_sides.iter().zip(0..);
        let vms: Vec<Value> = entries
            .map(|(entry, at)| vm("entry", at, &entry.links.peers))
            .chain(sides.map(|(side, at)| vm("side", at, &side.links.peers)))
            .chain(plain.map(|(side, at)| vm("plain-side", at, &side.links.peers)))
            .collect();
        self.vm_list.control(&json!({"vms": vms})).await;
    }
}

/// Data centre of the entry or side process with this number.
fn data_centre(number: usize) -> &'static str {
    DATA_CENTRES[number % DATA_CENTRES.len()]
}

async fn wait_ready(operators: SocketAddr) {
    wait_until("readiness", async || {
        Caller::get_status(operators, "/readyz").await == Some(StatusCode::OK)
    })
    .await;
}

/// Asks a process for its state, past its proxy.
async fn status(peers: SocketAddr) -> ProcessStatus {
    let process = ProcessId { name: ProcessName::new("status"), incarnation: Incarnation(1) };
    let identity = PeerIdentity { process, role: None };
    let secret = FleetSecret::new(SECRET.as_bytes());
    let connected = || PeerClient::connect(peers, &identity, &secret, WAIT_LIMIT);
    wait_until("a status", async || connected().await.is_ok()).await;
    let client = connected().await.unwrap();
    match client.call(&PeerCall::Status, WAIT_LIMIT).await.unwrap() {
        PeerReply::Status(status) => *status,
        reply => panic!("not a status: {reply:?}"),
    }
}

impl Entry {
    /// State of the process.
    pub async fn status(&self) -> ProcessStatus {
        status(self.peers).await
    }

    /// Waits until the readiness check passes.
    pub async fn wait_ready(&self) {
        wait_ready(self.operators).await;
    }

    /// Status of the readiness check, if it answers.
    pub async fn readiness(&self) -> Option<StatusCode> {
        Caller::get_status(self.operators, "/readyz").await
    }

    /// Kills the process and starts it again on the same VM.
    pub async fn restart(&mut self) {
        self.process.kill().await;
        self.start_again();
    }

    /// Starts the process again after it has ended.
    pub fn start_again(&mut self) {
        self.process = Process::start("entry restarted", &self.arguments);
    }
}

impl Side {
    /// State of the process.
    pub async fn status(&self) -> ProcessStatus {
        status(self.peers).await
    }

    /// Waits until the readiness check passes.
    pub async fn wait_ready(&self) {
        wait_ready(self.operators).await;
    }

    /// Kills the process and starts it again on the same VM.
    pub async fn restart(&mut self) {
        self.process.kill().await;
        self.process = Process::start("side restarted", &self.arguments);
    }
}
