//! Verdicts on single records.

use crate::common::{base_text, feed, feed_all, files, key, record, replica, withdraw};
use base::{Offset, ProcessId, ProcessName};
use changes::{Change, ConfigLog, NewerRules, RULES_VERSION, RecordId, Verdict, encode_envelope};
use config::SourceFile;
use expect_test::{Expect, expect};

fn check_verdicts(payloads: &[Vec<u8>], expected: &Expect) -> ConfigLog {
    let mut log = replica();
    let lines: String = feed_all(&mut log, payloads)
        .into_iter()
        .map(|record_verdict| match record_verdict.verdict {
            Verdict::Rejected(reason) => {
                format!("{} rejected: {reason}\n", record_verdict.offset.0)
            }
            other => format!("{} {other:?}\n", record_verdict.offset.0),
        })
        .collect();
    expected.assert_eq(&format!("{lines}version {}\n", log.version().0));
    log
}

#[test]
fn first_of_two_conflicting_changes_wins() {
    let payloads =
        [record("a", files(0, 10)), record("b", files(1, 20)), record("c", files(1, 30))];
    let log = check_verdicts(
        &payloads,
        &expect![[r#"
        1 Accepted
        2 Accepted
        3 rejected: the files were made from version 1, but version 2 is in force; apply the change to that version and publish again
        version 2
    "#]],
    );
    assert_eq!(log.current().unwrap().customers[0].rate_tokens_per_s, 20);
}

#[test]
fn key_edit_creates_a_version_on_which_files_must_be_based() {
    let payloads = [
        record("a", files(0, 10)),
        record("b", Change::AddKey(key("k", 1))),
        record("c", files(1, 20)),
        record("d", files(2, 20)),
    ];
    let log = check_verdicts(
        &payloads,
        &expect![[r#"
        1 Accepted
        2 Accepted
        3 rejected: the files were made from version 1, but version 2 is in force; apply the change to that version and publish again
        4 Accepted
        version 4
    "#]],
    );
    // New files that don't list an added key keep it.
    assert!(log.current().unwrap().key_by_sha256(&[1; 32]).is_some());
}

#[test]
fn rejects_invalid_edits() {
    let payloads = [
        record("a", Change::AddKey(key("early", 9))),
        record("b", files(0, 10)),
        record("c", Change::AddKey(key("k", 1))),
        record("d", Change::AddKey(key("k", 2))),
        record("e", Change::AddKey(key("l", 1))),
        record("f", Change::AddKey(key("bad name", 3))),
        record("g", Change::AddKey(config::AddedKey { customer: "nobody".into(), ..key("m", 4) })),
        record("h", withdraw("n")),
        record("i", withdraw("k")),
        record("j", withdraw("k")),
        record("k", Change::AddKey(key("other", 1))),
        record("l", files(9, -5)),
        b"no record".to_vec(),
    ];
    let log = check_verdicts(
        &payloads,
        &expect![[r#"
        1 rejected: no configuration is in force; publish files first
        2 Accepted
        3 Accepted
        4 rejected: key k is in force already; choose another name and create a new key
        5 rejected: key k is in force already; choose another name and create a new key
        6 rejected: key name "bad name" is not usable; write 1 to 64 letters, digits or any of . _ - : / @
        7 rejected: there is no customer nobody; define it or correct the name
        8 rejected: there is no key n in force; correct the name
        9 Accepted
        10 rejected: there is no key k in force; correct the name
        11 rejected: the key was withdrawn as k and can't come back; create a new key
        12 rejected: the check fails:
        base.yaml:4: rate_tokens_per_s is -5; write a whole number from 1 to 1000000000000
        13 rejected: the record can't be decoded; publish again
        version 9
    "#]],
    );
    assert!(log.current().unwrap().keys.is_empty());
}

#[test]
fn withdrawn_key_is_not_restored_by_files() {
    let listing = |key_line: &str| {
        let text = format!("{}keys:\n{key_line}", base_text(10));
        let base = SourceFile::new("base.yaml", &text);
        move |version: u64| Change::Files {
            base_version: Offset(version),
            base: base.clone(),
            overlays: Vec::new(),
        }
    };
    let hash = "01".repeat(32);
    let with_key = listing(&format!("  - {{name: k, customer: chapel, sha256: {hash}}}\n"));
    let payloads = [
        record("a", with_key(0)),
        record("b", withdraw("k")),
        record("c", with_key(2)),
        record("d", files(2, 10)),
        record("e", with_key(4)),
    ];
    let log = check_verdicts(
        &payloads,
        &expect![[r#"
        1 Accepted
        2 Accepted
        3 rejected: the check fails:
        base.yaml:6: key k was withdrawn and can't come back; remove it from keys
        4 Accepted
        5 rejected: the check fails:
        base.yaml:6: key k was withdrawn and can't come back; remove it from keys
        version 4
    "#]],
    );
    assert!(log.current().unwrap().keys.is_empty());
}

#[test]
fn repeated_record_has_no_effect() {
    // An append may be sent again after its response was lost.
    let payloads = [
        record("a", files(0, 10)),
        record("b", Change::AddKey(key("k", 1))),
        record("c", withdraw("k")),
        record("b", Change::AddKey(key("k", 1))),
        record("c", withdraw("k")),
    ];
    let log = check_verdicts(
        &payloads,
        &expect![[r#"
        1 Accepted
        2 Accepted
        3 Accepted
        4 Duplicate { first: Offset(2) }
        5 Duplicate { first: Offset(3) }
        version 3
    "#]],
    );
    assert_eq!(log.find(&RecordId("b".into())), Some(Offset(2)));
}

#[test]
fn rejects_files_that_do_not_fit_into_a_snapshot() {
    let mut text = base_text(10);
    text.push_str(&format!("# {}\n", "x".repeat(400 << 10)));
    let base = SourceFile::new("base.yaml", &text);
    let overlay = SourceFile::new("o.yaml", &text);
    let change = Change::Files { base_version: Offset(0), base, overlays: vec![overlay] };
    check_verdicts(
        &[record("a", change)],
        &expect![[r#"
        1 rejected: the files have 819471 bytes; shorten them to 614400 together
        version 0
    "#]],
    );
}

#[test]
fn stops_at_an_unsupported_rules_version() {
    // Two versions of the program must not reach different verdicts.
    let id = RecordId("b".into());
    let newer = encode_envelope(RULES_VERSION + 1, &id, vec![1, 2, 3]).unwrap();
    let payloads = [record("a", files(0, 10)), newer, record("c", files(1, 20))];
    let log = check_verdicts(
        &payloads,
        &expect![[r#"
        1 Accepted
        version 1
    "#]],
    );
    assert_eq!(log.newer_rules(), Some(NewerRules { offset: Offset(2), rules: RULES_VERSION + 1 }));
    assert!(!log.is_up_to_date(Offset(1)));
    // Reading continues after the record, so that a poll still waits for new records.
    assert_eq!(log.next_offset(Offset(1)), Offset(4));
}

#[test]
fn record_ids_differ_by_process_incarnation_and_number() {
    let process =
        ProcessId { name: ProcessName::new("entry-1"), incarnation: base::Incarnation(7) };
    assert_eq!(RecordId::new(&process, 3).0, "entry-1#7#3");
}

#[test]
fn returns_a_new_configuration_only_when_it_changes() {
    let mut log = replica();
    assert_eq!(
        feed(&mut log, 1, &record("a", files(0, 10))).new_config.unwrap().version,
        Offset(1)
    );
    assert!(feed(&mut log, 1, &record("a", files(0, 10))).new_config.is_none());
    assert!(feed(&mut log, 2, &record("b", files(0, 10))).new_config.is_none());
}
