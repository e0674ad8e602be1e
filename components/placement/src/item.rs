//! Models and adapters that occupy memory on an engine.

use compact_str::CompactString;

/// A model or an adapter, identified by a name that is unique across both.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Item {
    /// Adapter.
    Adapter(CompactString),
    /// Base model.
    Model(CompactString),
}

impl Item {
    /// Name of the model or adapter.
    pub const fn name(&self) -> &CompactString {
        match self {
            Self::Adapter(name) | Self::Model(name) => name,
        }
    }
}
