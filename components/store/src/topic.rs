//! Topics of the store that keep the newest value of each key.

/// A keyed topic used by the fleet.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Topic {
    /// Incarnations of agents, each under the name of its VM. The offset of the record is the
    /// fencing token.
    Agents,
    /// Gateways, each under the name of its VM.
    Gateways,
    /// Records published by the operators; read-only for this system.
    Operators,
    /// Requests and prompt parts in quarantine, each under its name.
    Quarantines,
    /// Versions of services' software that are or were lately in service, each under its key.
    Software,
    /// Targets, each under its id; read-only for this system.
    Targets,
}

impl Topic {
    /// Returns the topic name for logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Agents => "agents",
            Self::Gateways => "gateways",
            Self::Operators => "operators",
            Self::Quarantines => "quarantines",
            Self::Software => "software",
            Self::Targets => "targets",
        }
    }
}
