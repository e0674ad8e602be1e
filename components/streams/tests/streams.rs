//! What is known of the versions that began streams.
#![allow(clippy::unwrap_used, reason = "a missing value fails the test")]

use std::net::SocketAddr;
use std::time::Duration;

use base::Timestamp;
use compact_str::CompactString;
use streams::{Lookup, Ruling, SoftwareHistory, StreamOrigins, StreamOriginsSettings};
use wire::{StreamAnswer, StreamOrigin};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn origin(attempt: u64, software: &str) -> StreamOrigin {
    StreamOrigin { attempt, service: 1, software: software.into() }
}

fn agent(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + number))
}

fn answer(software: Option<&str>, versions: &[&str]) -> StreamAnswer {
    StreamAnswer {
        attempt: 7,
        software: software.map(CompactString::new),
        versions: versions.iter().map(CompactString::new).collect(),
    }
}

/// Ruling after these answers of agents, of which three were asked.
fn ruling(in_service: &[&str], answers: &[StreamAnswer]) -> Ruling {
    let asked = (0..3).map(agent).collect();
    let mut lookup = Lookup::new(asked, in_service.iter().map(CompactString::new));
    for (number, answer) in (0..).zip(answers) {
        lookup.apply(agent(number), answer);
    }
    lookup.ruling(true)
}

/// Guards against a record that grows with the streams that callers begin.
#[test]
fn old_streams_are_forgotten() {
    let settings =
        StreamOriginsSettings { max_streams: 100, retention: Duration::from_millis(1_000) };
    let mut streams = StreamOrigins::new(settings);
    for attempt in 0..1_000 {
        streams.record(&origin(attempt, "v1"), at(attempt));
        assert!(streams.len() <= 100);
    }
    assert_eq!(streams.software_of(899, 1, at(1_000)), None, "more have begun since");
    assert!(streams.software_of(950, 1, at(1_000)).is_some());
    assert_eq!(streams.software_of(999, 1, at(2_000)), None, "its time is over");
    streams.record(&origin(5_000, "v1"), at(5_000));
    assert_eq!(streams.len(), 1);
    assert!(!streams.is_empty());
}

/// Guards against a long stream that is forgotten although it was taken up since.
#[test]
fn a_stream_that_goes_on_is_remembered_from_then_on() {
    let settings =
        StreamOriginsSettings { retention: Duration::from_millis(1_000), ..Default::default() };
    let mut streams = StreamOrigins::new(settings);
    streams.record(&origin(1, "v1"), at(0));
    streams.record(&origin(1, "v1"), at(900));
    streams.record(&origin(2, "v2"), at(1_500));
    assert_eq!(streams.software_of(1, 1, at(1_500)).unwrap(), "v1");
    assert_eq!(streams.software_of(1, 2, at(1_500)), None, "of another service");
    assert_eq!(streams.versions(1, at(1_600)), ["v1", "v2"]);
    assert_eq!(streams.versions(1, at(2_000)), ["v2"]);
}

/// Guards against a guess among versions, and against refusals where nothing is to be guessed.
#[test]
fn a_stream_goes_on_only_where_no_other_version_can_have_begun_it() {
    let known = |software: &str| Ruling::Known(software.into());
    let only = |software: &str| Ruling::OnlyVersion(software.into());
    let unknown = || answer(None, &[]);
    assert_eq!(ruling(&["v1", "v2"], &[unknown(), answer(Some("v1"), &["v1"])]), known("v1"));
    assert_eq!(ruling(&["v2"], &[answer(Some("v1"), &["v1", "v2"])]), known("v1"));
    assert_eq!(ruling(&["v1", "v2"], &[]), Ruling::Unknown);
    assert_eq!(ruling(&["v2"], &[]), only("v2"));
    assert_eq!(ruling(&["v2"], &[unknown(), answer(None, &["v2"])]), only("v2"));
    assert_eq!(
        ruling(&["v2"], &[unknown(), answer(None, &["v1"])]),
        Ruling::Unknown,
        "the last target of the other version has just left"
    );
    assert_eq!(
        ruling(&["v1", "v2"], &[answer(Some("v1"), &[]), answer(Some("v2"), &[])]),
        Ruling::Unknown,
        "the agents disagree"
    );
    assert_eq!(ruling(&[], &[]), Ruling::Unknown);
}

/// Guards against silence that counts as knowledge: a gateway that may have missed a version guesses.
#[test]
fn silence_names_no_version() {
    let lookup = Lookup::new(vec![agent(0)], ["v2".into()]);
    assert_eq!(lookup.ruling(false), Ruling::Unknown);
    assert_eq!(lookup.ruling(true), Ruling::OnlyVersion("v2".into()));
}

/// Guards against a ruling on what was seen when the search began, although a version has joined since.
#[test]
fn a_version_that_is_seen_during_a_search_counts() {
    let mut lookup = Lookup::new(vec![agent(0)], []);
    lookup.add_in_service(&["v1".into()]);
    assert!(lookup.awaits_view(), "a newer view shows whether it is the only one");
    lookup.add_in_service(&["v1".into(), "v2".into()]);
    assert!(!lookup.awaits_view());
    assert_eq!(lookup.ruling(true), Ruling::Unknown);
}

/// Guards against a search that waits for agents that have answered, or ends on the word of others.
#[test]
fn a_search_ends_with_the_last_answer() {
    let mut lookup = Lookup::new(vec![agent(1), agent(0)], ["v1".into(), "v2".into()]);
    lookup.apply(agent(9), &answer(Some("v2"), &[]));
    lookup.apply(agent(0), &answer(None, &[]));
    lookup.apply(agent(0), &answer(None, &[]));
    assert!(!lookup.is_complete());
    assert_eq!(lookup.open(), [agent(1)]);
    lookup.apply(agent(1), &answer(None, &[]));
    assert!(lookup.is_complete());
    assert_eq!(lookup.ruling(true), Ruling::Unknown);
}

/// Guards against a version that counts for ever, or not at all, after its last target has left.
#[test]
fn a_version_counts_for_a_while_after_it_left() {
    let retention = Duration::from_millis(1_000);
    let mut history = SoftwareHistory::default();
    history.record("engines", "v1", retention, at(0));
    history.record("engines", "v2", retention, at(500));
    history.record("web", "v9", retention, at(500));
    let versions =
        |ms| -> Vec<&CompactString> { history.versions("engines", retention, at(ms)).collect() };
    assert_eq!(versions(900), ["v1", "v2"]);
    assert_eq!(versions(1_200), ["v2"]);
    assert!(versions(1_500).is_empty());
}
