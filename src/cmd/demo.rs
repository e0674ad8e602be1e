//! `demo`: runs a complete deployment in one process and checks it over real sockets.

mod checks;
mod client;
mod deployment;
mod fixture;
mod report;

use std::process::ExitCode;
use std::time::{Duration, Instant};

use lexopt::prelude::*;
use telemetry::LogTarget;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;

use self::deployment::Deployment;
use self::report::Report;
use crate::cli::usage_error;

const HELP: &str = "\
Run a small deployment in one process and check it with real HTTP requests.

Usage: plantainbeam demo [--hold]

Options:
      --hold  stay up afterwards and print curl lines to try
  -h, --help  show this text

It starts stand-ins for the platform, for model engines and for a plain service, their side
processes and two entry processes, on free loopback ports. It needs no file and no argument.

Exit code: 0 if everything was as expected, 1 otherwise.
";
/// Time limit for all checks together.
const CHECKS_TIMEOUT: Duration = Duration::from_secs(40);

/// Runs the command.
pub fn run(parser: lexopt::Parser) -> ExitCode {
    let hold = match parse(parser) {
        Ok(Some(hold)) => hold,
        Ok(None) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(error) => return usage_error(&error.to_string(), HELP),
    };
    let level = std::env::var("PLANTAINBEAM_DEMO_LOG").unwrap_or_else(|_| "error".to_owned());
    if let Err(error) = telemetry::start_logging(&level, LogTarget::StandardError) {
        eprintln!("error: {error}");
        return ExitCode::FAILURE;
    }
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("error: can't start the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match LocalSet::new().block_on(&runtime, run_demo(hold)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

fn parse(mut parser: lexopt::Parser) -> Result<Option<bool>, lexopt::Error> {
    let mut hold = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("hold") => hold = true,
            Short('h') | Long("help") => return Ok(None),
            _ => return Err(argument.unexpected()),
        }
    }
    Ok(Some(hold))
}

/// Runs the checks and shuts the deployment down; returns whether every check passed.
async fn run_demo(hold: bool) -> Result<bool, Box<dyn std::error::Error>> {
    let started = Instant::now();
    let mut signals = Signals::new()?;
    let deployment = Deployment::start().await?;
    let mut report = Report::default();
    let interrupted = tokio::select! {
        done = tokio::time::timeout(CHECKS_TIMEOUT, checks::run(&deployment, &mut report)) => {
            match done {
                Ok(result) => result?,
                Err(_) => report.add("all checks within the time allowed", "yes", "no"),
            }
            false
        }
        () = signals.next() => true,
    };
    if hold && !interrupted {
        report.print(started.elapsed());
        deployment.print_examples();
        signals.next().await;
        println!("stopping");
    }
    let stopped = tokio::select! {
        stopped = deployment.stop() => stopped,
        () = signals.next() => return Err("ended by a second signal".into()),
    };
    report.add("graceful stop of all processes", "in time", stopped);
    if interrupted {
        return Err("interrupted before the checks were through".into());
    }
    if !hold {
        report.print(started.elapsed());
    }
    Ok(report.all_passed())
}

struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
