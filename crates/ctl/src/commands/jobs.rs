//! Single jobs.

use kernel::errors;
use kernel::ids;

use super::advise;
use crate::Answer;
use crate::client;
use crate::plan;
use crate::render;

pub(super) async fn submit(
    client: &client::Client,
    output: plan::Output,
    job: &api::JobRequest,
    key: &str,
) -> errors::Result<Answer> {
    let body = serde_json::to_vec(job).map_err(|error| {
        errors::Error::with_source(errors::ErrorKind::Internal, "write JSON", error)
    })?;
    let request = client::Request {
        method: http::Method::POST,
        body: body.into(),
        repeat: client::Repeat::Recognized,
        ..client::Request::get(api::paths::JOBS)
    };
    let request = request
        .header(api::headers::IDEMPOTENCY_KEY, key)?
        .header("content-type", "application/json")?;
    let accepted = client.send_json::<api::JobAccepted>(&request).await;
    let again = format!("submit the job again with --key {key}");
    let accepted = accepted.map_err(|error| advise(error, &again))?;
    print_accepted(output, &accepted)
}

fn print_accepted(output: plan::Output, accepted: &api::JobAccepted) -> errors::Result<Answer> {
    render::answer(output, accepted, |accepted| {
        let mut rows = render::Rows::new(&["JOB"]);
        rows.push(vec![accepted.job.to_string()]);
        rows
    })
}

pub(super) async fn status(
    client: &client::Client,
    output: plan::Output,
    job: &ids::WorkId,
) -> errors::Result<Answer> {
    let request = client::Request::get(api::paths::job(job));
    let status: api::JobStatus = client.send_json(&request).await?;
    render::answer(output, &status, |status| {
        status_rows(std::slice::from_ref(status))
    })
}

pub(super) async fn cancel(
    client: &client::Client,
    output: plan::Output,
    job: &ids::WorkId,
) -> errors::Result<Answer> {
    let request = client::Request {
        method: http::Method::DELETE,
        ..client::Request::get(api::paths::job(job))
    };
    let cancelled: api::JobAccepted = client.send_json(&request).await?;
    print_accepted(output, &cancelled)
}

pub(super) async fn list(client: &client::Client, output: plan::Output) -> errors::Result<Answer> {
    let request = client::Request::get(api::paths::JOBS);
    let jobs: Vec<api::JobStatus> = client.send_json(&request).await?;
    render::answer(output, &jobs, |jobs| status_rows(jobs))
}

fn status_rows(jobs: &[api::JobStatus]) -> render::Rows {
    let titles = [
        "JOB",
        "WAITING",
        "ASSIGNED",
        "RUNNING",
        "COMPLETED",
        "FAILED",
        "CANCELLED",
        "UNKNOWN",
    ];
    let mut rows = render::Rows::new(&titles);
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
