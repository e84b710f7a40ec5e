//! Handlers for jobs.

use axum::Json;
use axum::body::Body;
use axum::extract::State;
use axum::http::{Request, StatusCode};
use kernel::errors;
use kernel::ids;
use release::note::limits;

use super::Entry;
use super::body;
use super::calls::{MAX_KEY_CHARS, header};
use super::params::PathParams;
use super::reply::HandlerResult;

/// Maximum length of a job's name, in characters.
const MAX_NAME_CHARS: usize = 100;

/// Accepts a job.
pub(super) async fn submit(
    State(entry): State<Entry>,
    request: Request<Body>,
) -> HandlerResult<(StatusCode, Json<api::JobAccepted>)> {
    let key = header(request.headers(), api::headers::IDEMPOTENCY_KEY)
        .filter(|key| (1..=MAX_KEY_CHARS).contains(&key.len()))
        .ok_or_else(|| {
            bad_request(&format!(
                "idempotency-key is required, with 1 to {MAX_KEY_CHARS} characters; send a job \
                 again under the same key"
            ))
        })?;
    let (body, _memory) = body::read(&entry, request.into_body()).await?;
    let request: api::JobRequest = serde_json::from_slice(&body)
        .map_err(|error| bad_request(&format!("cannot decode the job: {error}")))?;
    let name = request
        .name
        .clone()
        .unwrap_or_else(|| ids::WorkId::new(format!("job-{key}")));
    validate(&request, &name)?;
    let work = request.into_work(name);
    let key = ids::IdempotencyKey::new(key);
    let job = entry.operations.submit_job(&work, &key).await?;
    Ok((StatusCode::ACCEPTED, Json(api::JobAccepted { job })))
}

/// Validates the ranges of individual fields, with the same limits as in a release note.
///
/// Limits of the cell and quotas are checked on submission, in [`crate::Operations`].
fn validate(request: &api::JobRequest, name: &ids::WorkId) -> errors::Result<()> {
    let demand = request.demand;
    let attempts = u64::from(request.max_attempts);
    let fields = [
        ("tasks", u64::from(request.tasks), limits::TASKS),
        ("demand.cpu_milli", demand.cpu_milli, limits::CPU_MILLI),
        ("demand.memory_mb", demand.memory_mb, limits::MEMORY_MB),
        (
            "demand.accelerators",
            demand.accelerators,
            limits::ACCELERATORS,
        ),
        ("run_time_ms", request.run_time_ms, limits::RUN_TIME_MS),
        ("max_attempts", attempts, limits::MAX_ATTEMPTS),
    ];
    for (field, value, allowed) in fields {
        if !allowed.contains(&value) {
            let (low, high) = allowed.into_inner();
            return Err(bad_request(&format!(
                "{field}: must be from {low} to {high}, not {value}"
            )));
        }
    }
    if request.zones.len() > limits::ZONES_LIMIT {
        return Err(bad_request(&format!(
            "zones: at most {} are allowed",
            limits::ZONES_LIMIT
        )));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    let text = name.as_str();
    if text.is_empty() || text.len() > MAX_NAME_CHARS || !text.chars().all(allowed) {
        return Err(bad_request(&format!(
            "name: must have 1 to {MAX_NAME_CHARS} letters, digits, '-', '_' or '.'; without a \
             name it is made from the idempotency key: {text:?}"
        )));
    }
    Ok(())
}

/// Cancels a job.
pub(super) async fn cancel(
    State(entry): State<Entry>,
    PathParams(job): PathParams<String>,
) -> HandlerResult<Json<api::JobAccepted>> {
    let job = entry.operations.cancel_job(&ids::WorkId::new(&job)).await?;
    Ok(Json(api::JobAccepted { job }))
}

/// The status of one job.
pub(super) async fn status(
    State(entry): State<Entry>,
    PathParams(job): PathParams<String>,
) -> HandlerResult<Json<api::JobStatus>> {
    let status = entry.operations.job_status(&ids::WorkId::new(&job)).await?;
    Ok(Json(status))
}

/// The status of all jobs whose shards are reachable.
pub(super) async fn list(State(entry): State<Entry>) -> Json<Vec<api::JobStatus>> {
    Json(entry.operations.jobs().await)
}

fn bad_request(detail: &str) -> errors::Error {
    errors::Error::new(errors::ErrorKind::BadRequest, detail)
}
