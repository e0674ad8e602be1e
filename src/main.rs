//! Entry point of the `plantainbeam` command line.

mod cli;
mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run(std::env::args_os())
}
