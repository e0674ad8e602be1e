//! `measure`: compares the scheduling policy with baselines and an upper bound.

use std::panic::resume_unwind;
use std::process::ExitCode;

use config::{BucketLayout, EntrySettings};
use lexopt::prelude::*;
use measure::{
    Deployment, Fault, Policy, RunResult, Scenario, deployments, make_arrivals, print_json,
    print_table, run,
};

use crate::cli::usage_error;

const HELP: &str = "\
Measure the policy beside baselines and a bound, on both deployments.

Usage: plantainbeam measure [options]
       plantainbeam measure --load --help
       plantainbeam measure --crashes --help

Options:
      --json             JSON instead of a table
      --seed N           seed of the workload (default 20261204)
      --length-s N       length of a run in seconds (default 120)
      --load-percent N   load as a share of the engines' capacity (default 60)
      --slots N          slots of each customer's bucket (default as configured)
      --rate-wait-ms N   longest wait for tokens to accrue (default as configured)
      --fault NAME       only this fault: none, target-lost, log-outage, rolling-restart
      --policy NAME      only this policy, for example core or oracle
  -h, --help             show this text

Exit code: 1 if any run admits tokens above rate and burst.
";

struct Options {
    json: bool,
    scenario: Scenario,
    fault: Option<String>,
    policy: Option<String>,
}

/// Runs the command.
pub fn run_command(mut parser: lexopt::Parser) -> ExitCode {
    // `--load` and `--crashes` select a different option set, so they must be the first argument.
    let first = parser.try_raw_args().and_then(|rest| rest.peek().map(ToOwned::to_owned));
    if first.as_ref().is_some_and(|first| first == "--load") {
        let _load = parser.next();
        return crate::cmd::measure_load::run(parser);
    }
    if first.as_ref().is_some_and(|first| first == "--crashes") {
        let _crashes = parser.next();
        return crate::cmd::measure_crashes::run(parser);
    }
    match parse(parser) {
        Ok(Some(options)) => measure_all(&options),
        Ok(None) => {
            print!("{HELP}");
            ExitCode::SUCCESS
        }
        Err(error) => usage_error(&error.to_string(), HELP),
    }
}

fn parse(mut parser: lexopt::Parser) -> Result<Option<Options>, lexopt::Error> {
    let scenario = Scenario {
        slots: BucketLayout::default().slots,
        rate_wait_ms: EntrySettings::default().rate_wait_ms,
        ..Scenario::default()
    };
    let mut options = Options { json: false, scenario, fault: None, policy: None };
    while let Some(argument) = parser.next()? {
        match argument {
            Long("json") => options.json = true,
            Long("seed") => options.scenario.seed = parser.value()?.parse()?,
            Long("length-s") => options.scenario.length_s = parser.value()?.parse()?,
            Long("load-percent") => options.scenario.load_percent = parser.value()?.parse()?,
            Long("slots") => options.scenario.slots = parser.value()?.parse()?,
            Long("rate-wait-ms") => options.scenario.rate_wait_ms = parser.value()?.parse()?,
            Long("fault") => options.fault = Some(parser.value()?.string()?),
            Long("policy") => options.policy = Some(parser.value()?.string()?),
            Short('h') | Long("help") => return Ok(None),
            _ => return Err(argument.unexpected()),
        }
    }
    let known_fault = |name: &String| Fault::ALL.iter().any(|fault| fault.as_str() == name);
    let known_policy = |name: &String| Policy::ALL.iter().any(|policy| policy.as_str() == name);
    if !options.fault.as_ref().is_none_or(known_fault) {
        return Err("unknown fault".into());
    }
    if !options.policy.as_ref().is_none_or(known_policy) {
        return Err("unknown policy".into());
    }
    Ok(Some(options))
}

fn measure_all(options: &Options) -> ExitCode {
    let deployments = match deployments(options.scenario.load_percent) {
        Ok(deployments) => deployments,
        Err(problems) => {
            for problem in problems {
                eprintln!("error: {problem}");
            }
            return ExitCode::FAILURE;
        }
    };
    let results = run_all(&deployments, options);
    if options.json {
        if let Err(error) = print_json(&results) {
            eprintln!("error: {error}");
            return ExitCode::FAILURE;
        }
    } else {
        print_table(&results);
    }
    if results.iter().any(|result| result.excess_tokens > 0) {
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

/// Runs every selected combination, with one thread per pair of deployment and fault.
fn run_all(deployments: &[Deployment], options: &Options) -> Vec<RunResult> {
    let is_selected =
        |filter: &Option<String>, name: &str| filter.as_ref().is_none_or(|f| f == name);
    let faults = || Fault::ALL.iter().filter(|f| is_selected(&options.fault, f.as_str()));
    let policies = || Policy::ALL.iter().filter(|p| is_selected(&options.policy, p.as_str()));
    std::thread::scope(|scope| {
        let mut runs = Vec::new();
        for deployment in deployments {
            for fault in faults() {
                let scenario = Scenario { fault: *fault, ..options.scenario };
                runs.push(scope.spawn(move || {
                    let arrivals = make_arrivals(deployment, &scenario);
                    let run = |policy: &Policy| run(deployment, &scenario, *policy, &arrivals);
                    policies().map(run).collect::<Vec<_>>()
                }));
            }
        }
        // A panic in a run means a violated invariant, so it is propagated.
        runs.into_iter()
            .flat_map(|run| run.join().unwrap_or_else(|panic| resume_unwind(panic)))
            .collect()
    })
}
