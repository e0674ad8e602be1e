//! Suggestions to side processes, and pins between them.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use std::time::Duration;

use base::Role;
use common::{
    CALL_LIMIT, FakeEntry, Platform, RunningSide, config, connect, engine_settings, identity,
    plain_heartbeat, run_test, side_settings, wait_for,
};
use standin::EngineServer;
use wire::{
    FleetSecret, PeerCall, PeerClient, PeerIdentity, PeerReply, PinOutcome, SuggestOutcome,
    Suggestion,
};

/// Side processes whose engines all have `base` resident.
struct Fleet {
    platform: Platform,
    _entry: FakeEntry,
    engines: Vec<EngineServer>,
    sides: Vec<RunningSide>,
}

impl Fleet {
    async fn start(count: usize) -> Self {
        let platform = Platform::start().await;
        let entry = FakeEntry::start(&platform).await;
        let (mut engines, mut sides) = (Vec::new(), Vec::new());
        for target in &["t1", "t2", "t3"][..count] {
            let engine = EngineServer::start(engine_settings()).await.unwrap();
            let settings = side_settings(&platform, target, engine.address());
            let side = RunningSide::start(settings, config()).await;
            platform.list(target, side.address, Role::Side);
            engines.push(engine);
            sides.push(side);
        }
        for side in &sides {
            side.wait_ready().await;
        }
        Self { platform, _entry: entry, engines, sides }
    }

    /// Number of engines with `base` resident, by their orders.
    fn copies(&self) -> usize {
        let holds = |engine: &&EngineServer| {
            let orders = engine.journal().orders;
            let count = |path: &str| orders.iter().filter(|order| order.path == path).count();
            1 + count("/models/load") > count("/models/unload")
        };
        self.engines.iter().filter(holds).count()
    }
}

async fn suggest(client: &PeerClient, suggestion: Suggestion) -> SuggestOutcome {
    match client.call(&PeerCall::Suggest(suggestion), CALL_LIMIT).await.unwrap() {
        PeerReply::Suggest(outcome) => outcome,
        reply => panic!("unexpected reply {reply:?}"),
    }
}

fn unload(model: &str) -> Suggestion {
    Suggestion::Unload { model: model.into() }
}

fn load(model: &str) -> Suggestion {
    Suggestion::Load { model: model.into() }
}

/// Guards against side processes that unload the last copy of an always resident model when all of
/// them receive a suggestion to unload it at the same time.
#[test]
fn concurrent_unload_suggestions_keep_one_copy() {
    run_test(async {
        for count in [2, 3] {
            let fleet = Fleet::start(count).await;
            let mut clients = Vec::new();
            for side in &fleet.sides {
                clients.push(connect(side.address).await);
            }
            for _ in 0..3 {
                let suggestions = clients.iter().map(|client| suggest(client, unload("base")));
                futures_util::future::join_all(suggestions).await;
                assert!(fleet.copies() >= 1);
            }
            wait_for("all but one copy are unloaded", async || {
                for client in &clients {
                    suggest(client, unload("base")).await;
                }
                assert!(fleet.copies() >= 1, "the last copy is gone");
                fleet.copies() == 1
            })
            .await;
            // A pin search takes at most a second; none may succeed any more.
            for _ in 0..15 {
                for client in &clients {
                    suggest(client, unload("base")).await;
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
                assert_eq!(fleet.copies(), 1);
            }
        }
    });
}

/// Guards against a last copy that is unloaded because no peer responds or a listed address is
/// unreachable.
#[test]
fn last_copy_stays_resident() {
    run_test(async {
        let fleet = Fleet::start(1).await;
        fleet.platform.list("unreachable", "127.0.0.1:9".parse().unwrap(), Role::Side);
        let client = connect(fleet.sides[0].address).await;
        for _ in 0..15 {
            suggest(&client, unload("base")).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
            assert!(fleet.engines[0].journal().orders.is_empty());
        }
    });
}

/// Guards against suggestions that are not carried out, or are carried out when they must not be.
#[test]
fn suggestions_are_carried_out_or_declined() {
    run_test(async {
        let fleet = Fleet::start(1).await;
        let client = connect(fleet.sides[0].address).await;
        assert_eq!(suggest(&client, load("nothing")).await, SuggestOutcome::Declined);
        assert_eq!(suggest(&client, load("big")).await, SuggestOutcome::Declined);
        assert_eq!(suggest(&client, unload("first")).await, SuggestOutcome::Accepted);
        assert_eq!(suggest(&client, load("first")).await, SuggestOutcome::Accepted);
        let engine = &fleet.engines[0];
        wait_for("loaded", async || engine.journal().orders.len() == 1).await;
        assert_eq!(suggest(&client, unload("first")).await, SuggestOutcome::Accepted);
        wait_for("unloaded", async || engine.journal().orders.len() == 2).await;
    });
}

/// Guards against a pin granted on behalf of another process, and against an unload of a pinned
/// copy.
#[test]
fn pins_are_granted_to_the_caller_only_and_prevent_unloads() {
    run_test(async {
        let fleet = Fleet::start(1).await;
        let side_x = identity("side-x", Role::Side);
        let secret = FleetSecret::new(common::SECRET.as_bytes());
        let client = PeerClient::connect(fleet.sides[0].address, &side_x, &secret, CALL_LIMIT)
            .await
            .unwrap();
        let pin = |requester, ask| PeerCall::Pin { model: "base".into(), requester, ask };
        let other = identity("side-y", Role::Side).process;
        let reply = client.call(&pin(other, 1), CALL_LIMIT).await.unwrap();
        assert_eq!(reply, PeerReply::Unsupported);
        let reply = client.call(&pin(side_x.process.clone(), 1), CALL_LIMIT).await.unwrap();
        assert_eq!(reply, PeerReply::Pin(PinOutcome::Held));
        assert_eq!(suggest(&client, unload("base")).await, SuggestOutcome::Declined);
        let unpin =
            PeerCall::Unpin { model: "base".into(), requester: side_x.process.clone(), ask: 1 };
        assert_eq!(client.call(&unpin, CALL_LIMIT).await.unwrap(), PeerReply::Done);
        assert_eq!(suggest(&client, unload("base")).await, SuggestOutcome::Accepted);
    });
}

/// Guards against messages of a superseded incarnation, for example a late `Pin` or `Unpin`.
#[test]
fn calls_of_an_older_incarnation_are_refused() {
    run_test(async {
        let fleet = Fleet::start(1).await;
        let address = fleet.sides[0].address;
        let secret = FleetSecret::new(common::SECRET.as_bytes());
        let (older, newer) = (identity("side-x", Role::Side), identity("side-x", Role::Side));
        let old_client = PeerClient::connect(address, &older, &secret, CALL_LIMIT).await.unwrap();
        let new_client = PeerClient::connect(address, &newer, &secret, CALL_LIMIT).await.unwrap();
        let pin = |identity: &PeerIdentity| PeerCall::Pin {
            model: "base".into(),
            requester: identity.process.clone(),
            ask: 1,
        };
        let reply = old_client.call(&pin(&older), CALL_LIMIT).await.unwrap();
        assert_eq!(reply, PeerReply::Pin(PinOutcome::Held));
        // The newer incarnation is past its quarantine, which ends the older one's pin.
        let heartbeat = PeerCall::Heartbeat(Box::new(plain_heartbeat(&newer, address)));
        let reply = new_client.call(&heartbeat, CALL_LIMIT).await.unwrap();
        assert!(matches!(reply, PeerReply::Heartbeat(_)));
        let reply = old_client.call(&pin(&older), CALL_LIMIT).await.unwrap();
        assert_eq!(reply, PeerReply::Unsupported);
        assert_eq!(suggest(&new_client, unload("base")).await, SuggestOutcome::Accepted);
    });
}
