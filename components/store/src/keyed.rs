//! Topics that keep the newest value of each key (compacted topics).

use std::time::Duration;

use base::Offset;
use bytes::Bytes;
use compact_str::CompactString;

use crate::{StoreError, Topic};

/// A record of a keyed topic.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyedRecord {
    /// Position in the topic.
    pub offset: Offset,
    /// Key.
    pub key: CompactString,
    /// Value; `None` if the key was deleted.
    pub value: Option<Bytes>,
}

/// Page of records of a keyed topic.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KeyedPage {
    /// Records in offset order.
    pub records: Vec<KeyedRecord>,
    /// Offset of the next read.
    pub next: Offset,
    /// Offset after the last record of the topic.
    pub end: Offset,
}

impl KeyedPage {
    /// Whether a reader that applied this page has reached the end of the topic.
    pub fn reaches_end(&self) -> bool {
        self.next >= self.end
    }
}

/// Result of a read from an offset.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyedTail {
    /// The requested records are no longer available; the newest record of each key must be read.
    Expired,
    /// Records.
    Page(KeyedPage),
}

/// A store of keyed topics.
#[expect(async_fn_in_trait, reason = "every process is one current-thread runtime")]
pub trait KeyedLog {
    /// Returns the newest record of each key of a topic, in offset order.
    ///
    /// # Errors
    ///
    /// Returns the reason for a missing response; `Unavailable` only if the store itself reported
    /// it.
    async fn newest(&self, topic: Topic) -> Result<KeyedPage, StoreError>;

    /// Returns the records of a topic from offset `from`. At the end of the topic it waits up to
    /// `wait` for a record.
    ///
    /// # Errors
    ///
    /// As for [`KeyedLog::newest`].
    async fn tail(
        &self,
        topic: Topic,
        from: Offset,
        wait: Duration,
    ) -> Result<KeyedTail, StoreError>;

    /// Stores a value under a key, or deletes the key; returns the offset of the record.
    ///
    /// # Errors
    ///
    /// If `may_have_taken_effect` returns true, the record may be stored, possibly later.
    async fn put(
        &self,
        topic: Topic,
        key: &str,
        value: Option<&[u8]>,
    ) -> Result<Offset, StoreError>;
}
