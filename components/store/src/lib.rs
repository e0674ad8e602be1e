//! Clients of the platform services: the log and the VM list.
//!
//! The traits are the boundary of a process. The HTTP clients implement the protocol in
//! `docs/platform-api.md`.

mod budget;
mod error;
mod group_coordinator;
mod http_log;
mod http_vm_list;
mod json_client;
mod keyed;
mod keyed_reader;
mod log;
mod topic;
mod vm_list;

pub use budget::AppendBudget;
pub use error::{StoreError, require_success};
pub use group_coordinator::{Group, GroupCoordinator, PartAssignment};
pub use http_log::{HttpLog, HttpLogOptions};
pub use http_vm_list::HttpVmList;
pub use keyed::{KeyedLog, KeyedPage, KeyedRecord, KeyedTail};
pub use keyed_reader::{KeyedRead, KeyedReader};
pub use log::{Log, LogPage, LogRecord};
pub use topic::Topic;
pub use vm_list::{VmEntry, VmListSource, VmSnapshot, VmState};
