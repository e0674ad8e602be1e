//! Command line of plantainbeam.

mod cli;
mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run(std::env::args_os())
}
