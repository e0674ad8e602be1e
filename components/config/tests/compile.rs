//! Checks and compilation of base file and overlays.

use base::Offset;
use config::{
    Access, AddedKey, KeyEdits, Residency, SourceFile, Sources, WithdrawnKey, compile, parse_sha256,
};
use expect_test::{Expect, expect};

const HASH: &str = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";
const BASE: &str = "\
name: town
data_centres:
  - {name: a, region: north}
  - {name: b, region: south}
customers:
  - {name: chapel, rate_tokens_per_s: 100, burst_tokens: 1000}
  - {name: studio, rate_tokens_per_s: 500, burst_tokens: 5000, weight: 3}
keys:
  - {name: chapel-1, customer: chapel, sha256: 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08}
services:
  - name: engines
    targets:
      - {name: e1, data_centre: a, memory_mb: 100, tokens_per_s: 900}
      - {name: e2, data_centre: b, memory_mb: 100, tokens_per_s: 900}
  - name: shop
    kind: plain
    targets:
      - {name: s1, data_centre: a, batch: 4}
models:
  - {name: order, version: v1, service: engines, memory_mb: 60, residency: always}
  - {name: caption, version: v1, service: engines, memory_mb: 40, customers: [studio]}
adapters:
  - {name: order-fish, model: order, memory_mb: 5}
routes:
  - {name: orders, prefix: /orders/, service: shop}
  - {name: images, prefix: /images/, service: shop, public: true, repeatable: true}
";

fn file(name: &str, text: &str) -> SourceFile {
    SourceFile::new(name, text)
}

fn sources(base: &str, overlays: &[&str]) -> Sources {
    let overlays =
        overlays.iter().zip(1..).map(|(text, n)| file(&format!("o{n}.yaml"), text)).collect();
    Sources { base: file("base.yaml", base), overlays, keys: KeyEdits::default() }
}

fn problems(sources: &Sources) -> String {
    match sources.check() {
        Ok(()) => "none\n".to_owned(),
        Err(problems) => problems
            .iter()
            .map(|problem| {
                format!(
                    "{problem}
"
                )
            })
            .collect(),
    }
}

fn refused(base: &str, overlays: &[&str], expected: &Expect) {
    expected.assert_eq(&problems(&sources(base, overlays)));
}

/// Replaces exactly one occurrence in the base file.
fn with(from: &str, to: &str) -> String {
    assert_eq!(BASE.matches(from).count(), 1, "{from}");
    BASE.replace(from, to)
}

#[test]
fn compiles_arenas_by_name_and_applies_the_site_overlay() {
    let overlay = "\
site: south
models: [{name: caption, residency: always, load_ms: 7}]
services: [{name: engines, targets: [{name: e2, batch: 9}]}]
";
    let overlays = [file("south.yaml", overlay)];
    let north = compile(file("base.yaml", BASE), &overlays, "north", Offset(3)).unwrap();
    let south = compile(file("base.yaml", BASE), &overlays, "south", Offset(3)).unwrap();
    assert_eq!(north.version, Offset(3));
    let id = north.model_id("caption").unwrap();
    assert_eq!(north.model(id).residency, Residency::OnDemand);
    assert_eq!((south.model(id).residency, south.model(id).load_ms), (Residency::Always, 7));
    assert_eq!(north.target("e2").unwrap().1.batch, 16);
    assert_eq!(south.target("e2").unwrap().1.batch, 9);
    let key = north.key_by_sha256(&parse_sha256(HASH).unwrap()).unwrap();
    assert_eq!(north.key(key).customer, north.customer_id("chapel").unwrap());
    let studio = north.customer_id("studio").unwrap();
    assert_eq!(north.model(id).access, Access::Customers(vec![studio]));
}

#[test]
fn a_route_is_open_without_a_key_only_if_it_says_public() {
    let config = sources(BASE, &[]).compile("north", Offset(1)).unwrap();
    let access = |path: &str| config.route(config.match_route(path).unwrap()).access.clone();
    assert_eq!(access("/images/x"), Access::All);
    assert_eq!(
        access("/orders/x"),
        Access::Customers(vec![base::CustomerId(0), base::CustomerId(1)])
    );
}

#[test]
fn refuses_numbers_out_of_range_all_at_once() {
    let base = with("rate_tokens_per_s: 100,", "rate_tokens_per_s: -1,")
        .replace("memory_mb: 5}", "memory_mb: 99999999999999999999}")
        .replace("batch: 4", "batch: 4294967296");
    refused(
        &base,
        &[],
        &expect![[r#"
            base.yaml:6: rate_tokens_per_s is -1; write a whole number from 1 to 1000000000000
            base.yaml:18: batch is 4294967296; write a whole number from 1 to 1000000
            base.yaml:23: adapter order-fish and its model need 100000000000000000059 MB, but the largest target of service engines has 100; give a target more memory
            base.yaml:23: memory_mb is 99999999999999999999; write a whole number from 1 to 1000000000
        "#]],
    );
}

#[test]
fn refuses_numbers_that_are_no_whole_numbers() {
    refused(
        &with("memory_mb: 5}", "memory_mb: 5.5}"),
        &[],
        &expect![[r#"
        base.yaml:23: this is not a whole number in range; write one, for example 100
    "#]],
    );
    refused(
        &with("memory_mb: 5}", "memory_mb: lots}"),
        &[],
        &expect![[r#"
        base.yaml:23: this is not a whole number in range; write one, for example 100
    "#]],
    );
    let huge = format!("memory_mb: {}}}", "9".repeat(60));
    refused(
        &with("memory_mb: 5}", &huge),
        &[],
        &expect![[r#"
        base.yaml:23: this is not a whole number in range; write one, for example 100
    "#]],
    );
}

#[test]
fn refuses_unknown_and_repeated_fields() {
    refused(
        &with("weight: 3", "wieght: 3"),
        &[],
        &expect![[r#"
        base.yaml:7: unknown field `wieght`, expected one of name, rate_tokens_per_s, burst_tokens, weight; correct this line
    "#]],
    );
    refused(
        &with("weight: 3", "weight: 3, weight: 4"),
        &[],
        &expect![[r#"
        base.yaml:7: field weight is set twice; keep one of them
    "#]],
    );
    refused(
        &format!("{BASE}name: again\n"),
        &[],
        &expect![[r#"
        base.yaml:27: field name is set twice; keep one of them
    "#]],
    );
    refused(
        "name: [",
        &[],
        &expect![[r#"
        base.yaml:1: expected string scalar; correct this line
    "#]],
    );
    refused(
        "",
        &[],
        &expect![[r#"
        base.yaml:1: unexpected end of input; correct this line
    "#]],
    );
}

#[test]
fn refuses_references_to_nothing() {
    let base = with("customer: chapel,", "customer: chappel,")
        .replace(
            "name: caption, version: v1, service: engines",
            "name: caption, version: v1, service: engine",
        )
        .replace("model: order,", "model: odrer,")
        .replace("customers: [studio]", "customers: [stduio]")
        .replace("{name: s1, data_centre: a", "{name: s1, data_centre: c")
        .replace("prefix: /orders/, service: shop", "prefix: /orders/, service: engines");
    refused(
        &base,
        &[],
        &expect![[r#"
            base.yaml:9: there is no customer chappel; define it or correct the name
            base.yaml:18: there is no data centre c; define it or correct the name
            base.yaml:21: there is no customer stduio; define it or correct the name
            base.yaml:21: there is no service engine; define it or correct the name
            base.yaml:23: there is no model odrer; define it or correct the name
            base.yaml:25: service engines is not a plain service; name one that is
        "#]],
    );
}

#[test]
fn refuses_name_clashes() {
    let base = with("name: order-fish", "name: order")
        .replace("name: studio,", "name: chapel,")
        .replace("name: e2,", "name: e1,")
        .replace("customers: [studio]", "")
        .replace("/images/", "/orders/");
    refused(
        &base,
        &[],
        &expect![[r#"
            base.yaml:7: customer chapel is already defined in line 6; rename or remove one of them
            base.yaml:14: target e1 is already defined in line 13; rename or remove one of them
            base.yaml:23: adapter order has the name of the model in line 20; rename one of them, since callers name both in the same field
            base.yaml:26: prefix /orders/ is already defined in line 25; rename or remove one of them
        "#]],
    );
}

#[test]
fn refuses_always_models_that_do_not_fit_their_service() {
    // 60 + 60 + 60 MB is less than 2 x 100 MB together, but no target holds two of them.
    let more = "models:\n  - {name: m2, version: v1, service: engines, memory_mb: 60, residency: always}\n  - {name: m3, version: v1, service: engines, memory_mb: 60, residency: always}";
    refused(
        &with("models:", more),
        &[],
        &expect![[r#"
        base.yaml:11: the always models of service engines need 180 MB and don't fit its 2 targets with 200 MB together; add targets or make a model on_demand
    "#]],
    );
    refused(
        &with("memory_mb: 40,", "memory_mb: 140,"),
        &[],
        &expect![[r#"
        base.yaml:21: model caption needs 140 MB, but the largest target of service engines has 100; give a target more memory or move the model to another service
    "#]],
    );
    refused(
        &with("memory_mb: 5}", "memory_mb: 50}"),
        &[],
        &expect![[r#"
        base.yaml:23: adapter order-fish and its model need 110 MB, but the largest target of service engines has 100; give a target more memory
    "#]],
    );
}

#[test]
fn refuses_an_overlay_under_which_always_models_do_not_fit() {
    let overlay = "site: north\nmodels:\n  - {name: order, memory_mb: 101}\n";
    refused(
        BASE,
        &[overlay],
        &expect![[r#"
            base.yaml:23: adapter order-fish and its model need 106 MB, but the largest target of service engines has 100; give a target more memory
            o1.yaml:3: model order needs 101 MB, but the largest target of service engines has 100; give a target more memory or move the model to another service
        "#]],
    );
}

#[test]
fn refuses_a_base_file_that_only_an_overlay_makes_right() {
    // Guards against a verdict that depends on the site of the process that reaches it.
    let base = with("memory_mb: 60, residency", "memory_mb: 101, residency")
        .replace("region: south", "region: north")
        .replace("{name: order-fish, model: order", "{name: order-fish, model: caption");
    let overlay = "site: north\nmodels:\n  - {name: order, memory_mb: 60}\n";
    assert!(sources(&base, &[overlay]).compile("north", Offset(1)).is_ok());
    refused(
        &base,
        &[overlay],
        &expect![[r#"
        base.yaml:20: model order needs 101 MB, but the largest target of service engines has 100; give a target more memory or move the model to another service
    "#]],
    );
}

#[test]
fn refuses_two_overlays_that_set_a_field_differently() {
    let one = "site: north\nmodels:\n  - {name: order, load_ms: 5, version: v2}\n";
    let two = "site: north\nmodels:\n  - {name: order, load_ms: 6, version: v2}\n";
    let other_site = "site: south\nmodels:\n  - {name: order, load_ms: 7}\n";
    refused(
        BASE,
        &[one, two, other_site],
        &expect![[r#"
        o2.yaml:3: load_ms of order in site north is already set to another value in o1.yaml:3; keep one of them
    "#]],
    );
    refused(
        BASE,
        &[one, one, other_site],
        &expect![[r#"
        none
    "#]],
    );
}

#[test]
fn refuses_overlays_on_what_holds_in_the_whole_fleet() {
    let overlay = "\
site: north
customers: [{name: chapel, rate_tokens_per_s: 1}]
keys: []
buckets: {slots: 8}
weight_store: {concurrent_loads: 8}
models:
  - {name: order, customers: [chapel]}
routes:
  - {name: orders, public: true}
";
    refused(
        BASE,
        &[overlay],
        &expect![[r#"
            o1.yaml:2: customers holds in the whole fleet; move this into the base file
            o1.yaml:3: keys holds in the whole fleet; move this into the base file
            o1.yaml:4: buckets holds in the whole fleet; move this into the base file
            o1.yaml:5: weight_store holds in the whole fleet; move this into the base file
            o1.yaml:7: customers of a model holds in the whole fleet; move this into the base file
            o1.yaml:9: public of a route holds in the whole fleet; move this into the base file
        "#]],
    );
}

#[test]
fn refuses_overlays_on_nothing_or_on_another_site() {
    let overlay = "\
site: nroth
models:
  - {name: odrer, load_ms: 5}
";
    let foreign = "\
site: north
models:
  - {name: odrer, load_ms: 5}
services:
  - name: engines
    targets:
      - {name: e2, batch: 3}
      - {name: e3, batch: 3}
";
    refused(
        BASE,
        &[overlay, foreign],
        &expect![[r#"
            o1.yaml:1: site nroth is not a region of any data centre; write a region of the base file
            o2.yaml:3: model odrer is not in the base file; add it there or correct the name
            o2.yaml:7: target e2 is in data centre b, not in site north; set it in the overlay of its own site
            o2.yaml:8: target e3 is not in the base file; add it there or correct the name
        "#]],
    );
}

#[test]
fn refuses_a_key_in_the_clear_without_repeating_it() {
    let base = with(HASH, "sk-very-secret-key");
    let text = problems(&sources(&base, &[]));
    assert!(!text.contains("very-secret"));
    expect![[r#"
        base.yaml:9: sha256 of key chapel-1 is not 64 hexadecimal digits; write the SHA-256 of the key, never the key itself
    "#]].assert_eq(&text);
}

#[test]
fn refuses_unusable_names_prefixes_and_limits() {
    let base = with("name: town", "name: 'to wn'")
        .replace("prefix: /orders/,", "prefix: /v1/orders,")
        .replace("prefix: /images/,", "prefix: images,")
        .replace("public: true,", "public: true, customers: [studio],")
        .replace("memory_mb: 40,", "memory_mb: 40, max_output_tokens: 10,")
        .replace("{name: e1, data_centre: a, memory_mb: 100,", "{name: e1, data_centre: a,")
        .replace("batch: 4}", "batch: 4, memory_mb: 3}");
    refused(
        &base,
        &[],
        &expect![[r#"
            base.yaml:1: deployment name "to wn" is not usable; write 1 to 64 letters, digits or any of . _ - : / @
            base.yaml:13: target e1 of engine service engines has no memory_mb; write what the engine has
            base.yaml:18: memory_mb means nothing for target s1 of plain service shop; remove it
            base.yaml:21: default_max_output_tokens of model caption is 256, above its max_output_tokens 10; lower it or raise max_output_tokens
            base.yaml:25: prefix /v1/orders is within /v1, which the entry process answers itself; choose another
            base.yaml:26: prefix "images" is not a path; write one that starts with / and has no space, ? or #
            base.yaml:26: route images is public and lists customers; remove one of the two
        "#]],
    );
}

#[test]
fn refuses_files_without_data_centres_or_beyond_the_size_limit() {
    refused(
        "name: x\ndata_centres: []\n",
        &[],
        &expect![[r#"
        base.yaml:1: data_centres is empty; list at least one data centre
    "#]],
    );
    let long = format!("{BASE}#{}\n", "x".repeat(config::MAX_FILE_BYTES));
    refused(
        &long,
        &[],
        &expect![[r#"
        base.yaml:0: the file has 525293 bytes; shorten it to at most 524288
    "#]],
    );
}

#[test]
fn a_withdrawn_key_is_left_out_and_refused_in_new_files() {
    let mut sources = sources(BASE, &[]);
    let sha256 = parse_sha256(HASH).unwrap();
    sources.keys.withdrawn.push(WithdrawnKey { name: "chapel-1".into(), sha256 });
    let config = sources.compile("north", Offset(2)).unwrap();
    assert_eq!(config.key_by_sha256(&sha256), None);
    expect![[r#"
        base.yaml:9: key chapel-1 was withdrawn and can't come back; remove it from keys
    "#]]
    .assert_eq(&problems(&sources));
}

#[test]
fn refuses_two_files_of_one_name() {
    let mut sources = sources(BASE, &["site: north\n", "site: south\n"]);
    sources.overlays[1].name = "o1.yaml".into();
    expect![[r#"
        o1.yaml:0: two files are named o1.yaml; rename one of them
    "#]]
    .assert_eq(&problems(&sources));
}

#[test]
fn refuses_two_keys_with_one_hash_and_edits_that_clash_with_the_file() {
    let second = format!("keys:\n  - {{name: other, customer: studio, sha256: {HASH}}}");
    refused(
        &with("keys:", &second),
        &[],
        &expect![[r#"
        base.yaml:10: key chapel-1 has the hash of key other; create a key of its own for it
    "#]],
    );
    let mut sources = sources(BASE, &[]);
    let added = |name: &str, customer: &str, byte: u8| AddedKey {
        name: name.into(),
        customer: customer.into(),
        sha256: [byte; 32],
    };
    sources.keys.added = vec![added("chapel-1", "chapel", 1), added("x", "nobody", 2)];
    expect![[r#"
        base.yaml:0: there is no customer nobody, but the added key x belongs to it; define the customer or withdraw the key first
        base.yaml:9: key chapel-1 was already added by an edit with another hash; rename the one in this line
    "#]].assert_eq(&problems(&sources));
    sources.keys.added = vec![added("chapel-2", "chapel", 1)];
    let config = sources.compile("north", Offset(1)).unwrap();
    assert!(config.key_by_sha256(&[1; 32]).is_some());
}
