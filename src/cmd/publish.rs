//! `publish`: changes the configuration of a running deployment.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use base::Offset;
use changes::Change;
use config::{AddedKey, Problem, SourceFile, parse_sha256};
use lexopt::prelude::*;
use store::{HttpLog, HttpLogOptions};

use crate::cli::usage_error;
use crate::cmd::files::read_file;
use crate::cmd::publish_session::Session;

const HELP: &str = "\
Change the configuration of a running deployment and wait for the verdict.

Usage: plantainbeam publish --log ADDRESS --made-from VERSION --base FILE [--overlay FILE]...
       plantainbeam publish --log ADDRESS --add-key NAME --customer NAME --sha256 HEX
       plantainbeam publish --log ADDRESS --withdraw-key NAME
       plantainbeam publish --log ADDRESS --fetch DIRECTORY

Options:
      --log ADDRESS          log service, IP:PORT
      --made-from VERSION    version that the files were made from; 0 for the first ones
      --base FILE            base file of the deployment
      --overlay FILE         overlay for the site that it names
      --add-key NAME         add a key
      --customer NAME        owner of the added key
      --sha256 HEX           SHA-256 of the added key; never the key itself
      --withdraw-key NAME    withdraw a key
      --fetch DIRECTORY      write the files in force there and print their version
      --timeout-ms NUMBER    longest time to wait for the log (default 10000)
  -h, --help                 show this text

Exit code: 0 if the change is in force, 1 if it is not or if that is not known, 2 for wrong usage.
";
const DEFAULT_TIMEOUT_MS: u64 = 10_000;
/// Timeout of one request to the log; a record can hold a whole configuration and is then large.
const REQUEST_TIMEOUT_MS: u64 = 2_000;

#[derive(Default)]
struct Options {
    log: Option<SocketAddr>,
    made_from: Option<u64>,
    base: Option<PathBuf>,
    overlays: Vec<PathBuf>,
    add_key: Option<String>,
    customer: Option<String>,
    sha256: Option<String>,
    withdraw_key: Option<String>,
    fetch: Option<PathBuf>,
    timeout_ms: Option<u64>,
}

enum Action {
    Publish(Change),
    Fetch(PathBuf),
}

/// Reason why the options do not give a valid action.
enum ActionError {
    Usage(String),
    Problems(Vec<Problem>),
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
    let Some(address) = options.log else { return usage_error("no --log given", HELP) };
    let action = match select_action(&options) {
        Ok(action) => action,
        Err(ActionError::Usage(message)) => return usage_error(&message, HELP),
        Err(ActionError::Problems(problems)) => {
            for problem in problems {
                println!("{problem}");
            }
            return ExitCode::FAILURE;
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("error: can't start the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    let timeout = Duration::from_millis(options.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS));
    let result = runtime.block_on(async {
        let client =
            HttpLogOptions { request_timeout_ms: REQUEST_TIMEOUT_MS, ..HttpLogOptions::default() };
        let mut session = Session::new(HttpLog::new(address, client), timeout);
        match action {
            Action::Publish(change) => session.publish(change).await,
            Action::Fetch(directory) => session.fetch(&directory).await,
        }
    });
    match result {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            println!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn parse(mut parser: lexopt::Parser) -> Result<Option<Options>, lexopt::Error> {
    let mut options = Options::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("log") => options.log = Some(parser.value()?.parse()?),
            Long("made-from") => options.made_from = Some(parser.value()?.parse()?),
            Long("base") => options.base = Some(parser.value()?.into()),
            Long("overlay") => options.overlays.push(parser.value()?.into()),
            Long("add-key") => options.add_key = Some(parser.value()?.string()?),
            Long("customer") => options.customer = Some(parser.value()?.string()?),
            Long("sha256") => options.sha256 = Some(parser.value()?.string()?),
            Long("withdraw-key") => options.withdraw_key = Some(parser.value()?.string()?),
            Long("fetch") => options.fetch = Some(parser.value()?.into()),
            Long("timeout-ms") => options.timeout_ms = Some(parser.value()?.parse()?),
            Short('h') | Long("help") => return Ok(None),
            _ => return Err(argument.unexpected()),
        }
    }
    Ok(Some(options))
}

fn select_action(options: &Options) -> Result<Action, ActionError> {
    let usage = |message: &str| Err(ActionError::Usage(message.to_owned()));
    let actions = [
        options.base.is_some(),
        options.add_key.is_some(),
        options.withdraw_key.is_some(),
        options.fetch.is_some(),
    ];
    if actions.iter().filter(|given| **given).count() != 1 {
        return usage("give one of --base, --add-key, --withdraw-key and --fetch");
    }
    if options.base.is_none() && (options.made_from.is_some() || !options.overlays.is_empty()) {
        return usage("--made-from and --overlay go with --base");
    }
    if options.add_key.is_none() && (options.customer.is_some() || options.sha256.is_some()) {
        return usage("--customer and --sha256 go with --add-key");
    }
    if let Some(directory) = &options.fetch {
        return Ok(Action::Fetch(directory.clone()));
    }
    if let Some(name) = &options.withdraw_key {
        return Ok(Action::Publish(Change::WithdrawKey { name: name.as_str().into() }));
    }
    if let Some(name) = &options.add_key {
        let (Some(customer), Some(sha256)) = (&options.customer, &options.sha256) else {
            return usage("--add-key needs --customer and --sha256");
        };
        let Some(sha256) = parse_sha256(sha256) else {
            return usage("--sha256 is not 64 hexadecimal digits");
        };
        let (name, customer) = (name.as_str().into(), customer.as_str().into());
        return Ok(Action::Publish(Change::AddKey(AddedKey { name, customer, sha256 })));
    }
    let Some(made_from) = options.made_from else {
        return usage("--base needs --made-from; publish --fetch prints the version in force");
    };
    let Some(base) = &options.base else { return usage("no --base given") };
    let (base, overlays) = read_sources(base, &options.overlays).map_err(ActionError::Problems)?;
    Ok(Action::Publish(Change::Files { base_version: Offset(made_from), base, overlays }))
}

/// Reads the files and keeps only their file names, because the local directories mean nothing on
/// other machines.
fn read_sources(
    base: &Path,
    overlays: &[PathBuf],
) -> Result<(SourceFile, Vec<SourceFile>), Vec<Problem>> {
    let mut problems = Vec::new();
    let mut read = |path: &Path| {
        let name = path.file_name().unwrap_or(path.as_os_str()).to_string_lossy();
        read_file(path, &name).unwrap_or_else(|problem| {
            problems.push(problem);
            SourceFile::default()
        })
    };
    let base = read(base);
    let overlays = overlays.iter().map(|path| read(path)).collect();
    if problems.is_empty() { Ok((base, overlays)) } else { Err(problems) }
}
