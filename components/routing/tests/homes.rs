//! Requests that may run in some regions only.
#![allow(clippy::unwrap_used, reason = "a missing value fails the test")]

use std::net::SocketAddr;

use base::{SortedMap, Timestamp, WarmCopies};
use compact_str::CompactString;
use routing::{DirectChoice, DirectFleet, DirectPlainRequirements, Homes, TargetKey};
use wire::{TargetEntry, TargetState};

fn names(names: &[&str]) -> Vec<CompactString> {
    names.iter().map(|name| CompactString::new(name)).collect()
}

fn regions() -> SortedMap<CompactString, CompactString> {
    [("north-a", "north"), ("north-b", "north"), ("south-a", "south")]
        .into_iter()
        .map(|(data_centre, region)| (data_centre.into(), region.into()))
        .collect()
}

/// Returns a fleet with a target in each data centre; the last one has no known region.
fn fleet() -> DirectFleet {
    let mut fleet = DirectFleet::new("north-a");
    for (number, data_centre) in (1..).zip(["north-a", "north-b", "south-a", "west-a"]) {
        let entry = TargetEntry {
            id: data_centre.into(),
            born_ms: Some(1),
            service: "web".into(),
            software: "v1".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 9_000 + number)),
            data_centre: data_centre.into(),
            slots: 8,
            state: TargetState::Ready,
            cold_ms: 0,
            orders_accepted: 0,
            models: Vec::new(),
            warm: WarmCopies::default(),
        };
        fleet.apply_entry(&entry, Timestamp::default());
    }
    fleet
}

/// Returns the data centres of all targets that a request may reach, as it tries one after the other.
fn reached(homes: &Homes) -> Vec<String> {
    let fleet = fleet();
    let mut exclude: Vec<TargetKey> = fleet.outside_homes("web", homes, &regions());
    let mut reached = Vec::new();
    loop {
        let requirements =
            DirectPlainRequirements { service: "web", software: None, exclude: &exclude };
        match fleet.choose_plain(&requirements, Timestamp::from_millis(10)) {
            DirectChoice::Serve(pick) => {
                exclude.push(pick.key);
                reached.push(pick.id.to_string());
            }
            DirectChoice::NoTarget => break,
            other => panic!("{other:?}"),
        }
    }
    reached.sort_unstable();
    reached
}

/// Guards against requests that reach a target outside their homes, also where the route and the
/// customer have homes in different regions or the region of a target is unknown.
#[test]
fn requests_reach_only_targets_in_their_homes() {
    let of =
        |route: &[&str], customer: &[&str]| reached(&Homes::of(&names(route), &names(customer)));
    assert_eq!(of(&[], &[]), ["north-a", "north-b", "south-a", "west-a"]);
    assert_eq!(of(&["north"], &[]), ["north-a", "north-b"]);
    assert_eq!(of(&[], &["south"]), ["south-a"]);
    assert_eq!(of(&["north", "south"], &["south", "east"]), ["south-a"]);
    assert_eq!(of(&["north"], &["south"]), [""; 0]);
    assert_eq!(of(&["east"], &[]), [""; 0]);
}
