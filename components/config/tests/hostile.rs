//! Files that no operator would write; a check must refuse them and never stop the process.
//!
//! All processes judge the same record, so a panic in a check would stop the whole fleet.

use base::Offset;
use config::{KeyEdits, SourceFile, Sources, load_entry_settings, load_side_settings};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const BASE: &str = include_str!("../../../fixtures/cwmcapsiwn/base.yaml");
const OVERLAY: &str = include_str!("../../../fixtures/cwmcapsiwn/cymru-de.yaml");
const SIDE: &str = include_str!("../../../fixtures/cwmcapsiwn/side-llais-01.yaml");

fn judge(base: &str, overlay: &str) -> bool {
    let sources = Sources {
        base: SourceFile::new("base.yaml", base),
        overlays: vec![SourceFile::new("overlay.yaml", overlay)],
        keys: KeyEdits::default(),
    };
    let accepted = sources.check().is_ok();
    // What passes the check for all sites must compile for each of them.
    assert!(!accepted || sources.compile("cymru-de", Offset(1)).is_ok());
    assert!(!accepted || sources.compile("", Offset(1)).is_ok());
    accepted
}

#[test]
fn refuses_the_largest_numbers_without_overflow() {
    let base = BASE.replace("memory_mb: ", &format!("memory_mb: {}", i128::MAX / 10));
    assert!(!judge(&base, OVERLAY));
    let base = BASE.replace("memory_mb: ", "memory_mb: -170141183460469231731687303715884105");
    assert!(!judge(&base, OVERLAY));
}

#[test]
fn refuses_deep_nesting_and_multiplying_aliases() {
    let deep = "[".repeat(200_000);
    assert!(!judge(&deep, OVERLAY));
    assert!(!judge(BASE, &format!("site: cymru-de\nkeys: {deep}\n")));
    assert!(!judge(&format!("name: &a {deep}"), &deep));
    let mut bomb = String::from("x0: &x0 [a, a, a, a, a, a, a, a, a]\n");
    for n in 1..30 {
        let names = vec![format!("*x{}", n - 1); 9].join(", ");
        bomb.push_str(&format!("x{n}: &x{n} [{names}]\n"));
    }
    assert!(!judge(&bomb, OVERLAY));
    assert!(!judge(BASE, &format!("site: cymru-de\nkeys:\n  {}\n", bomb.replace('\n', "\n  "))));
}

fn mutated(text: &'static str) -> impl Strategy<Value = String> {
    let cut = any::<(prop::sample::Index, prop::sample::Index)>();
    let piece = prop_oneof![
        Just(String::new()),
        Just("-1".to_owned()),
        Just("99999999999999999999999999999999999999".to_owned()),
        Just("&a *a".to_owned()),
        Just("{".to_owned()),
        Just("\n".to_owned()),
        Just("!!binary ".to_owned()),
        "\\PC{0,8}",
    ];
    prop::collection::vec((cut, piece), 1..4).prop_map(move |edits| {
        let mut characters: Vec<char> = text.chars().collect();
        for ((start, length), piece) in edits {
            if characters.is_empty() {
                break;
            }
            let start = start.index(characters.len());
            let end = (start + length.index(20)).min(characters.len());
            characters.splice(start..end, piece.chars());
        }
        characters.into_iter().collect()
    })
}

proptest! {
    #![proptest_config(Config {
        cases: 200,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x5eed_0003),
        ..Config::default()
    })]

    #[test]
    fn damaged_files_are_judged_without_a_panic(
        base in mutated(BASE), overlay in mutated(OVERLAY), settings in mutated(SIDE)
    ) {
        judge(&base, OVERLAY);
        judge(BASE, &overlay);
        let source = SourceFile::new("settings.yaml", &settings);
        let _judged = load_side_settings(&source);
        let _judged = load_entry_settings(&source);
    }

    #[test]
    fn arbitrary_text_is_judged_without_a_panic(text in "\\PC{0,200}") {
        prop_assert!(!judge(&text, &text));
    }
}
