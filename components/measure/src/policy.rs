//! Policies that are compared.

/// A set of decisions under measurement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The decision core as shipped.
    Core,
    /// The core, with each customer's rate split equally between entry processes.
    EqualSplit,
    /// The core, with first come first served at the targets.
    FirstComeFirstServed,
    /// The core, with copies that never move after the start.
    FixedPlacement,
    /// The core, with the target of the shortest reported queue.
    LeastLoaded,
    /// Exact and instant knowledge: one bucket, shortest true queue, free loads.
    Oracle,
    /// The core, with targets in turn.
    RoundRobin,
}

impl Policy {
    /// All policies, the shipped one first and the bound last.
    pub const ALL: [Self; 7] = [
        Self::Core,
        Self::EqualSplit,
        Self::RoundRobin,
        Self::LeastLoaded,
        Self::FirstComeFirstServed,
        Self::FixedPlacement,
        Self::Oracle,
    ];

    /// Name in reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Core => "core",
            Self::EqualSplit => "equal-split",
            Self::FirstComeFirstServed => "fcfs",
            Self::FixedPlacement => "fixed-placement",
            Self::LeastLoaded => "least-loaded",
            Self::Oracle => "oracle",
            Self::RoundRobin => "round-robin",
        }
    }
}
