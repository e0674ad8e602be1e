//! Faults found in files.

use std::fmt;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// A fault in a file, where it is and what to do about it.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Problem {
    /// Name of the file.
    pub file: CompactString,
    /// Line from 1; 0 if the problem is not in one line.
    pub line: u64,
    /// What is wrong and what to do.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.message)
    }
}
