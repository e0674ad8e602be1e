//! Positions in a stream of the log service.

use serde::{Deserialize, Serialize};

/// Position of a record in one stream of the log; the first record has offset 1.
///
/// Offset 0 means "before the first record".
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Offset(pub u64);

impl Offset {
    /// The position after this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
