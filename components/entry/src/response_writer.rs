//! Where the text of a generation goes: one JSON answer or a stream of events.

use api::{
    ApiError, Completion, CompletionFormat, DONE_EVENT, Usage, completion_body, delta_event,
    error_event, finish_event, first_event, usage_event,
};
use bytes::Bytes;
use tokio::sync::oneshot;

use ingress::{BodySender, CallerDisconnected};
use ingress::{CallerResponse, error_response, event_stream_response, json_response};

/// Identity of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ResponseMetadata {
    /// Form.
    pub format: CompletionFormat,
    /// Id of the answer.
    pub id: String,
    /// Seconds since 1970.
    pub created: u64,
    /// Model or adapter by the caller's name.
    pub model: String,
    /// Request id as text.
    pub request_id: String,
    /// Whether the caller wants events.
    pub stream: bool,
    /// Whether a stream ends with token counts.
    pub include_usage: bool,
}

enum State {
    /// The head of the answer is not sent, so that a refusal can still have its own status.
    Waiting(oneshot::Sender<CallerResponse>),
    /// Events flow.
    Open(BodySender),
    /// The answer is complete or broken off.
    Ended,
}

/// Writes one answer.
pub(crate) struct ResponseWriter {
    head: ResponseMetadata,
    state: State,
    text: String,
}

impl ResponseWriter {
    /// A writer whose response head goes to `sender`.
    pub(crate) fn new(head: ResponseMetadata, sender: oneshot::Sender<CallerResponse>) -> Self {
        Self { head, state: State::Waiting(sender), text: String::new() }
    }

    /// Text delivered or collected so far.
    pub(crate) fn text(&self) -> &str {
        &self.text
    }

    /// Takes generated text; waits while a streaming caller reads slowly.
    ///
    /// # Errors
    ///
    /// If the caller has gone.
    pub(crate) async fn push(&mut self, text: &str) -> Result<(), CallerDisconnected> {
        self.text.push_str(text);
        if !self.head.stream {
            return match &self.state {
                State::Waiting(sender) if !sender.is_closed() => Ok(()),
                _ => Err(CallerDisconnected),
            };
        }
        let head = &self.head;
        let event = delta_event(head.format, &head.id, head.created, &head.model, text);
        self.open().await?;
        self.send(event).await
    }

    /// Ends a whole answer.
    ///
    /// # Errors
    ///
    /// If the caller has gone.
    pub(crate) async fn finish(
        &mut self,
        reason: &str,
        usage: Usage,
    ) -> Result<(), CallerDisconnected> {
        let head = &self.head;
        if !head.stream {
            let answer = Completion {
                id: &head.id,
                created: head.created,
                model: &head.model,
                text: &self.text,
                finish_reason: reason,
                usage,
            };
            let response = json_response(completion_body(head.format, &answer), &head.request_id);
            return self.send_response(response);
        }
        let mut events = finish_event(head.format, &head.id, head.created, &head.model, reason);
        if head.include_usage {
            events += &usage_event(head.format, &head.id, head.created, &head.model, usage);
        }
        events += DONE_EVENT;
        self.open().await?;
        self.send(events).await?;
        self.end().await
    }

    /// Ends a failed answer: an error answer of its own, or an error event in a stream.
    ///
    /// # Errors
    ///
    /// If the caller has gone.
    pub(crate) async fn fail(
        &mut self,
        error: &ApiError,
        close: bool,
    ) -> Result<(), CallerDisconnected> {
        if matches!(self.state, State::Open(_)) {
            self.send(error_event(error, &self.head.request_id)).await?;
            return self.end().await;
        }
        self.send_response(error_response(error, &self.head.request_id, close))
    }

    /// Ends the answer with an error in place of everything that still waits for the caller, and
    /// closes the connection after it.
    pub(crate) fn fail_at_once(&mut self, error: &ApiError) {
        match std::mem::replace(&mut self.state, State::Ended) {
            State::Open(sender) => {
                sender.finish_with(Bytes::from(error_event(error, &self.head.request_id)));
            }
            State::Waiting(sender) => {
                // A caller that has gone needs no answer.
                let _sent = sender.send(error_response(error, &self.head.request_id, true));
            }
            State::Ended => {}
        }
    }

    /// Waits until the caller has gone.
    pub(crate) async fn caller_disconnected(&mut self) {
        match &mut self.state {
            State::Waiting(sender) => sender.closed().await,
            State::Open(sender) => sender.closed().await,
            State::Ended => {}
        }
    }

    async fn open(&mut self) -> Result<(), CallerDisconnected> {
        if !matches!(self.state, State::Waiting(_)) {
            return Ok(());
        }
        let (sender, response) = event_stream_response(&self.head.request_id);
        self.send_response(response)?;
        self.state = State::Open(sender);
        let head = &self.head;
        match first_event(head.format, &head.id, head.created, &head.model) {
            Some(event) => self.send(event).await,
            None => Ok(()),
        }
    }

    fn send_response(&mut self, response: CallerResponse) -> Result<(), CallerDisconnected> {
        match std::mem::replace(&mut self.state, State::Ended) {
            State::Waiting(sender) => sender.send(response).map_err(|_| CallerDisconnected),
            State::Open(_) | State::Ended => Err(CallerDisconnected),
        }
    }

    async fn end(&mut self) -> Result<(), CallerDisconnected> {
        match std::mem::replace(&mut self.state, State::Ended) {
            State::Open(sender) => sender.finish().await,
            State::Waiting(_) | State::Ended => Err(CallerDisconnected),
        }
    }

    async fn send(&self, event: String) -> Result<(), CallerDisconnected> {
        match &self.state {
            State::Open(sender) => sender.send(Bytes::from(event)).await,
            State::Waiting(_) | State::Ended => Err(CallerDisconnected),
        }
    }
}
