//! The `release` and `check` commands.

use std::path::Path;

use kernel::errors;
use kernel::ids;
use kernel::work;
use release::note;

use super::{add_recovery_hint, read_file};
use crate::CommandOutput;
use crate::client;
use crate::plan;
use crate::render;

pub(super) async fn submit(
    client: &client::Client,
    output: plan::OutputFormat,
    path: &Path,
    submitter_id: &str,
    base: Option<ids::ReleaseVersion>,
) -> errors::Result<CommandOutput> {
    let bytes = read_file(path, note::limits::NOTE_LIMIT_BYTES)?;
    // Report errors in the note itself without a request.
    note::parse(&bytes).map_err(|faults| note_error(path, &faults))?;
    let mut request = client::Request {
        method: http::Method::POST,
        body: bytes.into(),
        idempotency: client::Idempotency::Deduplicated,
        ..client::Request::get(api::paths::RELEASES)
    };
    request = request.header(api::headers::SUBMITTER_ID, submitter_id)?;
    if let Some(base) = base {
        request = request.header(api::headers::BASE_VERSION, &base.to_string())?;
    }
    let reply = client.send_json::<api::SubmitReply>(&request).await;
    let hint = format!("submit the note again with --submitter-id {submitter_id}");
    let reply = reply.map_err(|error| add_recovery_hint(error, &hint))?;
    render::format_output(output, &reply, |reply| {
        let mut rows = change_rows(&reply.added, &reply.changed, &reply.withdrawn);
        rows.push(vec![
            "accepted".to_owned(),
            format!("release {}", reply.version),
        ]);
        rows
    })
}

fn note_error(path: &Path, faults: &note::Faults) -> errors::Error {
    let lines: Vec<String> = faults
        .to_string()
        .lines()
        .map(|line| format!("\n{}: {line}", path.display()))
        .collect();
    errors::Error::new(errors::ErrorKind::BadRequest, lines.concat())
}

fn change_rows(added: &[String], changed: &[String], withdrawn: &[String]) -> render::TableRows {
    let mut rows = render::TableRows::new(&["CHANGE", "WHAT"]);
    let lists = [
        ("added", added),
        ("changed", changed),
        ("withdrawn", withdrawn),
    ];
    for (change, names) in lists {
        for name in names {
            rows.push(vec![change.to_owned(), name.clone()]);
        }
    }
    rows
}

pub(super) async fn status(
    client: &client::Client,
    output: plan::OutputFormat,
) -> errors::Result<CommandOutput> {
    let request = client::Request::get(api::paths::RELEASE_STATUS);
    let status: api::ReleaseStatus = client.send_json(&request).await?;
    render::format_output(output, &status, |status| {
        let header = ["HOST", "ZONE", "PHASE", "RELEASE", "HEARD_MS_AGO"];
        let mut rows = render::TableRows::new(&header);
        for host in &status.hosts {
            rows.push(vec![
                host.host.to_string(),
                host.zone.to_string(),
                host.phase.to_string(),
                host.version.to_string(),
                host.heard_ms_ago.to_string(),
            ]);
        }
        rows
    })
}

async fn fetch(
    client: &client::Client,
    which: plan::ReleaseSelector,
) -> errors::Result<api::ReleaseView> {
    let path = match which {
        plan::ReleaseSelector::Current => api::paths::RELEASE_CURRENT.to_owned(),
        plan::ReleaseSelector::Version(version) => api::paths::release(version),
    };
    client.send_json(&client::Request::get(path)).await
}

pub(super) async fn show(
    client: &client::Client,
    output: plan::OutputFormat,
    which: plan::ReleaseSelector,
    note_only: bool,
) -> errors::Result<CommandOutput> {
    let view = fetch(client, which).await?;
    if note_only {
        return Ok(CommandOutput {
            stdout: view.note.into_bytes(),
            exit_code: errors::EXIT_DONE,
        });
    }
    render::format_output(output, &view, |view| {
        let header = [
            "KIND",
            "NAME",
            "TEAM",
            "TASKS",
            "CPU_MILLI",
            "MEMORY_MB",
            "ACCELERATORS",
            "URGENCY",
            "POLICY",
            "ZONES",
        ];
        let mut rows = render::TableRows::new(&header);
        for work in view.release.work.values() {
            rows.push(work_row(work));
        }
        for quota in view.release.quotas.values() {
            rows.push(quota_row(quota));
        }
        rows
    })
}

fn work_row(work: &work::Work) -> Vec<String> {
    vec![
        work.kind.to_string(),
        work.id.to_string(),
        work.team.to_string(),
        work.tasks.to_string(),
        work.demand.cpu_milli.to_string(),
        work.demand.memory_mb.to_string(),
        work.demand.accelerators.to_string(),
        work.urgency.to_string(),
        work.policy.to_string(),
        render::join_or_dash(&work.zones),
    ]
}

fn quota_row(quota: &work::Quota) -> Vec<String> {
    let none = || "-".to_owned();
    vec![
        "quota".to_owned(),
        quota.team.to_string(),
        quota.team.to_string(),
        none(),
        quota.limit.cpu_milli.to_string(),
        quota.limit.memory_mb.to_string(),
        quota.limit.accelerators.to_string(),
        none(),
        format!("weight {}", quota.weight),
        none(),
    ]
}

pub(super) async fn diff(
    client: &client::Client,
    output: plan::OutputFormat,
    older: plan::ReleaseSelector,
    newer: plan::ReleaseSelector,
) -> errors::Result<CommandOutput> {
    let older = fetch(client, older).await?;
    let newer = fetch(client, newer).await?;
    let changes = release::diff(&older.release, &newer.release);
    render::format_output(output, &changes, |changes| {
        change_rows(&changes.added, &changes.changed, &changes.withdrawn)
    })
}

/// Validates a note, and applies it to an empty release if it only adds entries and defines quotas.
pub(super) fn check(output: plan::OutputFormat, path: &Path) -> errors::Result<CommandOutput> {
    let bytes = read_file(path, note::limits::NOTE_LIMIT_BYTES)?;
    let note = note::parse(&bytes).map_err(|faults| note_error(path, &faults))?;
    let is_self_contained = note.changed == note::Section::default()
        && note.withdrawn == note::Withdrawn::default()
        && !note.added.quotas.is_empty();
    if is_self_contained {
        check_against_empty_release(&note).map_err(|faults| note_error(path, &faults))?;
    }
    let summary = Summary {
        work: note.stated_work().count(),
        quotas: note.stated_quotas().count(),
        withdrawn: note.withdrawn.work.len() + note.withdrawn.quotas.len(),
        teams_checked: is_self_contained,
    };
    render::format_output(output, &summary, |summary| {
        let mut rows = render::TableRows::new(&["WHAT", "COUNT"]);
        rows.push(vec!["work stated".to_owned(), summary.work.to_string()]);
        rows.push(vec!["quotas stated".to_owned(), summary.quotas.to_string()]);
        rows.push(vec!["withdrawn".to_owned(), summary.withdrawn.to_string()]);
        let teams = if summary.teams_checked {
            "checked against the note's quotas"
        } else {
            "checked on submission"
        };
        rows.push(vec!["teams".to_owned(), teams.to_owned()]);
        rows.push(vec![
            "zones, sizes".to_owned(),
            "checked on submission".to_owned(),
        ]);
        rows
    })
}

/// Entry counts of a validated note.
#[derive(Clone, Copy, Debug, serde::Serialize)]
struct Summary {
    work: usize,
    quotas: usize,
    withdrawn: usize,
    teams_checked: bool,
}

fn check_against_empty_release(note: &note::Note) -> Result<(), note::Faults> {
    let release = release::apply(&work::Release::default(), note)?;
    release::check(note, &release, &release::CellLimits::default())
}
