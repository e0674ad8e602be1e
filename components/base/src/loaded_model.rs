//! Model weights loaded or cached by an engine.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// A model served by an engine, with its adapters.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadedModel {
    /// Name of the base model.
    pub model: CompactString,
    /// Version of the weights.
    pub version: u64,
    /// Names of the loaded adapters, sorted, without the model name as a prefix.
    pub adapters: Vec<CompactString>,
}

/// Local copies of weights, which an engine loads faster than from the weight store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WarmCopies {
    /// Models in host memory, sorted.
    pub in_memory: Vec<CompactString>,
    /// Models on the local disk, sorted.
    pub on_disk: Vec<CompactString>,
}

impl WarmCopies {
    /// Whether `model` can be loaded without the weight store.
    pub fn has(&self, model: &str) -> bool {
        let contains = |names: &[CompactString]| {
            names.binary_search_by(|name| name.as_str().cmp(model)).is_ok()
        };
        contains(&self.in_memory) || contains(&self.on_disk)
    }
}
