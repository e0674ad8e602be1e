//! Records and replicas for the tests.

use std::time::Duration;

use base::{Offset, Timestamp};
use changes::{ApplyResult, Change, ConfigLog, Record, RecordId, RecordVerdict};
use config::{AddedKey, SourceFile};

/// Retention of the log in tests.
pub const RETENTION: Duration = Duration::from_secs(86_400);

/// A base file with one customer that has this rate.
pub fn base_text(rate: i64) -> String {
    format!(
        "name: town\ndata_centres: [{{name: a, region: north}}]\ncustomers:\n  - {{name: chapel, \
         rate_tokens_per_s: {rate}, burst_tokens: 1000}}\n"
    )
}

/// A change of the files.
pub fn files(base_version: u64, rate: i64) -> Change {
    let base = SourceFile::new("base.yaml", &base_text(rate));
    Change::Files { base_version: Offset(base_version), base, overlays: Vec::new() }
}

/// A key whose hash is one repeated byte.
pub fn key(name: &str, byte: u8) -> AddedKey {
    AddedKey { name: name.into(), customer: "chapel".into(), sha256: [byte; 32] }
}

/// Withdrawal of a key.
pub fn withdraw(name: &str) -> Change {
    Change::WithdrawKey { name: name.into() }
}

/// An encoded record.
pub fn record(id: &str, change: Change) -> Vec<u8> {
    Record { id: RecordId(id.into()), change }.encode().unwrap_or_default()
}

/// An empty replica.
pub fn replica() -> ConfigLog {
    ConfigLog::new("north", RETENTION)
}

/// Applies one record at time zero.
pub fn feed(log: &mut ConfigLog, offset: u64, payload: &[u8]) -> ApplyResult {
    log.apply(Offset(offset), payload, Timestamp::default())
}

/// Applies records from offset 1 and returns the verdicts.
pub fn feed_all(log: &mut ConfigLog, payloads: &[Vec<u8>]) -> Vec<RecordVerdict> {
    payloads.iter().zip(1..).flat_map(|(p, at)| feed(log, at, p).verdicts).collect()
}
