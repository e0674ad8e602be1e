//! An engine's own account of its memory.

use compact_str::CompactString;

use crate::Item;

/// State of a model's copy by the engine's account.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineCopyState {
    /// Being loaded; its memory is taken.
    Loading,
    /// Served.
    Resident,
    /// Being unloaded; its memory is still taken.
    Unloading,
}

/// A copy of a model by the engine's account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineCopy {
    /// Model.
    pub model: CompactString,
    /// Version.
    pub version: CompactString,
    /// State.
    pub state: EngineCopyState,
}

/// What an engine says about itself, exact at the moment of its answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineState {
    /// Memory for models and adapters in MB.
    pub capacity_mb: u64,
    /// Memory taken in MB.
    pub used_mb: u64,
    /// Copies of models, sorted by name.
    pub models: Vec<EngineCopy>,
    /// Adapters, sorted by name.
    pub adapters: Vec<CompactString>,
    /// Whether an order is in progress.
    pub busy: bool,
}

impl EngineState {
    /// Whether nothing is in progress.
    pub fn settled(&self) -> bool {
        !self.busy && self.models.iter().all(|copy| copy.state == EngineCopyState::Resident)
    }

    /// The items that take up memory, with their states.
    pub fn items(&self) -> impl Iterator<Item = (Item, EngineCopyState)> {
        let models = self.models.iter().map(|copy| (Item::Model(copy.model.clone()), copy.state));
        let adapters = self
            .adapters
            .iter()
            .map(|name| (Item::Adapter(name.clone()), EngineCopyState::Resident));
        models.chain(adapters)
    }

    /// State of one item.
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
