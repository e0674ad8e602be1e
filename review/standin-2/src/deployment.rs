//! A small deployment on loopback addresses: a store, gateways, and workers with agents beside them.

use std::fs::{self, File};
use std::io::{self, BufRead, BufReader};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::engine::{EngineOptions, entry};
use crate::http::get_status;
use crate::record::Record;
use crate::store::Store;

/// Interval in which a worker writes its entry, in milliseconds.
const HEARTBEAT_MS: u64 = 600;
/// Time without a sign of a worker after which its entry is removed.
const ENTRY_LIFETIME: Duration = Duration::from_millis(3 * HEARTBEAT_MS);
/// First of the ports for callers that are tried, and how far apart they are.
const FIRST_BASE_PORT: u16 = 8_221;
const PORT_STEP: u16 = 50;
/// Ports of workers and of messages between processes, after that for callers.
const ENGINE_PORT: u16 = 7;
const PEER_PORT: u16 = 20;
/// Data centre of all machines.
pub const ZONE: &str = "zone-a";
/// Service of the workers.
pub const SERVICE: &str = "models";
/// Model of the service.
pub const MODEL: &str = "model-a";
/// Key of the only customer.
pub const KEY: &str = "key-of-the-caller";
/// Host of the route.
pub const HOST: &str = "calls.example";

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Option of `prctl` for the signal that a process gets when the one that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: i32 = 9;

/// Starts a process that ends at the latest with this one.
fn spawn(command: &mut Command) -> io::Result<Child> {
    let end_with_parent = || {
        // SAFETY: the call only sets a property of the calling process.
        let _set = unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL as u64) };
        Ok(())
    };
    // SAFETY: the closure calls nothing that is unsafe between fork and exec.
    unsafe { command.pre_exec(end_with_parent) }.spawn()
}

/// Signals by their numbers on Linux.
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// A process of the system or a worker.
struct Process {
    child: Child,
}

impl Process {
    fn signal(&self, signal: i32) {
        // SAFETY: the process was started here and has not been waited for, so its id is its own.
        let _sent = unsafe { kill(self.child.id() as i32, signal) };
    }

    fn end(&mut self) {
        let _killed = self.child.kill();
        let _waited = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.end();
    }
}

/// A machine with one process of the system, which can be started again.
pub struct Machine {
    pub name: String,
    pub ip: IpAddr,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    process: Mutex<Option<Process>>,
}

impl Machine {
    fn lock(&self) -> MutexGuard<'_, Option<Process>> {
        self.process.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = spawn(
            Command::new("target/release/plantainbeam")
                .arg(self.role)
                .env("PLANTAINBEAM_SETTINGS", &self.settings)
                .stdout(log.try_clone()?)
                .stderr(log)
                .stdin(Stdio::null()),
        )?;
        *self.lock() = Some(Process { child });
        Ok(())
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        if let Some(process) = self.lock().as_ref() {
            process.signal(signal);
        }
    }

    /// Kills the process.
    pub fn kill(&self) {
        self.lock().take();
    }

    /// Waits for the end of the process.
    pub fn wait(&self) {
        if let Some(mut process) = self.lock().take() {
            let _waited = process.child.wait();
        }
    }
}

/// A worker, which writes its entry while it lives.
pub struct Worker {
    pub options: EngineOptions,
    process: Mutex<Option<Process>>,
    born_ms: AtomicU64,
    holds_model: AtomicBool,
    is_draining: AtomicBool,
    /// Whether the worker has left for good.
    has_left: AtomicBool,
}

impl Worker {
    fn lock(&self) -> MutexGuard<'_, Option<Process>> {
        self.process.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Kills the process; the kernel closes its connections.
    pub fn kill(&self) {
        self.lock().take();
    }

    /// Whether the process has ended.
    pub fn has_ended(&self) -> bool {
        self.lock().as_mut().is_none_or(|process| !matches!(process.child.try_wait(), Ok(None)))
    }
}

/// The machines, the store and the record.
pub struct Deployment {
    pub record: Record,
    pub store: Store,
    folder: PathBuf,
    net: [u8; 2],
    peer_port: u16,
    pub caller_port: u16,
    /// Lines of the workers: id of the worker, line.
    pub runs: Arc<Mutex<Vec<(f64, String, String)>>>,
}

impl Deployment {
    /// Starts the store and writes the configuration; `route` holds what the route says beyond its names,
    /// its kind first.
    pub fn start(record: Record, route: &str, deadline_ms: u64) -> io::Result<Self> {
        let pid = std::process::id();
        let nanos =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.subsec_nanos());
        let net = [(pid % 120 + 100) as u8, (nanos / 1_000 % 250 + 1) as u8];
        let folder = std::env::temp_dir().join(format!("review-standin-2-{pid}"));
        fs::create_dir_all(&folder)?;
        let first = Ipv4Addr::new(127, net[0], net[1], 2);
        let base = free_ports(first)?;
        let store = Store::start(Ipv4Addr::new(127, net[0], net[1], 1).into())?;
        let deployment = Self {
            record,
            store,
            folder,
            net,
            peer_port: base + PEER_PORT,
            caller_port: base,
            runs: Arc::default(),
        };
        let configuration = format!(
            "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"path_prefix\":\"/calls/\",\
             \"kind\":{route},\"timeout_ms\":{deadline_ms},\"target_latency_ms\":1500,\"priority\":1,\
             \"service\":\"{SERVICE}\",\"anonymous\":false,\"sticky\":true,\"gap_target_ms\":400}}],\
             \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\"connection_limit\":370,\
             \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"cache_tokens\":283072,\"stride\":4,\
             \"max_count\":12,\"host_memory_mb\":130000.0,\"disk_mb\":380000.0,\"models\":[{{\"name\":\"{MODEL}\",\"weights_mb\":60000.0,\"load_s\":1.2,\
             \"adapters\":0,\"adapter_mb\":12.0,\"warm_s\":0.44,\"disk_s\":0.57}}],\"weights_mb\":100000.0,\"adapter_slots\":8,\
             \"loads_per_s\":1.4}}}}],\"limits\":{{\"header_bytes\":16384,\"body_bytes\":1048576,\
             \"header_timeout_ms\":5000,\"idle_timeout_ms\":30000}},\"tenants\":[{{\"name\":\"customer\",\
             \"keys\":[\"{KEY}\"],\"rate_per_s\":0,\"burst\":0}}]}}"
        );
        deployment.store.put("keyed.op", "config", &configuration);
        Ok(deployment)
    }

    fn ip(&self, number: u8) -> IpAddr {
        Ipv4Addr::new(127, self.net[0], self.net[1], number).into()
    }

    /// A machine that runs the gateway.
    pub fn gateway(&self, number: u8) -> io::Result<Machine> {
        self.gateway_behind(number, self.store.address)
    }

    /// A machine that runs the gateway and reaches the store at an address.
    pub fn gateway_behind(&self, number: u8, store: SocketAddr) -> io::Result<Machine> {
        let name = format!("front-{ZONE}-{number}");
        self.machine("gateway", name, self.ip(number), None, store)
    }

    /// The machine beside a worker, which runs the agent.
    pub fn agent(&self, worker: &Worker) -> io::Result<Machine> {
        let address = worker.options.address;
        let ip = address.ip();
        self.machine("agent", format!("side-{ZONE}-{ip}"), ip, Some(address), self.store.address)
    }

    fn machine(
        &self,
        role: &'static str,
        name: String,
        ip: IpAddr,
        engine: Option<SocketAddr>,
        store: SocketAddr,
    ) -> io::Result<Machine> {
        let class = if engine.is_some() { "side" } else { "front" };
        let mut settings = format!(
            "node={name}\nrole={role}\nmachine_class={class}\nip_address={ip}\nzone={ZONE}\nregion=region-a\n\
             zones.{ZONE}=region-a\nlisten.front={ip}:{}\nlisten.ready_address={ip}:{}\ninternal_ports={},{}\n\
             first_start=false\nlimits.cpu_share=0.19\nlimits.cores=1\nlimits.memory_mb=260\n\
             limits.file_descriptors=4100\ndiscovery=platform\nentry=virtual_ip\nheartbeat_ms={HEARTBEAT_MS}\n\
             bounds.reuse_after_s=2\nbounds.contact_ms=3000\nbounds.acknowledge_ms=4000\nbounds.drain_ms=2000\n\
             bounds.grace_s=8\nbounds.loss_slack_ms=200\nbounds.configuration_ms=2000\nbounds.downgrade_ms=250\n\
             bounds.outer_ms=5000\nbounds.revoke_everywhere=true\nbounds.revocation_ms=5000\n\
             bounds.budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.budget_slack=58\n\
             bounds.quota_window_s=8\nbounds.quota_overage=0.1\nbounds.quota_slack=110000\n\
             bounds.recovery_s=12\nbounds.pass_ms=120\nbounds.checks_fence=true\nbounds.lease_ms=3000\n\
             bounds.thaw_ms=300\nbounds.ceiling_window_s=5\nbounds.ceiling_overage=1.1\n\
             platform_settings.address={}\nplatform_settings.form=log\nplatform_settings.parts=8\n\
             platform_settings.minimum_lifetime_ms=1000\n",
            self.caller_port,
            self.caller_port + 1,
            self.peer_port,
            self.peer_port + 15,
            store,
        );
        if let Some(engine) = engine {
            settings.push_str(&format!("app={engine}\nservice={SERVICE}\n"));
        }
        let path = self.folder.join(format!("{name}.conf"));
        fs::write(&path, settings)?;
        let log = self.folder.join(format!("{name}.log"));
        Ok(Machine { name, ip, role, settings: path, log, process: Mutex::new(None) })
    }

    /// Address at which a gateway answers callers.
    pub fn caller_address(&self, gateway: &Machine) -> SocketAddr {
        SocketAddr::new(gateway.ip, self.caller_port)
    }

    /// Waits until a gateway says that it is ready.
    pub fn wait_until_ready(&self, gateway: &Machine, limit: Duration) -> io::Result<()> {
        let until = Instant::now() + limit;
        let address = SocketAddr::new(gateway.ip, self.caller_port + 1);
        while Instant::now() < until {
            if get_status(address, "/ready").is_ok_and(|status| status == 200) {
                return Ok(());
            }
            sleep(Duration::from_millis(50));
        }
        Err(io::Error::new(io::ErrorKind::TimedOut, format!("{} is not ready", gateway.name)))
    }

    /// Options of a worker on its own machine that holds the model from the start.
    pub fn engine(&self, number: u8, id: &str, version: &str) -> EngineOptions {
        EngineOptions {
            address: SocketAddr::new(self.ip(number), self.caller_port + ENGINE_PORT),
            id: id.to_owned(),
            version: version.to_owned(),
            model: MODEL.to_owned(),
            holds_model: true,
            has_copy: false,
            event_ms: 80,
            unframed: false,
            deadly_part: String::new(),
            head_first: false,
        }
    }

    /// Starts a worker, which registers itself until it has left.
    pub fn start_worker(&self, options: EngineOptions) -> io::Result<Arc<Worker>> {
        let worker = Arc::new(Worker {
            options,
            process: Mutex::new(None),
            born_ms: AtomicU64::new(0),
            holds_model: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
            has_left: AtomicBool::new(false),
        });
        let options = worker.options.clone();
        self.start_process(&worker, &options)?;
        let (beating, store, record) =
            (Arc::clone(&worker), self.store.clone(), self.record.clone());
        thread::spawn(move || beat(&beating, &store, &record));
        Ok(worker)
    }

    /// Starts a worker again under its id after a crash; it holds nothing, but its disk has a copy.
    pub fn restart_worker(&self, worker: &Arc<Worker>) -> io::Result<()> {
        let options =
            EngineOptions { holds_model: false, has_copy: true, ..worker.options.clone() };
        self.start_process(worker, &options)
    }

    fn start_process(&self, worker: &Arc<Worker>, options: &EngineOptions) -> io::Result<()> {
        let mut child = spawn(
            Command::new(std::env::current_exe()?)
                .args(options.arguments())
                .stdin(Stdio::null())
                .stdout(Stdio::piped()),
        )?;
        let output = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let mut lines = BufReader::new(output).lines();
        let started = lines.next().ok_or(io::ErrorKind::UnexpectedEof)??;
        let born_ms =
            started.strip_prefix("started ").and_then(|time| time.parse().ok()).unwrap_or(0);
        worker.holds_model.store(options.holds_model, Ordering::Relaxed);
        worker.born_ms.store(born_ms, Ordering::Relaxed);
        *worker.lock() = Some(Process { child });
        self.record
            .note(&format!("worker {} {} started", worker.options.id, worker.options.version));
        let (record, runs, id) =
            (self.record.clone(), Arc::clone(&self.runs), worker.options.id.clone());
        let holder = Arc::clone(worker);
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                if line == "holds the model" {
                    holder.holds_model.store(true, Ordering::Relaxed);
                }
                record.note(&format!("worker {id} {line}"));
                let mut runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
                runs.push((record.seconds(), id.clone(), line));
            }
        });
        Ok(())
    }

    /// The worker reports that it leaves.
    pub fn drain(&self, worker: &Worker) {
        self.record.note(&format!("worker {} draining", worker.options.id));
        worker.is_draining.store(true, Ordering::Relaxed);
        write_entry(worker, &self.store);
    }

    /// The entry of a worker is removed, and the worker serves on.
    pub fn remove_entry(&self, worker: &Worker) {
        worker.has_left.store(true, Ordering::Relaxed);
        self.store.put("keyed.servers", &worker.options.id, "");
        self.record.note(&format!("entry of worker {} removed", worker.options.id));
    }

    /// The worker leaves: its entry is removed and its process exits.
    pub fn leave(&self, worker: &Worker) {
        worker.has_left.store(true, Ordering::Relaxed);
        self.store.put("keyed.servers", &worker.options.id, "");
        worker.kill();
        self.record.note(&format!("worker {} has left", worker.options.id));
    }

    /// Removes the folder with settings and logs; `KEEP=1` keeps it.
    pub fn clean(&self) {
        if std::env::var("KEEP").is_ok() {
            println!("logs: {}", self.folder.display());
        } else {
            let _removed = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Finds a base from which all ports of a machine are free. They are below those that the kernel gives to
/// clients, and the same on all machines.
fn free_ports(ip: Ipv4Addr) -> io::Result<u16> {
    let is_free = |base: &u16| {
        let ports = [*base, base + 1, base + ENGINE_PORT, base + PEER_PORT];
        ports.iter().all(|port| TcpListener::bind((ip, *port)).is_ok())
            && UdpSocket::bind((ip, base + PEER_PORT)).is_ok()
    };
    (0..100)
        .map(|step| FIRST_BASE_PORT + step * PORT_STEP)
        .find(is_free)
        .ok_or_else(|| io::ErrorKind::AddrInUse.into())
}

fn write_entry(worker: &Worker, store: &Store) {
    let state = if worker.is_draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
    let born_ms = worker.born_ms.load(Ordering::Relaxed);
    let holds_model = worker.holds_model.load(Ordering::Relaxed);
    let value = entry(&worker.options, SERVICE, ZONE, born_ms, state, holds_model);
    store.put("keyed.servers", &worker.options.id, &value);
}

/// Writes the worker's entry while it lives; removes it after three intervals of silence.
fn beat(worker: &Worker, store: &Store, record: &Record) {
    let mut alive_at = Instant::now();
    let mut is_listed = false;
    while !worker.has_left.load(Ordering::Relaxed) {
        if !worker.has_ended() {
            alive_at = Instant::now();
            is_listed = true;
            write_entry(worker, store);
        } else if is_listed && alive_at.elapsed() >= ENTRY_LIFETIME {
            is_listed = false;
            record.note(&format!("entry of worker {} removed", worker.options.id));
            store.put("keyed.servers", &worker.options.id, "");
        }
        // A worker that starts again registers at once.
        let born_ms = worker.born_ms.load(Ordering::Relaxed);
        let holds_model = worker.holds_model.load(Ordering::Relaxed);
        let until = Instant::now() + Duration::from_millis(HEARTBEAT_MS);
        while Instant::now() < until
            && worker.born_ms.load(Ordering::Relaxed) == born_ms
            && worker.holds_model.load(Ordering::Relaxed) == holds_model
        {
            sleep(Duration::from_millis(10));
        }
    }
}
