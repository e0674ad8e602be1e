//! Orders of the stand-in engine.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::{Request, StatusCode};
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::EngineSettings;
use crate::engine_journal::{OrderEntry, OrderOutcome};
use crate::engine_server::EngineService;
use crate::engine_state::{AdapterSlot, EngineState, ModelSlot, RoleName, SlotState};
use crate::reply::{Hangup, Reply, json, lose_answer, take_one, text, wait_ms};
use crate::server::lock;

#[derive(Deserialize)]
struct OrderBody {
    order: CompactString,
    fencing: u64,
    deadline_ms: u64,
    #[serde(default)]
    model: CompactString,
    #[serde(default)]
    version: CompactString,
    #[serde(default)]
    adapter: CompactString,
    #[serde(default)]
    memory_mb: u64,
    #[serde(default)]
    load_ms: u64,
    #[serde(default)]
    role: RoleName,
}

#[derive(Serialize)]
struct OrderAnswer {
    order: CompactString,
    result: OrderOutcome,
}

/// The part of an order that takes time, after its memory was taken.
enum Work {
    Load,
    None(OrderOutcome),
    Unload,
}

impl EngineService {
    pub(crate) async fn order(self: Arc<Self>, path: CompactString, body: &[u8]) -> Reply {
        let Ok(body) = serde_json::from_slice::<OrderBody>(body) else {
            return text(StatusCode::BAD_REQUEST, "malformed order");
        };
        let (lose_order, lose_answer_now, hang) = {
            let mut settings = lock(&self.settings);
            let lose_order = take_one(&mut settings.lose_orders);
            let lose_answer_now = !lose_order && take_one(&mut settings.lose_order_answers);
            (lose_order, lose_answer_now, settings.lost_hang)
        };
        if lose_order {
            return lose_answer(hang).await;
        }
        let order = body.order.clone();
        let mut result = self.begin(path, body);
        if lose_answer_now {
            return lose_answer(hang).await;
        }
        // The sender is dropped without a result if the engine dies.
        let result = result.wait_for(Option::is_some).await.ok().and_then(|result| *result);
        json(StatusCode::OK, &OrderAnswer { order, result: result.ok_or(Hangup)? })
    }

    /// Begins an order, or finds the one with the same id.
    fn begin(
        self: Arc<Self>,
        path: CompactString,
        body: OrderBody,
    ) -> watch::Receiver<Option<OrderOutcome>> {
        let mut state = lock(&self.state);
        if let Some(known) = state.orders.get(&body.order) {
            return known.clone();
        }
        let (sender, receiver) = watch::channel(None);
        state.orders.insert(body.order.clone(), receiver.clone());
        let life = state.life;
        drop(state);
        tokio::spawn(async move {
            let Some(result) = self.execute(&path, &body, life).await else { return };
            let mut state = lock(&self.state);
            if state.life == life {
                let (order, fencing) = (body.order, body.fencing);
                state.journal.add_order(OrderEntry { order, path, fencing, result });
                sender.send_replace(Some(result));
            }
        });
        receiver
    }

    /// Executes an order; no result if the engine died meanwhile.
    async fn execute(&self, path: &str, body: &OrderBody, life: u64) -> Option<OrderOutcome> {
        let arrived = Instant::now();
        let order_delay_ms = lock(&self.settings).order_delay_ms;
        wait_ms(order_delay_ms).await;
        let settings = {
            let mut settings = lock(&self.settings);
            if take_one(&mut settings.fail_orders) {
                return Some(OrderOutcome::Failed);
            }
            settings.clone()
        };
        let work = {
            let mut state = lock(&self.state);
            if state.life != life {
                return None;
            }
            if settings.honours_fencing && body.fencing < state.floor {
                return Some(OrderOutcome::Fenced);
            }
            if settings.honours_fencing {
                state.floor = body.fencing;
            }
            if arrived.elapsed() >= Duration::from_millis(body.deadline_ms) {
                return Some(OrderOutcome::Expired);
            }
            let work = start_work(&mut state, path, body, &settings);
            state.note_memory();
            work
        };
        let loaded = match work {
            Work::None(result) => return Some(result),
            Work::Load => self.load(path, body, &settings).await,
            Work::Unload => {
                self.drain(path, body, life).await;
                wait_ms(settings.unload_ms).await;
                true
            }
        };
        let mut state = lock(&self.state);
        (state.life == life).then(|| end_work(&mut state, path, body, loaded))
    }

    async fn load(&self, path: &str, body: &OrderBody, settings: &EngineSettings) -> bool {
        let Some(store) = settings.weight_store.filter(|_| path == "/models/load") else {
            wait_ms(body.load_ms).await;
            return true;
        };
        let load = serde_json::json!({
            "target": settings.name, "name": body.model,
            "megabytes": body.memory_mb, "load_ms": body.load_ms,
        });
        let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
        let request = Request::post(format!("http://{store}/loads"))
            .body(Full::new(Bytes::from(load.to_string())));
        let Ok(request) = request else { return false };
        client.request(request).await.is_ok_and(|response| response.status() == StatusCode::OK)
    }

    /// Waits until no request uses the model that is being unloaded.
    async fn drain(&self, path: &str, body: &OrderBody, life: u64) {
        if path != "/models/unload" {
            return;
        }
        loop {
            let mut changed = std::pin::pin!(self.changed.notified());
            changed.as_mut().enable();
            {
                let state = lock(&self.state);
                if state.life != life || state.requests.iter().all(|r| r.model != body.model) {
                    return;
                }
            }
            changed.await;
        }
    }
}

fn start_work(
    state: &mut EngineState,
    path: &str,
    body: &OrderBody,
    settings: &EngineSettings,
) -> Work {
    let model_state =
        state.models.iter().find(|slot| slot.model == body.model).map(|slot| slot.state);
    let adapter_state =
        state.adapters.iter().find(|slot| slot.adapter == body.adapter).map(|slot| slot.state);
    match path {
        "/models/load" => {
            let same = |s: &ModelSlot| s.model == body.model && s.version == body.version;
            if state.models.iter().any(|s| same(s) && s.state == SlotState::Resident) {
                return Work::None(OrderOutcome::Done);
            }
            if model_state.is_some_and(|state| state != SlotState::Resident) {
                return Work::None(OrderOutcome::Failed);
            }
            if !state.fits(body.memory_mb, settings) {
                return Work::None(OrderOutcome::NoMemory);
            }
            state.models.push(ModelSlot {
                model: body.model.clone(),
                version: body.version.clone(),
                state: SlotState::Loading,
                memory_mb: body.memory_mb,
            });
            Work::Load
        }
        "/adapters/load" => {
            match adapter_state {
                Some(SlotState::Resident) => return Work::None(OrderOutcome::Done),
                Some(_) => return Work::None(OrderOutcome::Failed),
                None if !state.serves(&body.model, None) => {
                    return Work::None(OrderOutcome::Failed);
                }
                None => {}
            }
            if !state.fits(body.memory_mb, settings) {
                return Work::None(OrderOutcome::NoMemory);
            }
            state.adapters.push(AdapterSlot {
                adapter: body.adapter.clone(),
                model: body.model.clone(),
                state: SlotState::Loading,
                memory_mb: body.memory_mb,
            });
            Work::Load
        }
        "/models/unload" => match model_state {
            None => Work::None(OrderOutcome::Done),
            Some(SlotState::Resident) => {
                let slots = state.models.iter_mut().filter(|slot| slot.model == body.model);
                slots.for_each(|slot| slot.state = SlotState::Unloading);
                Work::Unload
            }
            Some(_) => Work::None(OrderOutcome::Failed),
        },
        "/adapters/unload" => match adapter_state {
            None => Work::None(OrderOutcome::Done),
            Some(SlotState::Resident) => {
                let slots = state.adapters.iter_mut().filter(|slot| slot.adapter == body.adapter);
                slots.for_each(|slot| slot.state = SlotState::Unloading);
                Work::Unload
            }
            Some(_) => Work::None(OrderOutcome::Failed),
        },
        _ => {
            state.role = body.role;
            Work::None(OrderOutcome::Done)
        }
    }
}

fn end_work(state: &mut EngineState, path: &str, body: &OrderBody, loaded: bool) -> OrderOutcome {
    match path {
        "/models/load" => {
            let new = |s: &ModelSlot| s.model == body.model && s.version == body.version;
            if !loaded {
                state.models.retain(|slot| !new(slot));
                return OrderOutcome::Failed;
            }
            // The new version takes the place of the old one.
            state.models.retain(|slot| slot.model != body.model || new(slot));
            let slots = state.models.iter_mut().filter(|slot| new(slot));
            slots.for_each(|slot| slot.state = SlotState::Resident);
        }
        "/adapters/load" => {
            let slots = state.adapters.iter_mut().filter(|slot| slot.adapter == body.adapter);
            slots.for_each(|slot| slot.state = SlotState::Resident);
        }
        "/models/unload" => {
            state.models.retain(|slot| slot.model != body.model);
            state.adapters.retain(|slot| slot.model != body.model);
            state.cache.clear(&body.model);
        }
        _ => state.adapters.retain(|slot| slot.adapter != body.adapter),
    }
    OrderOutcome::Done
}
