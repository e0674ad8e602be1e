//! Suggestions that this side process took up.

use base::Timestamp;
use compact_str::CompactString;

/// A suggestion taken up, until it is done or expires.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct PlacementRequest {
    pub model: CompactString,
    pub load: bool,
    pub expires: Timestamp,
}
