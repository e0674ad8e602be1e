//! A side process with random faults of its engine and restarts of both: memory is never
//! overcommitted, responses are not mixed up, and service recovers.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use std::time::Duration;

use base::seeded_rng;
use common::{
    FakeEntry, Platform, RunningSide, config, connect, engine_settings, generate, request,
    run_test, side_settings, wait_for,
};
use rand::Rng;
use rand::seq::IndexedRandom;
use standin::{EngineServer, EngineSettings, answer_text};
use wire::GenerateFrame;

const SEEDS: [u64; 4] = [1, 2, 3, 4];
const ROUNDS: usize = 6;
const MODELS: [&str; 3] = ["base", "first", "second"];

fn random_faults(rng: &mut impl Rng, settings: &mut EngineSettings) {
    settings.lose_orders = rng.random_range(0..3);
    settings.lose_order_answers = rng.random_range(0..3);
    settings.fail_orders = rng.random_range(0..2);
    settings.order_delay_ms = rng.random_range(0..100);
    settings.lost_hang = rng.random();
    settings.truncate_answers = rng.random_range(0..2);
    settings.cross_heads = rng.random_range(0..2);
    settings.crossed_events_percent = rng.random_range(0..50);
    settings.repeated_events_percent = rng.random_range(0..50);
}

/// Guards against combinations of faults that overcommit memory, mix up responses or stop the
/// service.
#[test]
fn random_faults_keep_memory_bounded_and_answers_correct() {
    run_test(async {
        for seed in SEEDS {
            let mut rng = seeded_rng(seed);
            let settings = EngineSettings { honours_fencing: seed % 2 == 0, ..engine_settings() };
            let mut engine = EngineServer::start(settings).await.unwrap();
            let platform = Platform::start().await;
            let _entry = FakeEntry::start(&platform).await;
            let settings = side_settings(&platform, "t1", engine.address());
            let mut side = RunningSide::start(settings.clone(), config()).await;
            side.wait_ready().await;
            for _ in 0..ROUNDS {
                engine.update(|settings| random_faults(&mut rng, settings));
                let client = connect(side.address).await;
                let requests: Vec<_> = (0..6)
                    .map(|_| {
                        let mut request = request(MODELS.choose(&mut rng).unwrap());
                        request.deadline_ms = 400;
                        request
                    })
                    .collect();
                let answers = requests.iter().map(|request| generate(&client, request));
                let answers = futures_util::future::join_all(answers);
                let restarts = rng.random_range(0..4);
                if restarts == 0 {
                    // The new process starts while orders of the old one are in flight; some of the
                    // responses may have arrived by then.
                    let _some = tokio::time::timeout(Duration::from_millis(30), answers).await;
                    side.kill().await;
                    side = RunningSide::start(settings.clone(), config()).await;
                    continue;
                }
                for (request, (text, last)) in requests.iter().zip(answers.await) {
                    let whole = answer_text(&request.model, None, &request.prompt, 8);
                    assert!(
                        whole.starts_with(&text),
                        "seed {seed}: {text} is not a prefix of {whole}"
                    );
                    if matches!(last, Some(GenerateFrame::Finished { .. })) {
                        assert_eq!(text, whole, "seed {seed}");
                    }
                }
                if restarts == 1 {
                    engine.restart().await.unwrap();
                }
            }
            engine.update(|settings| {
                *settings = EngineSettings {
                    honours_fencing: settings.honours_fencing,
                    ..engine_settings()
                };
            });
            let client = connect(side.address).await;
            for model in MODELS {
                let whole = answer_text(model, None, "one two three four", 8);
                wait_for(&format!("seed {seed}: {model} is served"), async || {
                    generate(&client, &request(model)).await.0 == whole
                })
                .await;
            }
            let journal = engine.journal();
            assert_eq!(journal.overcommit_attempts, 0, "seed {seed}");
            assert!(journal.most_used_mb <= 2_500, "seed {seed}");
        }
    });
}
