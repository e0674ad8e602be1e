//! Typed indices into the arenas of a compiled configuration.
//!
//! An index is valid only together with the configuration that issued it. Messages between
//! processes therefore carry names instead.

use serde::{Deserialize, Serialize};

macro_rules! arena_index {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        pub struct $name(pub u32);

        impl $name {
            /// Position in the arena.
            pub const fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

arena_index!(
    /// Index of an adapter.
    AdapterId
);
arena_index!(
    /// Index of a customer.
    CustomerId
);
arena_index!(
    /// Index of an API key.
    KeyId
);
arena_index!(
    /// Index of a base model.
    ModelId
);
arena_index!(
    /// Index of a route to a plain HTTP service.
    RouteId
);
arena_index!(
    /// Index of a service, which is a group of targets.
    ServiceId
);
