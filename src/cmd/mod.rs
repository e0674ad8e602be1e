//! Implementations of the subcommands, one module each.

use std::process::ExitCode;

pub mod agent;
pub mod check;
pub mod demo;
pub mod entry;
mod files;
pub mod gateway;
pub mod measure;
pub mod measure_crashes;
pub mod measure_load;
mod platform_command;
mod platform_options;
pub mod publish;
mod publish_session;
mod settings_watch;
pub mod side;
pub mod standin;
pub mod status;

/// Prints an error to standard error and returns the failure exit code.
fn fail(message: &str) -> ExitCode {
    eprintln!("error: {message}");
    ExitCode::FAILURE
}
