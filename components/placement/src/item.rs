//! What takes up memory at an engine.

use compact_str::CompactString;

/// A model or an adapter, by name. Names are unique among models and adapters.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Item {
    /// Adapter.
    Adapter(CompactString),
    /// Base model.
    Model(CompactString),
}

impl Item {
    /// The name.
    pub const fn name(&self) -> &CompactString {
        match self {
            Self::Adapter(name) | Self::Model(name) => name,
        }
    }
}
