//! Loads and unloads that are not carried out yet.

use base::Timestamp;
use compact_str::CompactString;

/// A load or unload from an accepted suggestion or a version change, until it is done or expires.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct PlacementRequest {
    pub model: CompactString,
    pub load: bool,
    pub expires: Timestamp,
}
