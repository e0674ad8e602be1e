//! Reader of a keyed topic with pages that end before the end of the topic.

use std::time::Duration;

use base::Offset;
use store::{KeyedLog, KeyedPage, KeyedReader, KeyedTail, StoreError, Topic};

/// A topic with ten records whose pages after the first read are empty.
struct StuckLog;

impl KeyedLog for StuckLog {
    async fn newest(&self, _: Topic) -> Result<KeyedPage, StoreError> {
        Ok(KeyedPage { records: Vec::new(), next: Offset(5), end: Offset(5) })
    }

    async fn tail(&self, _: Topic, from: Offset, _: Duration) -> Result<KeyedTail, StoreError> {
        Ok(KeyedTail::Page(KeyedPage { records: Vec::new(), next: from, end: Offset(10) }))
    }

    async fn put(&self, _: Topic, _: &str, _: Option<&[u8]>) -> Result<Offset, StoreError> {
        Err(StoreError::Unavailable)
    }
}

/// Guards against a reader that reads an empty page again and again without a delay because it does not
/// reach the end.
#[tokio::test]
async fn page_that_does_not_advance_before_the_end_is_an_error() {
    let mut reader = KeyedReader::new(Topic::Targets);
    assert!(reader.read(&StuckLog, Duration::ZERO).await.is_ok());
    assert_eq!(reader.read(&StuckLog, Duration::ZERO).await, Err(StoreError::Malformed));
}
