//! Interface of the log service.

use std::time::Duration;

use base::Offset;
use bytes::Bytes;
use compact_str::CompactString;
use tokio::time::{Instant, sleep, timeout_at};

use crate::StoreError;

/// Number of records per read while the outcome of an append is settled.
const SETTLE_PAGE_RECORDS: u32 = 500;
/// Delay between attempts while the outcome of an append is settled.
const SETTLE_RETRY_DELAY: Duration = Duration::from_millis(25);

/// A record of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogRecord {
    /// Position in the stream.
    pub offset: Offset,
    /// Record id assigned by the writer; a record with an id that was seen before is a duplicate.
    pub id: CompactString,
    /// Content.
    pub payload: Bytes,
}

/// Page of records of a stream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LogPage {
    /// Records in offset order.
    pub records: Vec<LogRecord>,
    /// Oldest offset that the log keeps; `end + 1` if it keeps none.
    pub oldest: Offset,
    /// Last offset written; 0 if there is none.
    pub end: Offset,
}

impl LogPage {
    /// Whether a reader that requested `from` has reached the end of the stream with this page.
    pub fn reaches_end(&self, from: Offset) -> bool {
        self.records.last().map_or(self.end < from, |last| last.offset >= self.end)
    }
}

/// Append-only streams with offsets.
#[expect(async_fn_in_trait, reason = "every process is one current-thread runtime")]
pub trait Log {
    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// `may_have_taken_effect` tells whether the record may be stored nevertheless.
    async fn append(&self, stream: &str, id: &str, payload: &[u8]) -> Result<Offset, StoreError>;

    /// Reads up to `limit` records from offset `from`. At the end of the stream it waits up to
    /// `wait` for a record.
    ///
    /// # Errors
    ///
    /// Returns `Unavailable` if the log itself reported it; other errors say nothing about the
    /// state of the log.
    async fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: u32,
        wait: Duration,
    ) -> Result<LogPage, StoreError>;

    /// Appends a record. After a lost response it reads the stream for `id` before it appends
    /// again.
    ///
    /// `from` is any offset at or before the possible position of the record, for example the one
    /// after the last record that the writer has read. The returned offset is that of the first
    /// record with `id`, which is the one that counts for readers.
    ///
    /// # Errors
    ///
    /// If `may_have_taken_effect` returns true, the outcome was still unknown at the deadline;
    /// otherwise nothing was stored. An outage or an unreachable log is reported at once unless the
    /// outcome of an earlier attempt is unknown. Rate limits are retried.
    async fn append_confirmed(
        &self,
        stream: &str,
        id: &str,
        payload: &[u8],
        from: Offset,
        deadline: Instant,
    ) -> Result<Offset, StoreError> {
        let mut in_doubt = false;
        loop {
            if in_doubt {
                match timeout_at(deadline, find_record(self, stream, id, from)).await {
                    Ok(Ok(Some(offset))) => return Ok(offset),
                    Ok(Ok(None)) => {}
                    Ok(Err(_)) => {
                        sleep_before(SETTLE_RETRY_DELAY, deadline, StoreError::OutcomeUnknown)
                            .await?;
                        continue;
                    }
                    Err(_) => return Err(StoreError::OutcomeUnknown),
                }
            }
            let unsettled = |error| if in_doubt { StoreError::OutcomeUnknown } else { error };
            match timeout_at(deadline, self.append(stream, id, payload)).await {
                Ok(Ok(offset)) if !in_doubt => return Ok(offset),
                // The earlier attempt may have been stored between the read and this append; the
                // read at the start of the loop finds the first of the two records.
                Ok(Ok(_)) => {}
                Ok(Err(error)) if error.may_have_taken_effect() => {
                    in_doubt = true;
                    sleep_before(SETTLE_RETRY_DELAY, deadline, StoreError::OutcomeUnknown).await?;
                }
                Ok(Err(error @ StoreError::BudgetExceeded { retry_after_ms })) => {
                    let wait = Duration::from_millis(retry_after_ms.max(1));
                    sleep_before(wait, deadline, unsettled(error)).await?;
                }
                Ok(Err(error @ StoreError::RateLimited)) => {
                    sleep_before(SETTLE_RETRY_DELAY, deadline, unsettled(error)).await?;
                }
                Ok(Err(error)) if !in_doubt => return Err(error),
                Ok(Err(_)) => {
                    sleep_before(SETTLE_RETRY_DELAY, deadline, StoreError::OutcomeUnknown).await?
                }
                Err(_) => return Err(StoreError::OutcomeUnknown),
            }
        }
    }
}

/// Sleeps, or returns `error` at once if the deadline would pass during the sleep.
async fn sleep_before(
    wait: Duration,
    deadline: Instant,
    error: StoreError,
) -> Result<(), StoreError> {
    if Instant::now() + wait >= deadline {
        return Err(error);
    }
    sleep(wait).await;
    Ok(())
}

/// Returns the first offset of the record `id` at or after `from`.
async fn find_record<L: Log + ?Sized>(
    log: &L,
    stream: &str,
    id: &str,
    from: Offset,
) -> Result<Option<Offset>, StoreError> {
    let mut next = from;
    loop {
        let page = log.read(stream, next, SETTLE_PAGE_RECORDS, Duration::ZERO).await?;
        if let Some(record) = page.records.iter().find(|record| record.id == id) {
            return Ok(Some(record.offset));
        }
        if page.reaches_end(next) {
            return Ok(None);
        }
        next = page.records.last().map_or(page.oldest, |last| last.offset.next());
    }
}
