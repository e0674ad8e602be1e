//! Sends orders to an engine.

use std::cell::RefCell;

use clock::BootClock;
use placement::EngineOrderScheduler;
use platform::EngineClient;
use telemetry::quote;

/// Sends the order that is due in the name of `holder` with its fencing token; returns false if
/// none is due.
pub async fn send_order(
    scheduler: &RefCell<EngineOrderScheduler>,
    engine: &EngineClient,
    holder: &str,
    fencing_number: u64,
    clock: &BootClock,
) -> bool {
    let requested_at = clock.now();
    let Some(due) = scheduler.borrow().next_order(requested_at) else { return false };
    scheduler.borrow_mut().record_sent(&due);
    let answer = engine.order(&due, holder, fencing_number).await;
    let now = clock.now();
    log::info!(
        "event=order_given order={} model={} adapter={} target={} expected={} answer={} after_ms={}",
        due.order.as_str(),
        quote(due.order.model()),
        due.order.adapter().map_or("-", |adapter| adapter.as_str()),
        quote(&due.target),
        due.expected,
        answer.as_str(),
        now.since(requested_at).as_millis()
    );
    scheduler.borrow_mut().apply_answer(&due, answer, now);
    true
}
