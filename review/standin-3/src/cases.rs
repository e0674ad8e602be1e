//! The cases.

mod crowds;
mod limits;
mod plain;
mod quarantine;

use crate::Verdict;
use crate::record::Record;

/// Plays a case.
pub fn run(case: &str, trouble: bool, record: &Record) -> Verdict {
    let result = match case {
        "in-place-update" => plain::in_place_update(trouble, record),
        "model-names" => crowds::model_names(trouble, record),
        "prompt-parts" => crowds::prompt_parts(trouble, record),
        "new-model" => limits::new_model(trouble, record),
        "shared-part" => quarantine::shared_part(trouble, record),
        "retired-model" => limits::retired_model(trouble, record),
        _ => return Verdict::NotRun(format!("no case {case}")),
    };
    result.unwrap_or_else(|error| Verdict::NotRun(error.to_string()))
}
