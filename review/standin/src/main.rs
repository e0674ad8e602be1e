//! Stand-ins of the platform and the cases of the review. Each case starts the project's own program,
//! writes `record.txt` into the folder that its second argument names and exits with 1 if the rule was
//! broken, 0 if it held and 2 if the case couldn't run.

mod deployment;
mod drain;
mod early_answer;
mod http;
mod keep_alive;
mod late_order;
mod store;
mod unframed;

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use deployment::Record;

/// Whether the rule held.
type Outcome = io::Result<bool>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let (case, folder) = match arguments.as_slice() {
        [role, address] if role == "unframed-worker" => return unframed::run_worker(address),
        [case, folder] => (case.as_str(), PathBuf::from(folder)),
        _ => return ExitCode::from(2),
    };
    let record = Record::new();
    let outcome = match case {
        "drain" => drain::run(&record),
        "unframed" => unframed::run(&record),
        "early-answer" => early_answer::run(&record),
        "late-order" => late_order::run(&record),
        "keep-alive" => keep_alive::run(&record),
        _ => return ExitCode::from(2),
    };
    let code = match outcome {
        Ok(true) => {
            record.note("the rule held");
            0
        }
        Ok(false) => {
            record.note("the rule was broken");
            1
        }
        Err(error) => {
            record.note(format!("the case couldn't run: {error}"));
            2
        }
    };
    match record.write(&folder.join("record.txt")) {
        Ok(()) => ExitCode::from(code),
        Err(_) => ExitCode::from(2),
    }
}
