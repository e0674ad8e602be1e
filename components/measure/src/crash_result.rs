//! What a run of a crash scenario counts.

/// Share of the sound requests that must begin during the disruption, of the share at other times.
const MIN_SHARE: f64 = 0.5;
/// Fewest sound requests of each period for a verdict.
const MIN_REQUESTS: u32 = 20;
/// Most requests with a deadly part after the time allowed.
const MAX_LATE_SENDS: usize = 3;

/// Sound requests of a period.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SoundRequests {
    /// All that came.
    pub all: u32,
    /// Those that had output.
    pub begun: u32,
}

/// Figures of one run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CrashResult {
    /// Sound requests before the first request with a deadly part.
    pub before: SoundRequests,
    /// Sound requests from the time after the crashes by which the fleet must have settled.
    pub during: SoundRequests,
    /// Sound requests that a quarantine refused.
    pub sound_refused: u32,
    /// Whether requests with sound parts alone were refused at some time.
    pub is_sound_held: bool,
    /// Of each deadly part, the requests that were sent later than allowed.
    pub late_sends: Vec<usize>,
    /// Of each deadly part, the crashes.
    pub crashes: Vec<usize>,
}

impl CrashResult {
    /// Whether enough sound requests came to judge them.
    pub const fn is_judged(&self) -> bool {
        self.during.all >= MIN_REQUESTS && self.before.all >= MIN_REQUESTS
    }

    /// Whether sound requests began less than half as often as before.
    pub fn loses_sound_requests(&self) -> bool {
        let share = |requests: SoundRequests| f64::from(requests.begun) / f64::from(requests.all);
        self.is_judged() && share(self.during) < MIN_SHARE * share(self.before)
    }

    /// Whether more requests with one deadly part were sent than allowed.
    pub fn exceeds_sends(&self) -> bool {
        self.late_sends.iter().any(|sends| *sends > MAX_LATE_SENDS)
    }
}
