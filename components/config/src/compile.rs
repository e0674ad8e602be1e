//! Checks of the merged configuration and its compilation into a [`FleetConfig`].

use base::{CustomerId, ModelId, Offset, ServiceId};

use crate::base_file::{
    AdapterEntry, BaseFile, CustomerEntry, KindEntry, ModelEntry, Name, ResidencyEntry, RouteEntry,
    ServiceEntry, TargetEntry,
};
use crate::compile_keys::compile_keys;
use crate::memory_check::check_memory;
use crate::report::Report;
use crate::{
    Access, Adapter, BucketLayout, Customer, DataCentre, FleetConfig, KeyEdits, Model, Residency,
    Route, Service, ServiceKind, Target, WeightStoreLimits,
};

/// Largest rate, burst or token limit; sums over all customers stay far below 64 bits.
const MAX_TOKENS: u64 = 1_000_000_000_000;
/// Largest memory in MB.
const MAX_MEMORY_MB: u64 = 1_000_000_000;
/// Longest time in milliseconds: one day.
const MAX_TIME_MS: u64 = 86_400_000;
const MAX_WEIGHT: u32 = 1_000_000;
const MAX_BATCH: u32 = 1_000_000;
const MAX_LOADS_PER_1000_S: u64 = 1_000_000_000;
const MAX_CONCURRENT_LOADS: u32 = 1_000_000;
const MAX_PARTITIONS: u32 = 4_096;
const MAX_SLOTS: u32 = 64;
/// Paths that the entry process answers itself.
const RESERVED_PREFIX: &str = "/v1";

/// Checks a merged base file and compiles what is right of it.
pub(crate) fn compile_merged(
    report: &mut Report<'_>,
    base: &BaseFile,
    edits: &KeyEdits,
    version: Offset,
) -> FleetConfig {
    let mut config =
        FleetConfig { version, name: base.name.value.clone(), ..FleetConfig::default() };
    report.name("deployment", &base.name);
    data_centres(report, base, &mut config);
    customers(report, &base.customers, &mut config);
    services(report, base, &mut config);
    models(report, base, &mut config);
    adapters(report, base, &mut config);
    routes(report, base, &mut config);
    compile_keys(report, base, edits, &mut config);
    limits(report, base, &mut config);
    check_memory(report, base, &config);
    config
}

/// Position of a name in an arena, or a problem.
pub(crate) fn resolve(
    report: &mut Report<'_>,
    what: &str,
    name: &Name,
    found: Option<u32>,
) -> Option<u32> {
    if found.is_none() {
        let message = format!("there is no {what} {}; define it or correct the name", name.value);
        report.add_at(name.file, name.line, message);
    }
    found
}

fn data_centres(report: &mut Report<'_>, base: &BaseFile, config: &mut FleetConfig) {
    for entry in &base.data_centres {
        report.name("data centre", &entry.name);
        report.name("region", &entry.region);
        let (name, region) = (entry.name.value.clone(), entry.region.value.clone());
        config.data_centres.push(DataCentre { name, region });
    }
    report.unique("data centre", base.data_centres.iter().map(|d| &d.name));
    config.data_centres.sort_by(|a, b| a.name.cmp(&b.name));
}

fn customers(report: &mut Report<'_>, entries: &[CustomerEntry], config: &mut FleetConfig) {
    for entry in entries {
        let name = &entry.name;
        report.name("customer", name);
        let rate = &entry.rate_tokens_per_s;
        config.customers.push(Customer {
            name: name.value.clone(),
            rate_tokens_per_s: report.number("rate_tokens_per_s", rate, name, 1..=MAX_TOKENS),
            burst_tokens: report.number("burst_tokens", &entry.burst_tokens, name, 1..=MAX_TOKENS),
            weight: report.number32("weight", &entry.weight, name, 1..=MAX_WEIGHT),
            ..Customer::default()
        });
    }
    report.unique("customer", entries.iter().map(|c| &c.name));
    config.customers.sort_by(|a, b| a.name.cmp(&b.name));
}

fn services(report: &mut Report<'_>, base: &BaseFile, config: &mut FleetConfig) {
    for entry in &base.services {
        report.name("service", &entry.name);
        let mut targets: Vec<Target> =
            entry.targets.iter().map(|target| self::target(report, base, entry, target)).collect();
        targets.sort_by(|a, b| a.name.cmp(&b.name));
        let kind = match entry.kind {
            KindEntry::Engine => ServiceKind::Engine,
            KindEntry::Plain => ServiceKind::Plain,
        };
        config.services.push(Service {
            name: entry.name.value.clone(),
            kind,
            targets,
            ..Service::default()
        });
    }
    report.unique("service", base.services.iter().map(|s| &s.name));
    report.unique("target", base.services.iter().flat_map(|s| &s.targets).map(|t| &t.name));
    config.services.sort_by(|a, b| a.name.cmp(&b.name));
}

fn target(
    report: &mut Report<'_>,
    base: &BaseFile,
    service: &ServiceEntry,
    entry: &TargetEntry,
) -> Target {
    let name = &entry.name;
    report.name("target", name);
    let known = base.data_centres.iter().any(|d| d.name.value == entry.data_centre.value);
    let _known = resolve(report, "data centre", &entry.data_centre, known.then_some(0));
    let mut memory_mb = report.number("memory_mb", &entry.memory_mb, name, 0..=MAX_MEMORY_MB);
    let mut tokens_per_s = report.number("tokens_per_s", &entry.tokens_per_s, name, 0..=MAX_TOKENS);
    match service.kind {
        KindEntry::Engine => {
            for (field, number) in
                [("memory_mb", &entry.memory_mb), ("tokens_per_s", &entry.tokens_per_s)]
            {
                if number.value == 0 {
                    let message = format!(
                        "target {} of engine service {} has no {field}; write what the engine has",
                        name.value, service.name.value
                    );
                    report.add_at(name.file, name.line, message);
                }
            }
        }
        KindEntry::Plain => {
            for (field, number) in
                [("memory_mb", &entry.memory_mb), ("tokens_per_s", &entry.tokens_per_s)]
            {
                if number.value > 0 {
                    let message = format!(
                        "{field} means nothing for target {} of plain service {}; remove it",
                        name.value, service.name.value
                    );
                    report.add(number, name, message);
                }
            }
            memory_mb = 0;
            tokens_per_s = 0;
        }
    }
    Target {
        name: name.value.clone(),
        data_centre: entry.data_centre.value.clone(),
        memory_mb,
        batch: report.number32("batch", &entry.batch, name, 1..=MAX_BATCH),
        tokens_per_s,
        honours_fencing: entry.honours_fencing.value,
    }
}

fn service_of_kind(
    report: &mut Report<'_>,
    config: &FleetConfig,
    name: &Name,
    kind: ServiceKind,
) -> ServiceId {
    let found = resolve(report, "service", name, config.service_id(&name.value).map(|id| id.0));
    let id = ServiceId(found.unwrap_or_default());
    if found.is_some() && config.service(id).kind != kind {
        let wanted = match kind {
            ServiceKind::Engine => "an engine service",
            ServiceKind::Plain => "a plain service",
        };
        let message = format!("service {} is not {wanted}; name one that is", name.value);
        report.add_at(name.file, name.line, message);
    }
    id
}

fn customer_list(report: &mut Report<'_>, config: &FleetConfig, names: &[Name]) -> Vec<CustomerId> {
    let mut customers: Vec<CustomerId> = names
        .iter()
        .filter_map(|name| {
            let found = config.customer_id(&name.value).map(|id| id.0);
            resolve(report, "customer", name, found).map(CustomerId)
        })
        .collect();
    customers.sort_unstable();
    customers.dedup();
    customers
}

fn access(report: &mut Report<'_>, config: &FleetConfig, names: Option<&Vec<Name>>) -> Access {
    names.map_or(Access::All, |names| Access::Customers(customer_list(report, config, names)))
}

fn models(report: &mut Report<'_>, base: &BaseFile, config: &mut FleetConfig) {
    for entry in &base.models {
        let model = model(report, config, entry);
        config.models.push(model);
    }
    report.unique("model", base.models.iter().map(|m| &m.name));
    config.models.sort_by(|a, b| a.name.cmp(&b.name));
}

fn model(report: &mut Report<'_>, config: &FleetConfig, entry: &ModelEntry) -> Model {
    let name = &entry.name;
    report.name("model", name);
    report.name("version", &entry.version);
    let usual = &entry.default_max_output_tokens;
    let default_max_output_tokens =
        report.number("default_max_output_tokens", usual, name, 1..=MAX_TOKENS);
    let max_output_tokens =
        report.number("max_output_tokens", &entry.max_output_tokens, name, 1..=MAX_TOKENS);
    if default_max_output_tokens > max_output_tokens {
        let message = format!(
            "default_max_output_tokens of model {} is {default_max_output_tokens}, above its \
             max_output_tokens {max_output_tokens}; lower it or raise max_output_tokens",
            name.value
        );
        report.add(usual, name, message);
    }
    Model {
        name: name.value.clone(),
        version: entry.version.value.clone(),
        service: service_of_kind(report, config, &entry.service, ServiceKind::Engine),
        memory_mb: report.number("memory_mb", &entry.memory_mb, name, 1..=MAX_MEMORY_MB),
        residency: match entry.residency.value {
            ResidencyEntry::Always => Residency::Always,
            ResidencyEntry::OnDemand => Residency::OnDemand,
        },
        default_max_output_tokens,
        max_output_tokens,
        load_ms: report.number("load_ms", &entry.load_ms, name, 0..=MAX_TIME_MS),
        access: access(report, config, entry.customers.as_ref()),
        ..Model::default()
    }
}

fn adapters(report: &mut Report<'_>, base: &BaseFile, config: &mut FleetConfig) {
    for entry in &base.adapters {
        let adapter = adapter(report, base, config, entry);
        config.adapters.push(adapter);
    }
    report.unique("adapter", base.adapters.iter().map(|a| &a.name));
    config.adapters.sort_by(|a, b| a.name.cmp(&b.name));
}

fn adapter(
    report: &mut Report<'_>,
    base: &BaseFile,
    config: &FleetConfig,
    entry: &AdapterEntry,
) -> Adapter {
    let name = &entry.name;
    report.name("adapter", name);
    if let Some(model) = base.models.iter().find(|m| m.name.value == name.value) {
        let message = format!(
            "adapter {} has the name of the model in line {}; rename one of them, since callers \
             name both in the same field",
            name.value, model.name.line
        );
        report.add_at(name.file, name.line, message);
    }
    let model = &entry.model;
    let found = resolve(report, "model", model, config.model_id(&model.value).map(|id| id.0));
    Adapter {
        name: name.value.clone(),
        model: ModelId(found.unwrap_or_default()),
        memory_mb: report.number("memory_mb", &entry.memory_mb, name, 1..=MAX_MEMORY_MB),
        access: access(report, config, entry.customers.as_ref()),
    }
}

fn routes(report: &mut Report<'_>, base: &BaseFile, config: &mut FleetConfig) {
    for entry in &base.routes {
        let route = route(report, config, entry);
        config.routes.push(route);
    }
    report.unique("route", base.routes.iter().map(|r| &r.name));
    report.unique("prefix", base.routes.iter().map(|r| &r.prefix));
    config.routes.sort_by(|a, b| a.name.cmp(&b.name));
}

fn route(report: &mut Report<'_>, config: &FleetConfig, entry: &RouteEntry) -> Route {
    let name = &entry.name;
    report.name("route", name);
    let prefix = &entry.prefix;
    let bad = |c: char| !c.is_ascii_graphic() || c == '?' || c == '#';
    if !prefix.value.starts_with('/') || prefix.value.contains(bad) {
        let message = format!(
            "prefix {:?} is not a path; write one that starts with / and has no space, ? or #",
            prefix.value
        );
        report.add_at(prefix.file, prefix.line, message);
    }
    if prefix.value == RESERVED_PREFIX || prefix.value.starts_with("/v1/") {
        let message = format!(
            "prefix {} is within /v1, which the entry process answers itself; choose another",
            prefix.value
        );
        report.add_at(prefix.file, prefix.line, message);
    }
    let access = match (&entry.customers, entry.public.value) {
        (Some(_), true) => {
            let message = format!(
                "route {} is public and lists customers; remove one of the two",
                name.value
            );
            report.add(&entry.public, name, message);
            Access::Customers(Vec::new())
        }
        (Some(names), false) => Access::Customers(customer_list(report, config, names)),
        (None, true) => Access::All,
        (None, false) => {
            Access::Customers((0..).map(CustomerId).take(config.customers.len()).collect())
        }
    };
    Route {
        name: name.value.clone(),
        prefix: prefix.value.clone(),
        service: service_of_kind(report, config, &entry.service, ServiceKind::Plain),
        access,
        repeatable: entry.repeatable.value,
        timeout_ms: report.number("timeout_ms", &entry.timeout_ms, name, 1..=MAX_TIME_MS),
        ..Route::default()
    }
}

fn limits(report: &mut Report<'_>, base: &BaseFile, config: &mut FleetConfig) {
    let (store, buckets, name) = (&base.weight_store, &base.buckets, &base.name);
    let loads = &store.loads_per_1000_s;
    let concurrent = &store.concurrent_loads;
    config.weight_store = WeightStoreLimits {
        loads_per_1000_s: report.number("loads_per_1000_s", loads, name, 1..=MAX_LOADS_PER_1000_S),
        concurrent_loads: report.number32(
            "concurrent_loads",
            concurrent,
            name,
            1..=MAX_CONCURRENT_LOADS,
        ),
    };
    let small = |value: u32| u16::try_from(value).unwrap_or(u16::MAX);
    let partitions = report.number32("partitions", &buckets.partitions, name, 1..=MAX_PARTITIONS);
    let slots = report.number32("slots", &buckets.slots, name, 1..=MAX_SLOTS);
    config.buckets = BucketLayout { partitions: small(partitions), slots: small(slots) };
}
