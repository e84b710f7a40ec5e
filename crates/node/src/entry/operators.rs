//! Handlers for operator queries.

use axum::Json;
use axum::extract::State;
use kernel::ids;

use super::Entry;
use super::params::PathParams;
use super::reply::HandlerResult;
use crate::operators;

/// The entry hosts known to this host.
pub(super) async fn hosts(State(entry): State<Entry>) -> Json<Vec<api::HostView>> {
    Json(operators::hosts(&entry.shared))
}

/// The workers of all groups whose owners are reachable.
pub(super) async fn workers(State(entry): State<Entry>) -> Json<Vec<api::WorkerView>> {
    Json(operators::workers(&entry.shared).await)
}

/// The tasks on the workers of all groups whose owners are reachable.
pub(super) async fn placements(State(entry): State<Entry>) -> Json<Vec<api::Placement>> {
    Json(operators::placements(&entry.shared).await)
}

/// Explains why a task waits, or where it runs or ran.
pub(super) async fn explain(
    State(entry): State<Entry>,
    PathParams((work, index)): PathParams<(String, u32)>,
) -> HandlerResult<Json<api::Explanation>> {
    let task = ids::TaskId::new(&ids::WorkId::new(&work), index);
    Ok(Json(operators::explain(&entry.shared, &task).await?))
}
