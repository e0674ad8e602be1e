//! `status`: shows the state of running processes.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use base::{Incarnation, ProcessId, ProcessName};
use lexopt::prelude::*;
use wire::{FleetSecret, PeerCall, PeerClient, PeerIdentity, PeerReply, ProcessStatus, WireError};

use crate::cli::usage_error;

const HELP: &str = "\
Show the state of running processes.

Usage: plantainbeam status [--json] --secret-env NAME ADDRESS...

Options:
      --json             one JSON array instead of a table
      --secret-env NAME  environment variable that holds the fleet secret
                         (default PLANTAINBEAM_FLEET_SECRET)
  -h, --help             show this text

Exit code: 0 if every process answered and reports no problem, 1 otherwise.
";
const DEFAULT_SECRET_VARIABLE: &str = "PLANTAINBEAM_FLEET_SECRET";
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

struct Options {
    json: bool,
    secret_variable: String,
    addresses: Vec<SocketAddr>,
}

/// Runs the command.
pub fn run(parser: lexopt::Parser) -> ExitCode {
    let options = match parse(parser) {
        Ok(Some(options)) => options,
        Ok(None) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(error) => return usage_error(&error.to_string(), HELP),
    };
    let Ok(secret) = std::env::var(&options.secret_variable) else {
        eprintln!("error: environment variable {} is not set", options.secret_variable);
        return ExitCode::FAILURE;
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("error: can't start the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    let secret = FleetSecret::new(secret.as_bytes());
    runtime.block_on(show(&options, &secret))
}

fn parse(mut parser: lexopt::Parser) -> Result<Option<Options>, lexopt::Error> {
    let mut options = Options {
        json: false,
        secret_variable: DEFAULT_SECRET_VARIABLE.to_owned(),
        addresses: Vec::new(),
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Long("json") => options.json = true,
            Long("secret-env") => options.secret_variable = parser.value()?.string()?,
            Short('h') | Long("help") => return Ok(None),
            Value(address) => options.addresses.push(address.parse()?),
            _ => return Err(argument.unexpected()),
        }
    }
    if options.addresses.is_empty() {
        return Err("no address given".into());
    }
    Ok(Some(options))
}

async fn show(options: &Options, secret: &FleetSecret) -> ExitCode {
    let mut statuses = Vec::new();
    let mut healthy = true;
    for address in &options.addresses {
        match fetch_status(*address, secret).await {
            Ok(status) => {
                healthy &= status.problems.is_empty();
                statuses.push(status);
            }
            Err(error) => {
                eprintln!("error: {address}: {error}");
                healthy = false;
            }
        }
    }
    if options.json {
        match serde_json::to_string_pretty(&statuses) {
            Ok(text) => println!("{text}"),
            Err(error) => {
                eprintln!("error: {error}");
                return ExitCode::FAILURE;
            }
        }
    } else {
        print_table(&statuses);
    }
    if healthy { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

async fn fetch_status(
    address: SocketAddr,
    secret: &FleetSecret,
) -> Result<ProcessStatus, WireError> {
    let process = ProcessId {
        name: ProcessName::new("status"),
        incarnation: Incarnation(u64::from(std::process::id())),
    };
    let identity = PeerIdentity { process, role: None };
    let client = PeerClient::connect(address, &identity, secret, CALL_TIMEOUT).await?;
    match client.call(&PeerCall::Status, CALL_TIMEOUT).await? {
        PeerReply::Status(status) => Ok(*status),
        _ => Err(WireError::Malformed),
    }
}

fn print_table(statuses: &[ProcessStatus]) {
    println!(
        "{:<16} {:<6} {:<14} {:>18} {:>8} {:>8} {:>9} {:>6} PROBLEMS",
        "PROCESS", "ROLE", "DATA CENTRE", "INCARNATION", "CONFIG", "LAG_MS", "IN_FLIGHT", "SLOTS"
    );
    for status in statuses {
        let lag = status.log_age_ms.map_or_else(|| "-".to_owned(), |age| age.to_string());
        let problems: Vec<String> =
            status.problems.iter().map(|problem| format!("{problem:?}")).collect();
        println!(
            "{:<16} {:<6} {:<14} {:>18} {:>8} {:>8} {:>9} {:>6} {}",
            status.process.name.as_str(),
            status.role.as_str(),
            status.data_centre,
            status.process.incarnation.0,
            status.config_offset.0,
            lag,
            status.in_flight,
            status.slots_owned,
            problems.join(",")
        );
    }
}
