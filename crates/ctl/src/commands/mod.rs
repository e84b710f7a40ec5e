//! Executes validated commands.

mod calls;
mod cell;
mod jobs;
mod releases;

use std::fs;
use std::io::Read;
use std::path::Path;

use kernel::errors;

use crate::CommandOutput;
use crate::client;
use crate::plan;

/// Executes a validated command and returns its output.
pub(crate) async fn execute(plan: plan::Plan) -> errors::Result<CommandOutput> {
    let plan::Plan { settings, action } = plan;
    let output = settings.output;
    let client = client::Client::new(settings.hosts.clone(), settings.timeout_ms);
    match action {
        plan::Action::SubmitRelease {
            note,
            submitter_id,
            base,
        } => releases::submit(&client, output, &note, &submitter_id, base).await,
        plan::Action::ReleaseStatus => releases::status(&client, output).await,
        plan::Action::ShowRelease { which, note_only } => {
            releases::show(&client, output, which, note_only).await
        }
        plan::Action::DiffReleases { older, newer } => {
            releases::diff(&client, output, older, newer).await
        }
        plan::Action::SubmitJob { request, key } => {
            jobs::submit(&client, output, &request, &key).await
        }
        plan::Action::JobStatus(job) => jobs::status(&client, output, &job).await,
        plan::Action::CancelJob(job) => jobs::cancel(&client, output, &job).await,
        plan::Action::ListJobs => jobs::list(&client, output).await,
        plan::Action::Call(call) => calls::call(&settings, &call).await,
        plan::Action::Hosts => cell::hosts(&client, output).await,
        plan::Action::Workers => cell::workers(&client, output).await,
        plan::Action::Explain(task) => cell::explain(&client, output, &task).await,
        plan::Action::Check(note) => releases::check(output, &note),
        plan::Action::Placements => cell::placements(&client, output).await,
    }
}

/// Reads at most `limit` + 1 bytes, so that callers can detect a file above the limit.
fn read_file(path: &Path, limit: usize) -> errors::Result<Vec<u8>> {
    let failed = |error| {
        let detail = format!("failed to read {}", path.display());
        errors::Error::with_source(errors::ErrorKind::Usage, detail, error)
    };
    let file = fs::File::open(path).map_err(failed)?;
    let mut bytes = Vec::new();
    let mut bounded = file.take(limit as u64 + 1);
    bounded.read_to_end(&mut bytes).map_err(failed)?;
    Ok(bytes)
}

/// Appends a hint to an error with an unknown outcome: how to find out whether the request ran.
fn add_recovery_hint(mut error: errors::Error, hint: &str) -> errors::Error {
    if error.kind.answer().outcome == errors::Outcome::Unknown {
        error.detail.push_str("; to find out, ");
        error.detail.push_str(hint);
    }
    error
}
