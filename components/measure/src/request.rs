//! A request in progress.

use rates::{Collector, ReservationPart};

use crate::outcome::Progressing;
use crate::{Arrival, Outcome};

/// A request in progress.
pub(crate) struct Request {
    pub(crate) arrival: Arrival,
    pub(crate) entry: usize,
    pub(crate) collector: Option<Collector>,
    pub(crate) parts: Vec<ReservationPart>,
    pub(crate) progress: Progressing,
    pub(crate) attempts: u32,
    pub(crate) excluded: Vec<compact_str::CompactString>,
    pub(crate) send: Option<(usize, routing::SendId)>,
    /// Number of the admission at the judge, for policies without slots.
    pub(crate) admission: Option<u64>,
    /// Whether one exact bucket would have admitted it.
    pub(crate) inside_at_arrival: bool,
    pub(crate) outcome: Option<Outcome>,
}

impl Request {
    pub(crate) fn new(arrival: Arrival, entries: usize) -> Self {
        Self {
            entry: arrival.entry as usize % entries.max(1),
            arrival,
            collector: None,
            parts: Vec::new(),
            progress: Progressing::default(),
            attempts: 0,
            excluded: Vec::new(),
            send: None,
            admission: None,
            inside_at_arrival: false,
            outcome: None,
        }
    }
}
