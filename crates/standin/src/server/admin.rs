//! Handlers that disturb the platform and read what happened.

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

/// What is done to a worker.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub(super) enum Action {
    Kill,
    Leave,
    FailAll,
    Revive,
}

/// The worker after an action; a revived one may have a new id.
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

pub(super) async fn history(extract::State(state): Shared) -> Response {
    let records = state.history.records();
    let mut lines = String::new();
    for record in &records {
        let Ok(line) = serde_json::to_string(record) else {
            continue;
        };
        lines.push_str(&line);
        lines.push('\n');
    }
    ([(header::CONTENT_TYPE, "application/jsonl")], lines).into_response()
}

pub(super) async fn counters(extract::State(state): Shared) -> Response {
    reply::json(state.platform.counters())
}
