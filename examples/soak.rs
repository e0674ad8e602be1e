//! Runs the soak test on the release binary, one seed after another.
//!
//! `cargo build --release && cargo run --release --example soak -- --seeds 1-50`; exits with
//! code 1 if a check failed. This example starts the processes, so that the product itself needs no
//! code that starts processes.

use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use lexopt::prelude::*;
use soak::{Schedule, SoakOptions, run};
use tokio::task::LocalSet;

type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

const HELP: &str = "\
Run the soak on the release binary.

Usage: soak [--seeds FIRST-LAST] [--seconds N] [--gateways N] [--engines N] [--agents N] [--callers N]
            [--logs DIR]

Options:
      --seeds FIRST-LAST  seeds to run (1-1)
      --seconds N         time in which faults begin (20)
      --gateways N        gateway processes (4)
      --engines N         engines (6)
      --agents N          engines with an agent process, the first ones (all)
      --callers N         callers (32)
      --logs DIR          keep the logs of the processes in DIR/SEED
  -h, --help              show this text
";

struct Arguments {
    seeds: RangeInclusive<u64>,
    options: SoakOptions,
    logs: Option<PathBuf>,
}

fn parse() -> Result<Option<Arguments>> {
    let options = SoakOptions { binary: binary_path()?, ..SoakOptions::default() };
    let mut arguments = Arguments { seeds: 1..=1, options, logs: None };
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        let options = &mut arguments.options;
        match argument {
            Long("seeds") => {
                let text = parser.value()?.string()?;
                let (first, last) = text.split_once('-').unwrap_or((&text, &text));
                arguments.seeds = first.parse()?..=last.parse()?;
            }
            Long("seconds") => {
                options.length = Duration::from_secs(parser.value()?.parse()?);
            }
            Long("gateways") => options.gateways = parser.value()?.parse()?,
            Long("engines") => options.engines = parser.value()?.parse()?,
            Long("agents") => options.agents = parser.value()?.parse()?,
            Long("callers") => options.callers = parser.value()?.parse()?,
            Long("logs") => arguments.logs = Some(parser.value()?.into()),
            Short('h') | Long("help") => return Ok(None),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(arguments))
}

/// Returns the path of the release binary, in the parent of the directory of this example.
fn binary_path() -> Result<PathBuf> {
    let example = std::env::current_exe()?;
    let directory = example.parent().and_then(Path::parent).ok_or("no target directory")?;
    Ok(directory.join("plantainbeam"))
}

fn main() -> Result<ExitCode> {
    let Some(Arguments { seeds, options, logs }) = parse()? else {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let mut all_passed = true;
    for seed in seeds {
        let logs = logs.as_ref().map(|logs| logs.join(seed.to_string()));
        let options = SoakOptions { seed, logs, ..options.clone() };
        print!("schedule of seed {seed}:\n{}", Schedule::draw(&options));
        let report = LocalSet::new().block_on(&runtime, run(&options))?;
        print!("{report}");
        all_passed &= report.findings.is_empty();
    }
    Ok(if all_passed { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
