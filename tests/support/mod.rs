//! Harness of the integration tests: the shipped binary as real processes, every link behind the
//! fault-injecting proxy.

#![allow(dead_code, unused_imports, reason = "each test file uses its own part")]
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod caller;
mod engine_machine;
mod fleet;
mod gateway;
mod process;
mod raw_target;
mod standins;

use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

pub use caller::{Caller, StreamedAnswer};
pub use engine_machine::EngineMachine;
pub use fleet::{Entry, Fleet, FleetOptions, KEY, MODEL, Side};
pub use gateway::{
    CUSTOMER_KEY, HOST, PeerGateway, PlainGateway, SERVICE, gateway_machine, plain_call,
    plain_call_at, plain_route,
};
pub use process::Process;
pub use raw_target::{CountingTarget, echo_target, header_value, id_line, read_head, start_target};
pub use standins::StandinProcess;
use tokio::time::{Instant, sleep};

/// Bound on each wait for a condition; far above what any of them takes.
pub const WAIT_LIMIT: Duration = Duration::from_secs(15);

/// A loopback address that no other process of the tests uses, so that its ports are free.
pub fn own_ip() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(100);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, NEXT.fetch_add(1, Ordering::Relaxed), high, low.max(1))
}

/// Waits until `condition` holds.
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + WAIT_LIMIT;
    while !condition().await {
        assert!(Instant::now() < end, "timed out waiting for: {what}");
        sleep(Duration::from_millis(10)).await;
    }
}
