//! A small deployment on loopback addresses: the configuration, the workers' entries and gateways as
//! separate processes.

use std::fs::{self, File};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Connection, call};

pub const HOST: &str = "editor.example";
pub const KEY: &str = "key-of-the-chapel";
pub const SERVICE: &str = "teyrnged-app";
/// Longest wait for a process to become ready.
const START_LIMIT: Duration = Duration::from_secs(15);

/// A loopback address that belongs to this run, so that its ports are free; `machine` tells the
/// machines of a run apart.
pub fn own_ip(machine: u8) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 40 + machine, high, low.clamp(1, 254))
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis())
}

/// A route to the plain service.
pub struct Route {
    pub name: &'static str,
    pub kind: &'static str,
    pub attempts: u32,
    pub timeout_ms: u64,
}

/// The operators' configuration, version 1.
pub fn configuration(routes: &[Route]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                "{{\"name\":\"{0}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{0}/\",\"kind\":\"{1}\",\
                 \"timeout_ms\":{2},\"target_latency_ms\":300,\"priority\":1,\
                 \"service\":\"{SERVICE}\",\"attempts\":{3},\"anonymous\":false,\"sticky\":false,\
                 \"resumable\":false}}",
                route.name, route.kind, route.timeout_ms, route.attempts
            )
        })
        .collect();
    format!(
        "{{\"version\":1,\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"health_path\":\"/health\",\"connection_limit\":110}}],\"tenants\":[{{\"name\":\"chapel\",\
         \"keys\":[\"{KEY}\"],\"rate_per_s\":0,\"burst\":0,\"unit\":\"tokens\",\
         \"plain_tokens\":100}}],\"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\
         \"header_timeout_ms\":5000,\"idle_timeout_ms\":20000}}}}",
        routes.join(",")
    )
}

/// Name of the service with engines.
pub const ENGINE_SERVICE: &str = "llais-models";

/// The operators' configuration, version 1, of a service with engines.
pub fn engine_configuration(models: &[String], model_mb: u32, engine_mb: u32) -> String {
    let models: Vec<String> = models
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"weights_mb\":{model_mb},\"load_s\":4.2,\"warm_s\":0.63,\
                 \"disk_s\":0.84,\"adapters\":0,\"adapter_mb\":66}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"captions\",\"host\":\"{HOST}\",\
         \"path_prefix\":\"/captions/\",\"kind\":\"streaming\",\"timeout_ms\":6000,\
         \"target_latency_ms\":800,\"gap_target_ms\":400,\"priority\":1,\
         \"service\":\"{ENGINE_SERVICE}\",\"attempts\":2,\"anonymous\":false,\"sticky\":true,\
         \"resumable\":true}}],\"services\":[{{\"name\":\"{ENGINE_SERVICE}\",\
         \"health_path\":\"/health\",\"connection_limit\":370,\"engine\":{{\"slots\":64,\
         \"cache_tokens\":283072,\"stride\":4,\"max_count\":4,\"weights_mb\":{engine_mb},\
         \"adapter_slots\":8,\"loads_per_s\":1.4,\"host_memory_mb\":0,\"disk_mb\":380000,\
         \"models\":[{}]}}}}],\"tenants\":[{{\"name\":\"chapel\",\"keys\":[\"{KEY}\"],\
         \"rate_per_s\":0,\"burst\":0,\"unit\":\"tokens\",\"plain_tokens\":100}}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\
         \"header_timeout_ms\":5000,\"idle_timeout_ms\":20000}}}}",
        models.join(",")
    )
}

/// Entry of a plain worker in the store's list.
pub fn entry(address: SocketAddr, zone: &str, state: &str, born_ms: u128, number: u64) -> String {
    format!(
        "{{\"service\":\"{SERVICE}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
         \"version\":\"v1\",\"slots\":6,\"state\":\"{state}\",\"cold_remaining_ms\":0,\
         \"sequence\":{number},\"born\":{born_ms}}}"
    )
}

/// Bytes of a request of the tenant.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, body: &[u8]) -> Vec<u8> {
    let length = match method {
        "GET" => String::new(),
        _ => format!("Content-Length: {}\r\n", body.len()),
    };
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nPlantainbeam-Attempt-Id: {id}\r\n\
         Plantainbeam-Deadline-Milliseconds: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n\
         {length}\r\n"
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A process that is killed by its id when dropped.
pub struct Process(pub Child);

impl Drop for Process {
    fn drop(&mut self) {
        // Fails only if the process has ended.
        let _killed = self.0.kill();
        let _reaped = self.0.wait();
    }
}

/// A folder for the files of a run, removed when dropped.
pub struct Folder(PathBuf);

impl Folder {
    pub fn create() -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _removed = fs::remove_dir_all(&self.0);
    }
}

/// A gateway as the deploy file starts it.
pub struct Gateway {
    pub name: String,
    pub process: Process,
    pub callers: SocketAddr,
    ready: SocketAddr,
    log: PathBuf,
}

impl Gateway {
    /// Starts the program of the deploy file from the repository's root, which is the current folder.
    pub fn start(
        folder: &Folder,
        machine: u8,
        name: &str,
        zone: &str,
        store: SocketAddr,
    ) -> io::Result<Self> {
        let ip = IpAddr::from(own_ip(machine));
        let callers = SocketAddr::new(ip, 8_221);
        let ready = SocketAddr::new(ip, 8_224);
        let settings = format!(
            "node={name}\nrole=gateway\nmachine_class=front\nserves=front\nip_address={ip}\n\
             zone={zone}\nregion=cymru-de\nzones.caerdydd-a=cymru-de\nzones.caerdydd-b=cymru-de\n\
             listen.front={callers}\nlisten.ready_address={ready}\ninternal_ports=7600,7615\n\
             first_start=true\nlimits.cpu_share=0.19\nlimits.memory_mb=260\n\
             limits.file_descriptors=4100\ndiscovery=platform\nheartbeat_ms=1200\n\
             bounds.contact_ms=3000\nbounds.drain_ms=2000\nbounds.grace_s=8\n\
             bounds.configuration_ms=2000\nbounds.revocation_ms=5000\nbounds.budget_ratio=0.2\n\
             bounds.budget_window_s=10\nbounds.budget_slack=56\nbounds.quota_window_s=8\n\
             bounds.quota_overage=0.1\nbounds.quota_slack=110000\nbounds.pass_ms=120\n\
             bounds.lease_ms=3000\nplatform_settings.address={store}\nplatform_settings.form=log\n\
             platform_settings.parts=8\nplatform_settings.keep_s=300\n"
        );
        let path = folder.0.join(format!("{name}.conf"));
        fs::write(&path, settings)?;
        let log = folder.0.join(format!("{name}.log"));
        let child = Command::new("target/release/plantainbeam")
            .arg("gateway")
            .env("PLANTAINBEAM_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(File::create(&log)?)
            .stderr(Stdio::null())
            .spawn()?;
        Ok(Self { name: name.to_owned(), process: Process(child), callers, ready, log })
    }

    /// Waits until the gateway says that it is ready.
    pub fn wait_ready(&self) -> io::Result<()> {
        let end = Instant::now() + START_LIMIT;
        while Instant::now() < end {
            if let Ok(mut connection) = Connection::open(self.ready, Duration::from_millis(200)) {
                let probe = b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n";
                if call(&mut connection, probe, Duration::from_secs(1)).status() == 200 {
                    return Ok(());
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::new(io::ErrorKind::TimedOut, format!("{} is not ready", self.name)))
    }

    /// How the process ended, if it has.
    pub fn exit(&mut self) -> Option<String> {
        self.process.0.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Log lines that contain one of the texts.
    pub fn log_lines(&self, texts: &[&str]) -> Vec<String> {
        lines_with(&self.log, texts)
    }
}

/// An agent as the deploy file starts it, beside an engine on the same machine.
pub struct Agent {
    pub name: String,
    _process: Process,
    log: PathBuf,
}

impl Agent {
    /// Starts the program of the deploy file from the repository's root, which is the current folder.
    pub fn start(
        folder: &Folder,
        machine: u8,
        name: &str,
        engine: SocketAddr,
        store: SocketAddr,
    ) -> io::Result<Self> {
        let ip = own_ip(machine);
        let settings = format!(
            "node={name}\nrole=agent\nmachine_class=side\nserves=\nip_address={ip}\n\
             zone=caerdydd-a\nregion=cymru-de\nzones.caerdydd-a=cymru-de\ninternal_ports=7600,7615\n\
             app={engine}\nservice={ENGINE_SERVICE}\nfirst_start=true\nheartbeat_ms=1200\n\
             bounds.checks_fence=true\nbounds.lease_ms=3000\nplatform_settings.address={store}\n\
             platform_settings.form=log\nplatform_settings.parts=8\n"
        );
        let path = folder.0.join(format!("{name}.conf"));
        fs::write(&path, settings)?;
        let log = folder.0.join(format!("{name}.log"));
        let child = Command::new("target/release/plantainbeam")
            .arg("agent")
            .env("PLANTAINBEAM_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(File::create(&log)?)
            .stderr(Stdio::null())
            .spawn()?;
        Ok(Self { name: name.to_owned(), _process: Process(child), log })
    }

    /// Log lines that contain one of the texts.
    pub fn log_lines(&self, texts: &[&str]) -> Vec<String> {
        lines_with(&self.log, texts)
    }
}

fn lines_with(log: &Path, texts: &[&str]) -> Vec<String> {
    let log = fs::read_to_string(log).unwrap_or_default();
    let shown = |line: &&str| texts.iter().any(|text| line.contains(text));
    log.lines().filter(shown).map(str::to_owned).collect()
}

/// Whether the script runs with the disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Lines of what was sent, answered and run, with the time since the start of the run.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: std::sync::Arc<std::sync::Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { started: Instant::now(), lines: std::sync::Arc::default() }
    }

    pub fn note(&self, text: impl Into<String>) {
        let line = format!("{:9.3} s  {}", self.started.elapsed().as_secs_f64(), text.into());
        self.lines.lock().unwrap().push(line);
    }

    pub fn write(&self, path: &Path) -> io::Result<()> {
        fs::write(path, self.lines.lock().unwrap().join("\n") + "\n")
    }
}
