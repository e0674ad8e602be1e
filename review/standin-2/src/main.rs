//! Stand-ins for the cases of the second review.

mod client;
mod deadly_part;
mod deployment;
mod engine;
mod http;
mod record;
mod reused;
mod rolled;
mod store;
mod unannounced;
mod versions;

use std::process::ExitCode;

use record::Record;

/// Exit codes: the rule held, the rule was broken, the case couldn't run.
const HELD: u8 = 0;
const BROKEN: u8 = 1;
const NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().is_some_and(|command| command == "engine") {
        return match engine::run(&arguments[1..]) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("worker: {error}");
                ExitCode::from(NOT_RUN)
            }
        };
    }
    let [case, path] = arguments.as_slice() else {
        eprintln!("usage: review-standin-2 CASE RECORD");
        return ExitCode::from(NOT_RUN);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let played = Record::create(path).and_then(|record| match case.as_str() {
        "deadly-part" => deadly_part::play(record, trouble),
        "reused" => reused::play(record, trouble),
        "rolled" => rolled::play(record, trouble),
        "unannounced" => unannounced::play(record, trouble),
        "versions" => versions::play(record, trouble),
        _ => Err(std::io::Error::new(std::io::ErrorKind::InvalidInput, "no such case")),
    });
    match played {
        Ok(true) => ExitCode::from(BROKEN),
        Ok(false) => ExitCode::from(HELD),
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            ExitCode::from(NOT_RUN)
        }
    }
}
