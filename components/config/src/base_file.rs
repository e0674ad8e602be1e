//! YAML schema of the base file.

use compact_str::CompactString;
use serde::Deserialize;

use crate::located::Located;

/// Unchecked number; ranges are checked after parsing, so that all problems are reported at once.
pub(crate) type Number = Located<i128>;
pub(crate) type Name = Located<CompactString>;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct BaseFile {
    pub(crate) name: Name,
    pub(crate) data_centres: Vec<DataCentreEntry>,
    #[serde(default)]
    pub(crate) customers: Vec<CustomerEntry>,
    #[serde(default)]
    pub(crate) keys: Vec<KeyFileEntry>,
    #[serde(default)]
    pub(crate) services: Vec<ServiceEntry>,
    #[serde(default)]
    pub(crate) models: Vec<ModelEntry>,
    #[serde(default)]
    pub(crate) adapters: Vec<AdapterEntry>,
    #[serde(default)]
    pub(crate) routes: Vec<RouteEntry>,
    #[serde(default)]
    pub(crate) weight_store: WeightStoreEntry,
    #[serde(default)]
    pub(crate) buckets: BucketsEntry,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct DataCentreEntry {
    pub(crate) name: Name,
    pub(crate) region: Name,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct CustomerEntry {
    pub(crate) name: Name,
    pub(crate) rate_tokens_per_s: Number,
    pub(crate) burst_tokens: Number,
    #[serde(default = "one")]
    pub(crate) weight: Number,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct KeyFileEntry {
    pub(crate) name: Name,
    pub(crate) customer: Name,
    pub(crate) sha256: Name,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ServiceEntry {
    pub(crate) name: Name,
    #[serde(default)]
    pub(crate) kind: KindEntry,
    pub(crate) targets: Vec<TargetEntry>,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum KindEntry {
    #[default]
    Engine,
    Plain,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TargetEntry {
    pub(crate) name: Name,
    pub(crate) data_centre: Name,
    #[serde(default)]
    pub(crate) memory_mb: Number,
    #[serde(default = "default_batch")]
    pub(crate) batch: Number,
    #[serde(default)]
    pub(crate) tokens_per_s: Number,
    #[serde(default)]
    pub(crate) honours_fencing: Located<bool>,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ResidencyEntry {
    Always,
    #[default]
    OnDemand,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ModelEntry {
    pub(crate) name: Name,
    pub(crate) version: Name,
    pub(crate) service: Name,
    pub(crate) memory_mb: Number,
    #[serde(default)]
    pub(crate) residency: Located<ResidencyEntry>,
    #[serde(default = "default_output")]
    pub(crate) default_max_output_tokens: Number,
    #[serde(default = "default_max_output")]
    pub(crate) max_output_tokens: Number,
    #[serde(default = "default_load_ms")]
    pub(crate) load_ms: Number,
    /// Customers that may use it; absent for all.
    pub(crate) customers: Option<Vec<Name>>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct AdapterEntry {
    pub(crate) name: Name,
    pub(crate) model: Name,
    pub(crate) memory_mb: Number,
    /// Customers that may use it; absent for all.
    pub(crate) customers: Option<Vec<Name>>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RouteEntry {
    pub(crate) name: Name,
    pub(crate) prefix: Name,
    pub(crate) service: Name,
    /// Whether callers need no key; excludes `customers`.
    #[serde(default)]
    pub(crate) public: Located<bool>,
    /// Customers that may use it.
    pub(crate) customers: Option<Vec<Name>>,
    #[serde(default)]
    pub(crate) repeatable: Located<bool>,
    #[serde(default = "default_timeout_ms")]
    pub(crate) timeout_ms: Number,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct WeightStoreEntry {
    pub(crate) loads_per_1000_s: Number,
    pub(crate) concurrent_loads: Number,
}

impl Default for WeightStoreEntry {
    fn default() -> Self {
        Self { loads_per_1000_s: Located::unset(1_000), concurrent_loads: Located::unset(4) }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct BucketsEntry {
    pub(crate) partitions: Number,
    pub(crate) slots: Number,
}

impl Default for BucketsEntry {
    fn default() -> Self {
        Self { partitions: Located::unset(1), slots: Located::unset(4) }
    }
}

fn one() -> Number {
    Located::unset(1)
}

fn default_batch() -> Number {
    Located::unset(16)
}

fn default_output() -> Number {
    Located::unset(256)
}

fn default_max_output() -> Number {
    Located::unset(4_096)
}

fn default_load_ms() -> Number {
    Located::unset(1_000)
}

fn default_timeout_ms() -> Number {
    Located::unset(30_000)
}
