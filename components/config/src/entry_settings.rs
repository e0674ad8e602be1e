//! Settings of an entry process.

use std::net::{Ipv4Addr, SocketAddr};

use serde::Deserialize;

use crate::{LogSettings, MembershipSettings, PlatformSettings, ProcessSettings};

/// Settings file of the `entry` command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct EntrySettings {
    /// Identity, place and addresses.
    pub process: ProcessSettings,
    /// Platform services.
    pub platform: PlatformSettings,
    /// Heartbeats.
    pub membership: MembershipSettings,
    /// Logging.
    pub log: LogSettings,
    /// Limits for callers.
    pub callers: CallerLimits,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Longest time to serve keyed requests without news from the log, in milliseconds.
    pub authority_ms: u64,
    /// Longest wait for tokens to accrue before a request is refused, in milliseconds.
    pub rate_wait_ms: u64,
    /// Longest time between asking for a reservation and using it, in milliseconds.
    pub reservation_validity_ms: u64,
    /// Retries as a share of requests, in percent.
    pub retry_budget_percent: u32,
    /// Retries a second that are always allowed.
    pub retry_floor_per_s: u32,
    /// Time between the failing readiness check and the end of accepting, in milliseconds.
    pub drain_notice_ms: u64,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            process: ProcessSettings::default(),
            platform: PlatformSettings::default(),
            membership: MembershipSettings::default(),
            log: LogSettings::default(),
            callers: CallerLimits::default(),
            caller_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            authority_ms: 2_000,
            rate_wait_ms: 50,
            reservation_validity_ms: 2_000,
            retry_budget_percent: 10,
            retry_floor_per_s: 3,
            drain_notice_ms: 1_000,
        }
    }
}

/// Limits that keep the cost of a caller bounded.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct CallerLimits {
    /// Most bytes of a request's head.
    pub head_bytes: usize,
    /// Most header fields.
    pub header_count: usize,
    /// Whether `X-Api-Key` is a credential. Set by the process, not by operators.
    #[serde(skip)]
    pub api_key_header: bool,
    /// Most bytes of a body for a model.
    pub body_bytes: usize,
    /// Most bytes of a body for a plain service.
    pub forward_body_bytes: u64,
    /// Most bytes of a body with an idempotency key.
    pub idempotent_body_bytes: usize,
    /// Longest time to receive a request's head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Longest time to receive a body for a model, in milliseconds.
    pub body_timeout_ms: u64,
    /// Most connections.
    pub connections: usize,
    /// Memory of the VM, in MB; a third of it is for bodies.
    pub memory_mb: u64,
    /// Longest time for a generation, in milliseconds.
    pub request_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16_384,
            header_count: 64,
            api_key_header: true,
            body_bytes: 1 << 20,
            forward_body_bytes: 64 << 20,
            idempotent_body_bytes: 256 << 10,
            head_timeout_ms: 5_000,
            body_timeout_ms: 10_000,
            connections: 4_096,
            memory_mb: 2_048,
            request_timeout_ms: 120_000,
        }
    }
}
