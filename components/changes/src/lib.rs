//! Configuration log: verdict on each record, version in force, snapshots, catch-up from peers.
//!
//! The verdict on a record depends only on the records before it, so that all processes agree. A
//! [`ConfigLog`] takes records with their offsets, from the log or from a peer, and tells when
//! another configuration is in force.

mod config_log;
mod record;
mod snapshot;
mod state_machine;
mod verdict;

pub use config_log::{ApplyResult, ConfigLog, EncodedRecord, NewerRules};
pub use record::{
    CONFIG_STREAM, Change, DecodedRecord, MAX_RECORD_BYTES, RULES_VERSION, Record, RecordId,
    encode_envelope,
};
pub use snapshot::{SeenId, Snapshot};
pub use state_machine::{MAX_ADDED_KEYS, MAX_FILES_BYTES};
pub use verdict::{RecordVerdict, Rejection, Verdict};
