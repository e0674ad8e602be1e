//! Generations of the stand-in engine.

use std::future::pending;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use base::prefix_blocks;
use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, Response, StatusCode, header};
use http_body::{Body, Frame};
use http_body_util::BodyExt;
use http_body_util::channel::{Channel, Sender};
use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until};

use crate::EngineSettings;
use crate::engine_journal::RunEntry;
use crate::engine_server::{EngineService, REQUEST_ID};
use crate::engine_state::Request;
use crate::plain::seen_headers;
use crate::reply::{Hangup, Reply, lose_answer, take_one, text, wait_ms};
use crate::server::lock;
use crate::text::token_text;

/// Events that may wait for a slow reader.
const EVENTS: usize = 64;
/// Time for hyper to write out the last events before a break, in milliseconds.
const BREAK_PAUSE_MS: u64 = 20;
/// Bytes of a request body kept in the journal.
const JOURNAL_BODY_BYTES: usize = 16 << 10;
/// Id of events that belong to another request, when no other request runs.
const STRANGER: &str = "another-request";
/// Exports of finished requests that are kept.
const FINISHED_KV: usize = 64;

#[derive(Deserialize)]
struct GenerateBody {
    id: CompactString,
    model: CompactString,
    adapter: Option<CompactString>,
    prompt: String,
    max_tokens: u64,
    #[serde(default)]
    priority: u8,
    resume: Option<ResumeBody>,
}

#[derive(Deserialize)]
struct ResumeBody {
    tokens: u64,
}

#[derive(Serialize)]
struct TokenEvent<'a> {
    id: &'a str,
    event: &'a str,
    index: u64,
    count: u32,
    text: &'a str,
}

#[derive(Serialize)]
struct FinishedEvent<'a> {
    id: &'a str,
    event: &'a str,
    reason: &'a str,
    prompt_tokens: u64,
    output_tokens: u64,
}

/// Faults chosen for one answer.
#[derive(Clone, Copy, Debug, Default)]
struct Fate {
    cross_head: bool,
    late_ms: u64,
    lose: bool,
    refuse: bool,
    stall: bool,
    truncate: bool,
}

/// How an answer's body ends.
enum End {
    Break,
    InOrder,
}

/// A body that tells when its reader is gone.
struct WatchedBody {
    channel: Channel<Bytes, Hangup>,
    _gone: oneshot::Sender<()>,
}

impl Body for WatchedBody {
    type Data = Bytes;
    type Error = Hangup;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Hangup>>> {
        Pin::new(&mut self.channel).poll_frame(context)
    }
}

/// Takes a request out of the engine when its task ends, however it ends.
struct Admitted {
    service: Arc<EngineService>,
    number: u64,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let batch = lock(&self.service.settings).batch;
        let mut state = lock(&self.service.state);
        state.requests.retain(|request| request.number != self.number);
        state.fill_batch(batch);
        drop(state);
        self.service.changed.notify_waiters();
    }
}

fn event_bytes(event: &impl Serialize) -> Bytes {
    let json = serde_json::to_string(event)
        .unwrap_or_else(|error| unreachable!("plain structs always serialise: {error}"));
    format!("data: {json}\n\n").into()
}

fn count_tokens(prompt: &str) -> u64 {
    prompt.split_whitespace().count().max(1) as u64
}

impl EngineService {
    pub(crate) async fn generate(self: Arc<Self>, headers: &HeaderMap, body: &[u8]) -> Reply {
        let Ok(call) = serde_json::from_slice::<GenerateBody>(body) else {
            return text(StatusCode::BAD_REQUEST, "malformed generation");
        };
        let (settings, fate) = {
            let mut settings = lock(&self.settings);
            let fate = Fate::choose(&mut settings);
            (settings.clone(), fate)
        };
        if fate.lose {
            return lose_answer(settings.lost_hang).await;
        }
        if fate.refuse {
            return text(StatusCode::SERVICE_UNAVAILABLE, "refused on purpose");
        }
        if call.resume.is_some() && !settings.resumes {
            return text(StatusCode::BAD_REQUEST, "can't resume");
        }
        let (cancel, cancelled) = oneshot::channel();
        let number = match self.admit(&call, headers, body, &settings, cancel) {
            Ok(number) => number,
            Err(status) => return text(status, "not taken"),
        };
        let admitted = Admitted { service: self.clone(), number };
        wait_ms(fate.late_ms).await;
        let head_id = if fate.cross_head { self.other_id(number) } else { call.id.clone() };
        let (sender, channel) = Channel::new(EVENTS);
        let (gone, reader_gone) = oneshot::channel();
        tokio::spawn(async move {
            let mut sender = sender;
            let end = tokio::select! {
                end = self.stream(&mut sender, &call, number, &settings, fate) => end,
                _ = reader_gone => End::InOrder,
                _ = cancelled => End::InOrder,
            };
            drop(admitted);
            if matches!(end, End::Break) {
                // A broken body discards what hyper has not written yet; the tokens before the
                // break are meant to arrive.
                wait_ms(BREAK_PAUSE_MS).await;
                sender.abort(Hangup);
            }
        });
        Response::builder()
            .header(header::CONTENT_TYPE, "text/event-stream")
            .header(REQUEST_ID, head_id.as_str())
            .body(WatchedBody { channel, _gone: gone }.boxed_unsync())
            .map_err(|_| Hangup)
    }

    /// Takes a request in, or tells with which status to refuse it.
    fn admit(
        &self,
        call: &GenerateBody,
        headers: &HeaderMap,
        body: &[u8],
        settings: &EngineSettings,
        cancel: oneshot::Sender<()>,
    ) -> Result<u64, StatusCode> {
        let mut state = lock(&self.state);
        if !state.serves(&call.model, call.adapter.as_deref()) {
            return Err(StatusCode::NOT_FOUND);
        }
        if state.requests.len() >= settings.batch + settings.max_waiting {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        let number = state.next_number;
        state.next_number += 1;
        let kept = &body[..body.len().min(JOURNAL_BODY_BYTES)];
        state.journal.add_run(RunEntry {
            id: call.id.clone(),
            model: call.model.clone(),
            adapter: call.adapter.clone(),
            headers: seen_headers(headers),
            body: String::from_utf8_lossy(kept).into_owned(),
            first_index: call.resume.as_ref().map_or(0, |resume| resume.tokens),
            tokens: 0,
            finished: false,
        });
        state.requests.push(Request {
            number,
            id: call.id.clone(),
            model: call.model.clone(),
            priority: call.priority,
            active: false,
            prompt_tokens: count_tokens(&call.prompt),
            tokens: 0,
            max_tokens: call.max_tokens,
            _cancel: cancel,
        });
        state.fill_batch(settings.batch);
        Ok(number)
    }

    /// Id of another request in the engine.
    fn other_id(&self, number: u64) -> CompactString {
        let state = lock(&self.state);
        let other = state.requests.iter().find(|request| request.number != number);
        other.map_or(CompactString::const_new(STRANGER), |request| request.id.clone())
    }

    async fn wait_for_batch(&self, number: u64) {
        loop {
            let mut changed = std::pin::pin!(self.changed.notified());
            changed.as_mut().enable();
            if lock(&self.state).requests.iter().any(|r| r.number == number && r.active) {
                return;
            }
            changed.await;
        }
    }

    async fn prefill(&self, call: &GenerateBody, settings: &EngineSettings) {
        let blocks: Vec<u64> =
            prefix_blocks(&call.model, call.adapter.as_deref(), &call.prompt).collect();
        let tokens = count_tokens(&call.prompt);
        let missing = {
            let mut state = lock(&self.state);
            let held = state.cache.touch(&call.model, &blocks) as u64;
            match state.imported.iter().position(|id| *id == call.id) {
                Some(at) => {
                    state.imported.remove(at);
                    0
                }
                None => tokens - tokens * held / (blocks.len() as u64 + 1),
            }
        };
        wait_ms(missing * settings.prefill_us_per_token / 1_000).await;
    }

    async fn stream(
        &self,
        sender: &mut Sender<Bytes, Hangup>,
        call: &GenerateBody,
        number: u64,
        settings: &EngineSettings,
        fate: Fate,
    ) -> End {
        self.wait_for_batch(number).await;
        self.prefill(call, settings).await;
        let natural = if settings.answer_tokens == 0 { u64::MAX } else { settings.answer_tokens };
        let total = natural.min(call.max_tokens);
        let first = call.resume.as_ref().map_or(0, |resume| resume.tokens);
        let began = Instant::now();
        for index in first..total {
            let done = index - first;
            if (fate.truncate || fate.stall) && done >= settings.truncate_after_tokens {
                if fate.stall {
                    pending::<()>().await;
                }
                return if settings.truncate_cleanly { End::InOrder } else { End::Break };
            }
            sleep_until(began + Duration::from_micros(settings.token_us * (done + 1))).await;
            for event in self.token_events(call, number, index) {
                if sender.send_data(event).await.is_err() {
                    return End::InOrder;
                }
            }
            self.count_token(call, number);
        }
        let finished = event_bytes(&FinishedEvent {
            id: &call.id,
            event: "finished",
            reason: if natural <= call.max_tokens { "stop" } else { "length" },
            prompt_tokens: count_tokens(&call.prompt),
            output_tokens: total.max(first),
        });
        if sender.send_data(finished).await.is_ok() {
            self.finish(call);
        }
        End::InOrder
    }

    /// The events for one token: the token, and those that the faults add.
    fn token_events(&self, call: &GenerateBody, number: u64, index: u64) -> Vec<Bytes> {
        let (misaddress, crossed, repeated) = {
            let mut settings = lock(&self.settings);
            let mut state = lock(&self.state);
            let mut chance = |percent: u32| percent > 0 && state.rng.random_range(0..100) < percent;
            let crossed = chance(settings.crossed_events_percent);
            let repeated = chance(settings.repeated_events_percent);
            (take_one(&mut settings.misaddress_events), crossed, repeated)
        };
        let event = |id: &str, text: &str| {
            event_bytes(&TokenEvent { id, event: "token", index, count: 1, text })
        };
        let text = token_text(&call.model, call.adapter.as_deref(), &call.prompt, index);
        let mut events = Vec::new();
        if crossed {
            events.push(event(&self.other_id(number), "crossed "));
        }
        let id = if misaddress { self.other_id(number) } else { call.id.clone() };
        events.push(event(&id, &text));
        if repeated {
            events.push(event(&id, &text));
        }
        events
    }

    fn count_token(&self, call: &GenerateBody, number: u64) {
        let mut state = lock(&self.state);
        if let Some(request) = state.requests.iter_mut().find(|r| r.number == number) {
            request.tokens += 1;
        }
        if let Some(run) = state.journal.run_mut(&call.id) {
            run.tokens += 1;
        }
    }

    fn finish(&self, call: &GenerateBody) {
        let mut state = lock(&self.state);
        if let Some(run) = state.journal.run_mut(&call.id) {
            run.finished = true;
        }
        state.finished_kv.push((call.id.clone(), kv_bytes(&call.id, &call.model)));
        if state.finished_kv.len() > FINISHED_KV {
            state.finished_kv.remove(0);
        }
    }

    /// The KV cache of a request, if the engine knows it.
    pub(crate) fn exported_kv(&self, id: &str) -> Option<Bytes> {
        let state = lock(&self.state);
        let running = state.requests.iter().find(|request| request.active && request.id == id);
        let finished = || state.finished_kv.iter().find(|(finished, _)| finished == id);
        match running {
            Some(request) => Some(kv_bytes(id, &request.model)),
            None => finished().map(|(_, bytes)| bytes.clone()),
        }
    }
}

fn kv_bytes(id: &str, model: &str) -> Bytes {
    format!("kv cache of {id} at {model}").into()
}

impl Fate {
    fn choose(settings: &mut EngineSettings) -> Self {
        if take_one(&mut settings.lose_generations) {
            return Self { lose: true, ..Self::default() };
        }
        if take_one(&mut settings.refuse_generations) {
            return Self { refuse: true, ..Self::default() };
        }
        let late = take_one(&mut settings.late_answers);
        Self {
            cross_head: take_one(&mut settings.cross_heads),
            late_ms: if late { settings.late_ms } else { 0 },
            stall: take_one(&mut settings.stall_answers),
            truncate: take_one(&mut settings.truncate_answers),
            ..Self::default()
        }
    }
}
