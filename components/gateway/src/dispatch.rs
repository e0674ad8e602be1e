//! Dispatch of a request to targets until one of them answers it.

use std::rc::Rc;
use std::time::Duration;

use api::{ApiError, ErrorCode, RunEnd};
use base::{ExecutionState, Timestamp};
use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, StatusCode};
use ingress::ShutdownStage;
use platform::forwarded_response_headers;
use routing::{
    Admission, Attempts, DirectChoice, DirectPick, DirectPlainRequirements, GenerationRequirements,
    Slack, TargetKey, TargetOutcome, TargetPhase, admit,
};
use telemetry::quote;

use crate::app::App;
use crate::bound_stream::BoundStreamGuard;
use crate::exchange::{ExchangeFailure, NoResponse, ReadResponse, TargetResponse, exchange};
use crate::fleet_link::{FleetLink, query_agent};
use crate::in_flight_send::InFlightSend;
use crate::request::{CallerRequest, charge, check_rate};
use crate::shutdown::draining_error;
use crate::waiting::WaitingGuard;

/// Shortest time left before the deadline for which another attempt is made.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(30);
/// `Retry-After` if no target is usable: the time within which a new target is discovered.
pub(crate) const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Cost of a generated token in prompt tokens, in terms of engine time at a usual batch size.
const OUTPUT_TOKEN_COST: u64 = 12;

/// A complete response of a target.
pub(crate) struct FullResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Result of a dispatch.
pub(crate) enum DispatchOutcome {
    /// A response that is not a stream.
    Whole(FullResponse),
    /// The head of a streamed response, with the send that it belongs to.
    Stream(Box<TargetResponse>, InFlightSend),
}

/// Dispatch of one request, which may be sent to several targets.
pub(crate) struct Dispatch {
    pub app: Rc<App>,
    pub link: Rc<FleetLink>,
    pub request: Rc<CallerRequest>,
    /// Targets that failed the request.
    pub(crate) excluded: Vec<TargetKey>,
    /// Targets that didn't load the adapter in time.
    pub(crate) without_adapter: Vec<TargetKey>,
    /// Attempts made so far.
    pub(crate) attempts: Attempts,
    /// When the last event was passed to the caller.
    pub(crate) last_event_at: Option<Timestamp>,
    /// Version of the software that the stream is bound to; none before the first event.
    pub(crate) bound: Option<BoundStreamGuard>,
    /// Id of the last event that was passed to the caller.
    pub last_event: Option<u64>,
    charged: bool,
    /// Whether the request must not be sent again, since it may have ended its target.
    ended_its_target: bool,
    /// Whether the demand for the model has been recorded.
    demand_recorded: bool,
    /// Target at which the adapter was requested, and when.
    pub(crate) adapter_requested: Option<(TargetKey, Timestamp)>,
    /// Error response of a target; returned if no other target answers.
    target_error: Option<FullResponse>,
}

/// A chosen target and the urgency of the request at it.
struct ChosenTarget {
    pick: DirectPick,
    urgency: Option<u8>,
}

impl Dispatch {
    /// A dispatch without attempts.
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
            bound: None,
            last_event,
            charged: false,
            ended_its_target: false,
            demand_recorded: false,
            adapter_requested: None,
            target_error: None,
        }
    }

    /// Sends the request to targets until one returns a response to forward.
    ///
    /// # Errors
    ///
    /// The error to return to the caller if no target answers.
    pub(crate) async fn run(&mut self) -> Result<DispatchOutcome, ApiError> {
        if !self.charged {
            check_rate(&self.app, &self.request, self.app.clock.now())?;
        }
        self.find_software().await?;
        loop {
            let chosen = match self.choose().await {
                Ok(chosen) => chosen,
                Err(error) => {
                    self.log_unserved_version();
                    return self.finish_without_target(error);
                }
            };
            if !self.charged {
                charge(&self.app, &self.request, self.app.clock.now())?;
                self.charged = true;
            }
            let send = self.record_attempt(&chosen);
            let limit = self.response_timeout(&chosen.pick);
            let exchanged = exchange(
                &self.app,
                &self.request,
                &chosen.pick,
                chosen.urgency,
                self.last_event,
                limit,
            );
            let response = tokio::select! {
                response = exchanged => response,
                // Dropping the exchange cancels the request at the target.
                () = self.quarantined() => {
                    self.attempts.record_may_have_run();
                    continue;
                }
                () = self.target_silent(&send) => {
                    Err(ExchangeFailure::NoResponse(NoResponse::TargetSilent))
                }
            };
            match response {
                Ok(response) => {
                    if let Some(end) = self.handle_response(response, send).await {
                        return Ok(end);
                    }
                }
                Err(failure) => {
                    self.handle_failure(failure, &send);
                    if failure.breaks_connection() {
                        self.ended_its_target = !self.allows_retry_after_break(&send, false).await;
                    }
                }
            }
        }
    }

    /// Error for a request that is aborted because this process shuts down.
    pub(crate) fn shutdown_error(&self) -> ApiError {
        match self.ran() {
            ExecutionState::NotRun => draining_error(),
            ran @ (ExecutionState::Ran | ExecutionState::Unknown) => {
                let text = "this process is shutting down";
                ApiError::new(ErrorCode::UpstreamFailed, text).with_ran(ran)
            }
        }
    }

    /// Whether a target may have executed the request.
    fn ran(&self) -> ExecutionState {
        if self.attempts.may_have_run() { ExecutionState::Unknown } else { ExecutionState::NotRun }
    }

    /// Number of attempts.
    pub(crate) fn attempt_count(&self) -> u32 {
        self.attempts.count()
    }

    /// Returns a function that looks up the phase of a target, to detect targets that have
    /// terminated since they received the request.
    pub(crate) fn target_phase(
        &self,
        now: Timestamp,
    ) -> impl Fn(TargetKey) -> TargetPhase + use<'_> {
        move |key| self.app.fleet.borrow().target(key).phase(now)
    }

    /// Ends a dispatch that has no usable target left.
    fn finish_without_target(&mut self, error: ApiError) -> Result<DispatchOutcome, ApiError> {
        if let Some(failure) = self.target_error.take() {
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

    /// Longest wait for the response head. A repeatable request is retried at another target if the
    /// current one doesn't respond in time; any other request waits until its deadline.
    fn response_timeout(&self, pick: &DirectPick) -> Duration {
        let plan = &self.request.plan;
        let now = self.app.clock.now();
        let left = self.request.deadline.since(now);
        let another = self.attempts.allow_one_after_next(self.target_phase(now));
        let can_move = plan.kind.may_run_again() && another;
        match (can_move, plan.kind.is_stream()) {
            (false, _) => left,
            (true, true) => left.min(plan.objectives.first_event_timeout(pick.estimate_ms)),
            (true, false) => left.min(plan.objectives.plain_timeout(pick.estimate_ms)),
        }
    }

    fn record_attempt(&mut self, chosen: &ChosenTarget) -> InFlightSend {
        let now = self.app.clock.now();
        let pick = chosen.pick.clone();
        let number = if self.request.plan.engine {
            let mut fleet = self.app.fleet.borrow_mut();
            let hash = fleet.target(pick.key).hash;
            self.link.record_send(hash, &self.request.links);
            let excluded = [];
            let requirements = generation_requirements(&self.request, &excluded);
            let number = fleet.record_generation(&pick, &requirements, now);
            let is_remote = fleet.target(pick.key).data_centre != self.app.settings().data_centre;
            // Agents in other data centres don't receive periodic updates about adapters in use.
            if let Some(adapter) = requirements.adapter_name()
                && fleet.target_mut(pick.key).record_adapter_use(adapter, now)
                && is_remote
            {
                query_agent(&self.app, &self.link, fleet.target(pick.key), false, now);
            }
            number
        } else {
            self.app.fleet.borrow_mut().record_plain(pick.key, now)
        };
        self.attempts.begin(pick.key);
        self.record_quarantined_send(now);
        log::info!(
            "event=request_sent request_id={} digest={:x} target={} model={} adapter={} estimate_ms={:.0} read_ms={:.0} unread_tokens={} urgency={} sends={}",
            quote(&self.request.id),
            self.request.digest,
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

    /// Handles a response; returns `None` if another target should be tried.
    async fn handle_response(
        &mut self,
        response: TargetResponse,
        send: InFlightSend,
    ) -> Option<DispatchOutcome> {
        let now = self.app.clock.now();
        self.app.fleet.borrow_mut().record_sign(send.pick.key, now);
        if let Some(sample) = response.head.load {
            self.app.fleet.borrow_mut().record_load(send.pick.key, sample, now);
        }
        self.record_target_signals(&response, &send);
        if response.head.not_run {
            self.attempts.record_not_run();
            self.excluded.push(send.pick.key);
            log::info!(
                "event=target_refused request_id={} target={} status={}",
                quote(&self.request.id),
                quote(&send.pick.id),
                response.status.as_u16()
            );
            if response.status == StatusCode::MISDIRECTED_REQUEST {
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
        if response.status.is_success()
            && response.is_stream()
            && self.request.plan.kind.is_stream()
        {
            return Some(DispatchOutcome::Stream(Box::new(response), send));
        }
        let status = response.status;
        let limit = self.request.deadline.since(self.app.clock.now());
        let read = response.read_full(&self.app, limit).await;
        let read_at = self.app.clock.now();
        let read = match read {
            Ok(read) if !self.is_complete(&read, &send).await => Err(NoResponse::Truncated),
            read => read,
        };
        match read {
            Ok(ReadResponse { status, headers, body, .. }) => {
                if !self.request.plan.engine && !status.is_server_error() {
                    send.record_plain_response(read_at);
                }
                let headers = forwarded_response_headers(&headers);
                let full = FullResponse { status, headers, body };
                if !status.is_server_error() {
                    self.record_output(self.app.clock.now());
                    send.record_outcome(TargetOutcome::Answered);
                    return Some(DispatchOutcome::Whole(full));
                }
                send.record_outcome(TargetOutcome::Failed);
                if !self.request.plan.kind.may_run_again() {
                    return Some(DispatchOutcome::Whole(full));
                }
                self.target_error = Some(full);
                self.excluded.push(send.pick.key);
                None
            }
            Err(reason) => {
                self.attempts.record_broken();
                send.record_outcome(TargetOutcome::Failed);
                self.excluded.push(send.pick.key);
                log::info!(
                    "event=answer_lost request_id={} target={} status={} reason={}",
                    quote(&self.request.id),
                    quote(&send.pick.id),
                    status.as_u16(),
                    reason.as_str()
                );
                self.ended_its_target = !self.allows_retry_after_break(&send, true).await;
                None
            }
        }
    }

    /// Whether a response that was read is complete, as far as can be told before the deadline.
    async fn is_complete(&self, read: &ReadResponse, send: &InFlightSend) -> bool {
        match read.end {
            RunEnd::Complete => true,
            RunEnd::CompleteIfAlive => self.is_alive(send).await,
            RunEnd::Truncated => false,
        }
    }

    /// Chooses the next target; waits for a model or an adapter within limits.
    async fn choose(&mut self) -> Result<ChosenTarget, ApiError> {
        let wait_started = self.app.clock.now();
        let mut waiting: Option<WaitingGuard> = None;
        loop {
            let now = self.app.clock.now();
            self.check_send_allowed(now)?;
            let left = self.request.deadline.since(now);
            let exclude: Vec<TargetKey> =
                self.excluded.iter().chain(&self.without_adapter).copied().collect();
            let choice = self.select_target(&exclude, now);
            if !self.demand_recorded {
                self.demand_recorded = true;
                self.record_demand(&choice, now);
            }
            match choice {
                DirectChoice::Serve(pick) if pick.needs_adapter_load => {
                    self.wait_for_adapter(&pick, wait_started).await?;
                }
                DirectChoice::Serve(pick) => return self.admit(pick, now),
                DirectChoice::NoCopy { loading_ms } => {
                    waiting.get_or_insert_with(|| {
                        WaitingGuard::new(&self.app, &self.request, self.software().cloned())
                    });
                    self.wait_for_copy(loading_ms, wait_started).await?;
                }
                DirectChoice::Limited { key } => return Err(self.limited_error(key, now)),
                DirectChoice::NoTarget => {
                    let text = "no target of the service can be used";
                    return Err(ApiError::new(ErrorCode::NoCapacity, text)
                        .with_retry_after(NO_TARGET_RETRY_AFTER.min(left / 3)));
                }
            }
        }
    }

    /// Records the demand that the request puts on its model.
    fn record_demand(&self, choice: &DirectChoice, now: Timestamp) {
        let Some(model) = &self.request.head.model else { return };
        let uncached_tokens = match choice {
            DirectChoice::Serve(pick) => pick.uncached_tokens,
            DirectChoice::Limited { .. } | DirectChoice::NoCopy { .. } | DirectChoice::NoTarget => {
                self.request.prompt_tokens()
            }
        };
        let tokens = uncached_tokens + OUTPUT_TOKEN_COST * self.request.output_tokens();
        let work_ms = self.app.fleet.borrow().prefill_ms(model, tokens);
        self.app.demand.borrow_mut().record_request(model, work_ms, now);
    }

    pub(crate) fn select_target(&self, exclude: &[TargetKey], now: Timestamp) -> DirectChoice {
        let fleet = self.app.fleet.borrow();
        let plan = &self.request.plan;
        let regions = &self.app.settings().data_centre_regions;
        let mut excluded = fleet.outside_homes(&plan.service, &plan.homes, regions);
        excluded.extend(exclude);
        if !plan.kind.may_run_again() {
            excluded.extend(fleet.missing_unheard(&plan.service, now));
        }
        let exclude = excluded.as_slice();
        let software = self.software().map(CompactString::as_str);
        if plan.engine {
            let requirements = generation_requirements(&self.request, exclude);
            fleet.choose_generation(&GenerationRequirements { software, ..requirements }, now)
        } else {
            let requirements =
                DirectPlainRequirements { service: &plan.service, software, exclude };
            fleet.choose_plain(&requirements, now)
        }
    }

    /// Checks whether another attempt is allowed.
    fn check_send_allowed(&mut self, now: Timestamp) -> Result<(), ApiError> {
        // A stream outlives the handler that ends with the drain.
        if *self.app.stage.borrow() >= ShutdownStage::Aborting {
            return Err(self.shutdown_error());
        }
        let plan = &self.request.plan;
        if self.attempts.may_have_run() && (!plan.kind.may_run_again() || self.ended_its_target) {
            let text = "the target gave no answer; the request may have run";
            return Err(
                ApiError::new(ErrorCode::UpstreamFailed, text).with_ran(ExecutionState::Unknown)
            );
        }
        self.check_quarantine(now)?;
        let left = self.request.deadline.since(now);
        if left < MIN_ATTEMPT_TIME {
            let text = "the time allowed ran out";
            return Err(ApiError::new(ErrorCode::DeadlineExceeded, text).with_ran(self.ran()));
        }
        if !self.attempts.allow_another(self.target_phase(now)) {
            let text = "the targets that were asked did not take the request";
            return Err(
                ApiError::new(ErrorCode::NoCapacity, text).with_retry_after(NO_TARGET_RETRY_AFTER)
            );
        }
        Ok(())
    }

    /// Time left until the caller is expected to give up waiting for the response or, on a stream,
    /// for the next event.
    pub(crate) fn time_for_first_event(&self, now: Timestamp) -> Duration {
        let plan = &self.request.plan;
        let left = self.request.deadline.since(now);
        if !plan.kind.is_stream() {
            return left;
        }
        let waiting_since = self.last_event_at.unwrap_or(self.request.arrived);
        left.min((waiting_since + plan.objectives.caller_timeout()).since(now))
    }

    /// Time left until the response misses its latency objective. A partly delivered stream gets
    /// the full objective again, since a caller tolerates a pause only as long as the wait for the
    /// first event.
    fn time_to_objective(&self, now: Timestamp) -> Duration {
        let response = self.request.plan.objectives.response;
        match self.last_event_at {
            Some(_) => response,
            None => (self.request.arrived + response).since(now),
        }
    }

    fn admit(&mut self, pick: DirectPick, now: Timestamp) -> Result<ChosenTarget, ApiError> {
        if self.attempts.may_have_arrived() && !self.try_take_retry(now) {
            let text = "the budget of further attempts is used up";
            return Err(
                ApiError::new(ErrorCode::NoCapacity, text).with_retry_after(NO_TARGET_RETRY_AFTER)
            );
        }
        let plan = &self.request.plan;
        let slack = Slack {
            objective: self.time_to_objective(now),
            deadline: self.time_for_first_event(now),
            priority: plan.priority,
        };
        match admit(pick.admission_ms, slack) {
            Admission::Send { urgency } => {
                let urgency = plan.engine.then_some(urgency);
                Ok(ChosenTarget { pick, urgency })
            }
            Admission::Refuse { retry_after } => {
                log::info!(
                    "event=admission_refused request_id={} target={} estimate_ms={:.0} left_ms={}",
                    quote(&self.request.id),
                    quote(&pick.id),
                    pick.admission_ms,
                    slack.deadline.as_millis()
                );
                let text = "no target can answer within the time allowed";
                Err(ApiError::new(ErrorCode::NoCapacity, text).with_retry_after(retry_after))
            }
        }
    }
}

pub(crate) fn generation_requirements<'a>(
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
        software: None,
        exclude,
    }
}
