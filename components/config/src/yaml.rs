//! Reading of YAML text.

use serde::de::DeserializeOwned;

use crate::{Problem, SourceFile};

/// Largest file in bytes; a change with all its files must fit one log record.
pub const MAX_FILE_BYTES: usize = 512 << 10;

const INTEGER_TYPES: [&str; 8] = ["i128", "i64", "u16", "u32", "u64", "u128", "u8", "usize"];

/// Reads one YAML document; unknown and repeated fields are refused by the types and the reader.
pub(crate) fn read_yaml<T: DeserializeOwned>(source: &SourceFile) -> Result<T, Problem> {
    if source.text.len() > MAX_FILE_BYTES {
        return Err(Problem {
            file: source.name.clone(),
            line: 0,
            message: format!(
                "the file has {} bytes; shorten it to at most {MAX_FILE_BYTES}",
                source.text.len()
            ),
        });
    }
    let options = serde_saphyr::options! { with_snippet: false };
    serde_saphyr::from_str_with_options(&source.text, options).map_err(|error| {
        let line = error.location().map_or(0, |location| location.line());
        Problem { file: source.name.clone(), line, message: instruct(&error.to_string()) }
    })
}

/// Turns the reader's text into a sentence for operators.
fn instruct(text: &str) -> String {
    // The line is part of the problem, and the reader's options are not the operator's concern.
    let text = text.split(" at line ").next().unwrap_or(text);
    let text = text.split(", set DuplicateKeyPolicy").next().unwrap_or(text);
    if let Some(field) = text.strip_prefix("duplicate mapping key: ") {
        return format!("field {field} is set twice; keep one of them");
    }
    if text.starts_with("invalid") && INTEGER_TYPES.iter().any(|kind| text.ends_with(kind)) {
        return "this is not a whole number in range; write one, for example 100".to_owned();
    }
    format!("{text}; correct this line")
}
