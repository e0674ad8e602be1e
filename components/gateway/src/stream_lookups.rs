//! Searches for the versions that began streams, until their agents have answered.

use std::net::SocketAddr;

use compact_str::CompactString;
use streams::Lookup;
use wire::StreamAnswer;

/// Searches in progress.
#[derive(Debug, Default)]
pub(crate) struct StreamLookups {
    next_id: u64,
    searches: Vec<StreamLookup>,
}

#[derive(Debug)]
struct StreamLookup {
    id: u64,
    attempt: u64,
    lookup: Lookup,
}

impl StreamLookups {
    /// Begins a search for the stream of an attempt; returns its id.
    pub(crate) fn begin(&mut self, attempt: u64, lookup: Lookup) -> u64 {
        self.next_id += 1;
        self.searches.push(StreamLookup { id: self.next_id, attempt, lookup });
        self.next_id
    }

    /// Returns a search in progress.
    pub(crate) fn get(&self, id: u64) -> Option<&Lookup> {
        let at = self.searches.binary_search_by_key(&id, |search| search.id).ok()?;
        self.searches.get(at).map(|search| &search.lookup)
    }

    /// Adds versions that were seen since a search began.
    pub(crate) fn add_in_service(&mut self, id: u64, versions: &[CompactString]) {
        if let Ok(at) = self.searches.binary_search_by_key(&id, |search| search.id) {
            self.searches[at].lookup.add_in_service(versions);
        }
    }

    /// Ends a search.
    pub(crate) fn end(&mut self, id: u64) {
        self.searches.retain(|search| search.id != id);
    }

    /// Applies an answer to the searches for its stream.
    pub(crate) fn apply(&mut self, from: SocketAddr, answer: &StreamAnswer) {
        let searches = self.searches.iter_mut().filter(|search| search.attempt == answer.attempt);
        searches.for_each(|search| search.lookup.apply(from, answer));
    }
}
