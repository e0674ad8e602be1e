//! Keys, customers and permissions.

use auth::{
    AuthFault, authenticate, authenticate_hash, hash_key, permit_model, permit_route,
    permitted_names,
};
use base::{AdapterId, CustomerId, ModelId, RouteId};
use config::{Access, Adapter, Customer, FleetConfig, KeyEntry, Model, Route};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const CAPEL: CustomerId = CustomerId(0);
const STIWDIO: CustomerId = CustomerId(1);

fn config() -> FleetConfig {
    let customer = |name: &str| Customer { name: name.into(), ..Customer::default() };
    let mut keys = vec![
        KeyEntry { sha256: hash_key("key-capel"), name: "k1".into(), customer: CAPEL },
        KeyEntry { sha256: hash_key("key-stiwdio"), name: "k2".into(), customer: STIWDIO },
    ];
    keys.sort_by_key(|key| key.sha256);
    let only = |customer| Access::Customers(vec![customer]);
    let model = |name: &str, access| Model { name: name.into(), access, ..Model::default() };
    let adapter = |name: &str, access| Adapter { name: name.into(), access, ..Adapter::default() };
    let route = |name: &str, access| Route { name: name.into(), access, ..Route::default() };
    FleetConfig {
        customers: vec![customer("capel"), customer("stiwdio")],
        keys,
        models: vec![model("open", Access::All), model("own", only(STIWDIO))],
        adapters: vec![adapter("open-capel", only(CAPEL))],
        routes: vec![route("pay", only(CAPEL)), route("public", Access::All)],
        ..FleetConfig::default()
    }
}

/// Guards against a key that is attributed to the wrong customer or to none.
#[test]
fn key_authenticates_its_customer_only() {
    let config = config();
    assert_eq!(authenticate(&config, "key-capel").map(|caller| caller.customer), Ok(CAPEL));
    assert_eq!(authenticate(&config, "key-stiwdio").map(|caller| caller.customer), Ok(STIWDIO));
    for wrong in ["", "key", "key-capel ", "KEY-CAPEL", "k1"] {
        assert_eq!(authenticate(&config, wrong), Err(AuthFault::UnknownKey), "{wrong:?}");
    }
}

/// Guards against a running request that continues after its key is withdrawn.
#[test]
fn a_withdrawn_key_is_unknown_by_its_hash() {
    let mut config = config();
    let hash = hash_key("key-capel");
    assert!(authenticate_hash(&config, &hash).is_ok());
    config.keys.retain(|key| key.sha256 != hash);
    assert_eq!(authenticate_hash(&config, &hash), Err(AuthFault::UnknownKey));
}

/// Guards against use of another customer's model or adapter.
#[test]
fn names_resolve_to_models_and_adapters_that_the_customer_may_use() {
    let config = config();
    let permitted = permit_model(&config, CAPEL, "open").map(|p| (p.model, p.adapter));
    assert_eq!(permitted, Ok((ModelId(0), None)));
    let permitted = permit_model(&config, CAPEL, "open-capel").map(|p| (p.model, p.adapter));
    assert_eq!(permitted, Ok((ModelId(0), Some(AdapterId(0)))));
    assert_eq!(permit_model(&config, CAPEL, "own"), Err(AuthFault::NotAllowed));
    assert_eq!(permit_model(&config, STIWDIO, "open-capel"), Err(AuthFault::NotAllowed));
    assert_eq!(permit_model(&config, CAPEL, "none"), Err(AuthFault::UnknownModel));
    let names: Vec<&str> = permitted_names(&config, CAPEL).collect();
    assert_eq!(names, ["open", "open-capel"]);
    let names: Vec<&str> = permitted_names(&config, STIWDIO).collect();
    assert_eq!(names, ["open", "own"]);
}

/// Guards against access to a route by other customers, and a public route that requires a key.
#[test]
fn routes_are_public_or_for_their_customers() {
    let config = config();
    let (pay, public) = (RouteId(0), RouteId(1));
    assert_eq!(permit_route(&config, Some(CAPEL), pay), Ok(()));
    assert_eq!(permit_route(&config, Some(STIWDIO), pay), Err(AuthFault::NotAllowed));
    assert_eq!(permit_route(&config, None, pay), Err(AuthFault::UnknownKey));
    assert_eq!(permit_route(&config, None, public), Ok(()));
    assert_eq!(permit_route(&config, Some(STIWDIO), public), Ok(()));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// Guards against a text that authenticates without being a configured key.
    #[test]
    fn no_other_text_is_a_key(text in "\\PC{0,24}") {
        let expected = match text.as_str() {
            "key-capel" => Ok(CAPEL),
            "key-stiwdio" => Ok(STIWDIO),
            _ => Err(AuthFault::UnknownKey),
        };
        let found = authenticate(&config(), &text).map(|caller| caller.customer);
        prop_assert_eq!(found, expected);
    }
}
