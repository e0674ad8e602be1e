//! Claims, logs and sides for the tests.

use std::time::Duration;

use base::{Incarnation, Offset, ProcessId, ProcessName, Timestamp};
use once::{
    AppendRequest, AttemptId, BeginResult, ClaimKey, ClaimLimits, ClaimLog, Fingerprint,
    Settlement, SettlementResult, StoredHeader, StoredOutcome,
};

pub const WINDOW: Duration = Duration::from_secs(3_600);
pub const TIMEOUT: Duration = Duration::from_secs(3);
/// Wall clock at the start of a test, in milliseconds.
pub const START_MS: u64 = 1_000_000_000;

pub fn limits() -> ClaimLimits {
    ClaimLimits {
        window: WINDOW,
        claim_timeout: TIMEOUT,
        outcome_body_bytes: 8,
        retention: Duration::from_secs(3_000),
    }
}

pub fn side(name: &str, incarnation: u64) -> ClaimLog {
    let own = ProcessId { name: ProcessName::new(name), incarnation: Incarnation(incarnation) };
    ClaimLog::new(own, limits())
}

pub fn key(n: u8) -> ClaimKey {
    ClaimKey { customer: "chapel".into(), route: "orders".into(), key_sha256: [n; 32] }
}

pub fn body(n: u8) -> Fingerprint {
    Fingerprint([n; 32])
}

pub fn outcome(text: &str) -> StoredOutcome {
    let headers = vec![StoredHeader { name: "content-type".into(), value: b"text/plain".to_vec() }];
    StoredOutcome { status: 201, headers, body: Some(text.as_bytes().to_vec()) }
}

pub fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

/// Starts an attempt that is expected to need a claim.
pub fn claim(
    side: &mut ClaimLog,
    key: ClaimKey,
    fingerprint: Fingerprint,
) -> (AttemptId, AppendRequest) {
    match side.begin(key, fingerprint, at(0), START_MS) {
        BeginResult::Append { attempt, claim } => (attempt, claim),
        other => panic!("expected a claim to append, got {other:?}"),
    }
}

/// Applies records from offset 1 at time zero.
pub fn feed(side: &mut ClaimLog, log: &[Vec<u8>]) -> Vec<Settlement> {
    log.iter().zip(1..).flat_map(|(p, offset)| side.apply(Offset(offset), p, at(0))).collect()
}

/// Returns the results of settlements without the attempts.
pub fn results(settlements: Vec<Settlement>) -> Vec<SettlementResult> {
    settlements.into_iter().map(|settlement| settlement.result).collect()
}
