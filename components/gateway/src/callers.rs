//! Accepts connections from callers.

use std::rc::Rc;
use std::time::Duration;

use api::{ApiError, HeadError};
use config::CallerLimits;
use ingress::{
    BudgetedConnection, ConnectionOptions, CountGuard, ShutdownStage, raw_error_response,
    serve_caller,
};
use tokio::net::{TcpListener, TcpStream};

use crate::app::App;
use crate::fleet_link::FleetLink;
use crate::request_handler::handle_request;

/// Delay after a failed accept, most likely caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Factor on the configured idle timeout after which a caller's connection is closed; callers stop
/// reusing a connection before one such timeout has passed.
const IDLE_FACTOR: u32 = 2;
/// Idle timeout while no configuration sets one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Accepts connections until shortly before the process exits, then closes the listener. The load
/// balancer may choose a gateway that is not ready if too few others are.
pub(crate) async fn accept_callers(app: Rc<App>, link: Rc<FleetLink>, listener: TcpListener) {
    app.budget.bound_sockets(&listener);
    let mut stage = app.stage.subscribe();
    loop {
        // Connections that have been made are accepted before the listener is closed.
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = stage.wait_for(|stage| *stage >= ShutdownStage::Closing) => return,
        };
        let socket = match accepted {
            Ok((socket, _)) => socket,
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                // The next attempt fails at once as well, before the stage would be looked at.
                if *stage.borrow() >= ShutdownStage::Closing {
                    return;
                }
                continue;
            }
        };
        if let Err(error) = socket.set_nodelay(true) {
            log::debug!("event=nodelay_failed error=\"{error}\"");
        }
        let Some(budgeted) = app.budget.open() else {
            refuse_connection(&app, &socket);
            continue;
        };
        let (app, link) = (Rc::clone(&app), Rc::clone(&link));
        tokio::task::spawn_local(async move {
            let _counted = CountGuard::new(&app.connections);
            serve(&app, &link, socket, budgeted).await;
        });
    }
}

async fn serve(
    app: &Rc<App>,
    link: &Rc<FleetLink>,
    socket: TcpStream,
    budgeted: Rc<BudgetedConnection>,
) {
    let bounds = app.config().and_then(|config| config.caller_bounds);
    let usual = CallerLimits::default();
    let options = ConnectionOptions {
        limits: CallerLimits {
            head_bytes: bounds.map_or(usual.head_bytes, |bounds| bounds.head_bytes),
            head_timeout_ms: bounds.map_or(usual.head_timeout_ms, |bounds| bounds.head_timeout_ms),
            // Only `Authorization` is a key on the platform.
            api_key_header: false,
            ..usual
        },
        idle_timeout: bounds.map_or(DEFAULT_IDLE_TIMEOUT, |bounds| {
            Duration::from_millis(bounds.idle_timeout_ms) * IDLE_FACTOR
        }),
    };
    let mut stage = app.stage.subscribe();
    let draining = async {
        // The sender exists as long as the process, so this can't fail.
        let _draining = stage.wait_for(|stage| *stage > ShutdownStage::Serving).await;
    };
    let shared = Rc::clone(&budgeted);
    let answer = |request, _closer| {
        handle_request(Rc::clone(app), Rc::clone(link), request, Rc::clone(&shared))
    };
    serve_caller(socket, options, budgeted, answer, |fault| refuse_head(app, fault), draining)
        .await
        .log();
}

fn refuse_head(app: &App, fault: HeadError) -> String {
    let error = ApiError::new(fault.code(), fault.to_string());
    app.metrics.record_refusal(error.code.as_str());
    log::info!("event=head_refused code={}", error.code.as_str());
    raw_error_response(&error, "")
}

fn refuse_connection(app: &App, socket: &TcpStream) {
    let code = ingress::refuse_connection(socket, "");
    app.metrics.record_refusal(code.as_str());
}

/// Reports what the budget rejected until the task is aborted.
pub(crate) async fn report_budget(app: Rc<App>) {
    app.budget.report(|reason, count| app.metrics.record_budget_rejections(reason, count)).await;
}
