//! Dispatches the command line to the subcommands.

use std::ffi::OsString;
use std::process::ExitCode;

use lexopt::prelude::*;

use crate::cmd;

/// Exit code for command line usage errors.
pub const EXIT_USAGE: u8 = 2;

const HELP: &str = "\
plantainbeam: serves many models on fewer accelerators

Usage: plantainbeam <command> [options]

Commands:
  agent    run beside an engine on the platform
  check    check configuration and settings files
  demo     run the whole path in one process and check it
  entry    answer callers
  gateway  answer callers on the platform
  measure  measure the policy beside baselines and a bound
  publish  change the configuration of a running deployment
  side     run the process beside one target
  status   show the state of running processes

Options:
  -h, --help     show this text, or that of a command
  -V, --version  show the version
";

/// Runs the subcommand named in `args`; the first argument is the program name.
pub fn run(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let mut parser = lexopt::Parser::from_iter(args);
    match parser.next() {
        Ok(Some(Value(name))) => match name.to_str() {
            Some("agent") => cmd::agent::run(parser),
            Some("check") => cmd::check::run(parser),
            Some("demo") => cmd::demo::run(parser),
            Some("entry") => cmd::entry::run(parser),
            Some("gateway") => cmd::gateway::run(parser),
            Some("measure") => cmd::measure::run_command(parser),
            Some("publish") => cmd::publish::run(parser),
            Some("side") => cmd::side::run(parser),
            // Used only by tests, so it is not listed in the help text.
            Some("standin") => cmd::standin::run(parser),
            Some("status") => cmd::status::run(parser),
            _ => usage_error(&format!("unknown command {}", name.to_string_lossy()), HELP),
        },
        Ok(Some(Short('h') | Long("help"))) => {
            print!("{HELP}");
            ExitCode::SUCCESS
        }
        Ok(Some(Short('V') | Long("version"))) => {
            println!("plantainbeam {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Ok(Some(argument)) => usage_error(&argument.unexpected().to_string(), HELP),
        Ok(None) => usage_error("no command given", HELP),
        Err(error) => usage_error(&error.to_string(), HELP),
    }
}

/// Prints a usage error and the help text to standard error.
pub fn usage_error(message: &str, help: &str) -> ExitCode {
    eprintln!("error: {message}\n\n{help}");
    ExitCode::from(EXIT_USAGE)
}
