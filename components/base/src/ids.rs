//! Copy keys that index the arenas of one compiled configuration.
//!
//! A key is valid only together with the `Town` that issued it; on the wire things go by name.

use serde::{Deserialize, Serialize};

macro_rules! arena_key {
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

arena_key!(
    /// Key of an adapter.
    AdapterId
);
arena_key!(
    /// Key of a customer.
    CustomerId
);
arena_key!(
    /// Key of a caller's key entry.
    KeyId
);
arena_key!(
    /// Key of a base model.
    ModelId
);
arena_key!(
    /// Key of a plain-service route.
    RouteId
);
arena_key!(
    /// Key of a service (a group of targets).
    ServiceId
);
