//! `side`: runs the side process of one target.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

use base::Incarnation;
use config::{SideSettings, SourceFile, load_side_settings};
use lexopt::prelude::*;
use side::{SideError, SideProcess};
use telemetry::{LogTarget, start_logging};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::cli::usage_error;

const HELP: &str = "\
Run the process beside one target.

Usage: plantainbeam side --settings FILE

Options:
      --settings FILE  settings of the process in YAML
  -h, --help           show this text

SIGTERM or SIGINT stops it gracefully; a second one ends it at once.

Exit code: 0 after a graceful stop, 1 for a failure or a second signal.
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
    match load(&path).and_then(start) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("error: {message}");
            ExitCode::FAILURE
        }
    }
}

fn parse(mut parser: lexopt::Parser) -> Result<Option<PathBuf>, lexopt::Error> {
    let mut path = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("settings") => path = Some(PathBuf::from(parser.value()?)),
            Short('h') | Long("help") => return Ok(None),
            _ => return Err(argument.unexpected()),
        }
    }
    path.map(Some).ok_or_else(|| "no settings file given".into())
}

fn load(path: &std::path::Path) -> Result<SideSettings, String> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| format!("{name}: {error}"))?;
    let source = SourceFile::new(&name, &text);
    load_side_settings(&source).map_err(|problems| {
        let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
        lines.join("\n")
    })
}

fn start(settings: SideSettings) -> Result<(), String> {
    start_logging(&settings.log.level, LogTarget::StandardOutput)
        .map_err(|error| error.to_string())?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| format!("can't start the runtime: {error}"))?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: SideSettings) -> Result<(), String> {
    let install_handler =
        |kind| signal(kind).map_err(|error| format!("can't handle signals: {error}"));
    let mut terminate = install_handler(SignalKind::terminate())?;
    let mut interrupt = install_handler(SignalKind::interrupt())?;
    let micros = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros());
    let incarnation = Incarnation(u64::try_from(micros).unwrap_or(u64::MAX));
    let process = SideProcess::bind(settings, incarnation)
        .await
        .map_err(|error: SideError| error.to_string())?;
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let signals = async move {
        wait_for_signal(&mut terminate, &mut interrupt).await;
        // Sending fails only if the process future was dropped, and both are dropped together.
        let _sent = stop.send(());
        wait_for_signal(&mut terminate, &mut interrupt).await;
    };
    let running = process.run(async {
        if stopped.await.is_err() {
            std::future::pending::<()>().await;
        }
    });
    tokio::select! {
        () = running => Ok(()),
        () = signals => Err("ended by a second signal".to_owned()),
    }
}

async fn wait_for_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
