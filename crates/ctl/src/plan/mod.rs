//! Checks the whole command line and makes an action of it.

mod checker;
mod jobs;

use std::net;
use std::path::PathBuf;

use kernel::errors;
use kernel::ids;
use kernel::work;

use crate::args;
use checker::Checker;

/// Form of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Columns for readers.
    Table,
    /// JSON for programs.
    Json,
}

/// Settings of all commands, checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Entry hosts, in the order in which they are tried.
    pub hosts: Vec<net::SocketAddr>,
    /// Form of the answer.
    pub output: Output,
    /// How long to try in all, in milliseconds.
    pub timeout_ms: u64,
}

/// Which release is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhichRelease {
    /// The one in force at the answering host.
    Current,
    /// The one with this number.
    Version(ids::ReleaseVersion),
}

/// A call, checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The service.
    pub service: ids::WorkId,
    /// Path within the service.
    pub path: String,
    /// The team whose share the call uses.
    pub team: Option<ids::TeamId>,
    /// Idempotency key of a request that must run at most once.
    pub key: Option<ids::IdempotencyKey>,
    /// Body, or `@FILE`.
    pub data: String,
    /// How soon it must be served.
    pub urgency: work::Urgency,
    /// How long the answer is waited for, in milliseconds.
    pub deadline_ms: u64,
}

/// What to do, checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Submit a release note.
    SubmitRelease {
        /// The note's file.
        note: PathBuf,
        /// Names the submission.
        submitter_id: String,
        /// Release on which the note must be applied.
        base: Option<ids::ReleaseVersion>,
    },
    /// Show which host has which release.
    ReleaseStatus,
    /// Show a release.
    ShowRelease {
        /// Which one.
        which: WhichRelease,
        /// Print the note alone.
        note_only: bool,
    },
    /// Show what differs between two releases.
    DiffReleases {
        /// The older one.
        older: WhichRelease,
        /// The newer one.
        newer: WhichRelease,
    },
    /// Submit a job.
    SubmitJob {
        /// The job.
        request: Box<api::JobRequest>,
        /// Its idempotency key.
        key: String,
    },
    /// Count a job's tasks by state.
    JobStatus(ids::WorkId),
    /// Cancel a job.
    CancelJob(ids::WorkId),
    /// List the jobs.
    ListJobs,
    /// Call a service.
    Call(Box<Call>),
    /// List the entry hosts.
    Hosts,
    /// List the workers.
    Workers,
    /// Explain a task's state.
    Explain(ids::TaskId),
    /// Check a note without a cell.
    Check(PathBuf),
    /// List what runs where.
    Placements,
}

/// Settings and action of one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Settings of all commands.
    pub settings: Settings,
    /// What to do.
    pub action: Action,
}

/// Checks the command line.
///
/// # Errors
///
/// `usage` with one line for every wrong flag or variable.
pub fn plan(args: args::Args) -> errors::Result<Plan> {
    let mut checker = Checker::default();
    let settings = check_settings(&args.common, &mut checker);
    let action = check_command(args.command, &mut checker);
    checker.finish(Plan { settings, action })
}

fn check_settings(common: &args::CommonArgs, checker: &mut Checker) -> Settings {
    let mut hosts = Vec::new();
    for text in common.hosts.split(',').map(str::trim) {
        match text.parse() {
            Ok(address) => hosts.push(address),
            Err(_) => checker.fault(
                "--hosts (HICKORY_HOSTS)",
                &format!("must be a list of IP:PORT, not {text:?}"),
            ),
        }
    }
    let output = match common.output.as_str() {
        "json" => Output::Json,
        "table" => Output::Table,
        other => {
            let message = format!("must be one of table, json, not {other:?}");
            checker.fault("--output (HICKORY_OUTPUT)", &message);
            Output::Table
        }
    };
    let timeout_flag = "--timeout-ms (HICKORY_TIMEOUT_MS)";
    Settings {
        hosts,
        output,
        timeout_ms: checker.number(timeout_flag, &common.timeout_ms, &(1..=3_600_000)),
    }
}

fn check_command(command: args::Command, checker: &mut Checker) -> Action {
    match command {
        args::Command::Release(command) => check_release(command, checker),
        args::Command::Job(command) => jobs::check_job(command, checker),
        args::Command::Call(call) => check_call(call, checker),
        args::Command::Hosts => Action::Hosts,
        args::Command::Workers => Action::Workers,
        args::Command::Explain { task } => check_task(&task, checker),
        args::Command::Check { note } => Action::Check(note),
        args::Command::Placements => Action::Placements,
    }
}

fn check_release(command: args::ReleaseCommand, checker: &mut Checker) -> Action {
    match command {
        args::ReleaseCommand::Submit {
            note,
            submitter_id,
            base,
        } => {
            let flag = "--submitter-id (HICKORY_SUBMITTER_ID)";
            let submitter_id = submitter_id.unwrap_or_else(|| fresh_id("submission"));
            let base = base.map(|text| checker.number("--base", &text, &(0..=u64::MAX - 1)));
            Action::SubmitRelease {
                note,
                submitter_id: checker.token(flag, &submitter_id),
                base: base.map(ids::ReleaseVersion),
            }
        }
        args::ReleaseCommand::Status => Action::ReleaseStatus,
        args::ReleaseCommand::Show { version, note } => Action::ShowRelease {
            which: check_version("VERSION", &version, checker),
            note_only: note,
        },
        args::ReleaseCommand::Diff { older, newer } => Action::DiffReleases {
            older: check_version("OLDER", &older, checker),
            newer: check_version("NEWER", &newer, checker),
        },
    }
}

fn check_version(flag: &str, text: &str, checker: &mut Checker) -> WhichRelease {
    if text == "current" {
        return WhichRelease::Current;
    }
    let Ok(version) = text.parse() else {
        checker.fault(flag, &format!("must be a number or current, not {text:?}"));
        return WhichRelease::Current;
    };
    WhichRelease::Version(ids::ReleaseVersion(version))
}

fn check_task(text: &str, checker: &mut Checker) -> Action {
    let task = text.parse().unwrap_or_else(|_| {
        checker.fault("TASK", &format!("must be WORK/INDEX, not {text:?}"));
        ids::TaskId::new(&ids::WorkId::new(""), 0)
    });
    Action::Explain(task)
}

fn check_call(call: args::CallArgs, checker: &mut Checker) -> Action {
    let is_path = call
        .path
        .bytes()
        .all(|byte| byte.is_ascii_graphic() && byte != b'#');
    if !is_path {
        let message = format!("must be a URL path, not {:?}", call.path);
        checker.fault("PATH", &message);
    }
    Action::Call(Box::new(Call {
        service: ids::WorkId::new(checker.name("SERVICE", &call.service)),
        path: call.path,
        team: call
            .team
            .map(|team| ids::TeamId::new(checker.name("--team (HICKORY_TEAM)", &team))),
        key: call
            .key
            .map(|key| ids::IdempotencyKey::new(checker.token("--key", &key))),
        data: call.data,
        urgency: checker.choice("--urgency", &call.urgency, &jobs::URGENCIES),
        deadline_ms: checker.number("--deadline-ms", &call.deadline_ms, &(1..=600_000)),
    }))
}

/// A name that no one else has made up.
fn fresh_id(what: &str) -> String {
    format!("{what}-{:016x}", rand::random::<u64>())
}
