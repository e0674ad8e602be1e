//! Topics of the store that keep the newest value of each key.

/// A keyed topic that the fleet uses.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Topic {
    /// Runs of agents, each under the name of its VM; the offset of its record is its fencing
    /// number.
    Agents,
    /// Gateways, each under the name of its VM.
    Gateways,
    /// What the operators publish; the system only reads it.
    Operators,
    /// The targets, each under its own id; the system only reads it.
    Targets,
}

impl Topic {
    /// The topic as a value in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Agents => "agents",
            Self::Gateways => "gateways",
            Self::Operators => "operators",
            Self::Targets => "targets",
        }
    }
}
