//! Addresses and limits of the platform services.

use std::net::{Ipv4Addr, SocketAddr};

use serde::Deserialize;

/// Addresses and limits of the platform's services.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// Log service.
    pub log_address: SocketAddr,
    /// VM list.
    pub vm_list_address: SocketAddr,
    /// Longest wait of a long poll on the log, in milliseconds.
    pub log_poll_ms: u64,
    /// Longest wait for any other answer of the platform, in milliseconds.
    pub request_timeout_ms: u64,
    /// Most appends a second of this process.
    pub appends_per_s: u32,
    /// How long the log keeps records, in seconds.
    pub log_retention_s: u64,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            log_address: any_port,
            vm_list_address: any_port,
            log_poll_ms: 500,
            request_timeout_ms: 1_000,
            appends_per_s: 20,
            log_retention_s: 86_400,
        }
    }
}
