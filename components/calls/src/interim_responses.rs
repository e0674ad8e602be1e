//! Bound on the interim responses (1xx) to a request.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use http::Request;
use hyper::ext::on_informational;
use tokio::sync::Notify;

/// Most interim responses to a request. Servers send a few while they work on it.
const MAX_INTERIM_RESPONSES: u32 = 64;

/// Counts the interim responses to one request at a time. The HTTP client skips them as long as more
/// arrive, and one that reads faster than the server sends occupies its thread.
#[derive(Clone, Debug, Default)]
pub struct InterimResponses {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    count: AtomicU32,
    exceeded: Notify,
}

impl InterimResponses {
    /// Counts those to `request`, from zero.
    pub fn watch<B>(&self, request: &mut Request<B>) {
        let shared = Arc::clone(&self.shared);
        shared.count.store(0, Ordering::Relaxed);
        on_informational(request, move |_| {
            let before = shared.count.fetch_add(1, Ordering::Relaxed);
            if before == MAX_INTERIM_RESPONSES {
                shared.exceeded.notify_one();
            }
        });
    }

    /// Whether there are more than servers send.
    pub fn is_exceeded(&self) -> bool {
        self.shared.count.load(Ordering::Relaxed) > MAX_INTERIM_RESPONSES
    }

    /// Waits until there are more than servers send.
    pub async fn exceeded(&self) {
        self.shared.exceeded.notified().await;
    }
}
