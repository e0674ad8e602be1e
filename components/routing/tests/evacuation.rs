//! Choice of targets while data centres are being evacuated.
#![allow(clippy::unwrap_used, reason = "a missing value fails the test")]

use std::net::SocketAddr;

use base::{LoadedModel, Timestamp, WarmCopies};
use routing::{
    DirectChoice, DirectFleet, DirectPlainRequirements, GenerationRequirements, PromptPart,
    prefix_links,
};
use wire::{TargetEntry, TargetState};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn entry(number: u16, data_centre: &str) -> TargetEntry {
    TargetEntry {
        id: format!("target-{number}").into(),
        born_ms: Some(1),
        service: "s".into(),
        software: "v1".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + number)),
        data_centre: data_centre.into(),
        slots: 8,
        state: TargetState::Ready,
        cold_ms: 0,
        orders_accepted: 0,
        models: vec![LoadedModel { model: "m".into(), version: 1, adapters: Vec::new() }],
        warm: WarmCopies::default(),
    }
}

/// Chooses a target for a plain request and for generations with several prompts; all must agree on
/// the data centre.
fn chosen_data_centre(fleet: &DirectFleet) -> Option<String> {
    let mut choices = vec![fleet.choose_plain(
        &DirectPlainRequirements { service: "s", software: None, exclude: &[] },
        at(10),
    )];
    for conversation in 0..20 {
        let parts = [1, conversation, 1_000].map(|id| PromptPart { id, tokens: 500 });
        let links = prefix_links("m", None, &parts);
        let requirements = GenerationRequirements {
            service: "s",
            model: "m",
            adapter: None,
            links: &links,
            prompt_tokens: 1_500,
            output_tokens: 100,
            software: None,
            exclude: &[],
        };
        choices.push(fleet.choose_generation(&requirements, at(10)));
    }
    let chosen: Vec<Option<String>> = choices
        .into_iter()
        .map(|choice| match choice {
            DirectChoice::Serve(pick) => Some(fleet.target(pick.key).data_centre.to_string()),
            DirectChoice::NoTarget => None,
            other => panic!("{other:?}"),
        })
        .collect();
    assert!(chosen.iter().all(|centre| *centre == chosen[0]), "{chosen:?}");
    chosen[0].clone()
}

/// Guards against a choice that includes an evacuated target, also one that is announced during the
/// evacuation, and against targets that are left out after it.
#[test]
fn no_choice_includes_an_evacuated_target() {
    let mut fleet = DirectFleet::new("north-a");
    fleet.apply_entry(&entry(1, "north-a"), at(0));
    fleet.apply_entry(&entry(2, "north-b"), at(0));
    assert_eq!(chosen_data_centre(&fleet).as_deref(), Some("north-a"));
    fleet.set_evacuated(vec!["north-a".into()]);
    fleet.apply_entry(&entry(3, "north-a"), at(1));
    assert_eq!(chosen_data_centre(&fleet).as_deref(), Some("north-b"));
    fleet.set_evacuated(vec!["north-a".into(), "north-b".into()]);
    assert_eq!(chosen_data_centre(&fleet), None);
    fleet.set_evacuated(vec!["north-b".into()]);
    assert_eq!(chosen_data_centre(&fleet).as_deref(), Some("north-a"));
    fleet.set_evacuated(Vec::new());
    assert_eq!(chosen_data_centre(&fleet).as_deref(), Some("north-a"));
}
