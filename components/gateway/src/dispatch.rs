//! From a request to the target that answers it.

use std::rc::Rc;
use std::time::Duration;

use api::{ApiError, ErrorCode};
use base::{ExecutionState, Timestamp};
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use ingress::ShutdownStage;
use platform::forwarded_answer_headers;
use routing::{
    Admission, Attempts, DirectChoice, DirectPick, DirectPlainRequirements, GenerationRequirements,
    LoadWait, Slack, TargetKey, TargetOutcome, TargetPhase, admit, wait_for_model,
    waits_for_adapter,
};
use telemetry::quote;
use tokio::time::timeout;

use crate::app::App;
use crate::exchange::{ExchangeFailure, NoResponse, TargetResponse, exchange};
use crate::fleet_link::{FleetLink, query_agent};
use crate::in_flight_send::InFlightSend;
use crate::request::{CallerRequest, charge, check_rate};
use crate::waiting::WaitingGuard;

/// Time that must be left for another send.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(30);
/// Longest wait for a model or adapter while this process shuts down.
const MAX_DRAINING_WAIT: Duration = Duration::from_millis(700);
/// Advised wait while this process shuts down; another one can be asked at once.
const DRAINING_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Wait between two looks at the fleet while a model or adapter is awaited.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Advised wait if no target is there: the time in which a new one is noticed.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Engine time of a generated token, in prompt tokens, in a batch of usual size.
const OUTPUT_TOKEN_COST: u64 = 12;

/// A whole answer of a target.
pub(crate) struct FullResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// How a call ended.
pub(crate) enum DispatchOutcome {
    /// An answer that is no stream.
    Whole(FullResponse),
    /// The head of a stream, with the send it belongs to.
    Stream(Box<TargetResponse>, InFlightSend),
}

/// One request on its way through targets.
pub(crate) struct Dispatch {
    pub app: Rc<App>,
    pub link: Rc<FleetLink>,
    pub request: Rc<CallerRequest>,
    /// Targets that failed it.
    pub(crate) excluded: Vec<TargetKey>,
    /// Targets at which its adapter did not come in time.
    pub(crate) without_adapter: Vec<TargetKey>,
    /// Its sends.
    pub(crate) attempts: Attempts,
    /// When the caller had its last event.
    pub(crate) last_event_at: Option<Timestamp>,
    /// Last event that the caller has.
    pub last_event: Option<u64>,
    charged: bool,
    /// Whether the planner was told what it asks for.
    demand_noted: bool,
    /// Target that was asked for the adapter, and since when.
    pub(crate) adapter_asked: Option<(TargetKey, Timestamp)>,
    /// A failure of a target that is passed on if nothing better comes.
    failure: Option<FullResponse>,
}

/// A chosen target with the urgency of the request there.
struct ChosenTarget {
    pick: DirectPick,
    urgency: Option<u8>,
}

impl Dispatch {
    /// A call that was not sent yet.
    pub(crate) fn new(app: Rc<App>, link: Rc<FleetLink>, request: Rc<CallerRequest>) -> Self {
        let last_event = request.head.last_event;
        let attempts = Attempts::new(request.plan.attempts);
        Self {
            app,
            link,
            request,
            excluded: Vec::new(),
            without_adapter: Vec::new(),
            attempts,
            last_event_at: None,
            last_event,
            charged: false,
            demand_noted: false,
            adapter_asked: None,
            failure: None,
        }
    }

    /// Sends the request to targets until one gives an answer to pass on.
    ///
    /// # Errors
    ///
    /// The answer of this process if no target has one.
    pub(crate) async fn run(&mut self) -> Result<DispatchOutcome, ApiError> {
        if !self.charged {
            check_rate(&self.app, &self.request, self.app.clock.now())?;
        }
        loop {
            let chosen = match self.choose().await {
                Ok(chosen) => chosen,
                Err(error) => return self.finish_without_target(error),
            };
            if !self.charged {
                charge(&self.app, &self.request, self.app.clock.now())?;
                self.charged = true;
            }
            let send = self.note_send(&chosen);
            let limit = self.answer_limit(&chosen.pick);
            let answer = exchange(
                &self.app,
                &self.request,
                &chosen.pick,
                chosen.urgency,
                self.last_event,
                limit,
            )
            .await;
            match answer {
                Ok(answer) => {
                    if let Some(end) = self.handle_answer(answer, send).await {
                        return Ok(end);
                    }
                }
                Err(failure) => self.handle_failure(failure, &send),
            }
        }
    }

    /// The answer to a call that is ended from outside, since this process ends.
    pub(crate) fn shutdown_error(&self) -> ApiError {
        let ran = self.ran();
        let text = "this process is shutting down";
        match ran {
            ExecutionState::NotRun => {
                ApiError::new(ErrorCode::Draining, text).with_retry_after(DRAINING_RETRY_AFTER)
            }
            ExecutionState::Ran | ExecutionState::Unknown => {
                ApiError::new(ErrorCode::UpstreamFailed, text).with_ran(ran)
            }
        }
    }

    /// Whether a target may have run it.
    fn ran(&self) -> ExecutionState {
        if self.attempts.may_have_run() { ExecutionState::Unknown } else { ExecutionState::NotRun }
    }

    /// Number of sends.
    pub(crate) fn sends(&self) -> u32 {
        self.attempts.count()
    }

    /// Whether a target that got the request has ended since.
    pub(crate) fn end_of(&self, now: Timestamp) -> impl Fn(TargetKey) -> TargetPhase + use<'_> {
        move |key| self.app.fleet.borrow().target(key).phase(now)
    }

    /// Ends a call that has no target left.
    fn finish_without_target(&mut self, error: ApiError) -> Result<DispatchOutcome, ApiError> {
        if let Some(failure) = self.failure.take() {
            return Ok(DispatchOutcome::Whole(failure));
        }
        if self.attempts.may_have_run() {
            let text = "the targets that were asked gave no answer";
            return Err(
                ApiError::new(ErrorCode::UpstreamFailed, text).with_ran(ExecutionState::Unknown)
            );
        }
        Err(error)
    }

    /// Longest wait for the head of an answer. A request that may run again is sent elsewhere when its
    /// target is silent for too long; any other one has to wait.
    fn answer_limit(&self, pick: &DirectPick) -> Duration {
        let plan = &self.request.plan;
        let now = self.app.clock.now();
        let left = self.request.deadline.since(now);
        let another = self.attempts.allow_one_after_next(self.end_of(now));
        let can_move = plan.kind.may_run_again() && another;
        match (can_move, plan.kind.is_stream()) {
            (false, _) => left,
            (true, true) => left.min(plan.objectives.first_event_timeout(pick.estimate_ms)),
            (true, false) => left.min(plan.objectives.plain_timeout(pick.estimate_ms)),
        }
    }

    fn note_send(&mut self, chosen: &ChosenTarget) -> InFlightSend {
        let now = self.app.clock.now();
        let pick = chosen.pick.clone();
        let number = if self.request.plan.engine {
            let mut fleet = self.app.fleet.borrow_mut();
            let hash = fleet.target(pick.key).hash;
            self.link.record_send(hash, &self.request.links);
            let excluded = [];
            let need = generation_need(&self.request, &excluded);
            let number = fleet.record_generation(&pick, &need, now);
            let far = fleet.target(pick.key).data_centre != self.app.settings().data_centre;
            // Agents of other data centres are not told of all work every few rounds.
            if let Some(adapter) = need.adapter_name()
                && fleet.target_mut(pick.key).record_adapter_use(adapter, now)
                && far
            {
                query_agent(&self.app, &self.link, fleet.target(pick.key), false, now);
            }
            number
        } else {
            self.app.fleet.borrow_mut().record_plain(pick.key, now)
        };
        self.attempts.begin(pick.key);
        log::info!(
            "event=request_sent request_id={} target={} model={} adapter={} estimate_ms={:.0} read_ms={:.0} unread_tokens={} urgency={} sends={}",
            quote(&self.request.id),
            quote(&pick.id),
            self.request.head.model.as_deref().unwrap_or("-"),
            self.request.head.adapter.as_deref().unwrap_or("-"),
            pick.estimate_ms,
            pick.prefill_ms,
            pick.uncached_tokens,
            chosen.urgency.map_or(-1, i32::from),
            self.attempts.count()
        );
        InFlightSend::new(Rc::clone(&self.app), pick, number, now)
    }

    /// Takes an answer; none if another target is to be tried.
    async fn handle_answer(
        &mut self,
        answer: TargetResponse,
        send: InFlightSend,
    ) -> Option<DispatchOutcome> {
        if let Some(sample) = answer.head.load {
            self.app.fleet.borrow_mut().record_load(send.pick.key, sample);
        }
        self.record_target_signals(&answer, &send);
        if answer.head.not_run {
            self.attempts.record_not_run();
            self.excluded.push(send.pick.key);
            log::info!(
                "event=target_refused request_id={} target={} status={}",
                quote(&self.request.id),
                quote(&send.pick.id),
                answer.status.as_u16()
            );
            if answer.status == StatusCode::MISDIRECTED_REQUEST {
                let head = &self.request.head;
                let engine = self.request.plan.engine;
                self.app.fleet.borrow_mut().record_misdirected(
                    send.pick.key,
                    head.model.as_deref().filter(|_| engine),
                    head.adapter.as_deref(),
                    self.app.clock.now(),
                );
            }
            return None;
        }
        self.attempts.record_may_have_run();
        if answer.status.is_success() && answer.is_stream() && self.request.plan.kind.is_stream() {
            return Some(DispatchOutcome::Stream(Box::new(answer), send));
        }
        let status = answer.status;
        let limit = self.request.deadline.since(self.app.clock.now());
        match answer.read_whole(&self.app, limit).await {
            Ok((status, headers, body)) => {
                if !self.request.plan.engine {
                    let took = self.app.clock.now().since(send.at).as_secs_f64() * 1_000.0;
                    self.app
                        .fleet
                        .borrow_mut()
                        .target_mut(send.pick.key)
                        .record_plain_duration(took);
                }
                let headers = forwarded_answer_headers(&headers);
                let whole = FullResponse { status, headers, body };
                if !status.is_server_error() {
                    send.note(TargetOutcome::Answered);
                    return Some(DispatchOutcome::Whole(whole));
                }
                send.note(TargetOutcome::Failed);
                if !self.request.plan.kind.may_run_again() {
                    return Some(DispatchOutcome::Whole(whole));
                }
                self.failure = Some(whole);
                self.excluded.push(send.pick.key);
                None
            }
            Err(reason) => {
                self.attempts.record_broken();
                send.note(TargetOutcome::Failed);
                self.excluded.push(send.pick.key);
                log::info!(
                    "event=answer_lost request_id={} target={} status={} reason={}",
                    quote(&self.request.id),
                    quote(&send.pick.id),
                    status.as_u16(),
                    reason.as_str()
                );
                None
            }
        }
    }

    /// Takes what a target says in an answer of the work that it still wants.
    fn record_target_signals(&self, answer: &TargetResponse, send: &InFlightSend) {
        if answer.head.leaving {
            self.app.fleet.borrow_mut().record_leaving(send.pick.key);
            log::info!(
                "event=target_leaving request_id={} target={}",
                quote(&self.request.id),
                quote(&send.pick.id)
            );
        }
        if let Some(wait) = answer.head.back_off
            && answer.status == StatusCode::SERVICE_UNAVAILABLE
        {
            let now = self.app.clock.now();
            self.app.fleet.borrow_mut().record_backoff(send.pick.key, wait, now);
            log::info!(
                "event=target_backs_off request_id={} target={} wait_ms={}",
                quote(&self.request.id),
                quote(&send.pick.id),
                wait.as_millis()
            );
        }
    }

    /// Takes a send without an answer.
    fn handle_failure(&mut self, failure: ExchangeFailure, send: &InFlightSend) {
        let reason = match failure {
            ExchangeFailure::NotSent => "not_sent",
            ExchangeFailure::Refused => "connection_refused",
            ExchangeFailure::NoResponse(reason) => reason.as_str(),
        };
        log::info!(
            "event=answer_missing request_id={} target={} reason={reason} waited_ms={}",
            quote(&self.request.id),
            quote(&send.pick.id),
            self.app.clock.now().since(send.at).as_millis()
        );
        self.excluded.push(send.pick.key);
        match failure {
            ExchangeFailure::NotSent => {
                self.attempts.record_not_run();
                send.note(TargetOutcome::NoResponse);
            }
            ExchangeFailure::Refused => {
                self.attempts.record_not_run();
                send.note(TargetOutcome::NoResponse);
                let now = self.app.clock.now();
                self.app.fleet.borrow_mut().record_connection_refused(send.pick.key, now);
            }
            ExchangeFailure::NoResponse(reason) => {
                match reason {
                    NoResponse::Broken | NoResponse::Truncated => self.attempts.record_broken(),
                    NoResponse::Mismatched | NoResponse::Timeout => {
                        self.attempts.record_may_have_run()
                    }
                }
                send.note(match reason {
                    NoResponse::Broken | NoResponse::Timeout => TargetOutcome::NoResponse,
                    NoResponse::Truncated | NoResponse::Mismatched => TargetOutcome::Failed,
                });
            }
        }
    }

    /// Chooses the next target, waiting for a model or an adapter within limits.
    async fn choose(&mut self) -> Result<ChosenTarget, ApiError> {
        let began = self.app.clock.now();
        let mut waiting: Option<WaitingGuard> = None;
        loop {
            let now = self.app.clock.now();
            self.check_send_allowed(now)?;
            let left = self.request.deadline.since(now);
            let exclude: Vec<TargetKey> =
                self.excluded.iter().chain(&self.without_adapter).copied().collect();
            let choice = self.select_target(&exclude, now);
            if !self.demand_noted {
                self.demand_noted = true;
                self.note_demand(&choice, now);
            }
            match choice {
                DirectChoice::Serve(pick) if pick.needs_adapter_load => {
                    self.wait_for_adapter(&pick, began).await?;
                }
                DirectChoice::Serve(pick) => return self.admit(pick, now),
                DirectChoice::NoCopy { loading_ms } => {
                    waiting.get_or_insert_with(|| WaitingGuard::new(&self.app, &self.request));
                    self.wait_for_copy(loading_ms, began).await?;
                }
                DirectChoice::NoTarget => {
                    let text = "no target of the service can be used";
                    return Err(ApiError::new(ErrorCode::NoCapacity, text)
                        .with_retry_after(NO_TARGET_RETRY_AFTER.min(left / 3)));
                }
            }
        }
    }

    /// Tells the planner what the request asks for.
    fn note_demand(&self, choice: &DirectChoice, now: Timestamp) {
        let Some(model) = &self.request.head.model else { return };
        let unread_tokens = match choice {
            DirectChoice::Serve(pick) => pick.uncached_tokens,
            DirectChoice::NoCopy { .. } | DirectChoice::NoTarget => self.request.prompt_tokens(),
        };
        let tokens = unread_tokens + OUTPUT_TOKEN_COST * self.request.output_tokens();
        let work_ms = self.app.fleet.borrow().prefill_ms(model, tokens);
        self.app.demand.borrow_mut().record_request(model, work_ms, now);
    }

    pub(crate) fn select_target(&self, exclude: &[TargetKey], now: Timestamp) -> DirectChoice {
        let fleet = self.app.fleet.borrow();
        if self.request.plan.engine {
            fleet.choose_generation(&generation_need(&self.request, exclude), now)
        } else {
            let need = DirectPlainRequirements { service: &self.request.plan.service, exclude };
            fleet.choose_plain(&need, now)
        }
    }

    /// Whether the rules allow another send.
    fn check_send_allowed(&mut self, now: Timestamp) -> Result<(), ApiError> {
        let plan = &self.request.plan;
        if self.attempts.may_have_run() && !plan.kind.may_run_again() {
            let text = "the target gave no answer; the request may have run";
            return Err(
                ApiError::new(ErrorCode::UpstreamFailed, text).with_ran(ExecutionState::Unknown)
            );
        }
        let left = self.request.deadline.since(now);
        if left < MIN_ATTEMPT_TIME {
            let text = "the time allowed ran out";
            return Err(ApiError::new(ErrorCode::DeadlineExceeded, text).with_ran(self.ran()));
        }
        if !self.attempts.allow_another(self.end_of(now)) {
            let text = "the targets that were asked did not take the request";
            return Err(
                ApiError::new(ErrorCode::NoCapacity, text).with_retry_after(NO_TARGET_RETRY_AFTER)
            );
        }
        Ok(())
    }

    /// Time in which the caller must get the answer or, on a stream, the next event, before it gives up.
    pub(crate) fn time_for_first_event(&self, now: Timestamp) -> Duration {
        let plan = &self.request.plan;
        let left = self.request.deadline.since(now);
        if !plan.kind.is_stream() {
            return left;
        }
        let waits_since = self.last_event_at.unwrap_or(self.request.arrived);
        left.min((waits_since + plan.objectives.caller_timeout()).since(now))
    }

    /// Time until the answer is late. A stream that its caller has a part of is as urgent as a new one: its
    /// caller bears a pause no longer than the wait for the first event.
    fn time_to_objective(&self, now: Timestamp) -> Duration {
        let answer = self.request.plan.objectives.response;
        match self.last_event_at {
            Some(_) => answer,
            None => (self.request.arrived + answer).since(now),
        }
    }

    fn admit(&mut self, pick: DirectPick, now: Timestamp) -> Result<ChosenTarget, ApiError> {
        if self.attempts.count() > 0 {
            let gateways = self.app.gateway_count(now).known;
            let service = &self.request.plan.service;
            if !self.app.rates.borrow_mut().try_take_retry(service, gateways, now) {
                let text = "the budget of further attempts is used up";
                return Err(ApiError::new(ErrorCode::NoCapacity, text)
                    .with_retry_after(NO_TARGET_RETRY_AFTER));
            }
            self.app.metrics.record_retry();
        }
        let plan = &self.request.plan;
        let slack = Slack {
            objective: self.time_to_objective(now),
            deadline: self.time_for_first_event(now),
            priority: plan.priority,
        };
        match admit(pick.estimate_ms, slack) {
            Admission::Send { urgency } => {
                let urgency = plan.engine.then_some(urgency);
                Ok(ChosenTarget { pick, urgency })
            }
            Admission::Refuse { retry_after } => {
                log::info!(
                    "event=admission_refused request_id={} target={} estimate_ms={:.0} left_ms={}",
                    quote(&self.request.id),
                    quote(&pick.id),
                    pick.estimate_ms,
                    slack.deadline.as_millis()
                );
                let text = "no target can answer within the time allowed";
                Err(ApiError::new(ErrorCode::NoCapacity, text).with_retry_after(retry_after))
            }
        }
    }

    /// Waits for the adapter at a target; leaves the target if it does not come.
    async fn wait_for_adapter(
        &mut self,
        pick: &DirectPick,
        began: Timestamp,
    ) -> Result<(), ApiError> {
        let now = self.app.clock.now();
        let asked_at = match self.adapter_asked {
            Some((key, asked_at)) if key == pick.key => asked_at,
            _ => now,
        };
        self.adapter_asked = Some((pick.key, asked_at));
        if !waits_for_adapter(now.since(asked_at)) {
            log::info!(
                "event=adapter_missing request_id={} target={} waited_ms={}",
                quote(&self.request.id),
                quote(&pick.id),
                now.since(asked_at).as_millis()
            );
            self.without_adapter.push(pick.key);
            self.adapter_asked = None;
            return Ok(());
        }
        if let Some(name) = generation_need(&self.request, &[]).adapter_name() {
            let mut fleet = self.app.fleet.borrow_mut();
            if fleet.target_mut(pick.key).record_adapter_request(name, now) {
                query_agent(&self.app, &self.link, fleet.target(pick.key), true, now);
            }
        }
        self.reject_if_draining(now.since(began))?;
        self.wait_for_engine_change().await;
        Ok(())
    }

    /// Waits for a copy of the model; refuses at once what will not have one in time.
    async fn wait_for_copy(
        &self,
        loading_ms: Option<u32>,
        began: Timestamp,
    ) -> Result<(), ApiError> {
        let now = self.app.clock.now();
        let loading = loading_ms.map(|ms| Duration::from_millis(u64::from(ms)));
        let allowed = self.time_for_first_event(began);
        match wait_for_model(loading, now.since(began), allowed) {
            LoadWait::Wait => {
                self.reject_if_draining(now.since(began))?;
                self.wait_for_engine_change().await;
                Ok(())
            }
            LoadWait::Refuse { retry_after } => {
                let text = "no target has the model or adapter";
                Err(ApiError::new(ErrorCode::NoCapacity, text).with_retry_after(retry_after))
            }
        }
    }

    /// Refuses a request that waits while this process shuts down.
    fn reject_if_draining(&self, waited: Duration) -> Result<(), ApiError> {
        if *self.app.stage.borrow() == ShutdownStage::Serving || waited < MAX_DRAINING_WAIT {
            return Ok(());
        }
        let text = "this process is shutting down";
        Err(ApiError::new(ErrorCode::Draining, text).with_retry_after(DRAINING_RETRY_AFTER))
    }

    /// Waits for news from the engines, or for the next look.
    pub(crate) async fn wait_for_engine_change(&self) {
        let _news = timeout(LOAD_POLL_INTERVAL, self.app.engines_changed.notified()).await;
    }
}

fn generation_need<'a>(
    request: &'a CallerRequest,
    exclude: &'a [TargetKey],
) -> GenerationRequirements<'a> {
    GenerationRequirements {
        service: &request.plan.service,
        model: request.head.model.as_deref().unwrap_or_default(),
        adapter: request.head.adapter.as_deref(),
        links: &request.links,
        prompt_tokens: request.prompt_tokens(),
        output_tokens: request.output_tokens(),
        exclude,
    }
}
