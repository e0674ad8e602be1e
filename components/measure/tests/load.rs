//! The load generator against a stand-in engine.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use measure::{LoadPlan, put_load};
use standin::{EngineServer, EngineSettings, PreloadedModel};

fn plan(engine: &EngineServer, model: &str) -> LoadPlan {
    LoadPlan {
        address: engine.address(),
        engine: true,
        streamed: true,
        model: model.to_owned(),
        key: String::new(),
        tokens: 5,
        connections: 4,
        rate: Some(50.0),
        seconds: 1,
        seed: 20_261_204,
    }
}

/// Guards against tokens counted twice or missed, and against refused requests counted as answered.
#[tokio::test]
async fn tokens_and_failures_are_counted() {
    let model =
        PreloadedModel { model: "m".into(), version: "v1".into(), ..PreloadedModel::default() };
    let settings = EngineSettings { models: vec![model], token_us: 0, ..EngineSettings::default() };
    let engine = EngineServer::start(settings).await.unwrap();
    let served = put_load(plan(&engine, "m")).await.unwrap();
    assert!(served.answered > 0);
    assert_eq!((served.failed, served.tokens), (0, served.answered * 5));
    let refused = put_load(plan(&engine, "other")).await.unwrap();
    assert_eq!((refused.answered, refused.tokens), (0, 0));
    assert_eq!(refused.failed, served.answered, "the seed gives the same requests");
}
