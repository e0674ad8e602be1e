//! Common startup of the commands that run on the platform: options, settings, logging, runtime and
//! signals.

use std::process::ExitCode;

use platform::{SettingsError, SettingsFile};
use telemetry::LogTarget;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;

use crate::cli::usage_error;
use crate::cmd::fail;
use crate::cmd::platform_options::PlatformOptions;
use crate::cmd::settings_watch::SettingsWatch;

/// Everything a process needs to start.
pub struct PlatformStart<S> {
    pub settings: S,
    /// Port that serves metrics.
    pub metrics_port: u16,
    /// Reports changes of the settings file.
    pub watch: SettingsWatch,
    /// Receives SIGTERM.
    pub terminate: Signal,
}

/// Parses the options, reads the settings with `read` and runs `serve` on a single-threaded
/// runtime. `help` is the help text of the command.
pub fn run_on_platform<S>(
    parser: lexopt::Parser,
    help: &str,
    read: impl FnOnce(&SettingsFile) -> Result<S, SettingsError>,
    serve: impl AsyncFnOnce(PlatformStart<S>) -> ExitCode,
) -> ExitCode {
    let options = match PlatformOptions::parse(parser) {
        Ok(Some(options)) => options,
        Ok(None) => {
            print!("{help}");
            return ExitCode::SUCCESS;
        }
        Err(error) => return usage_error(&error.to_string(), help),
    };
    let text = match std::fs::read_to_string(&options.settings) {
        Ok(text) => text,
        Err(error) => return fail(&format!("{}: {error}", options.settings)),
    };
    let file = SettingsFile::parse(&text);
    let settings = match read(&file) {
        Ok(settings) => settings,
        Err(error) => return fail(&format!("{}: {error}", options.settings)),
    };
    if let Err(error) = telemetry::start_logging(&options.log_level, LogTarget::StandardOutput) {
        return fail(&error.to_string());
    }
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&format!("can't start the runtime: {error}")),
    };
    let PlatformOptions { settings: path, metrics_port, .. } = options;
    LocalSet::new().block_on(&runtime, async {
        let terminate = match signal(SignalKind::terminate()) {
            Ok(terminate) => terminate,
            Err(error) => return fail(&format!("can't listen for signals: {error}")),
        };
        let watch = match SettingsWatch::new(path, file) {
            Ok(watch) => watch,
            Err(message) => return fail(&message),
        };
        serve(PlatformStart { settings, metrics_port, watch, terminate }).await
    })
}
