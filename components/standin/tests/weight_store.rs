//! The stand-in weight store: loads beyond its limit take longer.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use standin::{WeightStoreServer, WeightStoreSettings};

async fn load(address: SocketAddr) -> (StatusCode, Duration) {
    let started = Instant::now();
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let body = r#"{"target": "t", "name": "m", "megabytes": 100, "load_ms": 100}"#;
    let request = Request::post(format!("http://{address}/loads")).body(Full::from(body)).unwrap();
    let response = client.request(request).await.unwrap();
    (response.status(), started.elapsed())
}

#[tokio::test]
async fn loads_beyond_the_concurrent_limit_take_proportionally_longer() {
    let settings = WeightStoreSettings {
        concurrent_loads: 2,
        loads_per_1000_s: 2_000,
        ..WeightStoreSettings::default()
    };
    let store = WeightStoreServer::start(settings).await.unwrap();
    let (first, second) = tokio::join!(load(store.address()), load(store.address()));
    assert!(first.1.min(second.1) >= Duration::from_millis(100));
    assert_eq!(load(store.address()).await.0, StatusCode::TOO_MANY_REQUESTS);

    store.update(|settings| {
        settings.loads_per_1000_s = 1_000_000;
        settings.concurrent_loads = 1;
    });
    tokio::time::sleep(Duration::from_millis(10)).await;
    let loading = tokio::spawn(load(store.address()));
    tokio::time::sleep(Duration::from_millis(30)).await;
    let slowed = load(store.address()).await;
    assert_eq!(slowed.0, StatusCode::OK);
    assert!(slowed.1 >= Duration::from_millis(200), "{slowed:?}");
    assert!(loading.await.unwrap().1 >= Duration::from_millis(100));
    let counts = store.counts();
    assert_eq!((counts.started, counts.refused, counts.most_concurrent), (4, 1, 2));
}
