//! Readiness and metrics.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;

use crate::app::App;

/// Longest time to receive the head of a request, also on a connection that is kept.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Paths of the readiness check: the platform's and the usual one.
const READY_PATHS: &[&str] = &["/ready", "/readyz"];

/// Accepts connections until the task is aborted.
pub(crate) async fn serve_operators(app: Rc<App>, listener: TcpListener) {
    let shared = Rc::clone(&app);
    let not_ready_reason = move || shared.not_ready_reason();
    let metrics_text = move || app.metrics.to_text();
    ingress::serve_operator_endpoints(
        listener,
        HEAD_TIMEOUT,
        READY_PATHS,
        not_ready_reason,
        metrics_text,
    )
    .await;
}
