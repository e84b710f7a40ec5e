//! What operators ask.

use axum::Json;
use axum::extract::State;
use kernel::ids;

use super::Entry;
use super::params::Params;
use super::reply::Reply;
use crate::operators;

/// The entry hosts.
pub(super) async fn hosts(State(entry): State<Entry>) -> Json<Vec<api::HostView>> {
    Json(operators::hosts(&entry.shared))
}

/// The workers of all groups whose owners can be reached.
pub(super) async fn workers(State(entry): State<Entry>) -> Json<Vec<api::WorkerView>> {
    Json(operators::workers(&entry.shared).await)
}

/// What runs on the workers of all groups whose owners can be reached.
pub(super) async fn placements(State(entry): State<Entry>) -> Json<Vec<api::Placement>> {
    Json(operators::placements(&entry.shared).await)
}

/// Why a task waits, or where it runs or ran.
pub(super) async fn explain(
    State(entry): State<Entry>,
    Params((work, index)): Params<(String, u32)>,
) -> Reply<Json<api::Explanation>> {
    let task = ids::TaskId::new(&ids::WorkId::new(&work), index);
    Ok(Json(operators::explain(&entry.shared, &task).await?))
}
