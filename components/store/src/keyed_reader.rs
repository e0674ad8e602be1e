//! Reads a keyed topic from its newest values on.

use std::time::Duration;

use base::Offset;

use crate::{KeyedLog, KeyedPage, KeyedTail, StoreError, Topic};

/// What a read brought.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyedRead {
    /// The newest value of each key: whatever is not in it is not there.
    Snapshot(KeyedPage),
    /// Records after those that were read before.
    Changes(KeyedPage),
}

impl KeyedRead {
    /// The records.
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
    /// A reader that has read nothing.
    pub const fn new(topic: Topic) -> Self {
        Self { topic, next: None }
    }

    /// Topic.
    pub const fn topic(&self) -> Topic {
        self.topic
    }

    /// Reads on, or everything anew if the records that come next are gone; at the end it waits up
    /// to `wait` for a record.
    ///
    /// # Errors
    ///
    /// Why there is no answer; the position stays.
    pub async fn read(
        &mut self,
        log: &impl KeyedLog,
        wait: Duration,
    ) -> Result<KeyedRead, StoreError> {
        if let Some(next) = self.next {
            match log.tail(self.topic, next, wait).await? {
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
