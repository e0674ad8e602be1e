//! `measure --load`: generates HTTP load against an entry process or an engine.

use std::net::SocketAddr;
use std::process::ExitCode;

use lexopt::prelude::*;
use measure::{LoadPlan, LoadResult, put_load};

use crate::cli::usage_error;

const HELP: &str = "\
Put a seeded HTTP load on an entry process, or directly on an engine to compare with.

Usage: plantainbeam measure --load --address ADDRESS --model NAME [options]

Options:
      --address ADDRESS  caller address of an entry process, or address of an engine
      --model NAME       model to ask for
      --engine           the address is that of an engine
      --key KEY          key of the customer
      --streamed         streamed answers
      --tokens N         tokens of an answer (default 1)
      --connections N    connections, each with one request at a time (default 32)
      --rate N           requests a second with exponential gaps; latency counts from the time at
                         which a request was due (default as fast as the connections allow)
      --seconds N        length (default 10)
      --seed N           seed of gaps and prompts (default 20261204)
      --json             JSON instead of a table
  -h, --help             show this text

Exit code: 1 if a request failed.
";

/// Runs the command; the caller has already consumed `--load`.
pub fn run(parser: lexopt::Parser) -> ExitCode {
    let (plan, json) = match parse(parser) {
        Ok(Some(options)) => options,
        Ok(None) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(error) => return usage_error(&error.to_string(), HELP),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = match runtime.and_then(|runtime| runtime.block_on(put_load(plan))) {
        Ok(result) => result,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::FAILURE;
        }
    };
    if json {
        match serde_json::to_string(&result) {
            Ok(text) => println!("{text}"),
            Err(error) => eprintln!("error: {error}"),
        }
    } else {
        print_result(&result);
    }
    if result.failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn parse(mut parser: lexopt::Parser) -> Result<Option<(LoadPlan, bool)>, lexopt::Error> {
    let mut plan = LoadPlan {
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        engine: false,
        streamed: false,
        model: String::new(),
        key: String::new(),
        tokens: 1,
        connections: 32,
        rate: None,
        seconds: 10,
        seed: 20_261_204,
    };
    let mut json = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("address") => plan.address = parser.value()?.parse()?,
            Long("model") => plan.model = parser.value()?.string()?,
            Long("engine") => plan.engine = true,
            Long("key") => plan.key = parser.value()?.string()?,
            Long("streamed") => plan.streamed = true,
            Long("tokens") => plan.tokens = parser.value()?.parse()?,
            Long("connections") => plan.connections = parser.value()?.parse()?,
            Long("rate") => plan.rate = Some(parser.value()?.parse()?),
            Long("seconds") => plan.seconds = parser.value()?.parse()?,
            Long("seed") => plan.seed = parser.value()?.parse()?,
            Long("json") => json = true,
            Short('h') | Long("help") => return Ok(None),
            _ => return Err(argument.unexpected()),
        }
    }
    if plan.address.port() == 0 || plan.model.is_empty() {
        return Err("--address or --model is missing".into());
    }
    if plan.rate.is_some_and(|rate| !rate.is_finite() || rate <= 0.0) {
        return Err("--rate is not a positive number".into());
    }
    Ok(Some((plan, json)))
}

fn print_result(result: &LoadResult) {
    println!("seed               {}", result.seed);
    println!("answered, failed   {}, {}", result.answered, result.failed);
    println!("requests/s         {:.0}", result.requests_per_s);
    println!("tokens/s           {:.0}", result.tokens_per_s);
    println!("latency p50, p99   {} us, {} us", result.p50_us, result.p99_us);
    println!("first bytes p99    {} us", result.first_p99_us);
}
