//! Command-line arguments, before validation.
//!
//! Values stay strings, so that `plan` can validate all of them and report every
//! invalid one in a single run.

use std::path::PathBuf;

use clap::{Args as ClapArgs, Parser, Subcommand};

const AFTER_HELP: &str = "\
Exit codes:
  0  done
  1  the request ran and failed
  2  invalid flags or variables; nothing was sent
  3  the request did not run; the message gives the reason
  4  it is unknown whether the request ran

Examples:
  hickoryctl check examples/huber.toml
  hickoryctl release submit examples/huber.toml
  hickoryctl release status
  hickoryctl explain nightly-quotes/3
  hickoryctl call bankbuch /book --team huber --key booking-4711 --data @booking.json";

/// Operates a hickorychute cell: release notes, jobs, calls and placements.
#[derive(Clone, Debug, Parser)]
#[command(name = "hickoryctl", version, after_help = AFTER_HELP, max_term_width = 100)]
pub struct Args {
    /// Options shared by all commands.
    #[command(flatten)]
    pub common: CommonArgs,
    /// The subcommand.
    #[command(subcommand)]
    pub command: Command,
}

/// Options shared by all commands.
#[derive(Clone, Debug, ClapArgs)]
pub struct CommonArgs {
    /// Entry hosts, as IP:PORT separated by commas.
    ///
    /// Hosts are tried in this order. The next host is tried only if the request
    /// did not run or is safe to repeat.
    #[arg(long, global = true, env = "HICKORY_HOSTS", default_value = api::DEFAULT_HTTP_ADDRESS)]
    pub hosts: String,
    /// Output format: table or json.
    #[arg(long, global = true, env = "HICKORY_OUTPUT", default_value = "table")]
    pub output: String,
    /// Total time-out over all hosts and retries, in milliseconds.
    #[arg(
        long,
        global = true,
        env = "HICKORY_TIMEOUT_MS",
        default_value = "10000"
    )]
    pub timeout_ms: String,
}

/// Subcommands.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Submit release notes and inspect releases.
    #[command(subcommand)]
    Release(ReleaseCommand),
    /// Submit, inspect and cancel jobs.
    #[command(subcommand)]
    Job(JobCommand),
    /// Send one request to a service and print the response.
    Call(CallArgs),
    /// List the entry hosts with their phase, owned groups and shards, and load.
    Hosts,
    /// List the workers with their capacity and assigned resources.
    Workers,
    /// Explain why a task is waiting, or show where it runs or ran.
    Explain {
        /// The task, as WORK/INDEX, for example nightly-quotes/3.
        task: String,
    },
    /// Validate a release note offline.
    ///
    /// Reports all errors that can be found in the note alone. Zone and team names,
    /// and demands against worker capacity, are checked on submission.
    Check {
        /// The release note, a TOML file.
        note: PathBuf,
    },
    /// List task placements.
    Placements,
}

/// Subcommands of `release`.
#[derive(Clone, Debug, Subcommand)]
pub enum ReleaseCommand {
    /// Submit a release note; prints its version once it is accepted.
    Submit {
        /// The release note, a TOML file.
        note: PathBuf,
        /// Identifies this submission; reuse it to resubmit safely after an unknown outcome.
        ///
        /// Generated if omitted; the error message contains it if the outcome is unknown.
        #[arg(long, env = "HICKORY_SUBMITTER_ID")]
        submitter_id: Option<String>,
        /// Release to which the note must apply; rejected if it is not the latest.
        #[arg(long)]
        base: Option<String>,
    },
    /// Show the release in force on each host.
    Status,
    /// Show a release, or with --note the note that produced it.
    Show {
        /// Release version, or current.
        #[arg(default_value = "current")]
        version: String,
        /// Print the note as submitted.
        #[arg(long)]
        note: bool,
    },
    /// Show the differences between two releases.
    Diff {
        /// The older release.
        older: String,
        /// The newer release, or current for the one in force.
        #[arg(default_value = "current")]
        newer: String,
    },
}

/// Subcommands of `job`.
#[derive(Clone, Debug, Subcommand)]
pub enum JobCommand {
    /// Submit a job; prints its name once it is stored durably.
    Submit(Box<JobArgs>),
    /// Count a job's tasks by state.
    Status {
        /// The job's name.
        job: String,
    },
    /// Cancel a job; its waiting tasks are not started.
    Cancel {
        /// The job's name.
        job: String,
    },
    /// List the jobs.
    List,
}

/// Arguments of `job submit`.
#[derive(Clone, Debug, ClapArgs)]
pub struct JobArgs {
    /// Job name, unique in the cell; generated if omitted.
    #[arg(long)]
    pub name: Option<String>,
    /// Team whose quota is charged.
    #[arg(long)]
    pub team: Option<String>,
    /// `batch_run` (tasks run independently) or `gang_job` (all tasks start together or none does).
    #[arg(long, default_value = "batch_run")]
    pub kind: String,
    /// Number of tasks.
    #[arg(long, default_value = "1")]
    pub tasks: String,
    /// CPU demand of a task, in thousandths of a core.
    #[arg(long, default_value = "1000")]
    pub cpu_milli: String,
    /// Memory demand of a task, in mebibytes.
    #[arg(long, default_value = "1024")]
    pub memory_mb: String,
    /// Accelerators per task.
    #[arg(long, default_value = "0")]
    pub accelerators: String,
    /// deferrable, normal or urgent.
    #[arg(long, default_value = "normal")]
    pub urgency: String,
    /// `quick_start`, `tight_packing` or spread.
    #[arg(long, default_value = "quick_start")]
    pub policy: String,
    /// Declared run time of a task, in milliseconds.
    #[arg(long, default_value = "1000")]
    pub run_time_ms: String,
    /// Maximum number of starts of a failing task, including the first.
    #[arg(long, default_value = "3")]
    pub max_attempts: String,
    /// Zones in which the tasks may run, separated by commas; all if omitted.
    #[arg(long)]
    pub zones: Option<String>,
    /// Allow restarting a task whose outcome is unknown.
    #[arg(long)]
    pub idempotent: bool,
    /// Idempotency key: resubmission under the same key returns the same job; generated if omitted.
    #[arg(long)]
    pub key: Option<String>,
}

/// Arguments of `call`.
#[derive(Clone, Debug, ClapArgs)]
pub struct CallArgs {
    /// Service name.
    pub service: String,
    /// Path within the service.
    #[arg(default_value = "/")]
    pub path: String,
    /// Team whose share of the service the call is charged to.
    #[arg(long, env = "HICKORY_TEAM")]
    pub team: Option<String>,
    /// Idempotency key of a request that must run at most once, for example a charge.
    ///
    /// Without a key the request is treated as idempotent and may be retried.
    #[arg(long)]
    pub key: Option<String>,
    /// Request body, or @FILE to read it from a file.
    #[arg(long, default_value = "")]
    pub data: String,
    /// deferrable, normal or urgent.
    #[arg(long, default_value = "normal")]
    pub urgency: String,
    /// Time-out for the response, in milliseconds.
    #[arg(long, default_value = "5000")]
    pub deadline_ms: String,
}
