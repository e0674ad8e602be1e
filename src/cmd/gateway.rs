//! `gateway`: runs a gateway process, which serves client requests on the platform.

use std::process::ExitCode;

use config::GatewaySettings;
use platform::SettingsFile;

use crate::cmd::fail;
use crate::cmd::platform_command::{PlatformStart, run_on_platform};
use crate::cmd::settings_watch::SettingsChange;

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
    run_on_platform(parser, HELP, SettingsFile::gateway, serve)
}

async fn serve(start: PlatformStart<GatewaySettings>) -> ExitCode {
    let PlatformStart { settings, metrics_port, mut watch, mut terminate } = start;
    let handle = match gateway::start(settings, metrics_port).await {
        Ok(handle) => handle,
        Err(error) => return fail(&error.to_string()),
    };
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            change = watch.changed() => match change {
                SettingsChange::Changed(file) => match file.gateway() {
                    Ok(settings) => handle.reload(settings),
                    Err(error) => {
                        log::error!("event=settings_rejected error=\"{error}\"");
                        handle.record_settings_not_applied("rejected");
                    }
                },
                SettingsChange::Kept => handle.record_settings_not_applied("incomplete"),
            },
        }
    }
    handle.stop();
    handle.finished().await;
    log::info!("event=gateway_stopped");
    ExitCode::SUCCESS
}
