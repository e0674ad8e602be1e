//! Stand-ins of the users' platform, and the cases of the third review that run on them.
//!
//! `review-standin-3 CASE FOLDER` starts the project's programs from `target/release` below the current
//! directory, plays the case, and writes `record.txt` into FOLDER. It exits with 1 if the rule was broken,
//! with 0 if it held and with 2 if the case could not run. With `TROUBLE=0` in the environment the
//! disruption is left out.

mod cases;
mod client;
mod deployment;
mod engine;
mod http;
mod machine;
mod plain;
mod record;
mod store;

use std::path::PathBuf;
use std::process::exit;
use std::thread;
use std::time::Duration;

use crate::record::Record;

/// Longest time of a case.
const LIMIT: Duration = Duration::from_secs(115);

/// What a case found.
pub enum Verdict {
    /// The rule was broken.
    Broken(String),
    /// The rule held.
    Held,
    /// The case could not run.
    NotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standin-3 CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt can't be written: {error}");
            exit(2);
        }
    };
    record.line(&format!("case {case}, trouble {trouble}"));
    {
        let record = record.clone();
        thread::spawn(move || {
            thread::sleep(LIMIT);
            machine::end_all();
            record.line("the case could not run: it takes too long");
            exit(2);
        });
    }
    // The case itself runs on a thread of its own, so that its processes end even if it panics.
    let runner = {
        let (case, record) = (case.clone(), record.clone());
        thread::spawn(move || cases::run(&case, trouble, &record))
    };
    let verdict = runner.join().unwrap_or_else(|_| Verdict::NotRun("the case panicked".into()));
    machine::end_all();
    let code = match verdict {
        Verdict::Broken(text) => {
            record.line(&format!("RULE BROKEN: {text}"));
            1
        }
        Verdict::Held => {
            record.line("the rule held");
            0
        }
        Verdict::NotRun(text) => {
            record.line(&format!("the case could not run: {text}"));
            2
        }
    };
    thread::sleep(Duration::from_millis(50));
    exit(code);
}
