//! The `job` commands.

use kernel::errors;
use kernel::ids;

use super::add_recovery_hint;
use crate::CommandOutput;
use crate::client;
use crate::plan;
use crate::render;

pub(super) async fn submit(
    client: &client::Client,
    output: plan::OutputFormat,
    job: &api::JobRequest,
    key: &str,
) -> errors::Result<CommandOutput> {
    let body = serde_json::to_vec(job).map_err(|error| {
        errors::Error::with_source(
            errors::ErrorKind::Internal,
            "failed to serialize the job as JSON",
            error,
        )
    })?;
    let request = client::Request {
        method: http::Method::POST,
        body: body.into(),
        idempotency: client::Idempotency::Deduplicated,
        ..client::Request::get(api::paths::JOBS)
    };
    let request = request
        .header(api::headers::IDEMPOTENCY_KEY, key)?
        .header("content-type", "application/json")?;
    let accepted = client.send_json::<api::JobAccepted>(&request).await;
    let hint = format!("submit the job again with --key {key}");
    let accepted = accepted.map_err(|error| add_recovery_hint(error, &hint))?;
    print_accepted(output, &accepted)
}

fn print_accepted(
    output: plan::OutputFormat,
    accepted: &api::JobAccepted,
) -> errors::Result<CommandOutput> {
    render::format_output(output, accepted, |accepted| {
        let mut rows = render::TableRows::new(&["JOB"]);
        rows.push(vec![accepted.job.to_string()]);
        rows
    })
}

pub(super) async fn status(
    client: &client::Client,
    output: plan::OutputFormat,
    job: &ids::WorkId,
) -> errors::Result<CommandOutput> {
    let request = client::Request::get(api::paths::job(job));
    let status: api::JobStatus = client.send_json(&request).await?;
    render::format_output(output, &status, |status| {
        status_rows(std::slice::from_ref(status))
    })
}

pub(super) async fn cancel(
    client: &client::Client,
    output: plan::OutputFormat,
    job: &ids::WorkId,
) -> errors::Result<CommandOutput> {
    let request = client::Request {
        method: http::Method::DELETE,
        ..client::Request::get(api::paths::job(job))
    };
    let cancelled: api::JobAccepted = client.send_json(&request).await?;
    print_accepted(output, &cancelled)
}

pub(super) async fn list(
    client: &client::Client,
    output: plan::OutputFormat,
) -> errors::Result<CommandOutput> {
    let request = client::Request::get(api::paths::JOBS);
    let jobs: Vec<api::JobStatus> = client.send_json(&request).await?;
    render::format_output(output, &jobs, |jobs| status_rows(jobs))
}

fn status_rows(jobs: &[api::JobStatus]) -> render::TableRows {
    let header = [
        "JOB",
        "WAITING",
        "ASSIGNED",
        "RUNNING",
        "COMPLETED",
        "FAILED",
        "CANCELLED",
        "UNKNOWN",
    ];
    let mut rows = render::TableRows::new(&header);
    for job in jobs {
        let counts = [
            job.waiting,
            job.assigned,
            job.running,
            job.completed,
            job.failed,
            job.cancelled,
            job.unknown,
        ];
        let mut row = vec![job.work.to_string()];
        row.extend(counts.map(|count| count.to_string()));
        rows.push(row);
    }
    rows
}
