//! Checks of settings beyond their shape.

use std::net::SocketAddr;

use crate::{
    EntrySettings, FleetConfig, MembershipSettings, PlatformSettings, Problem, ProcessSettings,
    SideSettings, SourceFile,
};

const MIN_SECRET_CHARS: usize = 16;
const MAX_DAY_MS: u64 = 86_400_000;
const MAX_COUNT: u64 = 1 << 40;
const MAX_WINDOW_H: u64 = 24 * 365;
/// A stored outcome must fit one log record together with its headers.
const MAX_OUTCOME_BODY_BYTES: u64 = 256 << 10;
const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

struct Check<'a> {
    source: &'a SourceFile,
    problems: Vec<Problem>,
}

impl Check<'_> {
    /// Adds a problem at the line of a field; `section` is empty for a field at the top.
    fn add(&mut self, section: &str, field: &str, message: String) {
        let line = line_of(&self.source.text, section, field);
        self.problems.push(Problem { file: self.source.name.clone(), line, message });
    }

    fn range(&mut self, section: &str, field: &str, value: u64, low: u64, high: u64) {
        if value < low || value > high {
            let message = format!("{field} is {value}; write a whole number from {low} to {high}");
            self.add(section, field, message);
        }
    }

    fn present(&mut self, section: &str, field: &str, value: &str) {
        if value.is_empty() {
            self.add(section, field, format!("{field} is missing; set it"));
        }
    }

    fn address(&mut self, section: &str, field: &str, address: SocketAddr) {
        if address.port() == 0 {
            self.add(section, field, format!("{field} has no port; write IP:PORT"));
        }
    }

    fn process(&mut self, process: &ProcessSettings) {
        self.present("process", "name", &process.name);
        self.present("process", "vm", &process.vm);
        self.present("process", "region", &process.region);
        self.present("process", "data_centre", &process.data_centre);
        if process.fleet_secret.chars().count() < MIN_SECRET_CHARS {
            let message = format!(
                "fleet_secret is shorter than {MIN_SECRET_CHARS} characters; write a random one of \
                 at least that length"
            );
            self.add("process", "fleet_secret", message);
        }
        self.range("process", "drain_limit_ms", process.drain_limit_ms, 1, MAX_DAY_MS);
    }

    fn platform(&mut self, platform: &PlatformSettings) {
        self.address("platform", "log_address", platform.log_address);
        self.address("platform", "vm_list_address", platform.vm_list_address);
        self.range("platform", "log_poll_ms", platform.log_poll_ms, 1, 60_000);
        self.range("platform", "request_timeout_ms", platform.request_timeout_ms, 1, 60_000);
        self.range("platform", "appends_per_s", u64::from(platform.appends_per_s), 1, 10_000);
        self.range("platform", "log_retention_s", platform.log_retention_s, 60, MAX_COUNT);
    }

    fn membership(&mut self, membership: &MembershipSettings) {
        let MembershipSettings {
            heartbeat_ms,
            suspect_after_ms,
            silent_after_ms,
            vm_list_poll_ms,
            call_timeout_ms,
        } = *membership;
        self.range("membership", "heartbeat_ms", heartbeat_ms, 10, 60_000);
        self.range("membership", "suspect_after_ms", suspect_after_ms, 10, MAX_DAY_MS);
        self.range("membership", "silent_after_ms", silent_after_ms, 10, MAX_DAY_MS);
        self.range("membership", "vm_list_poll_ms", vm_list_poll_ms, 10, MAX_DAY_MS);
        self.range("membership", "call_timeout_ms", call_timeout_ms, 1, 60_000);
        if suspect_after_ms < heartbeat_ms.saturating_mul(2) {
            let message = format!(
                "suspect_after_ms is {suspect_after_ms}, less than two heartbeats of {heartbeat_ms}; \
                 raise it so that one lost heartbeat is no silence"
            );
            self.add("membership", "suspect_after_ms", message);
        }
        if silent_after_ms < suspect_after_ms {
            let message = format!(
                "silent_after_ms is {silent_after_ms}, below suspect_after_ms {suspect_after_ms}; \
                 raise it"
            );
            self.add("membership", "silent_after_ms", message);
        }
    }

    /// Checks that the place of a process is one of the configuration.
    fn place(&mut self, process: &ProcessSettings, config: &FleetConfig) {
        let ProcessSettings { region, data_centre, .. } = process;
        match config.region_of(data_centre) {
            None => {
                let message = format!(
                    "there is no data centre {data_centre} in the base file; define it or correct \
                     the name"
                );
                self.add("process", "data_centre", message);
            }
            Some(actual) if actual != region => {
                let message = format!(
                    "data centre {data_centre} is in region {actual}, not {region}; correct one of \
                     them"
                );
                self.add("process", "region", message);
            }
            Some(_) => {}
        }
    }

    fn log(&mut self, level: &str) {
        if !LOG_LEVELS.contains(&level) {
            let message =
                format!("level {level:?} is unknown; write one of {}", LOG_LEVELS.join(", "));
            self.add("log", "level", message);
        }
    }
}

fn widen(value: usize) -> u64 {
    u64::try_from(value).unwrap_or(u64::MAX)
}

impl EntrySettings {
    pub(crate) fn problems(&self, source: &SourceFile) -> Vec<Problem> {
        let mut check = Check { source, problems: Vec::new() };
        check.process(&self.process);
        check.platform(&self.platform);
        check.membership(&self.membership);
        check.log(&self.log.level);
        let callers = &self.callers;
        for (field, value, low) in [
            ("head_bytes", widen(callers.head_bytes), 1_024),
            ("header_count", widen(callers.header_count), 8),
            ("body_bytes", widen(callers.body_bytes), 1),
            ("forward_body_bytes", callers.forward_body_bytes, 1),
            ("idempotent_body_bytes", widen(callers.idempotent_body_bytes), 1),
            ("connections", widen(callers.connections), 1),
            ("memory_mb", callers.memory_mb, 64),
        ] {
            check.range("callers", field, value, low, MAX_COUNT);
        }
        check.range("callers", "head_timeout_ms", callers.head_timeout_ms, 1, MAX_DAY_MS);
        check.range("callers", "body_timeout_ms", callers.body_timeout_ms, 1, MAX_DAY_MS);
        check.range("callers", "request_timeout_ms", callers.request_timeout_ms, 1, MAX_DAY_MS);
        check.range("", "authority_ms", self.authority_ms, 1, 2_000);
        check.range("", "rate_wait_ms", self.rate_wait_ms, 0, MAX_DAY_MS);
        check.range("", "reservation_validity_ms", self.reservation_validity_ms, 1, 60_000);
        let percent = u64::from(self.retry_budget_percent);
        check.range("", "retry_budget_percent", percent, 0, 100);
        check.range("", "retry_floor_per_s", u64::from(self.retry_floor_per_s), 0, 10_000);
        check.range("", "drain_notice_ms", self.drain_notice_ms, 0, MAX_DAY_MS);
        check.problems
    }
}

impl EntrySettings {
    /// Checks the settings against a configuration.
    pub fn check_against(&self, config: &FleetConfig, source: &SourceFile) -> Vec<Problem> {
        let mut check = Check { source, problems: Vec::new() };
        check.place(&self.process, config);
        check.problems
    }
}

impl SideSettings {
    /// Checks the settings against a configuration.
    pub fn check_against(&self, config: &FleetConfig, source: &SourceFile) -> Vec<Problem> {
        let mut check = Check { source, problems: Vec::new() };
        check.place(&self.process, config);
        match config.target(&self.target) {
            None => {
                let message = format!(
                    "there is no target {} in the base file; define it or correct the name",
                    self.target
                );
                check.add("", "target", message);
            }
            Some((_, target)) if target.data_centre != self.process.data_centre => {
                let message = format!(
                    "target {} is in data centre {}, not {}; a side process runs beside its target",
                    self.target, target.data_centre, self.process.data_centre
                );
                check.add("process", "data_centre", message);
            }
            Some(_) => {}
        }
        check.problems
    }

    pub(crate) fn problems(&self, source: &SourceFile) -> Vec<Problem> {
        let mut check = Check { source, problems: Vec::new() };
        check.process(&self.process);
        check.platform(&self.platform);
        check.membership(&self.membership);
        check.log(&self.log.level);
        check.present("", "target", &self.target);
        check.address("", "target_address", self.target_address);
        check.range("", "order_lifetime_ms", self.order_lifetime_ms, 1, MAX_DAY_MS);
        check.range("", "probe_ms", self.probe_ms, 10, MAX_DAY_MS);
        check.range("", "queue_tokens", self.queue_tokens, 1, MAX_COUNT);
        check.range("", "queue_requests", widen(self.queue_requests), 1, MAX_COUNT);
        check.range("", "token_timeout_ms", self.token_timeout_ms, 1, MAX_DAY_MS);
        check.range("", "claim_timeout_ms", self.claim_timeout_ms, 1, MAX_DAY_MS);
        check.range("", "idempotency_window_h", self.idempotency_window_h, 1, MAX_WINDOW_H);
        let body = widen(self.outcome_body_bytes);
        check.range("", "outcome_body_bytes", body, 0, MAX_OUTCOME_BODY_BYTES);
        check.range("", "handover_margin_ms", self.handover_margin_ms, 0, MAX_DAY_MS);
        check.problems
    }
}

/// Line of a field in block style; the line of its section, or 0, if it is not there.
fn line_of(text: &str, section: &str, field: &str) -> u64 {
    let mut section_line = 0;
    let mut inside = section.is_empty();
    for (line, number) in text.lines().zip(1..) {
        let name = line.trim_start().split(':').next().unwrap_or_default().trim_end();
        let indented = line.starts_with(' ');
        if !indented && !line.is_empty() && !line.starts_with('#') && !section.is_empty() {
            inside = name == section;
            if inside {
                section_line = number;
            }
        }
        if inside && indented != section.is_empty() && name == field {
            return number;
        }
    }
    section_line
}
