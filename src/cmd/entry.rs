//! `entry`: runs an entry process, which serves client requests.

use std::process::ExitCode;

use config::{EntrySettings, SourceFile, load_entry_settings};
use lexopt::prelude::*;
use telemetry::LogTarget;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;

use crate::cli::usage_error;
use crate::cmd::fail;

const HELP: &str = "\
Answer callers: authenticate, admit by rate, route to a side process, stream the answer back.

Usage: plantainbeam entry --settings FILE

Options:
      --settings FILE  settings of the process in YAML
  -h, --help           show this text

SIGTERM or SIGINT starts a graceful stop, a second one ends the process at once.

Exit code: 0 after a graceful stop, 1 for a failure, 2 for wrong usage.
";

/// Runs the command.
pub fn run(parser: lexopt::Parser) -> ExitCode {
    let path = match parse(parser) {
        Ok(Some(path)) => path,
        Ok(None) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(error) => return usage_error(&error.to_string(), HELP),
    };
    let settings = match load(&path) {
        Ok(settings) => settings,
        Err(message) => return fail(&message),
    };
    if let Err(error) = telemetry::start_logging(&settings.log.level, LogTarget::StandardOutput) {
        return fail(&error.to_string());
    }
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&format!("can't start the runtime: {error}")),
    };
    LocalSet::new().block_on(&runtime, serve(settings))
}

fn parse(mut parser: lexopt::Parser) -> Result<Option<String>, lexopt::Error> {
    let mut settings = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("settings") => settings = Some(parser.value()?.string()?),
            Short('h') | Long("help") => return Ok(None),
            _ => return Err(argument.unexpected()),
        }
    }
    settings.map(Some).ok_or_else(|| "--settings is missing".into())
}

fn load(path: &str) -> Result<EntrySettings, String> {
    let text = std::fs::read_to_string(path).map_err(|error| format!("{path}: {error}"))?;
    load_entry_settings(&SourceFile::new(path, &text)).map_err(|problems| {
        let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
        lines.join("\nerror: ")
    })
}

async fn serve(settings: EntrySettings) -> ExitCode {
    let (mut terminate, mut interrupt) =
        match (signal(SignalKind::terminate()), signal(SignalKind::interrupt())) {
            (Ok(terminate), Ok(interrupt)) => (terminate, interrupt),
            (Err(error), _) | (_, Err(error)) => {
                return fail(&format!("can't listen for signals: {error}"));
            }
        };
    let handle = match entry::start(settings).await {
        Ok(handle) => handle,
        Err(error) => return fail(&error.to_string()),
    };
    wait_for_signal(&mut terminate, &mut interrupt).await;
    handle.stop();
    tokio::select! {
        () = handle.finished() => ExitCode::SUCCESS,
        () = wait_for_signal(&mut terminate, &mut interrupt) => fail("ended by a second signal"),
    }
}

async fn wait_for_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
