//! `demo`: the whole path in one process.

use std::process::ExitCode;

/// Runs the command.
pub fn run(_parser: lexopt::Parser) -> ExitCode {
    eprintln!("error: no part of the path is wired yet");
    ExitCode::FAILURE
}
