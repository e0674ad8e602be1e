//! Reader of a keyed topic that starts with a snapshot of its newest values.

use std::time::Duration;

use base::Offset;

use crate::{KeyedLog, KeyedPage, KeyedTail, StoreError, Topic};

/// Result of a read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyedRead {
    /// Newest value of each key; a key that is not in it does not exist.
    Snapshot(KeyedPage),
    /// Records after those read before.
    Changes(KeyedPage),
}

impl KeyedRead {
    /// Returns the page of records.
    pub const fn page(&self) -> &KeyedPage {
        match self {
            Self::Snapshot(page) | Self::Changes(page) => page,
        }
    }
}

/// Position in a keyed topic.
#[derive(Clone, Copy, Debug)]
pub struct KeyedReader {
    topic: Topic,
    next: Option<Offset>,
}

impl KeyedReader {
    /// Creates a reader at the start of a topic.
    pub const fn new(topic: Topic) -> Self {
        Self { topic, next: None }
    }

    /// Returns the topic.
    pub const fn topic(&self) -> Topic {
        self.topic
    }

    /// Reads the next records, or a new snapshot if the next records are no longer available. At
    /// the end of the topic it waits up to `wait` for a record.
    ///
    /// # Errors
    ///
    /// Returns the reason for a missing response; the position does not change. A page that neither
    /// advances nor reaches the end is `Malformed`: readers continue at once before the end.
    pub async fn read(
        &mut self,
        log: &impl KeyedLog,
        wait: Duration,
    ) -> Result<KeyedRead, StoreError> {
        if let Some(next) = self.next {
            match log.tail(self.topic, next, wait).await? {
                KeyedTail::Page(page) if page.next <= next && !page.reaches_end() => {
                    return Err(StoreError::Malformed);
                }
                KeyedTail::Page(page) => {
                    self.next = Some(page.next);
                    return Ok(KeyedRead::Changes(page));
                }
                KeyedTail::Expired => {
                    log::warn!(
                        "event=history_expired topic={} from={}",
                        self.topic.as_str(),
                        next.0
                    );
                    self.next = None;
                }
            }
        }
        let page = log.newest(self.topic).await?;
        self.next = Some(page.next);
        Ok(KeyedRead::Snapshot(page))
    }
}
