//! Settings of a process, and the compiled configuration of the deployment.

mod entry_settings;
mod log_settings;
mod platform_settings;
mod process_settings;
mod side_settings;
mod town;

pub use entry_settings::{CallerLimits, EntrySettings};
pub use log_settings::LogSettings;
pub use platform_settings::PlatformSettings;
pub use process_settings::{MembershipSettings, ProcessSettings};
pub use side_settings::SideSettings;
pub use town::{
    Access, Adapter, BucketLayout, Customer, DataCentre, KeyEntry, Model, Residency, Route,
    Service, ServiceKind, Target, Town, WeightStoreLimits,
};
