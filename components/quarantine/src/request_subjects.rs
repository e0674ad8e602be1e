//! What may be held responsible for a crash during a request.

use wire::Subject;

/// What a request has in common with others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestSubjects<'a> {
    /// Ids of the prompt's parts; the last one is the request's own.
    pub parts: &'a [u64],
    /// Digest that the repetitions of the request share.
    pub digest: u64,
    /// Short hash of the service that it is sent to.
    pub service: u32,
}

impl<'a> RequestSubjects<'a> {
    /// The first `max_parts` of the parts that other requests may have too: all but the last.
    pub(crate) fn shared_parts(&self, max_parts: usize) -> &'a [u64] {
        &self.parts[..self.parts.len().saturating_sub(1).min(max_parts)]
    }

    /// The whole request and its shared parts.
    pub(crate) fn iter(&self, max_parts: usize) -> impl Iterator<Item = Subject> + use<'a> {
        let parts = self.shared_parts(max_parts).iter().copied().map(Subject::Part);
        std::iter::once(Subject::Request(self.digest)).chain(parts)
    }

    /// Short hash of the whole prompt.
    pub(crate) fn prompt_hash(&self) -> u32 {
        let bytes: Vec<u8> = self.parts.iter().flat_map(|part| part.to_le_bytes()).collect();
        base::short_hash(&bytes)
    }
}
