//! Which version of a service's software began a stream.
//!
//! What two versions write doesn't fit together, so a stream goes on only at the version that began it.

mod keeper_set;
mod live_streams;
mod lookup;
mod origins;
mod software_history;
mod software_register;
mod version_view;

pub use keeper_set::{Keeper, KeeperSet};
pub use live_streams::{LiveStreams, LiveStreamsSettings, group_messages, pack_streams};
pub use lookup::{Lookup, Ruling};
pub use origins::{StreamOrigins, StreamOriginsSettings};
pub use software_history::SoftwareHistory;
pub use software_register::{
    RegisterStep, SoftwareRegister, SoftwareRegisterSettings, VersionsSeen,
};
pub use version_view::{VersionView, VersionViewSettings};
