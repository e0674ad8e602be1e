//! Whether a target still lives after its connection has ended with a response.

use std::time::Duration;

use compact_str::CompactString;
use config::ServiceKind;
use platform::{StatusAnswer, StatusCheck};
use routing::{EndedRun, TargetLife};
use telemetry::quote;
use tokio::time::{sleep, timeout};

use crate::dispatch::Dispatch;
use crate::in_flight_send::InFlightSend;
use crate::list_wait::LIST_CHECK_INTERVAL;
use crate::target_pool::SendFailure;

/// Time after its end within which no target starts again under the same id; crashed ones take seconds.
const RESTART_TIME: Duration = Duration::from_millis(1_000);
/// Timeout of a status check, which may wait for a slot.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Whether the target of a send still lives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TargetFate {
    /// It serves.
    Alive,
    /// It has ended, whoever serves at its address now.
    Ended,
    /// Nothing shows either.
    Unknown,
}

/// What showed whether the target lives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Evidence {
    /// No connection to its address could be opened.
    Connection,
    /// The connection alone, or the target list.
    List,
    /// The deadline of the request passed before.
    None,
    /// Its answer, or that of another target at its address.
    Status,
}

impl Evidence {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Connection => "connection",
            Self::List => "list",
            Self::None => "none",
            Self::Status => "status",
        }
    }
}

impl Dispatch {
    /// Whether the target of a send still serves, after its connection has ended; if it doesn't, it may
    /// have exited in the middle of its response.
    pub(crate) async fn is_alive(&self, send: &InFlightSend) -> bool {
        let ended_at = self.app.clock.now();
        // The target works on the request no longer.
        send.record_end();
        let left = self.request.deadline.since(ended_at);
        let found = timeout(left, self.find_life(send)).await;
        let (fate, evidence) = found.unwrap_or((TargetFate::Unknown, Evidence::None));
        let is_alive = fate == TargetFate::Alive;
        let details = format!(
            "request_id={} target={} evidence={} waited_ms={}",
            quote(&self.request.id),
            quote(&send.pick.id),
            evidence.as_str(),
            self.app.clock.now().since(ended_at).as_millis()
        );
        if is_alive {
            log::info!("event=target_lives_after_answer {details}");
        } else {
            log::info!("event=target_gone_after_answer {details}");
        }
        is_alive
    }

    /// Finds out whether the target of a send, in the life that it was sent to, still serves after its
    /// connection has ended.
    pub(crate) async fn find_life(&self, send: &InFlightSend) -> (TargetFate, Evidence) {
        let app = &self.app;
        match app.pool.add_connection(send.pick.address).await {
            Ok(()) => {}
            Err(SendFailure::Refused) => return (TargetFate::Ended, Evidence::Connection),
            Err(SendFailure::NotSent | SendFailure::NoResponse) => {
                return (TargetFate::Unknown, Evidence::Connection);
            }
        }
        let connected_at = app.clock.now();
        let reuse_after = Duration::from_millis(app.settings().bounds.reuse_after_ms);
        let run = EndedRun {
            sent_at: send.sent_at,
            born_ms: send.born_ms,
            connected_at,
            replaced_after: reuse_after.min(RESTART_TIME),
            names_start: self.health_path().is_none(),
        };
        loop {
            let now = app.clock.now();
            let list_known_at = app.targets_known_at();
            let life = run.judge(app.fleet.borrow().target(send.pick.key), list_known_at, now);
            let waited = now.since(connected_at);
            match life {
                TargetLife::Alive => return (TargetFate::Alive, Evidence::List),
                TargetLife::Ended => return (TargetFate::Ended, Evidence::List),
                TargetLife::AwaitList if app.may_get_list(waited, now) => {
                    app.request_list(connected_at, waited);
                    sleep(LIST_CHECK_INTERVAL).await;
                }
                TargetLife::AwaitList | TargetLife::Ask => {
                    return (self.ask_target(send).await, Evidence::Status);
                }
            }
        }
    }

    /// Asks the process at the target's address whether it is the target.
    async fn ask_target(&self, send: &InFlightSend) -> TargetFate {
        let health_path = self.health_path();
        let check = StatusCheck {
            address: send.pick.address,
            target: &send.pick.id,
            born_ms: send.born_ms,
            health_path: health_path.as_deref(),
            timeout: STATUS_TIMEOUT,
        };
        match check.ask(&self.app.peer_client).await {
            StatusAnswer::Same => TargetFate::Alive,
            StatusAnswer::Other => TargetFate::Ended,
            StatusAnswer::Unknown => TargetFate::Unknown,
        }
    }

    /// Path of the health check of the request's service; none for engines, whose report names their start.
    fn health_path(&self) -> Option<CompactString> {
        let config = self.app.config()?;
        let plan = &self.request.plan;
        let service = config.services.iter().find(|service| service.name == plan.service)?;
        match service.kind {
            ServiceKind::Engine => None,
            ServiceKind::Plain => Some(service.health_path.clone()),
        }
    }
}
