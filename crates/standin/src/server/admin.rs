//! Admin handlers: fault injection, worker actions, history and counters.

use std::sync::Arc;

use axum::Json;
use axum::extract;
use axum::response::{IntoResponse, Response};
use derive_more::Display;
use http::{StatusCode, header};
use kernel::ids;
use serde::{Deserialize, Serialize};

use super::{State, reply};
use crate::events;
use crate::faults;

type Shared = extract::State<Arc<State>>;

/// An action on a worker.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub(super) enum Action {
    Kill,
    Leave,
    FailAll,
    Revive,
}

/// Reply to a worker action; a revived worker may have a new id.
#[derive(Clone, Debug, Serialize)]
struct WorkerMessage {
    worker: ids::WorkerId,
}

pub(super) async fn faults(
    extract::State(state): Shared,
    Json(fault): Json<faults::Fault>,
) -> Response {
    kernel::log_event!(events::FAULT_APPLIED, "{fault:?}");
    state.platform.apply(fault);
    reply::json(())
}

pub(super) async fn worker(
    extract::State(state): Shared,
    extract::Path((id, action)): extract::Path<(String, Action)>,
) -> Response {
    let id = ids::WorkerId::new(id);
    let worker = state.platform.change_fleet(|model, now_ms| match action {
        Action::Kill => model.kill(&id, now_ms).then(|| id.clone()),
        Action::Leave => model.leave(&id, now_ms).then(|| id.clone()),
        Action::FailAll => model.set_fails_all(&id, true, now_ms).then(|| id.clone()),
        Action::Revive => model.revive(&id, now_ms),
    });
    let Some(worker) = worker else {
        return (StatusCode::NOT_FOUND, format!("no worker {id} is alive\n")).into_response();
    };
    kernel::log_event!(events::WORKER_CHANGED, "{action} {id}: now {worker}");
    reply::json(WorkerMessage { worker })
}

/// Header with the number of events evicted from the history.
const DROPPED_HEADER: &str = "x-dropped-events";

/// Query parameters of the history endpoint.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(super) struct HistoryQuery {
    /// Number of events to skip, counting from the first event ever appended.
    #[serde(default)]
    after: u64,
}

pub(super) async fn history(
    extract::State(state): Shared,
    extract::Query(query): extract::Query<HistoryQuery>,
) -> Response {
    let records = state.history.records(query.after);
    let mut lines = String::new();
    for record in &records {
        let Ok(line) = serde_json::to_string(record) else {
            continue;
        };
        lines.push_str(&line);
        lines.push('\n');
    }
    let content_type = (
        header::CONTENT_TYPE.as_str(),
        "application/jsonl".to_owned(),
    );
    let dropped = (DROPPED_HEADER, state.history.dropped().to_string());
    ([content_type, dropped], lines).into_response()
}

pub(super) async fn counters(extract::State(state): Shared) -> Response {
    reply::json(state.platform.counters())
}
