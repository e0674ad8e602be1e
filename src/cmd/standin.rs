//! `standin`: runs a test double of a platform service or a target as a separate process.

use std::net::{Ipv4Addr, SocketAddr};
use std::process::ExitCode;

use lexopt::prelude::*;
use serde_json::{Map, Value as Json};
use standin::{
    EngineService, LogService, PlainService, Server, Service, VmListService, WeightStoreService,
};

use crate::cli::usage_error;

const HELP: &str = "\
Run a stand-in of the platform or of a target, for tests.

Usage: plantainbeam standin --kind KIND [--listen ADDRESS] [--set FIELD=JSON]...

Prints `listening=ADDRESS` once it accepts connections. `POST /control` with a JSON object changes
settings while it runs, `GET /control` shows them.

Options:
      --kind KIND       log, vm-list, weight-store, engine or plain
      --listen ADDRESS  where to listen (default 127.0.0.1:0)
      --set FIELD=JSON  a setting; a value that is no JSON is taken as text
  -h, --help            show this text
";

struct Options {
    kind: String,
    listen: SocketAddr,
    settings: Map<String, Json>,
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
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("error: can't start the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    runtime.block_on(async {
        match options.kind.as_str() {
            "log" => serve::<LogService>(options).await,
            "vm-list" => serve::<VmListService>(options).await,
            "weight-store" => serve::<WeightStoreService>(options).await,
            "engine" => serve::<EngineService>(options).await,
            "plain" => serve::<PlainService>(options).await,
            kind => usage_error(&format!("unknown kind {kind}"), HELP),
        }
    })
}

fn parse(mut parser: lexopt::Parser) -> Result<Option<Options>, lexopt::Error> {
    let mut kind = None;
    let mut listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let mut settings = Map::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("kind") => kind = Some(parser.value()?.string()?),
            Long("listen") => listen = parser.value()?.parse()?,
            Long("set") => {
                let text = parser.value()?.string()?;
                let Some((field, value)) = text.split_once('=') else {
                    return Err(format!("--set {text}: not FIELD=JSON").into());
                };
                let value =
                    serde_json::from_str(value).unwrap_or_else(|_| Json::String(value.to_owned()));
                settings.insert(field.to_owned(), value);
            }
            Short('h') | Long("help") => return Ok(None),
            _ => return Err(argument.unexpected()),
        }
    }
    match kind {
        Some(kind) => Ok(Some(Options { kind, listen, settings })),
        None => Err("no --kind given".into()),
    }
}

async fn serve<S: Service>(options: Options) -> ExitCode {
    let settings = match serde_json::from_value(Json::Object(options.settings)) {
        Ok(settings) => settings,
        Err(error) => return usage_error(&error.to_string(), HELP),
    };
    let server = match Server::<S>::start_at(options.listen, settings).await {
        Ok(server) => server,
        Err(error) => {
            eprintln!("error: can't listen at {}: {error}", options.listen);
            return ExitCode::FAILURE;
        }
    };
    println!("listening={}", server.address());
    std::future::pending().await
}
