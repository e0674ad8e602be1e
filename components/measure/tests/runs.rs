//! Runs of a small deployment.

use base::{ModelId, Offset, ServiceId};
use config::{
    Access, Adapter, BucketLayout, Customer, DataCentre, FleetConfig, Model, Residency, Service,
    ServiceKind, Target, WeightStoreLimits,
};
use measure::{Deployment, Fault, Policy, RunResult, Scenario, make_arrivals, run};

fn small_config() -> FleetConfig {
    let customers = (0..3).map(|n| Customer {
        name: format!("customer-{n}").into(),
        rate_tokens_per_s: 3_000 / (n + 1),
        burst_tokens: 9_000 / (n + 1),
        weight: 1,
        ..Customer::default()
    });
    let models = (0..6).map(|n| Model {
        name: format!("model-{n}").into(),
        version: "1".into(),
        service: ServiceId(0),
        memory_mb: 10_000,
        residency: if n < 3 { Residency::Always } else { Residency::OnDemand },
        default_max_output_tokens: 256,
        max_output_tokens: 1_024,
        load_ms: 900,
        access: Access::All,
        ..Model::default()
    });
    let adapters = (0..4).map(|n| Adapter {
        name: format!("adapter-{n}").into(),
        model: ModelId(n),
        memory_mb: 200,
        access: Access::All,
    });
    let targets = (0..4).map(|n| Target {
        name: format!("engine-{n}").into(),
        data_centre: if n < 2 { "dc-a".into() } else { "dc-b".into() },
        memory_mb: 24_000,
        batch: 16,
        tokens_per_s: 640,
        honours_fencing: true,
    });
    let data_centre = |name: &str| DataCentre { name: name.into(), region: "region".into() };
    FleetConfig {
        version: Offset(1),
        name: "small".into(),
        customers: customers.collect(),
        models: models.collect(),
        adapters: adapters.collect(),
        services: vec![Service {
            name: "models".into(),
            kind: ServiceKind::Engine,
            targets: targets.collect(),
            ..Service::default()
        }],
        data_centres: vec![data_centre("dc-a"), data_centre("dc-b")],
        weight_store: WeightStoreLimits { loads_per_1000_s: 1_500, concurrent_loads: 5 },
        buckets: BucketLayout::default(),
        ..FleetConfig::default()
    }
}

fn measured(policy: Policy, fault: Fault) -> RunResult {
    let deployment =
        Deployment { name: "small", config: small_config(), entries: 3, data_centre_delay_us: 500 };
    let scenario = Scenario { length_s: 60, fault, ..Scenario::default() };
    let arrivals = make_arrivals(&deployment, &scenario);
    run(&deployment, &scenario, policy, &arrivals)
}

/// Guards against admission above rate and burst, and against refusals inside them, in any policy run
/// without a fault.
#[test]
fn core_admits_exactly_what_one_bucket_would() {
    let result = measured(Policy::Core, Fault::None);
    measure::print_table(std::slice::from_ref(&result));
    assert_eq!(result.excess_tokens, 0);
    assert_eq!(result.refused_inside_rate, 0);
    assert_eq!(result.broken, 0);
}

/// Shows that the judge can find wrongful refusals: an equal split has them under uneven load.
#[test]
fn equal_split_refuses_inside_the_rate() {
    assert!(measured(Policy::EqualSplit, Fault::None).refused_inside_rate > 0);
}

/// Guards against a run that depends on anything but its seed.
#[test]
fn equal_seeds_give_equal_results() {
    let first = serde_json::to_string(&measured(Policy::Core, Fault::TargetLost)).unwrap();
    let second = serde_json::to_string(&measured(Policy::Core, Fault::TargetLost)).unwrap();
    assert_eq!(first, second);
}

#[test]
fn every_policy_survives_every_fault_without_excess() {
    for fault in Fault::ALL {
        let results: Vec<RunResult> =
            Policy::ALL.iter().map(|policy| measured(*policy, fault)).collect();
        measure::print_table(&results);
        for result in results {
            assert_eq!(result.excess_tokens, 0, "{} under {}", result.policy, result.fault);
        }
    }
}
