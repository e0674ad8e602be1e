//! Detection of queries of death: requests that end each target that runs them, as a whole or by a part
//! of their prompt.

mod background;
mod crash;
mod hold;
mod part_crashes;
mod part_judgement;
mod quarantine;
mod quarantine_change;
mod refusal;
mod request_identity;
mod request_subjects;
mod settings;
mod suspect;

pub use crash::Crash;
pub use quarantine::Quarantine;
pub use quarantine_change::QuarantineChange;
pub use refusal::Refusal;
pub use request_identity::RequestIdentity;
pub use request_subjects::RequestSubjects;
pub use settings::QuarantineSettings;
