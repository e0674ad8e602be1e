//! The project's programs, each on a loopback address of its own.

use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;

/// Programs that were started and have not been ended.
static RUNNING: Mutex<Vec<(String, Child)>> = Mutex::new(Vec::new());

/// Ends all programs that were started.
pub fn end_all() {
    let mut running = RUNNING.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    for (_, mut child) in running.drain(..) {
        let _killed = child.kill();
        let _ended = child.wait();
    }
    let _removed = fs::remove_dir_all(folder());
}

/// Folder for settings files and logs.
pub fn folder() -> PathBuf {
    std::env::temp_dir().join(format!("review-3-{}", std::process::id()))
}

/// A loopback address that belongs to this run of a case.
pub fn address(host: u8) -> Ipv4Addr {
    let id = std::process::id();
    Ipv4Addr::new(127, 50 + (id / 250 % 200) as u8, 1 + (id % 250) as u8, host)
}

/// Address of the store.
pub fn store_address() -> SocketAddr {
    (address(200), 8225).into()
}

/// Address at which a gateway takes requests.
pub fn caller_address(host: u8) -> SocketAddr {
    (address(host), 8221).into()
}

/// Address at which a gateway says whether it is ready.
pub fn ready_address(host: u8) -> SocketAddr {
    (address(host), 8224).into()
}

/// Address of the engine on a side machine.
pub fn engine_address(host: u8) -> SocketAddr {
    (address(host), 8228).into()
}

/// Settings that all machines share, with the figures of the small deployments' sheets.
fn common(node: &str, host: u8) -> String {
    let (ip, store) = (address(host), store_address());
    format!(
        "node={node}\nip_address={ip}\nzone=caerdydd-a\nregion=cymru-de\nzones.caerdydd-a=cymru-de\n\
         internal_ports=7600,7615\nfirst_start=true\nheartbeat_ms=1200\n\
         limits.memory_mb=260\nlimits.file_descriptors=4100\n\
         bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.contact_ms=3000\nbounds.drain_ms=2000\n\
         bounds.grace_s=8\nbounds.configuration_ms=2000\nbounds.downgrade_ms=250\n\
         bounds.revocation_ms=5000\nbounds.budget_ratio=0.2\nbounds.budget_window_s=10\n\
         bounds.budget_slack=56\nbounds.quota_window_s=8\nbounds.quota_overage=0.1\n\
         bounds.quota_slack=110000\nbounds.pass_ms=120\nbounds.checks_fence=true\nbounds.lease_ms=3000\n\
         bounds.ceiling_window_s=5\nbounds.ceiling_overage=1.1\n\
         platform_settings.address={store}\nplatform_settings.form=log\nplatform_settings.parts=8\n"
    )
}

/// Starts a gateway.
pub fn start_gateway(node: &str, host: u8) -> io::Result<()> {
    let settings = format!(
        "{}listen.front={}\nlisten.ready_address={}\n",
        common(node, host),
        caller_address(host),
        ready_address(host)
    );
    start("gateway", node, &settings)
}

/// Starts the agent beside the engine of a side machine.
pub fn start_agent(node: &str, host: u8, service: &str) -> io::Result<()> {
    let settings =
        format!("{}app={}\nservice={service}\n", common(node, host), engine_address(host));
    start("agent", node, &settings)
}

fn start(command: &str, node: &str, settings: &str) -> io::Result<()> {
    fs::create_dir_all(folder())?;
    let path = folder().join(format!("{node}.conf"));
    fs::write(&path, settings)?;
    let log = File::create(folder().join(format!("{node}.log")))?;
    let child = Command::new("target/release/plantainbeam")
        .arg(command)
        .env("PLANTAINBEAM_SETTINGS", &path)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    RUNNING
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
        .push((node.to_owned(), child));
    Ok(())
}

/// Lines of the log of a program that contain one of these texts.
pub fn log_lines(node: &str, texts: &[&str]) -> Vec<String> {
    let log = fs::read_to_string(folder().join(format!("{node}.log"))).unwrap_or_default();
    log.lines()
        .filter(|line| texts.iter().any(|text| line.contains(text)))
        .map(str::to_owned)
        .collect()
}

/// Memory that a program takes now, in MB; none if it has ended.
pub fn memory_mb(node: &str) -> Option<u64> {
    let running = RUNNING.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let (_, child) = running.iter().find(|(name, _)| name == node)?;
    let status = fs::read_to_string(format!("/proc/{}/status", child.id())).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kb: u64 = line.trim().trim_end_matches(" kB").parse().ok()?;
    Some(kb * 1_024 / 1_000_000)
}
