//! What the commands that run on the platform share: options, settings, log, runtime and signals.

use std::process::ExitCode;

use platform::{SettingsError, SettingsFile};
use telemetry::LogTarget;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;

use crate::cli::usage_error;
use crate::cmd::fail;
use crate::cmd::platform_options::PlatformOptions;
use crate::cmd::settings_watch::SettingsWatch;

/// A process that is about to start.
pub struct PlatformStart<S> {
    /// Settings.
    pub settings: S,
    /// Port for metrics.
    pub metrics_port: u16,
    /// Watches the settings file.
    pub watch: SettingsWatch,
    /// SIGTERM.
    pub terminate: Signal,
}

/// Parses the options, reads the settings with `read` and runs `serve` on a runtime of one thread. `help`
/// is the text of the command.
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
