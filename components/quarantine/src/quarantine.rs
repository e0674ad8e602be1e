//! Subjects under suspicion and in quarantine, as one gateway knows them: parts of prompts, and whole
//! requests.
//!
//! Evidence against a subject is a crash of a target that ran a request with it and had written nothing.
//! An output on the subject at any target after the crash clears it. The gateways report their evidence
//! to each other; it is a set, so that late, lost and repeated reports do no harm.

use std::cmp::Reverse;
use std::time::Duration;

use base::{SortedMap, Timestamp, hash_bytes};
use wire::{CrashCopy, Subject, SubjectReport};

use crate::background::Background;
use crate::crash::Crash;
use crate::hold::Hold;
use crate::part_judgement::{companions, counts_against, explained_headless_crashes};
use crate::quarantine_change::QuarantineChange;
use crate::refusal::Refusal;
use crate::request_subjects::RequestSubjects;
use crate::settings::QuarantineSettings;
use crate::suspect::{Suspect, whole_millis};

/// Crashes by the same prompt after which it is refused for a while.
const MAX_CRASHES_BY_PROMPT: usize = 2;

/// Time after which other parts of those that take turns are reported: a round of reports.
const ROTATION_MICROS: u64 = 100_000;

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
        let parts = subjects.shared_parts(settings.max_parts_of_request);
        for subject in subjects.iter(settings.max_parts_of_request) {
            let output = self.outputs.get(&subject).copied();
            let suspect =
                self.suspects.get_or_insert_with(subject, || Suspect::new(subject, output));
            suspect.add_crash(crash, settings.crash_gap);
            suspect.is_own = true;
            let crashes = suspect.all_crashes().count();
            let hold = suspect.hold.as_mut().filter(|hold| hold.on_trial && hold.covers(parts));
            if let Some(hold) = hold {
                let failed_trials = hold.failed_trials.saturating_add(1);
                let length = hold_length(&settings, failed_trials);
                (hold.since, hold.until) = (now, now + length);
                (hold.failed_trials, hold.on_trial) = (failed_trials, false);
                self.changes.push(QuarantineChange::Begun {
                    subject,
                    companions: hold.companions.clone(),
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
        self.clear_companions(subjects.shared_parts(self.settings.max_parts_of_request), now);
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
        let parts = subjects.shared_parts(self.settings.max_parts_of_request);
        subjects.iter(self.settings.max_parts_of_request).find_map(|subject| {
            let suspect = self.suspects.get(&subject)?;
            let hold = suspect.hold.as_ref().filter(|hold| hold.covers(parts));
            let until = match (hold, subject) {
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
        let parts = subjects.shared_parts(self.settings.max_parts_of_request);
        for subject in subjects.iter(self.settings.max_parts_of_request) {
            let hold = self.suspects.get_mut(&subject).and_then(|suspect| suspect.hold.as_mut());
            if let Some(hold) = hold.filter(|hold| hold.covers(parts)) {
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
            .map(|(_, suspect)| suspect.report(now))
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
        Some(suspect.report(now))
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
            if let Some(copy) = &report.hold {
                let since = ago(copy.age_ms);
                let until = now + Duration::from_millis(u64::from(copy.remaining_ms));
                let cleared =
                    suspect.cleared_at.is_some_and(|cleared| cleared + report_delay > since);
                if !cleared && now < until {
                    let change = suspect.adopt_hold(copy, since, until, now);
                    self.changes.extend(change);
                }
            }
            let Some(cleared_at) = report.cleared_age_ms.map(ago) else { continue };
            if suspect.clear(cleared_at, report_delay) {
                self.changes.push(QuarantineChange::Released { subject });
            }
            if let Subject::Part(part) = subject {
                self.clear_companions(&[part], cleared_at);
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

    /// Quarantines the subjects that explain the settled crashes, the likeliest first.
    fn judge(&mut self, now: Timestamp) {
        let mut guilty: Vec<_> = self
            .suspects
            .values()
            .filter(|suspect| suspect.hold.is_none())
            .filter_map(|suspect| {
                let crashes = self.explained_crashes(suspect, now)?;
                let companions = match suspect.subject {
                    Subject::Part(_) => companions(suspect, &crashes, &self.suspects),
                    Subject::Request(_) => Vec::new(),
                };
                let rank = (suspect.cleared_at.is_some(), Reverse(crashes.len()), suspect.subject);
                Some((rank, companions))
            })
            .collect();
        guilty.sort_unstable();
        for ((is_answered, _, subject), companions) in guilty {
            if self.is_refused_already(subject, &companions) {
                continue;
            }
            let hold = match subject {
                Subject::Part(_) if is_answered => self.settings.answered_part_hold,
                Subject::Part(_) | Subject::Request(_) => hold_length(&self.settings, 0),
            };
            if let Some(suspect) = self.suspects.get_mut(&subject) {
                suspect.hold = Some(Hold {
                    since: now,
                    until: now + hold,
                    failed_trials: 0,
                    on_trial: false,
                    companions: companions.clone(),
                });
                let crashes = suspect.all_crashes().count();
                self.changes.push(QuarantineChange::Begun {
                    subject,
                    companions,
                    crashes,
                    hold,
                    failed_trials: 0,
                    is_own: suspect.is_own,
                });
            }
        }
        self.narrow(now);
    }

    /// Whether another quarantine refuses all requests with the subject and its companions.
    fn is_refused_already(&self, subject: Subject, companions: &[u64]) -> bool {
        let is_in = |part: &u64| *part == subject.value() || companions.contains(part);
        companions.iter().any(|part| {
            let other = self.suspects.get(&Subject::Part(*part));
            let hold = other.and_then(|other| other.hold.as_ref());
            hold.is_some_and(|hold| hold.companions.iter().all(is_in))
        })
    }

    /// Drops the companions that were not in each crash of the subject after its quarantine began.
    fn narrow(&mut self, now: Timestamp) {
        let settle_time = self.settings.settle_time;
        let mut narrowed: Vec<(Subject, Vec<u64>)> = Vec::new();
        for suspect in self.suspects.values() {
            let Some(hold) = suspect.hold.as_ref().filter(|hold| !hold.companions.is_empty())
            else {
                continue;
            };
            let is_new = |crash: &&Crash| {
                let settled_at = crash.at + settle_time;
                settled_at > hold.since
                    && settled_at <= now
                    && counts_against(suspect, crash, &self.suspects)
            };
            let crashes: Vec<&Crash> = suspect.all_crashes().filter(is_new).collect();
            let was_in_all = |part: &u64| {
                // Without evidence on a companion nothing tells whether it was there.
                self.suspects.get(&Subject::Part(*part)).is_none_or(|other| {
                    crashes.iter().all(|crash| suspect.were_together(other, crash.target))
                })
            };
            let kept: Vec<u64> = hold.companions.iter().copied().filter(was_in_all).collect();
            if kept.len() < hold.companions.len() {
                narrowed.push((suspect.subject, kept));
            }
        }
        for (subject, kept) in narrowed {
            if let Some(suspect) = self.suspects.get_mut(&subject) {
                let change = suspect.narrow_hold(|part| kept.contains(&part));
                self.changes.extend(change);
            }
        }
    }

    /// Drops these parts, on which a target wrote output at `at`, from the companions of subjects that were
    /// in no crash since.
    fn clear_companions(&mut self, parts: &[u64], at: Timestamp) {
        let has_companions = |suspect: &&mut Suspect| {
            suspect.hold.as_ref().is_some_and(|hold| !hold.companions.is_empty())
        };
        for suspect in self.suspects.values_mut().filter(has_companions) {
            if suspect.all_crashes().all(|crash| crash.at < at) {
                let change = suspect.narrow_hold(|part| !parts.contains(&part));
                self.changes.extend(change);
            }
        }
    }

    /// The crashes by which a subject is to be quarantined, if it is.
    fn explained_crashes(&self, suspect: &Suspect, now: Timestamp) -> Option<Vec<Crash>> {
        self.explained_headed_crashes(suspect, now).or_else(|| {
            let Self { suspects, background, settings, .. } = self;
            explained_headless_crashes(suspect, suspects, background, settings, now)
        })
    }

    /// The same for crashes of targets that had sent the head of a response, and for whole requests.
    fn explained_headed_crashes(&self, suspect: &Suspect, now: Timestamp) -> Option<Vec<Crash>> {
        let settings = &self.settings;
        if suspect.crashes.len() < settings.min_crashes {
            return None;
        }
        let subject = suspect.subject;
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
        // A popular part is at many targets that end together, but it had answers.
        let was_there = |crash: &Crash| match is_answered {
            true => suspect.was_in(crash),
            false => suspect.had_head_at(crash.target),
        };
        let other_crashes = |at: Timestamp| {
            rivals()
                .flat_map(|other| &other.crashes)
                .any(|crash| !was_there(crash) && crash.at.since(at).max(at.since(crash.at)) < gap)
        };
        let (settle_time, false_positive) = match (subject, is_answered) {
            (Subject::Part(_), _) => (settings.settle_time, settings.false_positive),
            (Subject::Request(_), true) => (settings.settle_time, settings.request_false_positive),
            (Subject::Request(_), false) => {
                (settings.request_settle_time, settings.request_false_positive)
            }
        };
        let settled = now - settle_time;
        let is_evidence = |crash: &&Crash| {
            crash.at <= settled && (is_request || counts_against(suspect, crash, &self.suspects))
        };
        let crashes: Vec<Crash> = suspect.crashes.iter().filter(is_evidence).copied().collect();
        let weight = match is_request {
            true => suspect.weight_of_request(settings, settled),
            false => Suspect::weight_of_part(&crashes, gap, other_crashes),
        };
        if weight < settings.min_crashes {
            return None;
        }
        let is_explained = |crash: &Crash| {
            self.suspects.values().any(|other| other.hold.is_some() && other.was_in(crash))
        };
        let probability = self.background.crash_probability(suspect, is_explained);
        let exponent = i32::try_from(weight).unwrap_or(i32::MAX);
        if probability.powi(exponent) > false_positive {
            return None;
        }
        // A request that was in these crashes and in others explains them better. Of parts, those that
        // crashes don't tell apart are companions.
        if is_request && rivals().any(|theirs| theirs.covers(suspect) && !suspect.covers(theirs)) {
            return None;
        }
        let answered = if is_request && is_answered { settings.answered_crashes } else { 0 };
        let is_ambiguous = is_request && rivals().any(|theirs| theirs.covers(suspect));
        let ambiguous = if is_ambiguous { settings.ambiguous_crashes } else { 0 };
        (weight >= settings.min_crashes + answered + ambiguous).then_some(crashes)
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
            if let Some(hold) = &suspect.hold
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
    fn trial_time(&self, subject: Subject, hold: &Hold) -> Timestamp {
        if hold.on_trial {
            return hold.until;
        }
        let spread_ms = u64::from(whole_millis(self.settings.trial_spread)).max(1);
        let delay_ms = (self.process_hash ^ subject.value()) % spread_ms;
        hold.until + Duration::from_millis(delay_ms)
    }
}

/// Length of a quarantine after this many failed trials.
fn hold_length(settings: &QuarantineSettings, failed_trials: u32) -> Duration {
    let factor = 2_u32.saturating_pow(failed_trials);
    settings.hold.saturating_mul(factor).min(settings.max_hold)
}
