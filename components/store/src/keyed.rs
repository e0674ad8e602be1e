//! Records of topics that keep the newest value of each key.

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
    /// Value; none if the key was dropped.
    pub value: Option<Bytes>,
}

/// Records of a keyed topic.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KeyedPage {
    /// Records in offset order.
    pub records: Vec<KeyedRecord>,
    /// Where to read on.
    pub next: Offset,
    /// Offset after the last record of the topic.
    pub end: Offset,
}

impl KeyedPage {
    /// Whether a reader that applied this page has seen the topic to its end.
    pub fn reaches_end(&self) -> bool {
        self.next >= self.end
    }
}

/// Answer to a read from an offset.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyedTail {
    /// Records that were asked for are gone; the newest of each key must be read.
    Expired,
    /// Records.
    Page(KeyedPage),
}

/// A store of keyed topics.
#[expect(async_fn_in_trait, reason = "every process is one current-thread runtime")]
pub trait KeyedLog {
    /// The newest record of each key of a topic, in the order of their offsets.
    ///
    /// # Errors
    ///
    /// Why there is no answer; `Unavailable` only if the store itself said so.
    async fn newest(&self, topic: Topic) -> Result<KeyedPage, StoreError>;

    /// Records of a topic from `from` on; at the end it waits up to `wait` for one.
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

    /// Stores a value under a key, or drops the key; returns the offset of the record.
    ///
    /// # Errors
    ///
    /// With `may_have_taken_effect` the record may be stored, also later.
    async fn put(
        &self,
        topic: Topic,
        key: &str,
        value: Option<&[u8]>,
    ) -> Result<Offset, StoreError>;
}
