//! Detection of queries of death: prompt parts that end each engine that begins to write an answer on
//! them.

mod background;
mod crash;
mod hold;
mod part_quarantine;
mod request_identity;
mod settings;
mod suspect;

pub use crash::Crash;
pub use part_quarantine::{PartQuarantine, QuarantineChange, Refusal};
pub use request_identity::RequestIdentity;
pub use settings::QuarantineSettings;
