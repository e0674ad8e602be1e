//! A process of the shipped binary on a machine of its own address.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use platform_standin::{FleetLimits, MachineSpec};
use rustix::process::{Pid, Signal, kill_process};
use tokio::time::{Instant, sleep};

/// Time between two looks at whether a process has ended.
const POLL: Duration = Duration::from_millis(20);

/// What runs on a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Role {
    Agent,
    Gateway,
}

impl Role {
    const fn command(self) -> &'static str {
        match self {
            Self::Agent => "agent",
            Self::Gateway => "gateway",
        }
    }
}

/// A machine with its process; the process ends with the handle.
pub(crate) struct Machine {
    pub spec: MachineSpec,
    role: Role,
    binary: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

impl Machine {
    pub(crate) fn new(spec: MachineSpec, role: Role, binary: &Path, directory: &Path) -> Self {
        let settings = directory.join(format!("{}.conf", spec.name));
        let log = directory.join(format!("{}.log", spec.name));
        Self { spec, role, binary: binary.to_owned(), settings, log, process: None }
    }

    /// Writes the settings and starts the process.
    pub(crate) fn start(&mut self, limits: &FleetLimits) -> io::Result<()> {
        fs::write(&self.settings, self.spec.settings_file(limits))?;
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.binary);
        command.arg(self.role.command()).arg("--settings").arg(&self.settings);
        command.stdin(Stdio::null()).stderr(log.try_clone()?).stdout(log);
        self.process = Some(command.spawn()?);
        // A later start finds a running system.
        self.spec.first_start = false;
        Ok(())
    }

    fn signal(&self, signal: Signal) {
        let id = self.process.as_ref().and_then(|process| i32::try_from(process.id()).ok());
        if let Some(pid) = id.and_then(Pid::from_raw) {
            // It may have ended by itself, which the checks see.
            let _ended = kill_process(pid, signal);
        }
    }

    /// Ends the process at once.
    pub(crate) fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            // It may have ended already.
            let _killed = process.kill();
            let _reaped = process.wait();
        }
    }

    pub(crate) fn pause(&self) {
        self.signal(Signal::STOP);
    }

    pub(crate) fn resume(&self) {
        self.signal(Signal::CONT);
    }

    pub(crate) fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Stops the process in order, by force after `grace`.
    pub(crate) async fn stop(&mut self, grace: Duration) {
        self.signal(Signal::TERM);
        let limit = Instant::now() + grace;
        while Instant::now() < limit && !self.has_ended() {
            sleep(POLL).await;
        }
        self.kill();
    }

    fn has_ended(&mut self) -> bool {
        self.process.as_mut().is_none_or(|process| !matches!(process.try_wait(), Ok(None)))
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}
