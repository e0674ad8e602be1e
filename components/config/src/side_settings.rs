//! Settings of a side process.

use std::net::{Ipv4Addr, SocketAddr};

use compact_str::CompactString;
use serde::Deserialize;

use crate::{LogSettings, MembershipSettings, PlatformSettings, ProcessSettings};

/// Settings file of the `side` command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct SideSettings {
    /// Identity, place and addresses.
    pub process: ProcessSettings,
    /// Platform services.
    pub platform: PlatformSettings,
    /// Heartbeats.
    pub membership: MembershipSettings,
    /// Logging.
    pub log: LogSettings,
    /// Name of the target in the configuration.
    pub target: CompactString,
    /// Address of the target.
    pub target_address: SocketAddr,
    /// Longest time that an order to the engine may be on its way, in milliseconds.
    pub order_lifetime_ms: u64,
    /// Time between probes of the target, in milliseconds.
    pub probe_ms: u64,
    /// Most queued tokens of one customer.
    pub queue_tokens: u64,
    /// Most queued requests of one customer.
    pub queue_requests: usize,
    /// Longest time without a token from the engine, in milliseconds.
    pub token_timeout_ms: u64,
    /// Longest time to settle a claim on the log, in milliseconds.
    pub claim_timeout_ms: u64,
    /// How long at-most-once marks are kept, in hours.
    pub idempotency_window_h: u64,
    /// Largest body of a stored outcome, in bytes.
    pub outcome_body_bytes: usize,
    /// Time before the end of a drain at which streams are handed over, in milliseconds.
    pub handover_margin_ms: u64,
}

impl Default for SideSettings {
    fn default() -> Self {
        Self {
            process: ProcessSettings::default(),
            platform: PlatformSettings::default(),
            membership: MembershipSettings::default(),
            log: LogSettings::default(),
            target: CompactString::default(),
            target_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            order_lifetime_ms: 10_000,
            probe_ms: 500,
            queue_tokens: 200_000,
            queue_requests: 512,
            token_timeout_ms: 10_000,
            claim_timeout_ms: 3_000,
            idempotency_window_h: 24,
            outcome_body_bytes: 16_384,
            handover_margin_ms: 5_000,
        }
    }
}
