//! Validates the command line and converts it to an action.

mod checker;
mod jobs;

use std::net;
use std::path::PathBuf;

use kernel::errors;
use kernel::ids;
use kernel::work;

use crate::args;
use checker::Checker;

/// Output format of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Aligned columns for humans.
    Table,
    /// Pretty-printed JSON for scripts.
    Json,
}

/// Validated options shared by all commands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Entry hosts, in failover order.
    pub hosts: Vec<net::SocketAddr>,
    /// Output format of results.
    pub output: OutputFormat,
    /// Total time-out of a request over all attempts, in milliseconds.
    pub timeout_ms: u64,
}

/// Selects a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseSelector {
    /// The release in force on the host that answers.
    Current,
    /// The release with this version.
    Version(ids::ReleaseVersion),
}

/// A validated call to a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Service name.
    pub service: ids::WorkId,
    /// Path within the service.
    pub path: String,
    /// Team whose share of the service the call is charged to, if given.
    pub team: Option<ids::TeamId>,
    /// Idempotency key of a request that must run at most once; `None` if it is idempotent.
    pub key: Option<ids::IdempotencyKey>,
    /// Request body, or `@FILE` to read it from a file.
    pub data: String,
    /// Scheduling urgency.
    pub urgency: work::Urgency,
    /// Time-out for the response, in milliseconds.
    pub deadline_ms: u64,
}

/// A validated command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Submit a release note.
    SubmitRelease {
        /// Path of the note.
        note: PathBuf,
        /// Identifies the submission, so that resubmission is safe.
        submitter_id: String,
        /// Release to which the note must apply; `None` for the latest.
        base: Option<ids::ReleaseVersion>,
    },
    /// Show the release in force on each host.
    ReleaseStatus,
    /// Show a release.
    ShowRelease {
        /// The release to show.
        which: ReleaseSelector,
        /// Print only the note, as submitted.
        note_only: bool,
    },
    /// Show the differences between two releases.
    DiffReleases {
        /// The older release.
        older: ReleaseSelector,
        /// The newer release.
        newer: ReleaseSelector,
    },
    /// Submit a job.
    SubmitJob {
        /// Specification of the job.
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
    /// Explain the state of a task.
    Explain(ids::TaskId),
    /// Validate a release note offline.
    Check(PathBuf),
    /// List task placements.
    Placements,
}

/// Options and action of one invocation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Options shared by all commands.
    pub settings: Settings,
    /// The command to execute.
    pub action: Action,
}

/// Validates the command line.
///
/// # Errors
///
/// `usage` with one line for every invalid flag or variable.
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
            Err(_) => checker.add_error(
                "--hosts (HICKORY_HOSTS)",
                &format!("must be a list of IP:PORT, not {text:?}"),
            ),
        }
    }
    let output = match common.output.as_str() {
        "json" => OutputFormat::Json,
        "table" => OutputFormat::Table,
        other => {
            let message = format!("must be one of table, json, not {other:?}");
            checker.add_error("--output (HICKORY_OUTPUT)", &message);
            OutputFormat::Table
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
            let submitter_id = submitter_id.unwrap_or_else(|| generate_id("submission"));
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

fn check_version(flag: &str, text: &str, checker: &mut Checker) -> ReleaseSelector {
    if text == "current" {
        return ReleaseSelector::Current;
    }
    let Ok(version) = text.parse() else {
        checker.add_error(flag, &format!("must be a number or current, not {text:?}"));
        return ReleaseSelector::Current;
    };
    ReleaseSelector::Version(ids::ReleaseVersion(version))
}

fn check_task(text: &str, checker: &mut Checker) -> Action {
    let task = text.parse().unwrap_or_else(|_| {
        checker.add_error("TASK", &format!("must be WORK/INDEX, not {text:?}"));
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
        checker.add_error("PATH", &message);
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

/// Generates a random identifier with a prefix that names its use.
fn generate_id(prefix: &str) -> String {
    format!("{prefix}-{:016x}", rand::random::<u64>())
}
