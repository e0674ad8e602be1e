//! `agent`: runs the agent process that accompanies an engine on the platform.

use std::process::ExitCode;

use config::AgentSettings;
use platform::SettingsFile;

use crate::cmd::fail;
use crate::cmd::platform_command::{PlatformStart, run_on_platform};
use crate::cmd::settings_watch::SettingsChange;

const HELP: &str = "\
Run beside an engine on the platform: give it its orders and tell the gateways what it holds.

Usage: plantainbeam agent [--settings FILE] [--log-level LEVEL]

Options:
      --settings FILE    settings file of the platform; by default the one that the platform
                         names in the environment
      --log-level LEVEL  error, warn, info, debug or trace (info)
  -h, --help             show this text

SIGTERM ends the process, after it has told gateways which streams it knows.

Exit code: 0 after SIGTERM, 1 for a failure, 2 for wrong usage.
";

/// Runs the command.
pub fn run(parser: lexopt::Parser) -> ExitCode {
    run_on_platform(parser, HELP, SettingsFile::agent, serve)
}

async fn serve(start: PlatformStart<AgentSettings>) -> ExitCode {
    let PlatformStart { settings, mut watch, mut terminate, .. } = start;
    let handle = match agent::start(settings).await {
        Ok(handle) => handle,
        Err(error) => return fail(&error.to_string()),
    };
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            change = watch.changed() => match change {
                SettingsChange::Changed(file) => match file.agent() {
                    Ok(settings) => handle.reload(&settings),
                    Err(error) => log::error!("event=settings_rejected error=\"{error}\""),
                },
                // The watch has already logged the reason, and agents export no metrics.
                SettingsChange::Kept => {}
            },
        }
    }
    handle.stop();
    log::info!("event=agent_stopped");
    ExitCode::SUCCESS
}
