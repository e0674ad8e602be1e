//! `measure --crashes`: the quarantine of prompt parts that end targets, in random scenarios.

use std::panic::resume_unwind;
use std::process::ExitCode;

use lexopt::prelude::*;
use measure::{CrashResult, CrashScenario, run_crashes};

use crate::cli::usage_error;

const HELP: &str = "\
Measure the quarantine of prompt parts that end targets, in random scenarios without I/O.

Usage: plantainbeam measure --crashes [options]

Options:
      --scenarios N      scenarios of each kind (default 1000)
      --seed N           seed of the first scenario (default 0)
      --list             print the seeds of the scenarios that exceed a limit
  -h, --help             show this text
";

/// Threads that play scenarios.
const THREADS: u64 = 4;

struct Options {
    scenarios: u64,
    seed: u64,
    lists_seeds: bool,
}

/// Runs the command; the caller has already consumed `--crashes`.
pub fn run(mut parser: lexopt::Parser) -> ExitCode {
    let mut options = Options { scenarios: 1_000, seed: 0, lists_seeds: false };
    loop {
        let parsed = match parser.next() {
            Ok(Some(Long("scenarios"))) => parse_into(&mut parser, &mut options.scenarios),
            Ok(Some(Long("seed"))) => parse_into(&mut parser, &mut options.seed),
            Ok(Some(Long("list"))) => {
                options.lists_seeds = true;
                Ok(())
            }
            Ok(Some(Short('h') | Long("help"))) => {
                print!("{HELP}");
                return ExitCode::SUCCESS;
            }
            Ok(Some(argument)) => Err(argument.unexpected()),
            Ok(None) => break,
            Err(error) => Err(error),
        };
        if let Err(error) = parsed {
            return usage_error(&error.to_string(), HELP);
        }
    }
    println!("{:<18} judged  lost  sound-held  refused  late  crashes>8", "scenarios");
    for (name, change) in KINDS {
        measure_kind(name, change, &options);
    }
    ExitCode::SUCCESS
}

fn parse_into(parser: &mut lexopt::Parser, field: &mut u64) -> Result<(), lexopt::Error> {
    *field = parser.value()?.parse()?;
    Ok(())
}

type Change = fn(CrashScenario) -> CrashScenario;

/// Kinds of scenarios, each with its difference from the plain one.
const KINDS: [(&str, Change); 6] = [
    ("one part", |scenario| scenario),
    ("two parts", |scenario| CrashScenario { deadly_parts: 2, ..scenario }),
    ("with kills", |scenario| CrashScenario { kills_per_s: 0.5, ..scenario }),
    ("kills alone", |scenario| CrashScenario { kills_per_s: 1.0, deadly_per_s: 0.0, ..scenario }),
    ("turns deadly", |scenario| CrashScenario { turns_deadly: true, ..scenario }),
    ("before the head", |scenario| CrashScenario { before_head: true, ..scenario }),
];

fn measure_kind(name: &str, change: Change, options: &Options) {
    let play = |thread: u64| {
        (0..options.scenarios)
            .filter(move |number| number % THREADS == thread)
            .map(|number| change(CrashScenario::draw(options.seed + number)))
            .map(|scenario| (scenario.seed, run_crashes(&scenario)))
            .collect::<Vec<_>>()
    };
    let results: Vec<(u64, CrashResult)> = std::thread::scope(|scope| {
        let threads: Vec<_> =
            (0..THREADS).map(|thread| scope.spawn(move || play(thread))).collect();
        let join = |thread: std::thread::ScopedJoinHandle<'_, _>| {
            thread.join().unwrap_or_else(|panic| resume_unwind(panic))
        };
        threads.into_iter().flat_map(join).collect()
    });
    let seeds = |is_counted: fn(&CrashResult) -> bool| -> Vec<u64> {
        results.iter().filter(|(_, result)| is_counted(result)).map(|(seed, _)| *seed).collect()
    };
    let lost = seeds(CrashResult::loses_sound_requests);
    let late = seeds(CrashResult::exceeds_sends);
    println!(
        "{name:<18} {:6} {:5} {:11} {:8} {:5} {:10}",
        seeds(CrashResult::is_judged).len(),
        lost.len(),
        seeds(|result| result.is_sound_held).len(),
        results.iter().map(|(_, result)| result.sound_refused).sum::<u32>(),
        late.len(),
        seeds(|result| result.crashes.iter().any(|crashes| *crashes > 8)).len(),
    );
    if options.lists_seeds {
        println!("  lost: {lost:?}\n  late: {late:?}");
    }
}
