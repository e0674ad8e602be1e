//! Stand-ins for the platform, model engines and plain services, and a fault-injecting TCP proxy.
//!
//! Used by `demo`, by tests and by `measure`. Each server runs as tasks of the caller's runtime on an
//! ephemeral loopback port; its settings can be changed through its handle or by `POST /control`.

mod control;
mod endless_server;
mod engine_generate;
mod engine_journal;
mod engine_orders;
mod engine_server;
mod engine_settings;
mod engine_state;
mod log_server;
mod plain;
mod prefix_cache;
mod proxy;
mod rate;
mod raw_server;
mod reply;
mod server;
mod text;
mod vm_list_server;
mod weight_store;

pub use endless_server::{EndlessAnswer, EndlessServer, EndlessServerSettings};
pub use engine_journal::{EngineJournal, OrderEntry, OrderOutcome, RunEntry};
pub use engine_server::{EngineServer, EngineService};
pub use engine_settings::{EngineSettings, PreloadedModel};
pub use log_server::{LogServer, LogServerSettings, LogService, StoredRecord};
pub use plain::{PlainServer, PlainService, PlainSettings, SeenHeader, SeenRequest};
pub use proxy::{Blocked, Link, LinkFaults};
pub use raw_server::RawServer;
pub use reply::{
    Hangup, Reply, ReplyBody, full, json, lose_answer, query, read_body, text, wait_ms,
};
pub use server::{Server, Service};
pub use text::{answer_text, token_text};
pub use vm_list_server::{ListedState, ListedVm, VmListServer, VmListService, VmListSettings};
pub use weight_store::{LoadCounts, WeightStoreServer, WeightStoreService, WeightStoreSettings};
