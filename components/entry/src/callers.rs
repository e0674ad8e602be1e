//! Accepts callers' connections.

use std::rc::Rc;
use std::time::Duration;

use api::{ApiError, HeadError};
use ingress::{ConnectionOptions, CountGuard, raw_error_response, serve_caller};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use crate::app::App;
use crate::dispatch::dispatch;
use crate::request_id::new_request_id;

/// Pause after a failed accept, most likely for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Longest time that a connection may be idle between requests.
const IDLE_LIMIT: Duration = Duration::from_secs(75);

/// Accepts connections up to the limit until the process drains; then closes the listener.
pub(crate) async fn accept_callers(app: Rc<App>, listener: TcpListener) {
    let permits = std::sync::Arc::new(Semaphore::new(app.settings.callers.connections));
    let mut stage = app.stage.subscribe();
    loop {
        let accepted = async {
            let permit = std::sync::Arc::clone(&permits).acquire_owned().await;
            (permit, listener.accept().await)
        };
        let (permit, accepted) = tokio::select! {
            accepted = accepted => accepted,
            _ = stage.wait_for(|stage| stage.is_draining()) => return,
        };
        let Ok((socket, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if let Err(error) = socket.set_nodelay(true) {
            log::debug!("event=nodelay_failed error=\"{error}\"");
        }
        let app = Rc::clone(&app);
        tokio::task::spawn_local(async move {
            let _counted = CountGuard::new(&app.connections);
            serve(&app, socket).await;
            drop(permit);
        });
    }
}

async fn serve(app: &Rc<App>, socket: TcpStream) {
    let options = ConnectionOptions { limits: app.settings.callers, idle_timeout: IDLE_LIMIT };
    let mut stage = app.stage.subscribe();
    let draining = async {
        // The sender lives as long as the process.
        let _draining = stage.wait_for(|stage| stage.is_draining()).await;
    };
    let answer = |request, closer| dispatch(Rc::clone(app), request, closer);
    serve_caller(socket, options, answer, |fault| refuse_head(app, fault), draining).await;
}

fn refuse_head(app: &App, fault: HeadError) -> String {
    let id = new_request_id().to_string();
    let error = ApiError::new(fault.code(), fault.to_string());
    app.metrics.record_refusal(error.code.as_str());
    log::info!("event=head_refused request_id={id} code={}", error.code.as_str());
    raw_error_response(&error, &id)
}
