//! Evacuations of data centres, as the operators record them and gateways report them.

use base::Offset;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// What a gateway knows of the evacuation of a data centre.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvacuationReport {
    /// Data centre.
    pub data_centre: CompactString,
    /// Offset of the operators' record; of two the later one counts.
    pub offset: Offset,
    /// Whether the evacuation is in progress; otherwise it has ended.
    pub is_active: bool,
    /// Time since the beginning or the end became known to a gateway, in milliseconds.
    pub age_ms: u32,
}

/// A record of the operators on the evacuation of a data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EvacuationRecord {
    /// Data centre.
    pub data_centre: CompactString,
    /// Offset of the record.
    pub offset: Offset,
    /// Whether the record begins the evacuation; otherwise it ends it.
    pub is_active: bool,
}
