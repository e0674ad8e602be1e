//! Measures CPU time, memory and added latency of the processes of the release binary.
//!
//! `cargo build --release && cargo run --release --example cost`; prints one JSON line per
//! measurement. All processes run on loopback and are killed by process id at the end.

use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use base::{Incarnation, Offset, ProcessId, ProcessName, Role};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use wire::{CopyState, Heartbeat, LogView, ModelCopy, TargetKind, TargetReport};

type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

const KEY: &str = "cost-key-5a1c";
const SEED: &str = "20261204";
/// Engines behind the measured entry process; a single engine saturates before the entry does.
const ENGINES: usize = 4;
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Child process that is killed when its handle is dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already, so errors are ignored.
        let _killed = self.0.kill();
        let _reaped = self.0.wait();
    }
}

impl Process {
    fn id(&self) -> u32 {
        self.0.id()
    }

    /// Returns the CPU time in microseconds, from `schedstat` if available, else from clock ticks.
    fn cpu_us(&self) -> Result<f64> {
        let mut nanos = 0.0;
        for task in fs::read_dir(format!("/proc/{}/task", self.id()))? {
            let Ok(text) = fs::read_to_string(task?.path().join("schedstat")) else {
                return self.cpu_us_from_ticks();
            };
            nanos += text.split(' ').next().unwrap_or_default().parse::<f64>()?;
        }
        Ok(nanos / 1_000.0)
    }

    fn cpu_us_from_ticks(&self) -> Result<f64> {
        let text = fs::read_to_string(format!("/proc/{}/stat", self.id()))?;
        let (_, fields) = text.rsplit_once(')').ok_or("no process name in /proc/PID/stat")?;
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let ticks = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
        Ok(ticks * 10_000.0)
    }

    /// Returns the resident memory in KB, assuming pages of 4 KB.
    fn resident_kb(&self) -> Result<f64> {
        let text = fs::read_to_string(format!("/proc/{}/statm", self.id()))?;
        Ok(text.split(' ').nth(1).ok_or("/proc/PID/statm has too few fields")?.parse::<f64>()?
            * 4.0)
    }
}

fn binary_path() -> Result<PathBuf> {
    let example = std::env::current_exe()?;
    let directory = example.parent().and_then(Path::parent).ok_or("no target directory")?;
    Ok(directory.join("plantainbeam"))
}

/// Returns loopback addresses with free ports; another process may take a port before it is used.
fn free_addresses(count: usize) -> Result<Vec<SocketAddr>> {
    let listeners: std::io::Result<Vec<_>> =
        (0..count).map(|_| TcpListener::bind("127.0.0.1:0")).collect();
    Ok(listeners?.iter().map(TcpListener::local_addr).collect::<std::io::Result<_>>()?)
}

fn start_stand_in(kind: &str, settings: &[String]) -> Result<(Process, SocketAddr)> {
    let mut command = Command::new(binary_path()?);
    command.args(["standin", "--kind", kind]).stdout(Stdio::piped());
    for setting in settings {
        command.args(["--set", setting]);
    }
    let mut process = Process(command.spawn()?);
    let mut line = String::new();
    BufReader::new(process.0.stdout.take().ok_or("the stand-in has no standard output")?)
        .read_line(&mut line)?;
    let address = line
        .trim()
        .strip_prefix("listening=")
        .ok_or("the stand-in did not print its address")?
        .parse()?;
    Ok((process, address))
}

fn start(role: &str, settings: &str, directory: &Path, name: &str) -> Result<Process> {
    let path = directory.join(format!("{name}.yaml"));
    fs::write(&path, settings)?;
    let log = fs::File::create(directory.join(format!("{name}.log")))?;
    let mut command = Command::new(binary_path()?);
    command.args([role, "--settings"]).arg(path).stderr(log);
    Ok(Process(command.spawn()?))
}

struct Deployment {
    entry: Process,
    sides: Vec<Process>,
    engines: Vec<(Process, SocketAddr)>,
    callers: SocketAddr,
    _platform: [Process; 2],
    _directory: tempfile::TempDir,
}

impl Deployment {
    fn start(targets: usize) -> Result<Self> {
        let directory = tempfile::tempdir()?;
        let addresses = free_addresses(targets + 2)?;
        let (callers, entry_peer) = (addresses[targets], addresses[targets + 1]);
        let vm = |name: &str, address: &SocketAddr, role: &str| {
            json!({"name": format!("vm-{name}"), "address": address, "role": role, "region": "r",
                "data_centre": "dc", "state": "live"})
        };
        let mut vms = vec![vm("entry-1", &entry_peer, "entry")];
        vms.extend((0..targets).map(|at| vm(&format!("side-{at}"), &addresses[at], "side")));
        let (log, log_address) = start_stand_in("log", &[])?;
        let (list, list_address) = start_stand_in("vm-list", &[format!("vms={}", json!(vms))])?;
        let common = |name: &str, peer: &SocketAddr| {
            format!(
                "process: {{name: {name}, vm: vm-{name}, region: r, data_centre: dc, peer_address: \
                 '{peer}', fleet_secret: secret of the cost run}}\nplatform: {{log_address: \
                 '{log_address}', vm_list_address: '{list_address}'}}\n"
            )
        };
        let settings = format!("{}caller_address: '{callers}'\n", common("entry-1", &entry_peer));
        let entry = start("entry", &settings, directory.path(), "entry-1")?;
        let model = json!([{"model": "m", "version": "v1", "memory_mb": 8000}]);
        let (mut sides, mut engines, mut listed) = (Vec::new(), Vec::new(), String::new());
        for (at, peer) in addresses.iter().take(targets).enumerate() {
            let settings = [format!("models={model}"), "token_us=0".into(), "batch=512".into()];
            let engine = start_stand_in("engine", &settings)?;
            let common = common(&format!("side-{at}"), peer);
            let settings = format!("{common}target: t{at}\ntarget_address: '{}'\n", engine.1);
            sides.push(start("side", &settings, directory.path(), &format!("side-{at}"))?);
            engines.push(engine);
            listed += &format!(
                "      - {{name: t{at}, data_centre: dc, memory_mb: 24000, batch: 512, \
                 tokens_per_s: 100000, honours_fencing: true}}\n"
            );
        }
        let sha256 = config::format_sha256(&Sha256::digest(KEY).into());
        let base = format!(
            "name: cost\ndata_centres:\n  - {{name: dc, region: r}}\ncustomers:\n  - {{name: c, \
             rate_tokens_per_s: 100000000, burst_tokens: 400000000}}\nkeys:\n  - {{name: k, \
             customer: c, sha256: {sha256}}}\nservices:\n  - name: s\n    targets:\n{listed}\
             models:\n  - {{name: m, version: v1, service: s, memory_mb: 8000, residency: always, \
             load_ms: 100}}\nweight_store: {{loads_per_1000_s: 4000, concurrent_loads: 4}}\n"
        );
        let path = directory.path().join("base.yaml");
        fs::write(&path, base)?;
        let published = Command::new(binary_path()?)
            .args(["publish", "--log", &log_address.to_string(), "--made-from", "0", "--base"])
            .arg(path)
            .output()?;
        if !published.status.success() {
            return Err(String::from_utf8_lossy(&published.stdout).into_owned().into());
        }
        let platform = [log, list];
        let deployment =
            Self { entry, sides, engines, callers, _platform: platform, _directory: directory };
        let end = Instant::now() + READY_TIMEOUT;
        while !deployment
            .load(&["--seconds", "1", "--rate", "20"])
            .is_ok_and(|load| load["failed"] == 0)
        {
            if Instant::now() > end {
                return Err("the entry process did not get ready".into());
            }
        }
        Ok(deployment)
    }

    /// Generates load through the entry process.
    fn load(&self, arguments: &[&str]) -> Result<Value> {
        run_load(self.callers, &["--key", KEY], arguments)
    }

    /// Runs `work`, adds the CPU time and memory of the entry process and the first side process to
    /// its result, and prints it.
    fn observe(&self, name: &str, work: impl FnOnce() -> Result<Value>) -> Result<Value> {
        let entry_before = self.entry.cpu_us()?;
        let side_before = self.sides[0].cpu_us()?;
        let started = Instant::now();
        let mut result = work()?;
        let elapsed_us = started.elapsed().as_secs_f64() * 1e6;
        let entry_us = self.entry.cpu_us()? - entry_before;
        let side_us = self.sides[0].cpu_us()? - side_before;
        result["measure"] = json!(name);
        result["entry_core_percent"] = json!(entry_us / elapsed_us * 100.0);
        result["side_core_percent"] = json!(side_us / elapsed_us * 100.0);
        if let (Some(requests), Some(tokens)) =
            (result["answered"].as_f64(), result["tokens"].as_f64())
        {
            let side_count = self.sides.len() as f64;
            result["entry_us_per_request"] = json!(entry_us / requests);
            result["entry_us_per_token"] = json!(entry_us / tokens);
            result["side_us_per_request"] = json!(side_us * side_count / requests);
            result["side_us_per_token"] = json!(side_us * side_count / tokens);
        }
        result["entry_resident_kb"] = json!(self.entry.resident_kb()?);
        result["side_resident_kb"] = json!(self.sides[0].resident_kb()?);
        println!("{result}");
        Ok(result)
    }

    fn idle(&self, name: &str) -> Result<Value> {
        self.observe(name, || {
            sleep(Duration::from_secs(10));
            Ok(json!({"targets": self.sides.len()}))
        })
    }
}

fn run_load(address: SocketAddr, target: &[&str], arguments: &[&str]) -> Result<Value> {
    let output = Command::new(binary_path()?)
        .args(["measure", "--load", "--json", "--model", "m", "--seed", SEED, "--address"])
        .arg(address.to_string())
        .args(target)
        .args(arguments)
        .output()?;
    Ok(serde_json::from_slice(&output.stdout)?)
}

/// Changes settings of a running stand-in.
fn update_settings(address: SocketAddr, settings: &Value) -> Result<()> {
    let body = settings.to_string();
    let mut stream = TcpStream::connect(address)?;
    write!(
        stream,
        "POST /control HTTP/1.1\r\nhost: s\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    if answer.contains("200 OK") { Ok(()) } else { Err(answer.into()) }
}

fn heartbeat_bytes(copies: u32) -> Result<usize> {
    let model = |at| ModelCopy {
        model: format!("caption-model-{at:02}").into(),
        state: CopyState::Resident,
    };
    let target = TargetReport {
        target: "llais-01".into(),
        service: "llais-models".into(),
        kind: TargetKind::Engine,
        healthy: true,
        quarantined: false,
        models: (0..copies).map(model).collect(),
        adapters: Vec::new(),
        capacity_mb: 80_000,
        used_mb: 64_000,
        queued_tokens: 12_000,
        running: 8,
        batch: 8,
        tokens_per_s: 4_000,
        sample_age_ms: 100,
    };
    let incarnation = Incarnation(1_796_000_000_000);
    let heartbeat = Heartbeat {
        from: ProcessId { name: ProcessName::new("side-llais-01"), incarnation },
        role: Role::Side,
        region: "cymru-de".into(),
        data_centre: "caerdydd-a".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 20_111)),
        config_offset: Offset(5_100),
        log: LogView { end_read_age_ms: Some(250) },
        draining: false,
        target: Some(target),
        demand: Vec::new(),
    };
    Ok(wire::encode(&heartbeat)?.len())
}

fn measure_requests() -> Result<()> {
    let deployment = Deployment::start(ENGINES)?;
    deployment.idle("idle")?;
    let small = ["--seconds", "6", "--connections", "64"];
    let saturated = deployment.observe("small, as fast as possible", || deployment.load(&small))?;
    let rate =
        saturated["requests_per_s"].as_f64().ok_or("the load result has no requests_per_s")? / 2.0;
    deployment
        .observe("small, 100 a second", || deployment.load(&["--seconds", "4", "--rate", "100"]))?;
    let format_rate = |rate: f64| rate.to_string();
    deployment.observe("small, half load", || {
        deployment.load(&["--seconds", "6", "--connections", "64", "--rate", &format_rate(rate)])
    })?;
    // The same request rate that this engine gets when the entry process distributes the load.
    let direct_rate = format_rate(rate / ENGINES as f64);
    let arguments = ["--seconds", "6", "--connections", "64", "--rate", &direct_rate];
    let mut direct = run_load(deployment.engines[0].1, &["--engine"], &arguments)?;
    direct["measure"] = json!("small, direct at the same load per engine");
    println!("{direct}");
    let streamed = ["--seconds", "6", "--connections", "64", "--streamed", "--tokens", "200"];
    deployment.observe("streamed, as fast as possible", || deployment.load(&streamed))?;
    for (_, address) in &deployment.engines {
        update_settings(*address, &json!({"token_us": 20_000}))?;
    }
    for connections in ["100", "400"] {
        let open =
            ["--seconds", "1", "--streamed", "--tokens", "200", "--connections", connections];
        std::thread::scope(|scope| -> Result<()> {
            let load = scope.spawn(|| deployment.load(&open).map_err(|error| error.to_string()));
            sleep(Duration::from_secs(2));
            let name = format!("{connections} open streams, 50 tokens a second each");
            deployment.observe(&name, || {
                sleep(Duration::from_secs(1));
                Ok(json!({}))
            })?;
            let result = load.join().map_err(|_| "the load panicked")??;
            println!("{result}");
            Ok(())
        })?;
    }
    Ok(())
}

fn main() -> Result<()> {
    for copies in [1, 15, 40] {
        println!("{}", json!({"heartbeat_copies": copies, "bytes": heartbeat_bytes(copies)?}));
    }
    measure_requests()?;
    for targets in [3, 10, 30] {
        Deployment::start(targets)?.idle("idle by targets")?;
    }
    Ok(())
}
