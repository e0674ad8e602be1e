//! One process of the shipped binary.

use std::process::{ExitStatus, Stdio};
use std::sync::{Arc, Mutex};

use rustix::process::{Pid, Signal, kill_process};
use tokio::io::{AsyncBufReadExt, AsyncRead, BufReader};
use tokio::process::{Child, Command};
use tokio::time::timeout;

use super::{WAIT_LIMIT, wait_until};

/// Log lines shown of each process when a test fails.
const SHOWN_LINES: usize = 60;

/// A running process; it is killed by its id when dropped.
pub struct Process {
    name: String,
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts the shipped binary with these arguments.
    pub fn start(name: &str, arguments: &[String]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_plantainbeam"))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .unwrap();
        let lines = Arc::new(Mutex::new(Vec::new()));
        capture(child.stdout.take().unwrap(), &lines);
        capture(child.stderr.take().unwrap(), &lines);
        Self { name: name.to_owned(), child, lines }
    }

    /// Lines written so far to standard output and error.
    pub fn log(&self) -> Vec<String> {
        self.lines.lock().unwrap().clone()
    }

    /// Waits for a line that contains `text` and returns it.
    pub async fn wait_for_line(&self, text: &str) -> String {
        let found = || self.log().into_iter().find(|line| line.contains(text));
        wait_until(&format!("{text} in the log of {}", self.name), async || found().is_some())
            .await;
        found().unwrap()
    }

    /// Id of the process.
    pub fn id(&self) -> u32 {
        self.child.id().expect("the process has ended")
    }

    /// Most memory that the process has had, in KB.
    pub fn peak_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        peak.trim().trim_end_matches(" kB").parse().unwrap()
    }

    /// Sends a signal to the process, by its id.
    pub fn signal(&self, signal: Signal) {
        let id = self.id();
        let pid = Pid::from_raw(i32::try_from(id).unwrap()).unwrap();
        kill_process(pid, signal).unwrap();
    }

    /// Waits until the process has ended by itself.
    pub async fn wait_exit(&mut self) -> ExitStatus {
        let waited = timeout(WAIT_LIMIT, self.child.wait()).await;
        waited.unwrap_or_else(|_| panic!("{} does not end", self.name)).unwrap()
    }

    /// Kills the process and waits until it is gone.
    pub async fn kill(&mut self) {
        self.child.kill().await.unwrap();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if std::thread::panicking() {
            let log = self.log();
            for line in &log[log.len().saturating_sub(SHOWN_LINES)..] {
                eprintln!("{}: {line}", self.name);
            }
        }
    }
}

fn capture(stream: impl AsyncRead + Send + Unpin + 'static, lines: &Arc<Mutex<Vec<String>>>) {
    let lines = lines.clone();
    tokio::spawn(async move {
        let mut reader = BufReader::new(stream).lines();
        while let Ok(Some(line)) = reader.next_line().await {
            lines.lock().unwrap().push(line);
        }
    });
}
