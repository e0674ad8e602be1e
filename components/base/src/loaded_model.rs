//! Weights that an engine holds.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// A model that an engine serves, with its adapters.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadedModel {
    /// Name of the base model.
    pub model: CompactString,
    /// Version of the weights.
    pub version: u64,
    /// Names of the adapters that are loaded on it, without the model's name, sorted.
    pub adapters: Vec<CompactString>,
}

/// Copies of weights from which an engine loads faster than from the weight store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WarmCopies {
    /// Models in the memory of the host, sorted.
    pub in_memory: Vec<CompactString>,
    /// Models on the disk of the host, sorted.
    pub on_disk: Vec<CompactString>,
}

impl WarmCopies {
    /// Whether a load of `model` does not go to the weight store.
    pub fn has(&self, model: &str) -> bool {
        let listed = |names: &[CompactString]| {
            names.binary_search_by(|name| name.as_str().cmp(model)).is_ok()
        };
        listed(&self.in_memory) || listed(&self.on_disk)
    }
}
