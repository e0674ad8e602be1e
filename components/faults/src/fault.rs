//! Faults and the steps at which they strike.

use std::fmt;

/// What goes wrong at a step.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Fault {
    /// The message is lost.
    Lost,
    /// The message arrives twice, the second time after a timeout of its sender.
    Duplicated,
    /// The message arrives after a timeout of its sender.
    Delayed,
    /// Messages that were sent later overtake it.
    Reordered,
    /// The message has its effect and the answer to it is lost.
    AnswerLost,
    /// The sender dies instead of sending.
    SenderDiesBefore,
    /// The sender dies once the message is sent.
    SenderDiesAfter,
    /// The receiver dies before the message has an effect.
    ReceiverDiesBefore,
    /// The receiver dies once the message has had its effect.
    ReceiverDiesAfter,
    /// The sender stands still past every validity, with the message in its hand.
    SenderPaused,
    /// The log is unavailable from this step on, for a while.
    LogDown,
    /// The log's next answer to an append is lost.
    LogAnswerLost,
    /// The regions lose contact with each other from this step on, for a while.
    RegionCut,
}

impl Fault {
    /// Every fault.
    pub const ALL: [Self; 13] = [
        Self::Lost,
        Self::Duplicated,
        Self::Delayed,
        Self::Reordered,
        Self::AnswerLost,
        Self::SenderDiesBefore,
        Self::SenderDiesAfter,
        Self::ReceiverDiesBefore,
        Self::ReceiverDiesAfter,
        Self::SenderPaused,
        Self::LogDown,
        Self::LogAnswerLost,
        Self::RegionCut,
    ];

    /// Short title of the fault's column.
    pub const fn title(self) -> &'static str {
        match self {
            Self::Lost => "lost",
            Self::Duplicated => "dup",
            Self::Delayed => "delayed",
            Self::Reordered => "reord",
            Self::AnswerLost => "answer lost",
            Self::SenderDiesBefore => "s dies before",
            Self::SenderDiesAfter => "s dies after",
            Self::ReceiverDiesBefore => "r dies before",
            Self::ReceiverDiesAfter => "r dies after",
            Self::SenderPaused => "s paused",
            Self::LogDown => "log down",
            Self::LogAnswerLost => "log answer lost",
            Self::RegionCut => "region cut",
        }
    }
}

/// The n-th message of a kind in a run, from 0.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Step {
    /// Kind of message.
    pub kind: &'static str,
    /// Number among the messages of the kind.
    pub nth: u32,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.nth + 1)
    }
}

/// A fault at a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Injection {
    /// Step.
    pub step: Step,
    /// Fault.
    pub fault: Fault,
}

impl fmt::Display for Injection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {}", self.fault.title(), self.step)
    }
}
