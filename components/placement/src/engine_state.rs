//! Memory state reported by an engine.

use compact_str::CompactString;

use crate::Item;

/// State of a model copy as reported by the engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineCopyState {
    /// Being loaded; its memory is in use.
    Loading,
    /// Served.
    Resident,
    /// Being unloaded; its memory is still in use.
    Unloading,
}

/// A model copy as reported by the engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineCopy {
    /// Model name.
    pub model: CompactString,
    /// Model version.
    pub version: CompactString,
    /// State of the copy.
    pub state: EngineCopyState,
}

/// Engine state, exact at the time of the engine's reply.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineState {
    /// Memory for models and adapters in MB.
    pub capacity_mb: u64,
    /// Memory in use in MB.
    pub used_mb: u64,
    /// Model copies, sorted by name.
    pub models: Vec<EngineCopy>,
    /// Resident adapters, sorted by name.
    pub adapters: Vec<CompactString>,
    /// Whether an order is in progress.
    pub busy: bool,
}

impl EngineState {
    /// Returns whether no order and no load or unload is in progress.
    pub fn is_settled(&self) -> bool {
        !self.busy && self.models.iter().all(|copy| copy.state == EngineCopyState::Resident)
    }

    /// Returns the items that occupy memory, with their states.
    pub fn items(&self) -> impl Iterator<Item = (Item, EngineCopyState)> {
        let models = self.models.iter().map(|copy| (Item::Model(copy.model.clone()), copy.state));
        let adapters = self
            .adapters
            .iter()
            .map(|name| (Item::Adapter(name.clone()), EngineCopyState::Resident));
        models.chain(adapters)
    }

    /// Returns the state of one item, or none if the engine does not hold it.
    pub fn state_of(&self, item: &Item) -> Option<EngineCopyState> {
        match item {
            Item::Adapter(name) => {
                self.adapters.contains(name).then_some(EngineCopyState::Resident)
            }
            Item::Model(name) => {
                self.models.iter().find(|copy| copy.model == *name).map(|copy| copy.state)
            }
        }
    }
}
