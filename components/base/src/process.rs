//! Identity of a process of the fleet.

use std::fmt;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Name of a process, from its settings; stable across restarts and unique in the fleet.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ProcessName(pub CompactString);

impl ProcessName {
    /// Makes a name from text.
    pub fn new(text: &str) -> Self {
        Self(CompactString::new(text))
    }

    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ProcessName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Number of one run of a process; strictly larger on each restart.
///
/// Taken from the wall clock in microseconds at start, since VMs keep nothing across restarts.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// One run of one process.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ProcessId {
    /// Stable name.
    pub name: ProcessName,
    /// Run of the process.
    pub incarnation: Incarnation,
}

impl fmt::Display for ProcessId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.name, self.incarnation)
    }
}

/// Job of a process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Answers callers on an entry VM.
    Entry,
    /// Runs beside one target.
    Side,
}

impl Role {
    /// The role as text for logs and status.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Side => "side",
        }
    }
}
