//! Evidence on requests and prompt parts that end targets, in the state of a gateway and on the store.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What may be held responsible for a crash.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Subject {
    /// Part of a prompt, by its id.
    Part(u64),
    /// Whole request, by the digest that its repetitions share.
    Request(u64),
}

impl Subject {
    /// Id or digest.
    pub const fn value(self) -> u64 {
        match self {
            Self::Part(value) | Self::Request(value) => value,
        }
    }

    /// Whether both are parts, or both requests.
    pub const fn is_same_kind(self, other: Self) -> bool {
        matches!(
            (self, other),
            (Self::Part(_), Self::Part(_)) | (Self::Request(_), Self::Request(_))
        )
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(id) => write!(formatter, "part-{id:x}"),
            Self::Request(digest) => write!(formatter, "request-{digest:x}"),
        }
    }
}

/// Evidence on one subject.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SubjectReport {
    /// Subject.
    pub subject: Subject,
    /// Crashes of targets that ran a request with it.
    pub crashes: Vec<CrashCopy>,
    /// Time since a target last wrote output on it for the reporting gateway, in milliseconds.
    pub cleared_age_ms: Option<u32>,
    /// Its quarantine.
    pub hold: Option<HoldCopy>,
}

/// Evidence on a subject in quarantine, as the store keeps it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredSubject {
    /// The evidence when it was stored.
    pub report: SubjectReport,
    /// Unix time of the writer then, in milliseconds.
    pub stored_unix_ms: u64,
}

impl SubjectReport {
    /// Adds the time that the report was under way to its ages.
    pub fn add_age(&mut self, elapsed_ms: u32) {
        for crash in &mut self.crashes {
            crash.age_ms = crash.age_ms.saturating_add(elapsed_ms);
        }
        if let Some(age_ms) = &mut self.cleared_age_ms {
            *age_ms = age_ms.saturating_add(elapsed_ms);
        }
        if let Some(hold) = &mut self.hold {
            hold.age_ms = hold.age_ms.saturating_add(elapsed_ms);
            hold.remaining_ms = hold.remaining_ms.saturating_sub(elapsed_ms);
        }
    }
}

impl StoredSubject {
    /// The evidence with its ages at `unix_ms`.
    pub fn report_at(mut self, unix_ms: u64) -> SubjectReport {
        let elapsed_ms = unix_ms.saturating_sub(self.stored_unix_ms);
        self.report.add_age(u32::try_from(elapsed_ms).unwrap_or(u32::MAX));
        // Another process's outputs are not this one's.
        self.report.cleared_age_ms = None;
        self.report
    }
}

/// A crash of a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashCopy {
    /// Short hash of the id of the target's life.
    pub target: u32,
    /// Short hash of the target's service.
    pub service: u32,
    /// Short hash of the prompt.
    pub prompt: u32,
    /// Short hash of the name of the gateway that saw it.
    pub reporter: u32,
    /// Whether the target had sent the head of a response to the request.
    pub has_head: bool,
    /// Time since it was seen, in milliseconds.
    pub age_ms: u32,
}

/// A quarantine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HoldCopy {
    /// Time since it began, in milliseconds.
    pub age_ms: u32,
    /// Time until a trial is allowed, in milliseconds.
    pub remaining_ms: u32,
    /// Trials that failed before.
    pub failed_trials: u32,
    /// Parts without which requests are not refused, in order.
    pub companions: Vec<u64>,
}
