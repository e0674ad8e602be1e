//! Configuration log: verdict on each record, version in force, snapshots and catch-up from peers.
//!
//! The verdict on a record depends only on the records before it, so that all processes agree.
//! [`ConfigLog`] applies records by offset, received from the log or from a peer, and reports when
//! another configuration comes into force.

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
