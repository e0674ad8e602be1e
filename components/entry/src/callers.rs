//! Accepts callers' connections.

use std::rc::Rc;
use std::time::Duration;

use api::{ApiError, HeadError};
use ingress::{
    BudgetedConnection, ConnectionOptions, CountGuard, ShutdownStage, raw_error_response,
    serve_caller,
};
use tokio::net::{TcpListener, TcpStream};

use crate::app::App;
use crate::dispatch::dispatch;
use crate::request_id::new_request_id;

/// Pause after a failed accept, most likely for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Longest time that a connection may be idle between requests.
const IDLE_LIMIT: Duration = Duration::from_secs(75);

/// Accepts connections within the budget until the process drains; then closes the listener.
pub(crate) async fn accept_callers(app: Rc<App>, listener: TcpListener) {
    app.budget.bound_sockets(&listener);
    let mut stage = app.stage.subscribe();
    loop {
        // Connections that have been made are accepted before the listener is closed.
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = stage.wait_for(|stage| stage.is_draining()) => return,
        };
        let Ok((socket, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            // The next attempt fails at once as well, before the stage would be looked at.
            if stage.borrow().is_draining() {
                return;
            }
            continue;
        };
        if let Err(error) = socket.set_nodelay(true) {
            log::debug!("event=nodelay_failed error=\"{error}\"");
        }
        let Some(budgeted) = app.budget.open() else {
            refuse_connection(&app, &socket);
            continue;
        };
        let app = Rc::clone(&app);
        tokio::task::spawn_local(async move {
            let _counted = CountGuard::new(&app.connections);
            serve(&app, socket, budgeted).await;
        });
    }
}

async fn serve(app: &Rc<App>, socket: TcpStream, budgeted: Rc<BudgetedConnection>) {
    let options = ConnectionOptions { limits: app.settings.callers, idle_timeout: IDLE_LIMIT };
    let mut stage = app.stage.subscribe();
    let draining = async {
        // The sender lives as long as the process.
        let _draining = stage.wait_for(|stage| *stage > ShutdownStage::Serving).await;
    };
    let shared = Rc::clone(&budgeted);
    let answer = |request, closer| dispatch(Rc::clone(app), request, closer, Rc::clone(&shared));
    serve_caller(socket, options, budgeted, answer, |fault| refuse_head(app, fault), draining)
        .await
        .log();
}

fn refuse_head(app: &App, fault: HeadError) -> String {
    let id = new_request_id().to_string();
    let error = ApiError::new(fault.code(), fault.to_string());
    app.metrics.record_refusal(error.code.as_str());
    log::info!("event=head_refused request_id={id} code={}", error.code.as_str());
    raw_error_response(&error, &id)
}

fn refuse_connection(app: &App, socket: &TcpStream) {
    let code = ingress::refuse_connection(socket, &new_request_id().to_string());
    app.metrics.record_refusal(code.as_str());
}

/// Reports what the budget rejected until the task is aborted.
pub(crate) async fn report_budget(app: Rc<App>) {
    app.budget.report(|reason, count| app.metrics.record_budget_rejections(reason, count)).await;
}
