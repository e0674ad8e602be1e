//! What the stand-in engine ran, for tests.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::SeenHeader;

/// Most runs and orders kept; the oldest go first.
const MAX_ENTRIES: usize = 100_000;

/// A generation that the engine began.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunEntry {
    /// Id of the request.
    pub id: CompactString,
    /// Model.
    pub model: CompactString,
    /// Adapter.
    pub adapter: Option<CompactString>,
    /// Header fields received.
    pub headers: Vec<SeenHeader>,
    /// Body received.
    pub body: String,
    /// Index of the first token; above zero for a resumed answer.
    pub first_index: u64,
    /// Tokens sent.
    pub tokens: u64,
    /// Whether the last event was sent.
    pub finished: bool,
}

/// An order that the engine executed or refused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderEntry {
    /// Id of the order.
    pub order: CompactString,
    /// Path of the call.
    pub path: CompactString,
    /// Fencing number.
    pub fencing: u64,
    /// Result.
    pub result: OrderOutcome,
}

/// Result of an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// Executed.
    Done,
    /// The deadline had passed.
    Expired,
    /// Failed.
    Failed,
    /// The fencing number is too old.
    Fenced,
    /// The memory does not suffice.
    NoMemory,
}

/// Journal of the stand-in engine.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineJournal {
    /// Generations in the order of their start.
    pub runs: Vec<RunEntry>,
    /// Orders in the order of their results.
    pub orders: Vec<OrderEntry>,
    /// Most memory in use at once, in MB.
    pub most_used_mb: u64,
    /// Orders that would have exceeded the memory.
    pub overcommit_attempts: u64,
}

impl EngineJournal {
    pub(crate) fn add_run(&mut self, run: RunEntry) {
        self.runs.push(run);
        if self.runs.len() > MAX_ENTRIES {
            self.runs.drain(..MAX_ENTRIES / 2);
        }
    }

    pub(crate) fn add_order(&mut self, order: OrderEntry) {
        self.orders.push(order);
        if self.orders.len() > MAX_ENTRIES {
            self.orders.drain(..MAX_ENTRIES / 2);
        }
    }

    /// The latest run with this id.
    pub(crate) fn run_mut(&mut self, id: &str) -> Option<&mut RunEntry> {
        self.runs.iter_mut().rev().find(|run| run.id == id)
    }
}
