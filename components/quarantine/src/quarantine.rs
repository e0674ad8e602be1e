//! Subjects under suspicion and in quarantine, as one gateway knows them: parts of prompts, and whole
//! requests.
//!
//! Evidence against a subject is a crash of a target that ran a request with it and had written nothing.
//! An output on the subject at any target after the crash clears it. The gateways report their evidence
//! to each other; it is a set, so that late, lost and repeated reports do no harm.

use std::cmp::Reverse;
use std::time::Duration;

use base::{SortedMap, Timestamp, hash_bytes};
use wire::{CrashCopy, HoldCopy, Subject, SubjectReport};

use crate::background::Background;
use crate::crash::Crash;
use crate::hold::Hold;
use crate::part_judgement::explains_crashes;
use crate::request_subjects::RequestSubjects;
use crate::settings::QuarantineSettings;
use crate::suspect::Suspect;

/// Crashes by the same prompt after which it is refused for a while.
const MAX_CRASHES_BY_PROMPT: usize = 2;

/// Time after which other parts of those that take turns are reported: a round of reports.
const ROTATION_MICROS: u64 = 100_000;

/// A request that must not be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Subject in quarantine.
    pub subject: Subject,
    /// Time until a trial is allowed.
    pub remaining: Duration,
}

/// A quarantine that has begun or ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineChange {
    /// The subject is in quarantine.
    Begun {
        /// Subject.
        subject: Subject,
        /// Crashes known of it.
        crashes: usize,
        /// Time until a trial is allowed.
        hold: Duration,
        /// Trials that failed before.
        failed_trials: u32,
        /// Whether a request of this gateway was in one of the crashes.
        is_own: bool,
    },
    /// A target wrote an answer on the subject.
    Released {
        /// Subject.
        subject: Subject,
    },
    /// No request with the subject came after the quarantine.
    Expired {
        /// Subject.
        subject: Subject,
    },
}

/// Evidence on subjects at one gateway, with that of the other gateways.
#[derive(Clone, Debug)]
pub struct Quarantine {
    settings: QuarantineSettings,
    /// Delay of this gateway's trials against those of the others.
    process_hash: u64,
    suspects: SortedMap<Subject, Suspect>,
    /// Last output of this gateway on recent subjects.
    outputs: SortedMap<Subject, Timestamp>,
    background: Background,
    changes: Vec<QuarantineChange>,
}

impl Quarantine {
    /// A quarantine without evidence, for the process with this name.
    pub fn new(settings: QuarantineSettings, process: &str) -> Self {
        let process_hash = hash_bytes(process.as_bytes());
        Self {
            settings,
            process_hash,
            suspects: SortedMap::new(),
            outputs: SortedMap::new(),
            background: Background::default(),
            changes: Vec::new(),
        }
    }

    /// Records that `target` ended after it had sent the head of a response to the request with these
    /// subjects.
    pub fn record_crash(&mut self, subjects: &RequestSubjects<'_>, target: u32, now: Timestamp) {
        self.record_end(subjects, target, true, now);
    }

    /// Records that `target` ended before it had sent the head of a response to the request with these
    /// subjects. It may have held many such requests, so that this is weaker evidence against parts.
    pub fn record_crash_before_head(
        &mut self,
        subjects: &RequestSubjects<'_>,
        target: u32,
        now: Timestamp,
    ) {
        self.record_end(subjects, target, false, now);
    }

    fn record_end(
        &mut self,
        subjects: &RequestSubjects<'_>,
        target: u32,
        has_head: bool,
        now: Timestamp,
    ) {
        let settings = self.settings;
        let reporter = (self.process_hash >> 32) as u32;
        let (prompt, service) = (subjects.prompt_hash(), subjects.service);
        let crash = Crash { target, service, prompt, reporter, has_head, at: now };
        self.background.record_crash(crash, has_head && !subjects.parts.is_empty());
        for subject in subjects.iter(settings.max_parts_of_request) {
            let output = self.outputs.get(&subject).copied();
            let suspect =
                self.suspects.get_or_insert_with(subject, || Suspect::new(subject, output));
            suspect.add_crash(crash, settings.crash_gap);
            suspect.is_own = true;
            if let Some(hold) = suspect.hold.filter(|hold| hold.on_trial) {
                let failed_trials = hold.failed_trials.saturating_add(1);
                let length = hold_length(&settings, failed_trials);
                suspect.hold =
                    Some(Hold { since: now, until: now + length, failed_trials, on_trial: false });
                let crashes = suspect.all_crashes().count();
                self.changes.push(QuarantineChange::Begun {
                    subject,
                    crashes,
                    hold: length,
                    failed_trials,
                    is_own: true,
                });
            }
        }
        self.evict();
    }

    /// Records that a target wrote output for the request with these subjects.
    pub fn record_output(&mut self, subjects: &RequestSubjects<'_>, now: Timestamp) {
        self.background.record_output(subjects.service, now);
        for subject in subjects.iter(self.settings.max_parts_of_request) {
            self.outputs.insert(subject, now);
            let Some(suspect) = self.suspects.get_mut(&subject) else { continue };
            suspect.own_cleared_at = Some(now);
            if suspect.clear(now, self.settings.report_delay) {
                self.changes.push(QuarantineChange::Released { subject });
            }
        }
        if self.outputs.len() > self.settings.max_outputs {
            self.forget_older_outputs(now);
        }
    }

    /// Why a request with these subjects must not be sent.
    pub fn refusal(&self, subjects: &RequestSubjects<'_>, now: Timestamp) -> Option<Refusal> {
        if self.suspects.is_empty() {
            return None;
        }
        let prompt = subjects.prompt_hash();
        subjects.iter(self.settings.max_parts_of_request).find_map(|subject| {
            let suspect = self.suspects.get(&subject)?;
            let until = match (suspect.hold, subject) {
                (Some(hold), _) => self.trial_time(subject, hold),
                (None, Subject::Part(_)) => {
                    let gap = self.settings.crash_gap;
                    let repeated_at = suspect.repeated_at(prompt, MAX_CRASHES_BY_PROMPT, gap)?;
                    repeated_at + self.settings.trial_spread
                }
                (None, Subject::Request(_)) => return None,
            };
            (now < until).then(|| Refusal { subject, remaining: until.since(now) })
        })
    }

    /// Whether a request with these subjects may be sent again after a crash: the same request was in
    /// no other crash, and none of its parts was in crashes by other prompts that speak against it.
    pub fn allows_retry(&self, subjects: &RequestSubjects<'_>, now: Timestamp) -> bool {
        let prompt = subjects.prompt_hash();
        self.refusal(subjects, now).is_none()
            && subjects.iter(self.settings.max_parts_of_request).all(|subject| {
                let Some(suspect) = self.suspects.get(&subject) else { return true };
                match subject {
                    Subject::Part(_) => !suspect.discourages_retry(prompt, self.settings.crash_gap),
                    Subject::Request(_) => {
                        let first = suspect.crashes.first().map(|crash| crash.target);
                        suspect.crashes.iter().all(|crash| Some(crash.target) == first)
                    }
                }
            })
    }

    /// Records that a request with these subjects is sent; after a quarantine it is a trial.
    pub fn record_send(&mut self, subjects: &RequestSubjects<'_>, now: Timestamp) {
        for subject in subjects.iter(self.settings.max_parts_of_request) {
            let suspect = self.suspects.get_mut(&subject);
            if let Some(hold) = suspect.and_then(|suspect| suspect.hold.as_mut()) {
                hold.on_trial = true;
                hold.until = now + self.settings.trial_spread;
            }
        }
    }

    /// Quarantines the subjects that explain the crashes, and returns the evidence to report to the
    /// other gateways: quarantines, fresh outputs, then crashes, of equally many the newest first.
    pub fn reports(&mut self, now: Timestamp) -> Vec<SubjectReport> {
        if self.suspects.is_empty() {
            return Vec::new();
        }
        self.expire(now);
        self.judge(now);
        let settings = &self.settings;
        let mut due: Vec<_> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| !suspect.is_headless())
            .filter_map(|(subject, suspect)| {
                let age = |at: Timestamp| now.since(at);
                let cleared =
                    suspect.own_cleared_at.is_some_and(|at| age(at) < settings.report_delay);
                let newest = suspect.crashes.last().map(|crash| crash.at);
                let is_due = suspect.hold.is_some()
                    || suspect.crashes.len() != 1
                    || newest.is_some_and(|at| age(at) < settings.single_crash_reported);
                // A crash names one part for many requests that were beside it.
                let is_part = matches!(subject, Subject::Part(_));
                let strength =
                    (suspect.hold.is_some(), cleared, suspect.crashes.len(), is_part, newest);
                is_due.then_some((strength, *subject, suspect))
            })
            .collect();
        due.sort_by_key(|(strength, ..)| Reverse(*strength));
        due.truncate(settings.max_reported.saturating_sub(settings.max_headless_reported));
        due.into_iter()
            .map(|(_, subject, suspect)| (subject, suspect))
            .chain(self.due_headless(now))
            .map(|(subject, suspect)| report_of(subject, suspect, now))
            .collect()
    }

    /// Parts to report that were only in crashes of targets that had sent no head. Those that were in
    /// crashes of several targets come first; the others, which may be many, take turns.
    fn due_headless(&self, now: Timestamp) -> Vec<(Subject, &Suspect)> {
        let settings = &self.settings;
        let round = now.micros / ROTATION_MICROS;
        let mut due: Vec<_> = self
            .suspects
            .iter()
            .filter_map(|(subject, suspect)| {
                let targets = suspect.part_crashes.target_count();
                let newest = suspect.part_crashes.as_slice().last().map(|crash| crash.at);
                let is_due = targets != 1
                    || newest.is_some_and(|at| now.since(at) < settings.single_crash_reported);
                let turn = hash_bytes(&(subject.value() ^ round).to_le_bytes());
                let rank = (targets.max(1), turn);
                (suspect.is_headless() && is_due).then_some((rank, *subject, suspect))
            })
            .collect();
        due.sort_by_key(|(rank, ..)| Reverse(*rank));
        due.truncate(settings.max_headless_reported);
        due.into_iter().map(|(_, subject, suspect)| (subject, suspect)).collect()
    }

    /// Evidence on a subject in quarantine, for the store; none if it isn't in quarantine.
    pub fn held_report(&self, subject: Subject, now: Timestamp) -> Option<SubjectReport> {
        let suspect = self.suspects.get(&subject).filter(|suspect| suspect.hold.is_some())?;
        Some(report_of(subject, suspect, now))
    }

    /// Applies the evidence of another gateway, or that from the store.
    pub fn apply_reports(&mut self, reports: &[SubjectReport], now: Timestamp) {
        let report_delay = self.settings.report_delay;
        for report in reports {
            let subject = report.subject;
            let ago = |age_ms: u32| now - Duration::from_millis(u64::from(age_ms));
            let output = self.outputs.get(&subject).copied();
            let suspect =
                self.suspects.get_or_insert_with(subject, || Suspect::new(subject, output));
            for copy in &report.crashes {
                let CrashCopy { target, service, prompt, reporter, has_head, age_ms } = *copy;
                let crash = Crash { target, service, prompt, reporter, has_head, at: ago(age_ms) };
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
                        subject,
                        crashes: suspect.all_crashes().count(),
                        hold: until.since(now),
                        failed_trials,
                        is_own: false,
                    });
                }
            }
            if let Some(age_ms) = report.cleared_age_ms
                && suspect.clear(ago(age_ms), report_delay)
            {
                self.changes.push(QuarantineChange::Released { subject });
            }
        }
        self.evict();
    }

    /// Subjects in quarantine.
    pub fn held_subjects(&self) -> impl Iterator<Item = Subject> {
        self.suspects
            .iter()
            .filter(|(_, suspect)| suspect.hold.is_some())
            .map(|(subject, _)| *subject)
    }

    /// Number of subjects with evidence.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.changes)
    }

    /// Quarantines the subjects that explain the settled crashes.
    fn judge(&mut self, now: Timestamp) {
        let guilty: Vec<Subject> = self
            .suspects
            .iter()
            .filter(|(subject, suspect)| {
                suspect.hold.is_none()
                    && (self.is_guilty(**subject, suspect, now)
                        || explains_crashes(
                            suspect,
                            &self.suspects,
                            &self.background,
                            &self.settings,
                            now,
                        ))
            })
            .map(|(subject, _)| *subject)
            .collect();
        let hold = hold_length(&self.settings, 0);
        for subject in guilty {
            if let Some(suspect) = self.suspects.get_mut(&subject) {
                let until = now + hold;
                suspect.hold = Some(Hold { since: now, until, failed_trials: 0, on_trial: false });
                let crashes = suspect.all_crashes().count();
                self.changes.push(QuarantineChange::Begun {
                    subject,
                    crashes,
                    hold,
                    failed_trials: 0,
                    is_own: suspect.is_own,
                });
            }
        }
    }

    fn is_guilty(&self, subject: Subject, suspect: &Suspect, now: Timestamp) -> bool {
        let settings = &self.settings;
        if suspect.crashes.len() < settings.min_crashes {
            return false;
        }
        let gap = settings.crash_gap;
        let is_request = matches!(subject, Subject::Request(_));
        let is_answered = suspect.cleared_at.is_some();
        // A request that was answered before explains crashes less well than one that never was.
        let rivals = || {
            self.suspects
                .iter()
                .filter(|(other, _)| **other != subject && other.is_same_kind(subject))
                .map(|(_, theirs)| theirs)
                .filter(|theirs| !is_request || is_answered || theirs.cleared_at.is_none())
        };
        let other_crashes = |at: Timestamp| {
            rivals().flat_map(|other| &other.crashes).any(|crash| {
                !suspect.was_in(crash) && crash.at.since(at).max(at.since(crash.at)) < gap
            })
        };
        let (settle_time, false_positive) = match (subject, is_answered) {
            (Subject::Part(_), _) => (settings.settle_time, settings.false_positive),
            (Subject::Request(_), true) => (settings.settle_time, settings.request_false_positive),
            (Subject::Request(_), false) => {
                (settings.request_settle_time, settings.request_false_positive)
            }
        };
        let weight = suspect.weight(settings, now - settle_time, other_crashes);
        if weight < settings.min_crashes {
            return false;
        }
        let is_explained = |crash: &Crash| {
            self.suspects.values().any(|other| other.hold.is_some() && other.was_in(crash))
        };
        let probability = self.background.crash_probability(suspect, is_explained);
        let exponent = i32::try_from(weight).unwrap_or(i32::MAX);
        if probability.powi(exponent) > false_positive {
            return false;
        }
        // A subject that was in these crashes and in others explains them better.
        if rivals().any(|theirs| theirs.covers(suspect) && !suspect.covers(theirs)) {
            return false;
        }
        let answered = if is_request && is_answered { settings.answered_crashes } else { 0 };
        // Parts that always come together can't be told apart by further crashes.
        let is_ambiguous = is_request && rivals().any(|theirs| theirs.covers(suspect));
        let ambiguous = if is_ambiguous { settings.ambiguous_crashes } else { 0 };
        weight >= settings.min_crashes + answered + ambiguous
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
        self.suspects.retain(|subject, suspect| {
            suspect.expire(oldest);
            if let Some(hold) = suspect.hold
                && now.since(hold.until) > forget_after
            {
                suspect.hold = None;
                changes.push(QuarantineChange::Expired { subject: *subject });
            }
            let cleared_lately =
                suspect.own_cleared_at.is_some_and(|at| now.since(at) < clear_reported);
            suspect.hold.is_some() || suspect.has_crashes() || cleared_lately
        });
    }

    /// Drops the weakest evidence beyond the limits. The parts of all requests that were at a target without
    /// a head have a limit of their own, so that they and the other evidence don't displace each other.
    fn evict(&mut self) {
        let QuarantineSettings { max_subjects, max_headless_parts, .. } = self.settings;
        let limits = [max_subjects.saturating_sub(max_headless_parts), max_headless_parts];
        for (is_headless, limit) in [false, true].into_iter().zip(limits) {
            let of_kind = |suspect: &Suspect| suspect.is_headless() == is_headless;
            while self.suspects.values().filter(|suspect| of_kind(suspect)).count() > limit {
                let weakest = self
                    .suspects
                    .iter()
                    .filter(|(_, suspect)| of_kind(suspect))
                    .min_by_key(|(_, suspect)| suspect.strength())
                    .map(|(subject, _)| *subject);
                let Some(weakest) = weakest else { break };
                self.suspects.remove(&weakest);
            }
        }
    }

    /// When this gateway may send a trial.
    fn trial_time(&self, subject: Subject, hold: Hold) -> Timestamp {
        if hold.on_trial {
            return hold.until;
        }
        let spread_ms = u64::from(millis(self.settings.trial_spread)).max(1);
        let delay_ms = (self.process_hash ^ subject.value()) % spread_ms;
        hold.until + Duration::from_millis(delay_ms)
    }
}

/// Length of a quarantine after this many failed trials.
fn hold_length(settings: &QuarantineSettings, failed_trials: u32) -> Duration {
    let factor = 2_u32.saturating_pow(failed_trials);
    settings.hold.saturating_mul(factor).min(settings.max_hold)
}

fn report_of(subject: Subject, suspect: &Suspect, now: Timestamp) -> SubjectReport {
    let age_ms = |at: Timestamp| millis(now.since(at));
    let crashes = suspect.all_crashes().map(|crash| CrashCopy {
        target: crash.target,
        service: crash.service,
        prompt: crash.prompt,
        reporter: crash.reporter,
        has_head: crash.has_head,
        age_ms: age_ms(crash.at),
    });
    SubjectReport {
        subject,
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
