//! HTTP client of the log service.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use base::{Offset, Timestamp};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::json_client::JsonClient;
use crate::{AppendBudget, Log, LogPage, LogRecord, StoreError};

/// Records of a page that fits into the limit on a response whatever their sizes.
const SMALL_PAGE_RECORDS: u32 = 8;

/// Options of a log client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HttpLogOptions {
    /// Timeout of a response in milliseconds, in addition to the wait of a long poll.
    pub request_timeout_ms: u64,
    /// Maximum number of appends a second.
    pub appends_per_s: u32,
}

impl Default for HttpLogOptions {
    fn default() -> Self {
        Self { request_timeout_ms: 1_000, appends_per_s: 20 }
    }
}

/// Client of the log service; clones share connections and the append budget.
#[derive(Clone, Debug)]
pub struct HttpLog {
    client: JsonClient,
    timeout: Duration,
    started: Instant,
    budget: Arc<Mutex<AppendBudget>>,
}

#[derive(Serialize)]
struct AppendBody<'a> {
    id: &'a str,
    payload_base64: String,
}

#[derive(Deserialize)]
struct AppendAnswer {
    offset: Offset,
}

#[derive(Deserialize)]
struct ReadAnswer {
    records: Vec<RecordBody>,
    oldest: Offset,
    end: Offset,
}

#[derive(Deserialize)]
struct RecordBody {
    offset: Offset,
    id: CompactString,
    payload_base64: String,
}

impl HttpLog {
    /// Creates a client of the log at `address`.
    pub fn new(address: SocketAddr, options: HttpLogOptions) -> Self {
        let timeout = Duration::from_millis(options.request_timeout_ms);
        let budget = AppendBudget::new(options.appends_per_s, Timestamp::default());
        Self {
            client: JsonClient::new(address, timeout / 2),
            timeout,
            started: Instant::now(),
            budget: Arc::new(Mutex::new(budget)),
        }
    }

    fn take_budget(&self) -> Result<(), StoreError> {
        let now = Timestamp::default() + self.started.elapsed();
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.try_take(now).map_err(|wait| StoreError::BudgetExceeded {
            retry_after_ms: u64::try_from(wait.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX),
        })
    }
}

impl Log for HttpLog {
    async fn append(&self, stream: &str, id: &str, payload: &[u8]) -> Result<Offset, StoreError> {
        self.take_budget()?;
        let body = AppendBody { id, payload_base64: STANDARD.encode(payload) };
        let path = format!("/streams/{stream}/records");
        let answer: AppendAnswer = self.client.post(&path, &body, self.timeout).await?;
        Ok(answer.offset)
    }

    async fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: u32,
        wait: Duration,
    ) -> Result<LogPage, StoreError> {
        let read = async |limit: u32| -> Result<ReadAnswer, StoreError> {
            let path = format!(
                "/streams/{stream}/records?from={}&limit={limit}&wait_ms={}",
                from.0.max(1),
                wait.as_millis()
            );
            self.client.get(&path, self.timeout + wait).await
        };
        let answer = match read(limit).await {
            // The page may have too many large records.
            Err(StoreError::Malformed) if limit > SMALL_PAGE_RECORDS => {
                read(SMALL_PAGE_RECORDS).await?
            }
            answer => answer?,
        };
        let records = answer.records.into_iter().map(LogRecord::try_from);
        Ok(LogPage {
            records: records.collect::<Result<_, _>>()?,
            oldest: answer.oldest,
            end: answer.end,
        })
    }
}

impl TryFrom<RecordBody> for LogRecord {
    type Error = StoreError;

    fn try_from(body: RecordBody) -> Result<Self, StoreError> {
        let payload = STANDARD.decode(body.payload_base64).map_err(|_| StoreError::Malformed)?;
        Ok(Self { offset: body.offset, id: body.id, payload: Bytes::from(payload) })
    }
}
