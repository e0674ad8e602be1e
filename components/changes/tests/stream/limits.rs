//! Size limits of the state.

use base::{Offset, Timestamp};
use changes::{
    Change, MAX_ADDED_KEYS, MAX_FILES_BYTES, MAX_RECORD_BYTES, RecordId, Rejection, Verdict,
};
use config::{AddedKey, SourceFile};

use crate::common::{base_text, feed, record, replica, withdraw};

/// Number of keys withdrawn in the test; more than are kept.
const WITHDRAWN: u64 = 2_100;
const LISTED_HASH: [u8; 32] = [0xff; 32];

/// A name of the maximum length.
fn long_name(number: u64) -> String {
    format!("{number:0>64}")
}

fn numbered_hash(number: u64) -> [u8; 32] {
    let mut hash = [0; 32];
    hash[..8].copy_from_slice(&number.to_le_bytes());
    hash
}

#[test]
fn largest_state_fits_into_a_snapshot_and_keeps_withdrawals_of_listed_keys() {
    // The state must fit into a snapshot, or it could not outlive the retention of the log. A
    // withdrawn key must stay withdrawn however many others are withdrawn after it.
    let customer = long_name(0);
    let mut text = base_text(1).replace("chapel", &customer);
    let hash = "ff".repeat(32);
    text.push_str(&format!(
        "keys:\n  - {{name: listed, customer: '{customer}', sha256: {hash}}}\n# "
    ));
    let half = MAX_FILES_BYTES / 2 - 32;
    let pad = |text: &str| format!("{text}{}\n", "x".repeat(half - text.len()));
    let base = SourceFile::new("base.yaml", &pad(&text));
    let overlays = vec![SourceFile::new("north.yaml", &pad("site: north\n# "))];
    let mut log = replica();
    let mut offset = 0;
    let mut feed_next = |change: Change| {
        offset += 1;
        let payload = record(&long_name(offset), change);
        feed(&mut log, offset, &payload).verdicts.remove(0).verdict
    };
    let files = Change::Files { base_version: Offset(0), base, overlays };
    assert_eq!(feed_next(files), Verdict::Accepted);
    assert_eq!(feed_next(withdraw("listed")), Verdict::Accepted);
    let key = |number: u64| AddedKey {
        name: long_name(number).into(),
        customer: customer.as_str().into(),
        sha256: numbered_hash(number),
    };
    for number in 0..WITHDRAWN {
        assert_eq!(feed_next(Change::AddKey(key(number))), Verdict::Accepted);
        assert_eq!(feed_next(withdraw(&long_name(number))), Verdict::Accepted);
    }
    let first = WITHDRAWN;
    let limit = first + MAX_ADDED_KEYS as u64;
    for number in first..limit {
        assert_eq!(feed_next(Change::AddKey(key(number))), Verdict::Accepted);
    }
    let refused = Rejection::TooManyKeys { limit: MAX_ADDED_KEYS };
    assert_eq!(feed_next(Change::AddKey(key(limit))), Verdict::Rejected(refused));
    let again = AddedKey { sha256: LISTED_HASH, ..key(limit) };
    let refused = Rejection::KeyWithdrawn("listed".into());
    assert_eq!(feed_next(Change::AddKey(again)), Verdict::Rejected(refused));

    let withdrawn = log.sources().map(|sources| sources.keys.withdrawn.len());
    assert_eq!(withdrawn, Some(2_048));
    let id = RecordId(long_name(0).into());
    let snapshot = log.take_snapshot(id, Timestamp::default()).expect("the state is too large");
    assert!(snapshot.len() <= MAX_RECORD_BYTES);
    let mut reader = replica();
    feed(&mut reader, 90_000, &snapshot);
    assert_eq!(reader.position(), log.position());
    assert_eq!(reader.current(), log.current());
    assert_eq!(reader.current().and_then(|config| config.key_by_sha256(&LISTED_HASH)), None);
}
