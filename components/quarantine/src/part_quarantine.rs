//! Parts under suspicion and in quarantine, as one gateway knows them.
//!
//! Evidence against a part is a crash of an engine that had begun to answer a request with it and had
//! written nothing. An output on the part at any engine after the crash clears it. The gateways report
//! their evidence to each other; it is a set, so that late, lost and repeated reports do no harm.

use std::cmp::Reverse;
use std::time::Duration;

use base::{SortedMap, Timestamp, hash_bytes};
use wire::{CrashCopy, HoldCopy, PartReport};

use crate::background::Background;
use crate::crash::Crash;
use crate::hold::Hold;
use crate::settings::QuarantineSettings;
use crate::suspect::Suspect;

/// Crashes by the same prompt after which it is refused for a while.
const MAX_CRASHES_BY_PROMPT: usize = 2;

/// A request that must not be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Part in quarantine.
    pub part: u64,
    /// Time until a trial is allowed.
    pub remaining: Duration,
}

/// A quarantine that has begun or ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineChange {
    /// The part is in quarantine.
    Begun {
        /// Part.
        part: u64,
        /// Crashes known of it.
        crashes: usize,
        /// Time until a trial is allowed.
        hold: Duration,
        /// Trials that failed before.
        failed_trials: u32,
        /// Whether a request of this gateway was in one of the crashes.
        is_own: bool,
    },
    /// An engine wrote an answer on the part.
    Released {
        /// Part.
        part: u64,
    },
    /// No request with the part came after the quarantine.
    Expired {
        /// Part.
        part: u64,
    },
}

/// Evidence on parts at one gateway, with that of the other gateways.
#[derive(Clone, Debug)]
pub struct PartQuarantine {
    settings: QuarantineSettings,
    /// Delay of this gateway's trials against those of the others.
    process_hash: u64,
    parts: SortedMap<u64, Suspect>,
    /// Last output of this gateway on recent parts.
    outputs: SortedMap<u64, Timestamp>,
    background: Background,
    changes: Vec<QuarantineChange>,
}

impl PartQuarantine {
    /// A quarantine without evidence, for the process with this name.
    pub fn new(settings: QuarantineSettings, process: &str) -> Self {
        let process_hash = hash_bytes(process.as_bytes());
        Self {
            settings,
            process_hash,
            parts: SortedMap::new(),
            outputs: SortedMap::new(),
            background: Background::default(),
            changes: Vec::new(),
        }
    }

    /// Records that the engine `target` ended while it began to answer the request with these parts.
    pub fn record_crash(&mut self, parts: &[u64], target: u32, now: Timestamp) {
        let crash = Crash { target, prompt: prompt_hash(parts), at: now };
        self.background.record_crash(crash);
        for part in self.shared_parts(parts).to_vec() {
            let settings = self.settings;
            let suspect = self.parts.get_or_insert_with(part, Suspect::default);
            suspect.add_crash(crash, settings.crash_gap);
            suspect.is_own = true;
            if let Some(hold) = suspect.hold.filter(|hold| hold.on_trial) {
                let failed_trials = hold.failed_trials.saturating_add(1);
                let length = hold_length(&settings, failed_trials);
                suspect.hold =
                    Some(Hold { since: now, until: now + length, failed_trials, on_trial: false });
                let crashes = suspect.crashes.len();
                self.changes.push(QuarantineChange::Begun {
                    part,
                    crashes,
                    hold: length,
                    failed_trials,
                    is_own: true,
                });
            }
        }
        self.evict();
    }

    /// Records that an engine wrote output for a request with these parts.
    pub fn record_output(&mut self, parts: &[u64], now: Timestamp) {
        self.background.record_output(now);
        for part in self.shared_parts(parts).to_vec() {
            self.outputs.insert(part, now);
            let Some(suspect) = self.parts.get_mut(&part) else { continue };
            suspect.own_cleared_at = Some(now);
            if suspect.clear(now, self.settings.report_delay) {
                self.changes.push(QuarantineChange::Released { part });
            }
        }
        if self.outputs.len() > self.settings.max_outputs {
            self.forget_older_outputs(now);
        }
    }

    /// Why a request with these parts must not be sent.
    pub fn refusal(&self, parts: &[u64], now: Timestamp) -> Option<Refusal> {
        if self.parts.is_empty() {
            return None;
        }
        let prompt = prompt_hash(parts);
        self.shared_parts(parts).iter().find_map(|part| {
            let suspect = self.parts.get(part)?;
            let until = match suspect.hold {
                Some(hold) => self.trial_time(*part, hold),
                None if suspect.crashes_by(prompt) >= MAX_CRASHES_BY_PROMPT => {
                    suspect.crashes.last()?.at + self.settings.trial_spread
                }
                None => return None,
            };
            (now < until).then(|| Refusal { part: *part, remaining: until.since(now) })
        })
    }

    /// Whether a request with these parts may be sent again after a crash: none of its parts was in a
    /// crash by another prompt.
    pub fn allows_retry(&self, parts: &[u64], now: Timestamp) -> bool {
        let prompt = prompt_hash(parts);
        self.refusal(parts, now).is_none()
            && self
                .shared_parts(parts)
                .iter()
                .filter_map(|part| self.parts.get(part))
                .all(|suspect| suspect.crashes.iter().all(|crash| crash.prompt == prompt))
    }

    /// Records that a request with these parts is sent; after a quarantine it is a trial.
    pub fn record_send(&mut self, parts: &[u64], now: Timestamp) {
        for part in self.shared_parts(parts).to_vec() {
            if let Some(hold) = self.parts.get_mut(&part).and_then(|suspect| suspect.hold.as_mut())
            {
                hold.on_trial = true;
                hold.until = now + self.settings.trial_spread;
            }
        }
    }

    /// Quarantines the parts that explain the crashes, and returns the evidence to report to the other
    /// gateways: quarantines, fresh outputs, then crashes.
    pub fn reports(&mut self, now: Timestamp) -> Vec<PartReport> {
        if self.parts.is_empty() {
            return Vec::new();
        }
        self.expire(now);
        self.judge(now);
        let report_delay = self.settings.report_delay;
        let mut reports: Vec<((bool, bool, usize), PartReport)> = self
            .parts
            .iter()
            .map(|(part, suspect)| {
                let cleared = suspect.own_cleared_at.is_some_and(|at| now.since(at) < report_delay);
                let strength = (suspect.hold.is_some(), cleared, suspect.crashes.len());
                (strength, report_of(*part, suspect, now))
            })
            .collect();
        reports.sort_by_key(|(strength, _)| Reverse(*strength));
        reports.truncate(self.settings.max_reported);
        reports.into_iter().map(|(_, report)| report).collect()
    }

    /// Evidence on a part in quarantine, for the store; none if it isn't in quarantine.
    pub fn held_report(&self, part: u64, now: Timestamp) -> Option<PartReport> {
        let suspect = self.parts.get(&part).filter(|suspect| suspect.hold.is_some())?;
        Some(report_of(part, suspect, now))
    }

    /// Applies the evidence of another gateway, or that from the store.
    pub fn apply_reports(&mut self, reports: &[PartReport], now: Timestamp) {
        let report_delay = self.settings.report_delay;
        for report in reports {
            let ago = |age_ms: u32| now - Duration::from_millis(u64::from(age_ms));
            let output = self.outputs.get(&report.part).copied();
            let suspect = self.parts.get_or_insert_with(report.part, || Suspect {
                cleared_at: output,
                own_cleared_at: output,
                ..Suspect::default()
            });
            for copy in &report.crashes {
                let at = ago(copy.age_ms);
                let crash = Crash { target: copy.target, prompt: copy.prompt, at };
                suspect.add_crash(crash, self.settings.crash_gap);
            }
            if let Some(copy) = report.hold {
                let since = ago(copy.age_ms);
                let until = now + Duration::from_millis(u64::from(copy.remaining_ms));
                let cleared =
                    suspect.cleared_at.is_some_and(|cleared| cleared + report_delay > since);
                let failed_trials = copy.failed_trials;
                let is_newer = suspect.hold.is_none_or(|hold| failed_trials > hold.failed_trials);
                if !cleared && is_newer && now < until {
                    suspect.hold = Some(Hold { since, until, failed_trials, on_trial: false });
                    self.changes.push(QuarantineChange::Begun {
                        part: report.part,
                        crashes: suspect.crashes.len(),
                        hold: until.since(now),
                        failed_trials,
                        is_own: false,
                    });
                }
            }
            if let Some(age_ms) = report.cleared_age_ms
                && suspect.clear(ago(age_ms), report_delay)
            {
                self.changes.push(QuarantineChange::Released { part: report.part });
            }
        }
        self.evict();
    }

    /// Parts in quarantine.
    pub fn held_parts(&self) -> Vec<u64> {
        let held = self.parts.iter().filter(|(_, suspect)| suspect.hold.is_some());
        held.map(|(part, _)| *part).collect()
    }

    /// Number of parts in quarantine.
    pub fn held(&self) -> usize {
        self.parts.values().filter(|suspect| suspect.hold.is_some()).count()
    }

    /// Number of parts with evidence.
    pub fn suspects(&self) -> usize {
        self.parts.len()
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.changes)
    }

    /// Quarantines the parts that explain the settled crashes.
    fn judge(&mut self, now: Timestamp) {
        let guilty: Vec<u64> = self
            .parts
            .iter()
            .filter(|(part, suspect)| {
                suspect.hold.is_none() && self.is_guilty(**part, suspect, now)
            })
            .map(|(part, _)| *part)
            .collect();
        let hold = hold_length(&self.settings, 0);
        for part in guilty {
            if let Some(suspect) = self.parts.get_mut(&part) {
                let until = now + hold;
                suspect.hold = Some(Hold { since: now, until, failed_trials: 0, on_trial: false });
                let crashes = suspect.crashes.len();
                self.changes.push(QuarantineChange::Begun {
                    part,
                    crashes,
                    hold,
                    failed_trials: 0,
                    is_own: suspect.is_own,
                });
            }
        }
    }

    fn is_guilty(&self, part: u64, suspect: &Suspect, now: Timestamp) -> bool {
        let settings = &self.settings;
        let gap = settings.crash_gap;
        let other_crashes = |at: Timestamp| {
            self.parts.values().flat_map(|other| &other.crashes).any(|crash| {
                !suspect.was_in(crash) && crash.at.since(at).max(at.since(crash.at)) < gap
            })
        };
        let weight = suspect.weight(gap, now - settings.settle_time, other_crashes);
        if weight < settings.min_crashes {
            return false;
        }
        let probability = self.background.crash_probability(suspect);
        let exponent = i32::try_from(weight).unwrap_or(i32::MAX);
        if probability.powi(exponent) > settings.false_positive {
            return false;
        }
        // A part that was in these crashes and in others explains them better.
        !self.parts.iter().any(|(other, theirs)| {
            *other != part && theirs.covers(suspect) && !suspect.covers(theirs)
        })
    }

    /// Drops the older half of the remembered outputs.
    fn forget_older_outputs(&mut self, now: Timestamp) {
        let mut ages: Vec<Duration> = self.outputs.values().map(|at| now.since(*at)).collect();
        let middle = ages.len() / 2;
        let (_, median, _) = ages.select_nth_unstable(middle);
        let median = *median;
        self.outputs.retain(|_, at| now.since(*at) < median);
    }

    fn expire(&mut self, now: Timestamp) {
        let oldest = now - self.settings.evidence_lifetime;
        let (forget_after, clear_reported) = (self.settings.max_hold, self.settings.clear_reported);
        let changes = &mut self.changes;
        self.parts.retain(|part, suspect| {
            suspect.expire(oldest);
            if let Some(hold) = suspect.hold
                && now.since(hold.until) > forget_after
            {
                suspect.hold = None;
                changes.push(QuarantineChange::Expired { part: *part });
            }
            let cleared_lately =
                suspect.own_cleared_at.is_some_and(|at| now.since(at) < clear_reported);
            suspect.hold.is_some() || !suspect.crashes.is_empty() || cleared_lately
        });
    }

    /// Drops the weakest evidence beyond the limit.
    fn evict(&mut self) {
        while self.suspects() > self.settings.max_parts {
            let weakest = self
                .parts
                .iter()
                .min_by_key(|(_, suspect)| {
                    let newest = suspect.crashes.last().map(|crash| crash.at);
                    (suspect.hold.is_some(), suspect.crashes.len(), newest)
                })
                .map(|(part, _)| *part);
            let Some(weakest) = weakest else { return };
            self.parts.remove(&weakest);
        }
    }

    /// When this gateway may send a trial.
    fn trial_time(&self, part: u64, hold: Hold) -> Timestamp {
        if hold.on_trial {
            return hold.until;
        }
        let spread_ms = u64::from(millis(self.settings.trial_spread)).max(1);
        let delay_ms = (self.process_hash ^ part) % spread_ms;
        hold.until + Duration::from_millis(delay_ms)
    }

    /// The parts that other requests may have too: all but the last.
    fn shared_parts<'a>(&self, parts: &'a [u64]) -> &'a [u64] {
        let shared = parts.len().saturating_sub(1).min(self.settings.max_parts_of_request);
        &parts[..shared]
    }
}

/// Length of a quarantine after this many failed trials.
fn hold_length(settings: &QuarantineSettings, failed_trials: u32) -> Duration {
    let factor = 2_u32.saturating_pow(failed_trials);
    settings.hold.saturating_mul(factor).min(settings.max_hold)
}

fn report_of(part: u64, suspect: &Suspect, now: Timestamp) -> PartReport {
    let age_ms = |at: Timestamp| millis(now.since(at));
    let crashes = suspect.crashes.iter().map(|crash| CrashCopy {
        target: crash.target,
        prompt: crash.prompt,
        age_ms: age_ms(crash.at),
    });
    PartReport {
        part,
        crashes: crashes.collect(),
        cleared_age_ms: suspect.own_cleared_at.map(age_ms),
        hold: suspect.hold.map(|hold| HoldCopy {
            age_ms: age_ms(hold.since),
            remaining_ms: millis(hold.until.since(now)),
            failed_trials: hold.failed_trials,
        }),
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn prompt_hash(parts: &[u64]) -> u32 {
    let bytes: Vec<u8> = parts.iter().flat_map(|part| part.to_le_bytes()).collect();
    base::short_hash(&bytes)
}
