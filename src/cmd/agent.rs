//! `agent`: runs beside an engine on the platform.

use std::process::ExitCode;

use config::AgentSettings;
use telemetry::LogTarget;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

use crate::cli::usage_error;
use crate::cmd::fail;
use crate::cmd::platform_options::{PlatformOptions, read_settings_file};
use crate::cmd::settings_watch::SettingsWatch;

const HELP: &str = "\
Run beside an engine on the platform: give it its orders and tell the gateways what it holds.

Usage: plantainbeam agent [--settings FILE] [--log-level LEVEL]

Options:
      --settings FILE    settings file of the platform; by default the one that the platform
                         names in the environment
      --log-level LEVEL  error, warn, info, debug or trace (info)
  -h, --help             show this text

SIGTERM ends the process.

Exit code: 0 after SIGTERM, 1 for a failure, 2 for wrong usage.
";

/// Runs the command.
pub fn run(parser: lexopt::Parser) -> ExitCode {
    let options = match PlatformOptions::parse(parser) {
        Ok(Some(options)) => options,
        Ok(None) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(error) => return usage_error(&error.to_string(), HELP),
    };
    let settings = read_settings_file(&options.settings)
        .and_then(|file| file.agent().map_err(|e| format!("{}: {e}", options.settings)));
    let settings = match settings {
        Ok(settings) => settings,
        Err(message) => return fail(&message),
    };
    if let Err(error) = telemetry::start_logging(&options.log_level, LogTarget::StandardOutput) {
        return fail(&error.to_string());
    }
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&format!("can't start the runtime: {error}")),
    };
    LocalSet::new().block_on(&runtime, serve(settings, &options.settings))
}

async fn serve(settings: AgentSettings, path: &str) -> ExitCode {
    let mut terminate = match signal(SignalKind::terminate()) {
        Ok(terminate) => terminate,
        Err(error) => return fail(&format!("can't listen for signals: {error}")),
    };
    let mut watch = match SettingsWatch::new(path) {
        Ok(watch) => watch,
        Err(message) => return fail(&message),
    };
    let handle = match agent::start(settings).await {
        Ok(handle) => handle,
        Err(error) => return fail(&error.to_string()),
    };
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            file = watch.changed() => match file.agent() {
                Ok(settings) => handle.reload(&settings),
                Err(error) => log::error!("event=settings_rejected error=\"{error}\""),
            },
        }
    }
    log::info!("event=agent_stopped");
    ExitCode::SUCCESS
}
