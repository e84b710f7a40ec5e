//! The command line as text.
//!
//! Values are read as strings, so that `plan` can check all of them and name
//! every wrong one in one run.

use std::path::PathBuf;

use clap::{Args as ClapArgs, Parser, Subcommand};

const AFTER_HELP: &str = "\
Exit codes:
  0  done
  1  the work ran and failed
  2  wrong flags or variables; nothing was sent
  3  the request truly did not run; the message says why
  4  it is not known whether the request ran

Examples:
  hickoryctl check examples/huber.toml
  hickoryctl release submit examples/huber.toml
  hickoryctl release status
  hickoryctl explain nightly-quotes/3
  hickoryctl call bankbuch /book --team huber --key booking-4711 --data @booking.json";

/// Operates a hickorychute cell: release notes, jobs, calls, and what runs where.
#[derive(Clone, Debug, Parser)]
#[command(name = "hickoryctl", version, after_help = AFTER_HELP, max_term_width = 100)]
pub struct Args {
    /// Settings of all commands.
    #[command(flatten)]
    pub common: CommonArgs,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// Settings of all commands.
#[derive(Clone, Debug, ClapArgs)]
pub struct CommonArgs {
    /// Entry hosts, as IP:PORT separated by commas.
    ///
    /// They are tried in this order; the next one is asked only if the request
    /// certainly did not run or may be repeated.
    #[arg(long, global = true, env = "HICKORY_HOSTS", default_value = api::DEFAULT_HTTP_ADDRESS)]
    pub hosts: String,
    /// Form of the answer: table or json.
    #[arg(long, global = true, env = "HICKORY_OUTPUT", default_value = "table")]
    pub output: String,
    /// How long to try in all, in milliseconds.
    #[arg(
        long,
        global = true,
        env = "HICKORY_TIMEOUT_MS",
        default_value = "10000"
    )]
    pub timeout_ms: String,
}

/// What to do.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Submit release notes and see which are in force.
    #[command(subcommand)]
    Release(ReleaseCommand),
    /// Submit, watch and cancel single jobs.
    #[command(subcommand)]
    Job(JobCommand),
    /// Send one request to a service and print its answer.
    Call(CallArgs),
    /// List the entry hosts with their phase, what they own and their load.
    Hosts,
    /// List the workers with what they can hold and what is assigned to them.
    Workers,
    /// Say why a task waits, or where it runs or ran.
    Explain {
        /// The task, as WORK/INDEX, for instance nightly-quotes/3.
        task: String,
    },
    /// Check a release note without a cell.
    ///
    /// Reports all faults that can be seen in the note itself. Names of zones
    /// and teams, and sizes against the workers, are checked on submission.
    Check {
        /// The release note, a TOML file.
        note: PathBuf,
    },
    /// List what runs where.
    Placements,
}

/// Release notes.
#[derive(Clone, Debug, Subcommand)]
pub enum ReleaseCommand {
    /// Submit a release note; prints its version once it is accepted.
    Submit {
        /// The release note, a TOML file.
        note: PathBuf,
        /// Names this submission; give the same one to submit again after an unknown outcome.
        ///
        /// Made up if left out; the message names it if the outcome is not known.
        #[arg(long, env = "HICKORY_SUBMITTER_ID")]
        submitter_id: Option<String>,
        /// Release on which the note must be applied; refused if another is the newest.
        #[arg(long)]
        base: Option<String>,
    },
    /// Show which host has which release in force.
    Status,
    /// Show a release: what is in force, or with --note the note that led to it.
    Show {
        /// The release's number, or current.
        #[arg(default_value = "current")]
        version: String,
        /// Print the note as it was submitted.
        #[arg(long)]
        note: bool,
    },
    /// Show what differs between two releases.
    Diff {
        /// The older release.
        older: String,
        /// The newer release, or current.
        #[arg(default_value = "current")]
        newer: String,
    },
}

/// Single jobs.
#[derive(Clone, Debug, Subcommand)]
pub enum JobCommand {
    /// Submit a job; prints its name once it is durable.
    Submit(Box<JobArgs>),
    /// Count a job's tasks by state.
    Status {
        /// The job's name.
        job: String,
    },
    /// Cancel a job; its waiting tasks never start.
    Cancel {
        /// The job's name.
        job: String,
    },
    /// List the jobs.
    List,
}

/// A job to submit.
#[derive(Clone, Debug, ClapArgs)]
pub struct JobArgs {
    /// The job's name, unique in the cell; made up if left out.
    #[arg(long)]
    pub name: Option<String>,
    /// The team whose quota it uses.
    #[arg(long)]
    pub team: Option<String>,
    /// `batch_run` (tasks run independently) or `gang_job` (start together or not at all).
    #[arg(long, default_value = "batch_run")]
    pub kind: String,
    /// Number of tasks.
    #[arg(long, default_value = "1")]
    pub tasks: String,
    /// Processor time of a task, in thousandths of a core.
    #[arg(long, default_value = "1000")]
    pub cpu_milli: String,
    /// Memory of a task, in mebibytes.
    #[arg(long, default_value = "1024")]
    pub memory_mb: String,
    /// Accelerators of a task.
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
    /// How often a task that fails may be started in all.
    #[arg(long, default_value = "3")]
    pub max_attempts: String,
    /// Zones in which the tasks may run, separated by commas; all if left out.
    #[arg(long)]
    pub zones: Option<String>,
    /// A task may be started again after an end that is not known.
    #[arg(long)]
    pub idempotent: bool,
    /// Idempotency key: the same key gives the same job; made up if left out.
    #[arg(long)]
    pub key: Option<String>,
}

/// A call to a service.
#[derive(Clone, Debug, ClapArgs)]
pub struct CallArgs {
    /// The service.
    pub service: String,
    /// Path within the service.
    #[arg(default_value = "/")]
    pub path: String,
    /// The team whose share the call uses.
    #[arg(long, env = "HICKORY_TEAM")]
    pub team: Option<String>,
    /// Idempotency key of a request that must run at most once, for instance a charge.
    ///
    /// Without it the request counts as idempotent and may be sent again.
    #[arg(long)]
    pub key: Option<String>,
    /// Body of the request, or @FILE to read it from a file.
    #[arg(long, default_value = "")]
    pub data: String,
    /// deferrable, normal or urgent.
    #[arg(long, default_value = "normal")]
    pub urgency: String,
    /// How long the answer is waited for, in milliseconds.
    #[arg(long, default_value = "5000")]
    pub deadline_ms: String,
}
