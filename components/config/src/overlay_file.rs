//! YAML schema of an overlay.

use serde::Deserialize;
use serde::de::IgnoredAny;

use crate::base_file::{Name, Number, ResidencyEntry};
use crate::located::Located;

/// Section or field that an overlay must not set; parsed only to report its line.
pub(crate) type Forbidden = Option<Located<IgnoredAny>>;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct OverlayFile {
    /// Region that the overlay applies to.
    pub(crate) site: Name,
    #[serde(default)]
    pub(crate) services: Vec<ServicePatch>,
    #[serde(default)]
    pub(crate) models: Vec<ModelPatch>,
    #[serde(default)]
    pub(crate) adapters: Vec<AdapterPatch>,
    #[serde(default)]
    pub(crate) routes: Vec<RoutePatch>,
    pub(crate) name: Forbidden,
    pub(crate) data_centres: Forbidden,
    pub(crate) customers: Forbidden,
    pub(crate) keys: Forbidden,
    pub(crate) weight_store: Forbidden,
    pub(crate) buckets: Forbidden,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ServicePatch {
    pub(crate) name: Name,
    #[serde(default)]
    pub(crate) targets: Vec<TargetPatch>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TargetPatch {
    pub(crate) name: Name,
    pub(crate) memory_mb: Option<Number>,
    pub(crate) batch: Option<Number>,
    pub(crate) tokens_per_s: Option<Number>,
    pub(crate) honours_fencing: Option<Located<bool>>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ModelPatch {
    pub(crate) name: Name,
    pub(crate) version: Option<Name>,
    pub(crate) memory_mb: Option<Number>,
    pub(crate) residency: Option<Located<ResidencyEntry>>,
    pub(crate) default_max_output_tokens: Option<Number>,
    pub(crate) max_output_tokens: Option<Number>,
    pub(crate) load_ms: Option<Number>,
    pub(crate) customers: Forbidden,
    pub(crate) service: Forbidden,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct AdapterPatch {
    pub(crate) name: Name,
    pub(crate) memory_mb: Option<Number>,
    pub(crate) customers: Forbidden,
    pub(crate) model: Forbidden,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RoutePatch {
    pub(crate) name: Name,
    pub(crate) timeout_ms: Option<Number>,
    pub(crate) customers: Forbidden,
    pub(crate) public: Forbidden,
    pub(crate) repeatable: Forbidden,
    pub(crate) service: Forbidden,
    pub(crate) prefix: Forbidden,
}
