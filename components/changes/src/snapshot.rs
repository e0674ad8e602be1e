//! State of the configuration stream as a record carries it.

use base::Offset;
use config::Sources;
use serde::{Deserialize, Serialize};

use crate::RecordId;

/// State after all records through an offset.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// Last record included.
    pub through: Offset,
    /// Version in force; 0 if none.
    pub version: Offset,
    /// Files and edits of keys in force.
    pub sources: Sources,
    /// Newest record ids, oldest first, with the offset where each first stood.
    pub recent: Vec<SeenId>,
}

/// A record id that was seen.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SeenId {
    /// Offset of the first record with the id.
    pub offset: Offset,
    /// Id.
    pub id: RecordId,
}
