//! Endpoints for readiness and metrics.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;

use crate::app::App;

/// Timeout for a request head, also on a kept-alive connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Paths of the readiness check: the platform's and the conventional one.
const READY_PATHS: &[&str] = &["/ready", "/readyz"];

/// Serves operator endpoints until the task is aborted.
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
