//! The command `entry` as a real process.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// Bound on each wait for a condition.
const WAIT_LIMIT: Duration = Duration::from_secs(20);
/// Where nothing listens.
const NOBODY: &str = "127.0.0.1:9";

fn command() -> Command {
    Command::new(env!("CARGO_BIN_EXE_plantainbeam"))
}

fn entry(arguments: &[&str]) -> Output {
    command().arg("entry").args(arguments).output().unwrap()
}

fn settings(peer: &str, drain_notice_ms: u64) -> String {
    format!(
        "\
process:
  name: entry-1
  vm: vm-1
  region: r
  data_centre: dc
  peer_address: {peer}
  operator_address: 127.0.0.1:0
  fleet_secret: a secret of the test fleet
platform: {{log_address: '{NOBODY}', vm_list_address: '{NOBODY}'}}
caller_address: 127.0.0.1:0
drain_notice_ms: {drain_notice_ms}
"
    )
}

/// A running process; killed when the test ends.
struct Running {
    child: Child,
    callers: SocketAddr,
    peers: SocketAddr,
    operators: SocketAddr,
}

impl Drop for Running {
    fn drop(&mut self) {
        // It may have ended already.
        let _killed = self.child.kill();
        let _reaped = self.child.wait();
    }
}

impl Running {
    /// Starts a process and learns its addresses from its log.
    fn start(path: &Path) -> Self {
        let mut child = command()
            .args(["entry", "--settings"])
            .arg(path)
            .stderr(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut log = BufReader::new(child.stdout.take().unwrap());
        let mut line = String::new();
        while !line.contains("event=entry_started") {
            line.clear();
            assert!(log.read_line(&mut line).unwrap() > 0, "the process ended at once");
        }
        let field = |name: &str| -> SocketAddr {
            let value = line.split_whitespace().find_map(|part| part.strip_prefix(name));
            value.unwrap().parse().unwrap()
        };
        let (callers, peers) = (field("callers="), field("peers="));
        let operators = field("operators=");
        // A full pipe would stop the process.
        std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        Self { child, callers, peers, operators }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).unwrap();
    }

    fn wait(&mut self) -> ExitStatus {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(started.elapsed() < WAIT_LIMIT, "the process did not end");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

fn get(address: SocketAddr, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    write!(stream, "GET {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n").ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer)
}

fn write_settings(text: &str) -> tempfile::NamedTempFile {
    let mut file = tempfile::NamedTempFile::new().unwrap();
    file.write_all(text.as_bytes()).unwrap();
    file
}

/// Guards against a wrong exit code, and against settings that are taken although they are wrong.
#[test]
fn wrong_usage_and_wrong_settings_have_their_exit_codes() {
    for arguments in [&[][..], &["--nothing"], &["--settings"], &["file"]] {
        assert_eq!(entry(arguments).status.code(), Some(2), "{arguments:?}");
    }
    assert_eq!(entry(&["--settings", "no/such/file"]).status.code(), Some(1));
    let help = entry(&["--help"]);
    assert_eq!(help.status.code(), Some(0));
    assert!(String::from_utf8(help.stdout).unwrap().contains("--settings FILE"));
    let unknown_field = write_settings(&format!("{}surprise: 1\n", settings("127.0.0.1:0", 0)));
    let no_secret =
        write_settings(&settings("127.0.0.1:0", 0).replace("a secret of the test fleet", "short"));
    for file in [unknown_field, no_secret] {
        let output = entry(&["--settings", file.path().to_str().unwrap()]);
        assert_eq!(output.status.code(), Some(1));
        assert!(String::from_utf8(output.stderr).unwrap().starts_with("error: "));
    }
}

/// Guards against two runs of one process at a time, which is what proves that an older one has ended.
#[test]
fn the_peer_address_is_held_by_one_run_only() {
    let file = write_settings(&settings("127.0.0.1:0", 0));
    let first = Running::start(file.path());
    let file = write_settings(&settings(&first.peers.to_string(), 0));
    let second = entry(&["--settings", file.path().to_str().unwrap()]);
    assert_eq!(second.status.code(), Some(1));
    assert!(String::from_utf8(second.stderr).unwrap().contains("can't bind"));
}

/// Guards against a process that takes traffic before it has a configuration, and against a stop that
/// does not fail the readiness check first or that ends with a failure.
#[test]
fn a_signal_stops_the_process_gracefully() {
    for signal in [Signal::TERM, Signal::INT] {
        let file = write_settings(&settings("127.0.0.1:0", 300));
        let mut running = Running::start(file.path());
        let health = get(running.operators, "/healthz").unwrap();
        assert!(health.starts_with("HTTP/1.1 200 "), "{health}");
        let ready = get(running.operators, "/readyz").unwrap();
        assert!(ready.starts_with("HTTP/1.1 503 "), "{ready}");
        let refused = get(running.callers, "/v1/models").unwrap();
        assert!(refused.contains("\"code\":\"no_authority\""), "{refused}");
        running.signal(signal);
        let started = Instant::now();
        while !get(running.operators, "/readyz").unwrap().contains("shutting down") {
            assert!(started.elapsed() < WAIT_LIMIT);
        }
        assert!(get(running.callers, "/v1/models").is_some(), "refused during the notice");
        assert_eq!(running.wait().code(), Some(0));
    }
}

/// Guards against a stop that can't be cut short.
#[test]
fn a_second_signal_ends_the_process_at_once() {
    let file = write_settings(&settings("127.0.0.1:0", 60_000));
    let mut running = Running::start(file.path());
    running.signal(Signal::TERM);
    let started = Instant::now();
    while !get(running.operators, "/readyz").unwrap().contains("shutting down") {
        assert!(started.elapsed() < WAIT_LIMIT);
    }
    running.signal(Signal::TERM);
    assert_eq!(running.wait().code(), Some(1));
}
