//! Health, readiness and metrics for operators.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;

use crate::app::App;

/// Longest time to receive the head of a request.
const HEAD_LIMIT: Duration = Duration::from_secs(5);

/// Accepts operators' connections until the task is aborted.
pub(crate) async fn serve_operators(app: Rc<App>, listener: TcpListener) {
    let shared = Rc::clone(&app);
    let not_ready_reason = move || shared.not_ready_reason();
    let metrics_text = move || app.metrics.to_text();
    ingress::serve_operator_endpoints(
        listener,
        HEAD_LIMIT,
        &["/readyz"],
        not_ready_reason,
        metrics_text,
    )
    .await;
}
