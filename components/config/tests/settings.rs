//! Loading of settings files.

use base::Offset;
use config::{
    EntrySettings, Problem, SourceFile, compile, load_entry_settings, load_side_settings,
};
use expect_test::expect;

const PROCESS: &str = "\
process:
  name: e1
  vm: vm-1
  region: north
  data_centre: a
  fleet_secret: sixteen-characters
platform:
  log_address: 127.0.0.1:9000
  vm_list_address: 127.0.0.1:9001
";
const SIDE: &str = "target: t1\ntarget_address: 127.0.0.1:9002\n";

fn source(text: &str) -> SourceFile {
    SourceFile::new("settings.yaml", text)
}

fn list(problems: &[Problem]) -> String {
    problems.iter().map(|problem| format!("{problem}\n")).collect()
}

fn entry_problems(text: &str) -> String {
    list(&load_entry_settings(&source(text)).expect_err("no problem was found"))
}

fn side_problems(text: &str) -> String {
    list(&load_side_settings(&source(text)).expect_err("no problem was found"))
}

#[test]
fn fields_that_are_not_given_have_their_defaults() {
    let settings = load_entry_settings(&source(PROCESS)).unwrap();
    let defaults = EntrySettings::default();
    assert_eq!(settings.callers, defaults.callers);
    assert_eq!(settings.membership, defaults.membership);
    assert_eq!(settings.authority_ms, 2_000);
    let side = load_side_settings(&source(&format!("{PROCESS}{SIDE}"))).unwrap();
    assert_eq!((side.target.as_str(), side.idempotency_window_h), ("t1", 24));
}

#[test]
fn names_every_missing_field_of_an_empty_file() {
    expect![[r#"
        settings.yaml:0: name is missing; set it
        settings.yaml:0: vm is missing; set it
        settings.yaml:0: region is missing; set it
        settings.yaml:0: data_centre is missing; set it
        settings.yaml:0: fleet_secret is shorter than 16 characters; write a random one of at least that length
        settings.yaml:0: log_address has no port; write IP:PORT
        settings.yaml:0: vm_list_address has no port; write IP:PORT
        settings.yaml:1: level "loud" is unknown; write one of error, warn, info, debug, trace
        settings.yaml:0: target is missing; set it
        settings.yaml:0: target_address has no port; write IP:PORT
    "#]].assert_eq(&side_problems("log: {level: loud}\n"));
}

#[test]
fn refuses_settings_out_of_range_with_their_lines() {
    let text = format!(
        "{PROCESS}authority_ms: 60000\nretry_budget_percent: 101\nmembership:\n  heartbeat_ms: 500\n  \
         suspect_after_ms: 600\n  silent_after_ms: 100\ncallers:\n  connections: 0\n"
    );
    expect![[r#"
        settings.yaml:14: suspect_after_ms is 600, less than two heartbeats of 500; raise it so that one lost heartbeat is no silence
        settings.yaml:15: silent_after_ms is 100, below suspect_after_ms 600; raise it
        settings.yaml:17: connections is 0; write a whole number from 1 to 1099511627776
        settings.yaml:10: authority_ms is 60000; write a whole number from 1 to 2000
        settings.yaml:11: retry_budget_percent is 101; write a whole number from 0 to 100
    "#]].assert_eq(&entry_problems(&text));
}

#[test]
fn refuses_negative_unknown_repeated_and_malformed_fields() {
    for text in [
        "rate_wait_ms: -1\n",
        "rate_wait_s: 1\n",
        "caller_address: localhost\n",
        "rate_wait_ms: 1\nrate_wait_ms: 2\n",
        "rate_wait_ms: 99999999999999999999999\n",
    ] {
        let message = entry_problems(&format!("{PROCESS}{text}"));
        assert!(message.starts_with("settings.yaml:1"), "{message}");
    }
    expect![[r#"
        settings.yaml:10: this is not a whole number in range; write one, for example 100
    "#]]
    .assert_eq(&entry_problems(&format!("{PROCESS}rate_wait_ms: -1\n")));
    expect![[r#"
        settings.yaml:10: invalid socket address syntax; correct this line
    "#]]
    .assert_eq(&entry_problems(&format!("{PROCESS}caller_address: localhost\n")));
}

#[test]
fn refuses_places_and_targets_that_the_configuration_does_not_have() {
    let base = "\
name: town
data_centres: [{name: a, region: north}, {name: b, region: south}]
services: [{name: s, kind: plain, targets: [{name: t1, data_centre: b}]}]
";
    let config = compile(SourceFile::new("base.yaml", base), &[], "north", Offset(1)).unwrap();
    let check = |text: &str| {
        let source = source(text);
        list(&load_side_settings(&source).unwrap().check_against(&config, &source))
    };
    let text = format!("{PROCESS}{SIDE}");
    expect![[r#"
        settings.yaml:5: target t1 is in data centre b, not a; a side process runs beside its target
    "#]]
    .assert_eq(&check(&text));
    let other = text.replace("centre: a", "centre: b").replace("target: t1", "target: t2");
    expect![[r#"
        settings.yaml:4: data centre b is in region south, not north; correct one of them
        settings.yaml:10: there is no target t2 in the base file; define it or correct the name
    "#]]
    .assert_eq(&check(&other));
    let nowhere = source(&PROCESS.replace("centre: a", "centre: c"));
    let settings = load_entry_settings(&nowhere).unwrap();
    expect![[r#"
        settings.yaml:5: there is no data centre c in the base file; define it or correct the name
    "#]]
    .assert_eq(&list(&settings.check_against(&config, &nowhere)));
}
