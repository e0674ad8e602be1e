//! The command `side` as a real process.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixDatagram;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// Bound on each wait for a condition.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

fn command() -> Command {
    Command::new(env!("CARGO_BIN_EXE_plantainbeam"))
}

fn side(arguments: &[&str]) -> Output {
    command().arg("side").args(arguments).output().unwrap()
}

/// Where nothing listens.
const NOBODY: &str = "127.0.0.1:9";

fn settings(peer: SocketAddr) -> String {
    format!(
        "\
process:
  name: side-1
  vm: vm-1
  region: r
  data_centre: dc
  peer_address: {peer}
  operator_address: 127.0.0.1:0
  fleet_secret: a secret of the test fleet
platform: {{log_address: '{NOBODY}', vm_list_address: '{NOBODY}'}}
target: t1
target_address: {NOBODY}
"
    )
}

/// A running process; killed when the test ends.
struct Running {
    child: Child,
    peer: SocketAddr,
    operators: SocketAddr,
}

impl Drop for Running {
    fn drop(&mut self) {
        // It may have ended already.
        let _killed = self.child.kill();
        let _reaped = self.child.wait();
    }
}

/// The value of a field of a log line.
fn field(line: &str, name: &str) -> Option<SocketAddr> {
    line.split(' ').find_map(|part| part.strip_prefix(name)?.parse().ok())
}

/// Starts a process and learns its addresses from its log.
fn start(path: &std::path::Path) -> Running {
    let mut child = command()
        .args(["side", "--settings"])
        .arg(path)
        .stderr(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut log = BufReader::new(child.stdout.take().unwrap());
    let mut line = String::new();
    while !line.contains("event=started") {
        line.clear();
        assert!(log.read_line(&mut line).unwrap() > 0, "the process ended at once");
    }
    let peer = field(&line, "peer_address=").unwrap();
    let operators = field(&line, "operator_address=").unwrap();
    // A full pipe would stop the process.
    std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
    Running { child, peer, operators }
}

fn get(address: SocketAddr, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    write!(stream, "GET {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n").ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer)
}

fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_LIMIT;
    while !condition() {
        assert!(Instant::now() < end, "timed out waiting for: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Guards against wrong exit codes for help, wrong usage and unusable settings.
#[test]
fn usage_and_settings_errors_have_their_exit_codes() {
    let help = side(&["--help"]);
    assert_eq!(help.status.code(), Some(0));
    assert!(String::from_utf8(help.stdout).unwrap().contains("--settings FILE"));
    assert_eq!(side(&[]).status.code(), Some(2));
    assert_eq!(side(&["--unknown"]).status.code(), Some(2));
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("side.yaml");
    std::fs::write(&path, "target: [\n").unwrap();
    let broken = side(&["--settings", path.to_str().unwrap()]);
    assert_eq!(broken.status.code(), Some(1));
    assert!(String::from_utf8(broken.stderr).unwrap().contains("side.yaml"));
}

/// Guards against two incarnations at one address, and against a stop that is not graceful.
#[test]
fn second_process_is_refused_and_sigterm_ends_in_order() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("side.yaml");
    std::fs::write(&path, settings("127.0.0.1:0".parse().unwrap())).unwrap();
    let mut first = start(&path);
    let operators = first.operators;
    assert!(get(operators, "/healthz").unwrap().contains("200 OK"));
    let unready = get(operators, "/readyz").unwrap();
    assert!(unready.contains("503"), "there is no configuration: {unready}");
    assert!(get(operators, "/metrics").unwrap().contains("200 OK"));
    std::fs::write(&path, settings(first.peer)).unwrap();
    let second = side(&["--settings", path.to_str().unwrap()]);
    assert_eq!(second.status.code(), Some(1));
    assert!(String::from_utf8(second.stderr).unwrap().contains("can't bind"));
    kill_process(Pid::from_child(&first.child), Signal::TERM).unwrap();
    let mut code = None;
    wait_for("ended", || {
        code = first.child.try_wait().unwrap();
        code.is_some()
    });
    assert_eq!(code.unwrap().code(), Some(0));
}

/// Guards against a log line in several writes, each a system call on the path of every request,
/// which also lets lines of processes with one log mix. A datagram keeps each write apart.
#[test]
fn log_line_is_one_write() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("side.yaml");
    std::fs::write(&path, settings("127.0.0.1:0".parse().unwrap())).unwrap();
    let (log, output) = UnixDatagram::pair().unwrap();
    log.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    let child = command()
        .args(["side", "--settings"])
        .arg(&path)
        .stderr(Stdio::null())
        .stdout(OwnedFd::from(output))
        .spawn()
        .unwrap();
    let nowhere = NOBODY.parse().unwrap();
    let _running = Running { child, peer: nowhere, operators: nowhere };
    let mut bytes = [0; 4096];
    loop {
        let length = log.recv(&mut bytes).unwrap();
        let line = std::str::from_utf8(&bytes[..length]).unwrap();
        assert!(line.ends_with('\n') && line.contains(" event="), "part of a line: {line:?}");
        if line.contains("event=started") {
            break;
        }
    }
}
