//! Jobs, one at a time.

use axum::Json;
use axum::body::Body;
use axum::extract::{Path, State};
use axum::http::{Request, StatusCode};
use kernel::errors;
use kernel::ids;

use super::Entry;
use super::calls::{header, read_body};
use super::reply::Reply;

const NAME_LIMIT_CHARS: usize = 100;
const TASKS_LIMIT: u32 = 100_000;

/// Accepts a job.
pub(super) async fn submit(
    State(entry): State<Entry>,
    request: Request<Body>,
) -> Reply<(StatusCode, Json<api::JobAccepted>)> {
    let key = header(request.headers(), api::headers::IDEMPOTENCY_KEY)
        .filter(|key| !key.is_empty())
        .ok_or_else(|| bad("idempotency-key is required; send a job again under the same key"))?;
    let (body, _memory) = read_body(&entry, request.into_body()).await?;
    let request: api::JobRequest = serde_json::from_slice(&body)
        .map_err(|error| bad(&format!("the job does not decode: {error}")))?;
    check(&request)?;
    let name = request
        .name
        .clone()
        .unwrap_or_else(|| ids::WorkId::new(format!("job-{key}")));
    let work = request.into_work(name);
    let key = ids::IdempotencyKey::new(key);
    let job = entry.operations.submit_job(&work, &key).await?;
    Ok((StatusCode::ACCEPTED, Json(api::JobAccepted { job })))
}

/// Checks what no cell could run; sizes are checked where the task is placed.
fn check(request: &api::JobRequest) -> errors::Result<()> {
    if request.tasks == 0 || request.tasks > TASKS_LIMIT {
        return Err(bad(&format!("tasks: must be from 1 to {TASKS_LIMIT}")));
    }
    if request.max_attempts == 0 {
        return Err(bad("max_attempts: must be at least 1"));
    }
    if request.demand.cpu_milli == 0 && request.demand.accelerators == 0 {
        return Err(bad("demand: a task needs processors or accelerators"));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    let name_is_fine = |name: &ids::WorkId| {
        let name = name.as_str();
        !name.is_empty() && name.len() <= NAME_LIMIT_CHARS && name.chars().all(allowed)
    };
    if !request.name.as_ref().is_none_or(name_is_fine) {
        return Err(bad(
            "name: must have 1 to 100 letters, digits, '-', '_' or '.'",
        ));
    }
    Ok(())
}

/// Cancels a job.
pub(super) async fn cancel(
    State(entry): State<Entry>,
    Path(job): Path<String>,
) -> Reply<Json<api::JobAccepted>> {
    let job = entry.operations.cancel_job(&ids::WorkId::new(&job)).await?;
    Ok(Json(api::JobAccepted { job }))
}

/// The status of one job.
pub(super) async fn status(
    State(entry): State<Entry>,
    Path(job): Path<String>,
) -> Reply<Json<api::JobStatus>> {
    let status = entry.operations.job_status(&ids::WorkId::new(&job)).await?;
    Ok(Json(status))
}

/// The status of all jobs whose shards can be reached.
pub(super) async fn list(State(entry): State<Entry>) -> Json<Vec<api::JobStatus>> {
    Json(entry.operations.jobs().await)
}

fn bad(detail: &str) -> errors::Error {
    errors::Error::new(errors::ErrorKind::BadRequest, detail)
}
