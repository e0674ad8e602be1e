//! Identity of a process in the fleet.

use std::fmt;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Name of a process, taken from its settings; stable across restarts and unique in the fleet.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ProcessName(pub CompactString);

impl ProcessName {
    /// Creates a name from a string.
    pub fn new(text: &str) -> Self {
        Self(CompactString::new(text))
    }

    /// Returns the name as a string.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ProcessName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Incarnation number of a process; strictly increases with each restart.
///
/// It is the wall-clock time of the start in microseconds, because VMs have no storage that
/// survives a restart.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// One incarnation of a process.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ProcessId {
    /// Name, stable across restarts.
    pub name: ProcessName,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}

impl fmt::Display for ProcessId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.name, self.incarnation)
    }
}

/// Role of a process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts requests from callers on an entry VM.
    Entry,
    /// Runs as a sidecar of one target.
    Side,
}

impl Role {
    /// Returns the role as it appears in logs and status reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Side => "side",
        }
    }
}
