//! Register of the versions in service, and what a gateway can know of them.

use std::time::Duration;

use base::Timestamp;
use streams::{RegisterStep, SoftwareRegister, VersionView, VersionViewSettings, VersionsSeen};
use wire::SoftwareVersion;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn version(software: &str) -> SoftwareVersion {
    SoftwareVersion { service: "engines".into(), software: software.into() }
}

/// Calls the store for a gateway until nothing is due; returns the writes. A read finds `stored`.
fn calls(
    register: &mut SoftwareRegister,
    seen: &VersionsSeen<'_>,
    rank: usize,
    stored: &[SoftwareVersion],
    now: Timestamp,
) -> (usize, Vec<RegisterStep>) {
    let (mut reads, mut writes) = (0, Vec::new());
    loop {
        match register.next_step(seen, rank, now) {
            RegisterStep::Wait => return (reads, writes),
            RegisterStep::Read => {
                reads += 1;
                register.replace(stored.iter().map(|known| (known.key(), known.clone())));
                register.record_read(now, seen.store_era);
            }
            step @ RegisterStep::Write(_) => {
                if let RegisterStep::Write(version) = &step {
                    register.apply(&version.key(), Some(version.clone()));
                }
                writes.push(step);
            }
            step @ RegisterStep::Remove(_) => {
                if let RegisterStep::Remove(key) = &step {
                    register.apply(key, None);
                }
                writes.push(step);
            }
        }
    }
}

/// Guards against a register that each of many gateways writes for each version, and against one that
/// nobody writes when the first gateway has ended.
#[test]
fn one_gateway_writes_and_the_next_one_takes_its_place() {
    let versions = [version("v1"), version("v2")];
    let seen = VersionsSeen { in_service: &versions, lately: &versions, store_era: Some(0) };
    let write = |number: usize| RegisterStep::Write(versions[number].clone());
    let [mut first, mut second, mut third] = [(); 3].map(|()| SoftwareRegister::default());
    for register in [&mut first, &mut second, &mut third] {
        register.record_read(at(0), Some(0));
    }
    assert_eq!(calls(&mut first, &seen, 0, &[], at(100)), (1, vec![write(0), write(1)]));
    assert_eq!(calls(&mut second, &seen, 1, &[], at(100)), (0, vec![]));
    assert_eq!(calls(&mut second, &seen, 1, &versions, at(600)), (1, vec![]));
    assert_eq!(calls(&mut third, &seen, 2, &[], at(60_000)), (0, vec![]));
    assert_eq!(calls(&mut third, &seen, 0, &versions[..1], at(61_000)), (1, vec![write(1)]));
    assert_eq!(calls(&mut first, &seen, 0, &[], at(62_000)), (0, vec![]), "nothing has changed");
}

/// Guards against versions that stay in the register for ever, and against one that is removed while a
/// gateway may need it.
#[test]
fn a_version_is_removed_when_it_was_not_seen_for_long() {
    let versions = [version("v1"), version("v2")];
    let mut register = SoftwareRegister::default();
    let mut seen =
        VersionsSeen { in_service: &versions[1..], lately: &versions, store_era: Some(0) };
    assert_eq!(calls(&mut register, &seen, 0, &versions, at(0)), (1, vec![]));
    seen.lately = &versions[1..];
    assert_eq!(calls(&mut register, &seen, 1, &versions, at(60_000)), (0, vec![]));
    let remove = RegisterStep::Remove(versions[0].key());
    assert_eq!(calls(&mut register, &seen, 0, &versions, at(60_000)), (1, vec![remove]));
}

/// Guards against a register that lacks versions after the store came back from an older copy.
#[test]
fn a_restored_register_is_written_again() {
    let versions = [version("v1")];
    let mut register = SoftwareRegister::default();
    let mut seen = VersionsSeen { in_service: &versions, lately: &versions, store_era: Some(0) };
    assert_eq!(calls(&mut register, &seen, 0, &versions, at(0)), (1, vec![]));
    seen.store_era = Some(1);
    let write = RegisterStep::Write(versions[0].clone());
    assert_eq!(calls(&mut register, &seen, 0, &[], at(1_000)), (1, vec![write]));
}

/// Guards against two versions that share a key, of which the store keeps only one.
#[test]
fn versions_have_keys_of_their_own() {
    let [one, other] = [("a", "b-c"), ("a-b", "c")].map(|(service, software)| {
        SoftwareVersion { service: service.into(), software: software.into() }.key()
    });
    assert_ne!(one, other);
    let long = SoftwareVersion { service: "s".repeat(300).into(), software: "v".into() };
    assert!(long.key().len() < 64, "a key of the store has at most 255 bytes");
}

/// A view that is fresh for 1 s and complete after 10 s.
fn view() -> VersionView {
    VersionView::new(VersionViewSettings {
        max_age: Duration::from_millis(1_000),
        retention: Duration::from_millis(10_000),
    })
}

/// Guards against a gateway that stood still or was cut off, and takes what it knew before for all that is.
#[test]
fn an_old_view_names_no_only_version() {
    let mut view = view();
    view.record_register_read(at(0));
    assert!(!view.is_complete(at(100)), "the list was never read");
    view.record_list_read(at(100));
    assert!(view.is_complete(at(1_100)));
    assert!(!view.is_complete(at(1_101)));
    view.record_list_read(at(50));
    assert_eq!(
        view.list_age(at(200)),
        Some(Duration::from_millis(100)),
        "an older read says nothing"
    );
}

/// Guards against a version that joined after a read that is recent but older than the stream.
#[test]
fn a_fresh_view_says_nothing_of_what_came_after_it() {
    let mut view = view();
    view.record_register_read(at(0));
    view.record_list_read(at(100));
    assert!(view.is_complete_as_of(at(100), at(200)));
    assert!(!view.is_complete_as_of(at(101), at(200)), "a version may have joined at 100 ms");
    assert!(!view.is_complete_as_of(at(100), at(1_101)), "as old as any other view");
}

/// Guards against versions that came and went while a gateway saw nothing: it must read the register again.
#[test]
fn a_gap_in_the_view_needs_the_register_again() {
    let mut view = view();
    view.record_register_read(at(0));
    view.record_list_read(at(100));
    view.record_list_read(at(1_100));
    assert!(view.is_complete(at(1_200)), "the reads follow each other");
    view.record_list_read(at(5_000));
    assert!(!view.is_complete(at(5_100)));
    view.record_register_read(at(5_100));
    assert!(view.is_complete(at(5_200)));
}

/// Guards against a gateway that refuses for ever where the register can't be read.
#[test]
fn a_view_without_gaps_is_complete_after_a_while() {
    let mut view = view();
    for second in 0..10 {
        assert!(!view.is_complete(at(second * 1_000)));
        view.record_list_read(at(second * 1_000));
    }
    assert!(view.is_complete(at(10_000)));
}
