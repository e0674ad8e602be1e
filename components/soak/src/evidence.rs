//! What callers and targets have seen in a run.

use std::time::Duration;

use compact_str::CompactString;
use platform_standin::{
    CallerRequest, CallerResponse, CustomerSpec, FleetLimits, ReceivedOrder, Run,
};
use tokio::time::Instant;

/// What a fault strikes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Subject {
    /// Everything.
    All,
    /// An engine or its agent.
    Engine(usize),
    /// A gateway.
    Gateway(usize),
    /// A plain target.
    Plain(usize),
    /// The store.
    Store,
}

/// A fault as it happened.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// What it struck.
    pub subject: Subject,
    /// Whether it is planned work, which cuts no request.
    pub is_planned: bool,
    /// Begin.
    pub from: Instant,
    /// End; none while it lasts.
    pub until: Option<Instant>,
}

impl Span {
    /// Whether it lasts at some moment between two times.
    pub fn overlaps(&self, from: Instant, until: Instant) -> bool {
        self.from <= until && self.until.is_none_or(|end| end >= from)
    }
}

/// One attempt of a caller.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// What it asked for.
    pub request: CallerRequest,
    /// Customer of its key.
    pub customer: CompactString,
    /// Gateway.
    pub gateway: usize,
    /// When it was sent.
    pub sent_at: Instant,
    /// When the answer ended, or the caller's patience.
    pub ended_at: Instant,
    /// The answer.
    pub answer: CallerResponse,
}

/// A run of the soak, as seen from outside the processes.
#[derive(Clone, Debug)]
pub struct Evidence {
    /// Limits of the deployment.
    pub limits: FleetLimits,
    /// Customers.
    pub tenants: Vec<CustomerSpec>,
    /// Attempts of callers.
    pub attempts: Vec<Attempt>,
    /// Runs at targets.
    pub runs: Vec<Run>,
    /// Requests that reached targets, refused ones included, by service.
    pub arrivals: Vec<(Instant, CompactString, CompactString)>,
    /// Orders that engines took.
    pub orders: Vec<ReceivedOrder>,
    /// Orders that engines can't obey.
    pub overcommits: Vec<String>,
    /// Models whose last copy was ordered away.
    pub lost_models: Vec<CompactString>,
    /// Faults.
    pub spans: Vec<Span>,
    /// Keys that were withdrawn, and when the store had acknowledged it.
    pub withdrawn: Vec<(CompactString, Instant)>,
    /// Route that comes and goes: when the store had acknowledged that it is there, and when not.
    pub extra_route: Vec<(bool, Instant)>,
    /// Service of each path.
    pub services: Vec<(CompactString, CompactString)>,
    /// When the last fault had ended.
    pub calm_at: Instant,
}

/// Time without a fault after which a process and the store are in their usual state.
const CONTACT_TIME: Duration = Duration::from_secs(3);

impl Evidence {
    /// Whether a gateway, the store and all links between them were free of faults from some time before
    /// `from` until `until`. Planned work counts as a fault of the process that it stops.
    pub fn is_in_touch(&self, gateway: usize, from: Instant, until: Instant) -> bool {
        let from = from - CONTACT_TIME;
        !self.spans.iter().filter(|span| span.overlaps(from, until)).any(|span| {
            match span.subject {
                Subject::All | Subject::Store => true,
                Subject::Gateway(struck) => struck == gateway,
                Subject::Engine(_) | Subject::Plain(_) => false,
            }
        })
    }

    /// Whether nothing but planned work happened from some time before `from` until `until`.
    pub fn is_calm(&self, from: Instant, until: Instant) -> bool {
        let from = from - CONTACT_TIME;
        self.spans.iter().all(|span| span.is_planned || !span.overlaps(from, until))
    }

    /// Runs of a request.
    pub fn runs_of<'a>(&'a self, request: &'a str) -> impl Iterator<Item = &'a Run> {
        self.runs.iter().filter(move |run| run.request == request)
    }
}
