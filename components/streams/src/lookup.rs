//! Search for the version that began a stream of another attempt.

use std::net::SocketAddr;

use compact_str::CompactString;
use wire::StreamAnswer;

/// Where the stream may go on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ruling {
    /// At targets of this version: one of the asked knows that it began the stream.
    Known(CompactString),
    /// At targets of this version: no other one was in service lately.
    OnlyVersion(CompactString),
    /// Nowhere: several versions may have begun it.
    Unknown,
}

/// What has been found so far.
#[derive(Clone, Debug, Default)]
pub struct Lookup {
    /// Agents that were asked and have not answered, sorted.
    asked: Vec<SocketAddr>,
    /// Versions that the asked name as the stream's, sorted.
    named: Vec<CompactString>,
    /// Versions that may have begun the stream, sorted.
    possible: Vec<CompactString>,
}

impl Lookup {
    /// Creates a search in which the agents at the `asked` addresses are asked; `in_service` are the
    /// versions that the asking gateway has seen lately.
    pub fn new(
        mut asked: Vec<SocketAddr>,
        in_service: impl IntoIterator<Item = CompactString>,
    ) -> Self {
        asked.sort_unstable();
        let mut possible: Vec<CompactString> = in_service.into_iter().collect();
        possible.sort_unstable();
        possible.dedup();
        Self { asked, possible, ..Self::default() }
    }

    /// Applies the first answer of an agent; others have no effect.
    pub fn apply(&mut self, from: SocketAddr, answer: &StreamAnswer) {
        let Ok(at) = self.asked.binary_search(&from) else { return };
        self.asked.remove(at);
        if let Some(software) = &answer.software {
            insert(&mut self.named, software);
        }
        for software in &answer.versions {
            insert(&mut self.possible, software);
        }
    }

    /// Adds versions that the asking gateway has seen since the search began.
    pub fn add_in_service(&mut self, versions: &[CompactString]) {
        versions.iter().for_each(|software| insert(&mut self.possible, software));
    }

    /// Returns whether a newer view of the target list can still change the ruling from `Unknown`.
    pub const fn awaits_view(&self) -> bool {
        self.named.is_empty() && self.possible.len() == 1
    }

    /// Returns whether nothing more is to be expected from agents.
    pub const fn is_complete(&self) -> bool {
        !self.named.is_empty() || self.asked.is_empty()
    }

    /// Returns the agents that have not answered.
    pub fn open(&self) -> &[SocketAddr] {
        &self.asked
    }

    /// Rules on what was found. Two answers that disagree are no knowledge. Silence of agents isn't either:
    /// `knows_versions` tells whether the asking gateway knows all versions that were in service lately, up to
    /// the request.
    pub fn ruling(&self, knows_versions: bool) -> Ruling {
        match (self.named.as_slice(), self.possible.as_slice()) {
            ([software], _) => Ruling::Known(software.clone()),
            ([], [software]) if knows_versions => Ruling::OnlyVersion(software.clone()),
            _ => Ruling::Unknown,
        }
    }
}

fn insert(versions: &mut Vec<CompactString>, software: &CompactString) {
    if let Err(at) = versions.binary_search(software) {
        versions.insert(at, software.clone());
    }
}
