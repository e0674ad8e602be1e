//! Values with their source position.

use serde::{Deserialize, Deserializer};
use serde_saphyr::Spanned;

/// Index of a file among the checked files; 0 is the base file.
pub(crate) type FileIndex = usize;

/// A value with its file and line.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Located<T> {
    pub(crate) value: T,
    pub(crate) file: FileIndex,
    /// Line from 1; 0 for a default.
    pub(crate) line: u64,
}

impl<T> Located<T> {
    /// A value that no file sets.
    pub(crate) const fn unset(value: T) -> Self {
        Self { value, file: 0, line: 0 }
    }
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Located<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let spanned = Spanned::<T>::deserialize(deserializer)?;
        Ok(Self { value: spanned.value, file: 0, line: spanned.referenced.line() })
    }
}
