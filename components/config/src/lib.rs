//! Settings of a process, and the compiled configuration of the deployment.
//!
//! Operators write one base file and an overlay for each site. [`Sources`] checks them and compiles
//! them into a [`FleetConfig`]; every problem names its file, its line and what to do.

mod agent_settings;
mod base_file;
mod compile;
mod compile_keys;
mod direct_route;
mod engine_limits;
mod entry_settings;
mod fleet_bounds;
mod fleet_config;
mod gateway_settings;
mod keys;
mod load;
mod located;
mod log_settings;
mod memory_check;
mod merge;
mod overlay_file;
mod packing;
mod platform_settings;
mod problem;
mod process_settings;
mod report;
mod settings_check;
mod side_settings;
mod source;
mod sources;
mod yaml;

pub use agent_settings::AgentSettings;
pub use direct_route::{DirectKind, DirectRoute, ServiceShare};
pub use engine_limits::EngineLimits;
pub use entry_settings::{CallerLimits, EntrySettings};
pub use fleet_bounds::FleetBounds;
pub use fleet_config::{
    Access, Adapter, BucketLayout, CallerBounds, Customer, DataCentre, FleetConfig, KeyEntry,
    Model, Residency, Route, Service, ServiceKind, Target, WeightStoreLimits,
};
pub use gateway_settings::GatewaySettings;
pub use keys::{AddedKey, KeyEdits, WithdrawnKey, format_sha256, parse_sha256};
pub use load::{load_entry_settings, load_side_settings};
pub use log_settings::LogSettings;
pub use platform_settings::PlatformSettings;
pub use problem::Problem;
pub use process_settings::{MembershipSettings, ProcessSettings};
pub use report::is_usable_name;
pub use side_settings::SideSettings;
pub use source::SourceFile;
pub use sources::{Checked, Sources, compile};
pub use yaml::MAX_FILE_BYTES;
