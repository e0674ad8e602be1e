//! Rank of a request within its customer's rate.

/// Which tokens a request may take when there are few.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestRank {
    /// The caller has events of the request's stream: it comes before new requests and may overdraw the
    /// bucket.
    Resumed,
    /// Any other request; 0 is the most urgent.
    New(u8),
}

impl From<u8> for RequestRank {
    fn from(rank: u8) -> Self {
        Self::New(rank)
    }
}
