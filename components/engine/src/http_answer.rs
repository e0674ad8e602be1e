//! Response as server-sent events over HTTP.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use compact_str::CompactString;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;
use tokio::time::{Instant, timeout_at};

use crate::sse::SseLines;
use crate::{Answer, AnswerError, AnswerEvent, FinishReason};

/// Most bytes of an answer's text. Entry processes keep it, and can resume an answer only if its text fits
/// into a message of 1 MB.
const MAX_TEXT_BYTES: usize = 1 << 20;

/// Response to a generation over HTTP.
#[derive(Debug)]
pub struct HttpAnswer {
    id: CompactString,
    body: Incoming,
    lines: SseLines,
    next_index: u64,
    /// Most tokens of the whole answer.
    max_tokens: u64,
    /// Text of the tokens so far.
    text_bytes: usize,
    limit: Duration,
    /// Deadline for the next event of this request.
    due: Instant,
    state: State,
    dropped: Arc<AtomicU64>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Running,
    Finished,
    Failed(AnswerError),
}

#[derive(Deserialize)]
struct EventBody {
    id: CompactString,
    #[serde(flatten)]
    content: EventContent,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case", tag = "event")]
enum EventContent {
    Token { index: u64, count: u32, text: String },
    Finished { reason: FinishReason, prompt_tokens: u64, output_tokens: u64 },
}

impl HttpAnswer {
    pub(crate) fn new(
        id: CompactString,
        body: Incoming,
        next_index: u64,
        max_tokens: u64,
        limit: Duration,
        dropped: Arc<AtomicU64>,
    ) -> Self {
        let due = Instant::now() + limit;
        let (lines, state) = (SseLines::default(), State::Running);
        Self { id, body, lines, next_index, max_tokens, text_bytes: 0, limit, due, state, dropped }
    }

    /// Returns the next event that belongs to this response.
    async fn advance(&mut self) -> Result<AnswerEvent, AnswerError> {
        loop {
            while let Some(data) = self.lines.next().map_err(|_| AnswerError::Malformed)? {
                if let Some(event) = self.check(&data)? {
                    self.due = Instant::now() + self.limit;
                    return Ok(event);
                }
            }
            let frame = timeout_at(self.due, self.body.frame())
                .await
                .map_err(|_| AnswerError::Timeout)?
                .ok_or(AnswerError::Truncated)?
                .map_err(|_| AnswerError::Truncated)?;
            if let Some(bytes) = frame.data_ref() {
                self.lines.push(bytes);
            }
        }
    }

    /// Checks an event; drops and counts those of other requests and repeated tokens.
    fn check(&mut self, data: &[u8]) -> Result<Option<AnswerEvent>, AnswerError> {
        let event: EventBody = serde_json::from_slice(data).map_err(|_| AnswerError::Malformed)?;
        if event.id != self.id {
            self.count_dropped("other_request");
            return Ok(None);
        }
        match event.content {
            EventContent::Token { index, .. } if index < self.next_index => {
                self.count_dropped("late");
                Ok(None)
            }
            EventContent::Token { index, .. } if index > self.next_index => Err(AnswerError::Gap),
            EventContent::Token { index, count, text } => {
                self.next_index += u64::from(count);
                self.text_bytes += text.len();
                // An engine in trouble may go on without end.
                if self.next_index > self.max_tokens || self.text_bytes > MAX_TEXT_BYTES {
                    return Err(AnswerError::Malformed);
                }
                Ok(Some(AnswerEvent::Token { index, count, text }))
            }
            EventContent::Finished { output_tokens, .. } if output_tokens != self.next_index => {
                Err(AnswerError::Gap)
            }
            EventContent::Finished { reason, prompt_tokens, output_tokens } => {
                Ok(Some(AnswerEvent::Finished { reason, prompt_tokens, output_tokens }))
            }
        }
    }

    fn count_dropped(&self, reason: &str) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
        log::warn!("event=engine_event_dropped request_id={} reason={reason}", self.id);
    }
}

impl Answer for HttpAnswer {
    async fn next(&mut self) -> Result<Option<AnswerEvent>, AnswerError> {
        match self.state {
            State::Finished => return Ok(None),
            State::Failed(error) => return Err(error),
            State::Running => {}
        }
        match self.advance().await {
            Ok(event) => {
                if matches!(event, AnswerEvent::Finished { .. }) {
                    self.state = State::Finished;
                }
                Ok(Some(event))
            }
            Err(error) => {
                self.state = State::Failed(error);
                Err(error)
            }
        }
    }
}
