//! What a route asks of a gateway that calls targets without a side process.

use base::ServiceId;
use compact_str::CompactString;

/// What may be repeated, and how the answer comes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum DirectKind {
    /// Runs at most once.
    #[default]
    Once,
    /// May run more than once.
    Repeatable,
    /// A stream of numbered events; runs at most once unless it can go on at another target.
    Stream {
        /// Whether another target can go on after the last event delivered.
        resumable: bool,
    },
}

impl DirectKind {
    /// Whether a run may be followed by another one of the same request.
    pub const fn may_run_again(self) -> bool {
        match self {
            Self::Once | Self::Stream { resumable: false } => false,
            Self::Repeatable | Self::Stream { resumable: true } => true,
        }
    }

    /// Whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }

    /// The kind as a value in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Once => "once",
            Self::Repeatable => "repeatable",
            Self::Stream { resumable: false } => "stream",
            Self::Stream { resumable: true } => "resumable_stream",
        }
    }
}

/// Share of a route's requests that goes to a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServiceShare {
    /// Service.
    pub service: ServiceId,
    /// Weight among the shares of the route; a service with weight zero gets none.
    pub weight: u32,
}

/// Part of a route that only a gateway without side processes uses.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DirectRoute {
    /// Host of the requests; empty for any.
    pub host: CompactString,
    /// Kind.
    pub kind: DirectKind,
    /// Services with their weights; empty if all requests go to the route's service.
    pub shares: Vec<ServiceShare>,
    /// Most targets that one request may be sent to.
    pub attempts: u32,
    /// Time within which an answer (or the first event of a stream) is on time, in milliseconds.
    pub answer_objective_ms: u64,
    /// Longest pause between two events of a stream that is on time, in milliseconds.
    pub gap_objective_ms: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Regions in which its requests may run; empty for all.
    pub home_regions: Vec<CompactString>,
}
