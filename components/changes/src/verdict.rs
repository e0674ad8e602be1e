//! Verdicts on configuration changes.

use std::fmt;

use base::Offset;
use compact_str::CompactString;
use config::Problem;

use crate::RecordId;

/// Verdict on one record, with its offset.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordVerdict {
    /// Offset of the record.
    pub offset: Offset,
    /// Record id; `None` if the record could not be decoded.
    pub id: Option<RecordId>,
    /// Verdict.
    pub verdict: Verdict,
}

/// Verdict on a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The change is in force; its version is the offset of the record.
    Accepted,
    /// A record with the same id was applied before; this one has no effect.
    Duplicate {
        /// Offset of the first record with the id.
        first: Offset,
    },
    /// The change was rejected.
    Rejected(Rejection),
    /// A snapshot; it has no effect on a reader that has the state.
    Snapshot,
}

/// Why a change was rejected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Rejection {
    /// The files are based on a version that is no longer in force.
    Raced {
        /// Version on which the files are based.
        base_version: Offset,
        /// Version in force before this record.
        in_force: Offset,
    },
    /// The files fail the check.
    Invalid(Vec<Problem>),
    /// The files together exceed the size limit.
    TooLong {
        /// Length in bytes.
        bytes: usize,
        /// Maximum length in bytes.
        limit: usize,
    },
    /// No configuration is in force yet.
    NoFiles,
    /// The key name is not usable.
    KeyName(CompactString),
    /// A key with this name or hash is in force already.
    KeyExists(CompactString),
    /// The hash is that of a withdrawn key.
    KeyWithdrawn(CompactString),
    /// There is no customer with this name.
    UnknownCustomer(CompactString),
    /// There is no key with this name.
    UnknownKey(CompactString),
    /// Too many keys were added without being listed in the base file.
    TooManyKeys {
        /// Maximum number of keys.
        limit: usize,
    },
    /// The record can't be decoded.
    Malformed,
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Raced { base_version, in_force } => write!(
                f,
                "the files were made from version {}, but version {} is in force; apply the change \
                 to that version and publish again",
                base_version.0, in_force.0
            ),
            Self::Invalid(problems) => {
                let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
                write!(f, "the check fails:\n{}", lines.join("\n"))
            }
            Self::TooLong { bytes, limit } => {
                write!(f, "the files have {bytes} bytes; shorten them to {limit} together")
            }
            Self::NoFiles => f.write_str("no configuration is in force; publish files first"),
            Self::KeyName(name) => write!(
                f,
                "key name {name:?} is not usable; write 1 to 64 letters, digits or any of \
                 . _ - : / @"
            ),
            Self::KeyExists(name) => {
                write!(
                    f,
                    "key {name} is in force already; choose another name and create a new key"
                )
            }
            Self::KeyWithdrawn(name) => {
                write!(f, "the key was withdrawn as {name} and can't come back; create a new key")
            }
            Self::UnknownCustomer(name) => {
                write!(f, "there is no customer {name}; define it or correct the name")
            }
            Self::UnknownKey(name) => {
                write!(f, "there is no key {name} in force; correct the name")
            }
            Self::TooManyKeys { limit } => {
                write!(f, "{limit} keys were added since the files; publish files that list them")
            }
            Self::Malformed => f.write_str("the record can't be decoded; publish again"),
        }
    }
}
