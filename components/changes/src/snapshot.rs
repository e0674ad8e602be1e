//! State of the configuration stream, as stored in a snapshot record.

use base::Offset;
use config::Sources;
use serde::{Deserialize, Serialize};

use crate::RecordId;

/// State after all records through an offset.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// Offset of the last record included.
    pub through: Offset,
    /// Version in force; 0 if none.
    pub version: Offset,
    /// Files and key edits in force.
    pub sources: Sources,
    /// Recent record ids, oldest first, with the offset of the first record with each id.
    pub recent: Vec<SeenId>,
}

/// A recent record id.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SeenId {
    /// Offset of the first record with the id.
    pub offset: Offset,
    /// Record id.
    pub id: RecordId,
}
