//! Streamed bodies of responses.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use ingress::{CallerBudgetSettings, CallerDisconnected, ResponseBody, SharedCallerBudget};
use tokio::task::{JoinSet, LocalSet};
use tokio::time::timeout;

const CHUNK_BYTES: usize = 40 << 10;

fn chunk() -> Bytes {
    Bytes::from(vec![b'a'; CHUNK_BYTES])
}

/// Guards against a response that a caller reads slowly or not at all and that is held in chunks of
/// any size.
#[tokio::test]
async fn large_chunks_wait_until_earlier_ones_are_read() {
    let (sender, mut body) = ResponseBody::streaming(None);
    sender.send(chunk()).await.unwrap();
    let waits = timeout(Duration::from_millis(20), sender.send(chunk())).await;
    assert!(waits.is_err(), "80 KB are buffered");
    let read = async {
        for _ in 0..10 {
            assert_eq!(body.frame().await.unwrap().unwrap().into_data().unwrap(), chunk());
        }
        assert!(body.frame().await.is_none());
    };
    let send = async {
        for _ in 0..9 {
            sender.send(chunk()).await.unwrap();
        }
        sender.finish().await.unwrap();
    };
    timeout(Duration::from_secs(5), async { tokio::join!(read, send) }).await.unwrap();
}

/// Guards against a chunk above the bound that is never sent, and against a sender that waits for a
/// caller who has left.
#[tokio::test]
async fn a_chunk_above_the_bound_is_sent_alone() {
    let (sender, mut body) = ResponseBody::streaming(None);
    let large = Bytes::from(vec![b'a'; 1 << 20]);
    sender.send(large.clone()).await.unwrap();
    assert_eq!(body.frame().await.unwrap().unwrap().into_data().unwrap(), large);
    sender.send(large.clone()).await.unwrap();
    let leave = async {
        tokio::task::yield_now().await;
        drop(body);
    };
    let (sent, ()) = tokio::join!(sender.send(large), leave);
    assert_eq!(sent, Err(CallerDisconnected));
}

/// Guards against responses that are read in part and wait for each other's memory until they time
/// out.
#[tokio::test]
async fn responses_that_exceed_the_memory_together_are_all_read() {
    const RESPONSES: usize = 20;
    const CHUNKS: usize = 25;
    let settings = CallerBudgetSettings {
        memory_bytes: 6_000_000,
        connections: 10,
        socket_buffer_bytes: 32 << 10,
    };
    let budget = SharedCallerBudget::new(settings);
    let read_all = async {
        let mut reads = JoinSet::new();
        for _ in 0..RESPONSES {
            let (sender, body) = ResponseBody::streaming(None);
            tokio::task::spawn_local(async move {
                for _ in 0..CHUNKS {
                    sender.send(chunk()).await.unwrap();
                }
                sender.finish().await.unwrap();
            });
            let budget = std::rc::Rc::clone(&budget);
            reads.spawn_local(
                async move { budget.read_response(body, 2 << 20).await.unwrap().len() },
            );
        }
        reads.join_all().await
    };
    let lengths = timeout(Duration::from_secs(10), LocalSet::new().run_until(read_all)).await;
    assert_eq!(lengths.unwrap(), [CHUNKS * CHUNK_BYTES; RESPONSES]);
}
