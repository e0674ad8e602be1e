//! `gateway`: answers callers on the platform.

use std::process::ExitCode;

use config::GatewaySettings;
use telemetry::LogTarget;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

use crate::cli::usage_error;
use crate::cmd::fail;
use crate::cmd::platform_options::{PlatformOptions, read_settings_file};
use crate::cmd::settings_watch::SettingsWatch;

const HELP: &str = "\
Answer callers on the platform: authenticate, admit by rate, choose a target, pass the answer on.

Usage: plantainbeam gateway [--settings FILE] [--metrics-port PORT] [--log-level LEVEL]

Options:
      --settings FILE      settings file of the platform; by default the one that the platform
                           names in the environment
      --metrics-port PORT  port for metrics (9464)
      --log-level LEVEL    error, warn, info, debug or trace (info)
  -h, --help               show this text

SIGTERM starts a graceful stop, SIGHUP reads the settings file again.

Exit code: 0 after a graceful stop, 1 for a failure, 2 for wrong usage.
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
        .and_then(|file| file.gateway().map_err(|e| format!("{}: {e}", options.settings)));
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
    LocalSet::new().block_on(&runtime, serve(settings, &options))
}

async fn serve(settings: GatewaySettings, options: &PlatformOptions) -> ExitCode {
    let mut terminate = match signal(SignalKind::terminate()) {
        Ok(terminate) => terminate,
        Err(error) => return fail(&format!("can't listen for signals: {error}")),
    };
    let mut watch = match SettingsWatch::new(&options.settings) {
        Ok(watch) => watch,
        Err(message) => return fail(&message),
    };
    let handle = match gateway::start(settings, options.metrics_port).await {
        Ok(handle) => handle,
        Err(error) => return fail(&error.to_string()),
    };
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            file = watch.changed() => match file.gateway() {
                Ok(settings) => handle.reload(settings),
                Err(error) => log::error!("event=settings_rejected error=\"{error}\""),
            },
        }
    }
    handle.stop();
    handle.finished().await;
    log::info!("event=gateway_stopped");
    ExitCode::SUCCESS
}
