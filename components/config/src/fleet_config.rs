//! The compiled configuration of the deployment for one site.
//!
//! Arenas are sorted by name, so that names resolve by binary search and keys are positions.

use base::{AdapterId, CustomerId, KeyId, ModelId, Offset, RouteId, ServiceId};
use compact_str::CompactString;

use crate::{DirectRoute, EngineLimits};

/// Everything that operators configure, as one process uses it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConfig {
    /// Number that orders the versions: log offset of the record that put this one in force or, where
    /// operators number their versions themselves, the number after theirs.
    pub version: Offset,
    /// Name of the deployment.
    pub name: CompactString,
    /// Customers, sorted by name; `CustomerId` is the position.
    pub customers: Vec<Customer>,
    /// Keys, sorted by hash; `KeyId` is the position.
    pub keys: Vec<KeyEntry>,
    /// Base models, sorted by name; `ModelId` is the position.
    pub models: Vec<Model>,
    /// Adapters, sorted by name; `AdapterId` is the position.
    pub adapters: Vec<Adapter>,
    /// Services, sorted by name; `ServiceId` is the position.
    pub services: Vec<Service>,
    /// Routes to plain services, sorted by name; `RouteId` is the position.
    pub routes: Vec<Route>,
    /// Data centres, sorted by name.
    pub data_centres: Vec<DataCentre>,
    /// Limits of the weight store.
    pub weight_store: WeightStoreLimits,
    /// How customers' buckets are split.
    pub buckets: BucketLayout,
    /// Limits for callers that the operators set; none if those of the process apply.
    pub caller_bounds: Option<CallerBounds>,
}

/// Limits for callers that are part of the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerBounds {
    /// Most bytes of a request's head.
    pub head_bytes: usize,
    /// Most bytes of a body.
    pub body_bytes: usize,
    /// Longest time to receive a request's head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Longest time that a connection may be idle between requests, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// A customer: owner of keys, with a rate across the whole fleet.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Customer {
    /// Unique name.
    pub name: CompactString,
    /// Tokens a second.
    pub rate_tokens_per_s: u64,
    /// Most tokens at once.
    pub burst_tokens: u64,
    /// Weight in fair queueing; at least 1.
    pub weight: u32,
    /// Rank that goes before that of the route, if there is one; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Tokens that a request without a token count is charged.
    pub uncounted_tokens: u64,
    /// Regions in which its requests may run; empty for all.
    pub home_regions: Vec<CompactString>,
}

/// A key, known only by its hash.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyEntry {
    /// SHA-256 of the key.
    pub sha256: [u8; 32],
    /// Name of the key for logs and withdrawal; never the key.
    pub name: CompactString,
    /// Owner.
    pub customer: CustomerId,
}

/// When a model has copies.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Residency {
    /// At least one copy at all times.
    Always,
    /// Loaded when asked for, unloaded when idle.
    #[default]
    OnDemand,
}

/// Who may use a model, an adapter or a route.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Access {
    /// Every customer; on a route also callers without a key.
    #[default]
    All,
    /// The customers listed, sorted.
    Customers(Vec<CustomerId>),
}

/// A base model.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Model {
    /// Unique name among models and adapters.
    pub name: CompactString,
    /// Version loaded from the weight store.
    pub version: CompactString,
    /// Service whose targets may hold it.
    pub service: ServiceId,
    /// Accelerator memory of a copy in MB.
    pub memory_mb: u64,
    /// When it has copies.
    pub residency: Residency,
    /// Output tokens reserved if the caller gives no limit.
    pub default_max_output_tokens: u64,
    /// Largest number of output tokens.
    pub max_output_tokens: u64,
    /// Time to load a copy at full store speed, in milliseconds.
    pub load_ms: u64,
    /// Time to load a copy that is in the memory of the host, in milliseconds.
    pub host_load_ms: u64,
    /// Time to load a copy that is on the disk of the host, in milliseconds.
    pub disk_load_ms: u64,
    /// Accelerator memory of each of its adapters in MB, if they are not listed one by one.
    pub adapter_mb: u64,
    /// Who may use it.
    pub access: Access,
}

/// An adapter on a base model; callers name it like a model.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Adapter {
    /// Unique name among models and adapters.
    pub name: CompactString,
    /// Base model.
    pub model: ModelId,
    /// Accelerator memory in MB.
    pub memory_mb: u64,
    /// Who may use it.
    pub access: Access,
}

/// Kind of a service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ServiceKind {
    /// Its targets are model engines.
    #[default]
    Engine,
    /// Its targets are plain HTTP servers.
    Plain,
}

/// A group of targets that do the same work.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Service {
    /// Unique name.
    pub name: CompactString,
    /// Kind.
    pub kind: ServiceKind,
    /// Targets, sorted by name; empty if targets register themselves.
    pub targets: Vec<Target>,
    /// Path of the health check of its targets.
    pub health_path: CompactString,
    /// Most connections that a target accepts from all callers together; zero for no limit.
    pub connection_limit: u32,
    /// Requests in 1,000 seconds that a cold target takes from all gateways together; zero if its
    /// targets are never cold.
    pub cold_per_1000_s: u64,
    /// Time for which a target is cold after it has started during traffic, in milliseconds.
    pub cold_ms: u64,
    /// Limits of its engines, if its targets register themselves.
    pub engine: Option<EngineLimits>,
}

/// One engine or one instance of a plain service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Target {
    /// Unique name; the side process beside it names it in its settings.
    pub name: CompactString,
    /// Data centre.
    pub data_centre: CompactString,
    /// Accelerator memory for models and adapters in MB; zero for plain targets.
    pub memory_mb: u64,
    /// Most requests in flight.
    pub batch: u32,
    /// Tokens a second at full batch; zero for plain targets.
    pub tokens_per_s: u64,
    /// Whether the engine refuses orders with an old fencing number.
    pub honours_fencing: bool,
}

/// A route to a plain service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Route {
    /// Unique name.
    pub name: CompactString,
    /// Path prefix, for example `/orders/`; the longest matching prefix wins.
    pub prefix: CompactString,
    /// Plain service.
    pub service: ServiceId,
    /// Who may call it; `All` needs no key.
    pub access: Access,
    /// Whether a call may be repeated. Safe methods (GET, HEAD, OPTIONS) always may.
    pub repeatable: bool,
    /// Longest time for an answer in milliseconds.
    pub timeout_ms: u64,
    /// Part for a gateway without side processes.
    pub direct: DirectRoute,
}

/// A data centre and its region.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DataCentre {
    /// Unique name.
    pub name: CompactString,
    /// Region.
    pub region: CompactString,
}

/// Limits of the weight store for the whole fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WeightStoreLimits {
    /// Loads in 1,000 seconds (so that 1.5 a second is exact).
    pub loads_per_1000_s: u64,
    /// Loads at once at full speed.
    pub concurrent_loads: u32,
}

impl Default for WeightStoreLimits {
    fn default() -> Self {
        Self { loads_per_1000_s: 1_000, concurrent_loads: 4 }
    }
}

/// How customers' buckets are split into slots.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BucketLayout {
    /// Partitions of customers.
    pub partitions: u16,
    /// Slots of each bucket.
    pub slots: u16,
}

impl Default for BucketLayout {
    fn default() -> Self {
        Self { partitions: 1, slots: 4 }
    }
}

fn find<T>(arena: &[T], name: &str, name_of: impl Fn(&T) -> &str) -> Option<u32> {
    let at = arena.binary_search_by(|item| name_of(item).cmp(name)).ok()?;
    u32::try_from(at).ok()
}

impl FleetConfig {
    /// Resolves a customer's name.
    pub fn customer_id(&self, name: &str) -> Option<CustomerId> {
        find(&self.customers, name, |c| &c.name).map(CustomerId)
    }

    /// Resolves a base model's name.
    pub fn model_id(&self, name: &str) -> Option<ModelId> {
        find(&self.models, name, |m| &m.name).map(ModelId)
    }

    /// Resolves an adapter's name.
    pub fn adapter_id(&self, name: &str) -> Option<AdapterId> {
        find(&self.adapters, name, |a| &a.name).map(AdapterId)
    }

    /// Resolves a service's name.
    pub fn service_id(&self, name: &str) -> Option<ServiceId> {
        find(&self.services, name, |s| &s.name).map(ServiceId)
    }

    /// Resolves a route's name.
    pub fn route_id(&self, name: &str) -> Option<RouteId> {
        find(&self.routes, name, |r| &r.name).map(RouteId)
    }

    /// The shortest gap objective, in milliseconds, of the routes to a service that declare one.
    pub fn shortest_gap_objective_ms(&self, service: ServiceId) -> Option<u64> {
        let leads_there = |route: &&Route| {
            let mut shares = route.direct.shares.iter();
            match shares.len() {
                0 => route.service == service,
                _ => shares.any(|share| share.service == service),
            }
        };
        let routes = self.routes.iter().filter(leads_there);
        routes.map(|route| route.direct.gap_objective_ms).filter(|gap_ms| *gap_ms > 0).min()
    }

    /// The key with this hash, by binary search; callers compare the full hash in constant time.
    pub fn key_by_sha256(&self, sha256: &[u8; 32]) -> Option<KeyId> {
        let at = self.keys.binary_search_by(|key| key.sha256.cmp(sha256)).ok()?;
        u32::try_from(at).ok().map(KeyId)
    }

    /// The same configuration as a later version with one more key.
    ///
    /// The key's hash must not be present.
    pub fn with_key(&self, version: Offset, key: KeyEntry) -> Self {
        let mut config = Self { version, ..self.clone() };
        let at = config.keys.partition_point(|other| other.sha256 < key.sha256);
        config.keys.insert(at, key);
        config
    }

    /// The same configuration as a later version without one key.
    pub fn without_key(&self, version: Offset, sha256: &[u8; 32]) -> Self {
        let mut config = Self { version, ..self.clone() };
        config.keys.retain(|key| key.sha256 != *sha256);
        config
    }

    /// A customer.
    pub fn customer(&self, id: CustomerId) -> &Customer {
        &self.customers[id.index()]
    }

    /// A key entry.
    pub fn key(&self, id: KeyId) -> &KeyEntry {
        &self.keys[id.index()]
    }

    /// A base model.
    pub fn model(&self, id: ModelId) -> &Model {
        &self.models[id.index()]
    }

    /// An adapter.
    pub fn adapter(&self, id: AdapterId) -> &Adapter {
        &self.adapters[id.index()]
    }

    /// A service.
    pub fn service(&self, id: ServiceId) -> &Service {
        &self.services[id.index()]
    }

    /// A route.
    pub fn route(&self, id: RouteId) -> &Route {
        &self.routes[id.index()]
    }

    /// The target with this name and its service.
    pub fn target(&self, name: &str) -> Option<(ServiceId, &Target)> {
        self.services.iter().zip(0..).find_map(|(service, at)| {
            let found = service.targets.binary_search_by(|t| t.name.as_str().cmp(name)).ok()?;
            Some((ServiceId(at), &service.targets[found]))
        })
    }

    /// The route with the longest prefix of `path`.
    pub fn match_route(&self, path: &str) -> Option<RouteId> {
        self.routes
            .iter()
            .zip(0..)
            .filter(|(route, _)| path.starts_with(route.prefix.as_str()))
            .max_by_key(|(route, _)| route.prefix.len())
            .map(|(_, at)| RouteId(at))
    }

    /// The route of a gateway with this host and the longest prefix of `path`.
    pub fn match_direct(&self, host: &str, path: &str) -> Option<RouteId> {
        self.routes
            .iter()
            .zip(0..)
            .filter(|(route, _)| {
                (route.direct.host.is_empty() || route.direct.host.eq_ignore_ascii_case(host))
                    && path.starts_with(route.prefix.as_str())
            })
            .max_by_key(|(route, _)| (!route.direct.host.is_empty(), route.prefix.len()))
            .map(|(_, at)| RouteId(at))
    }

    /// The region of a data centre.
    pub fn region_of(&self, data_centre: &str) -> Option<&str> {
        let at = self.data_centres.binary_search_by(|d| d.name.as_str().cmp(data_centre)).ok()?;
        Some(&self.data_centres[at].region)
    }
}

impl Access {
    /// Whether `customer` may use the thing.
    pub fn allows(&self, customer: CustomerId) -> bool {
        match self {
            Self::All => true,
            Self::Customers(customers) => customers.binary_search(&customer).is_ok(),
        }
    }
}
