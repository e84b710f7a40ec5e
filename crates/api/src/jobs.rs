//! Jobs that are submitted one at a time.

use kernel::ids;
use kernel::work;
use serde::{Deserialize, Serialize};

/// Starts of a task in all, if the request does not say.
pub const DEFAULT_MAX_ATTEMPTS: u32 = 3;

/// Kinds of work that can be submitted as a job; services come from release notes alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobKind {
    /// Tasks that run to their end independently.
    #[default]
    BatchRun,
    /// Tasks that start together or not at all.
    GangJob,
}

impl From<JobKind> for work::WorkKind {
    fn from(kind: JobKind) -> Self {
        match kind {
            JobKind::BatchRun => Self::BatchRun,
            JobKind::GangJob => Self::GangJob,
        }
    }
}

/// A job to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobRequest {
    /// The job's name, unique in the cell; made from the idempotency key if left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub name: Option<ids::WorkId>,
    /// The team whose quota it uses.
    pub team: ids::TeamId,
    /// How its tasks relate to each other.
    #[serde(default)]
    pub kind: JobKind,
    /// The number of tasks.
    #[serde(default = "default_tasks")]
    pub tasks: u32,
    /// What each task declares to need.
    pub demand: work::Resources,
    /// How soon it must start.
    #[serde(default)]
    pub urgency: work::Urgency,
    /// Which goal weighs most in placement.
    #[serde(default)]
    pub policy: work::Policy,
    /// Declared run time of a task in milliseconds.
    pub run_time_ms: u64,
    /// How often a task that fails may be started in all.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u32,
    /// Zones in which the tasks may run; empty for all zones.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<ids::ZoneId>,
    /// Whether a task may be started again after an end that is not known.
    #[serde(default)]
    pub idempotent: bool,
}

const fn default_tasks() -> u32 {
    1
}

const fn default_max_attempts() -> u32 {
    DEFAULT_MAX_ATTEMPTS
}

impl JobRequest {
    /// The work to run under the given name.
    pub fn into_work(self, id: ids::WorkId) -> work::Work {
        work::Work {
            id,
            team: self.team,
            kind: self.kind.into(),
            tasks: self.tasks,
            demand: self.demand,
            urgency: self.urgency,
            policy: self.policy,
            run_time_ms: Some(self.run_time_ms),
            max_attempts: self.max_attempts,
            zones: self.zones,
            idempotent: self.idempotent,
            slots: 0,
            connections: 0,
            since: ids::ReleaseVersion::default(),
        }
    }
}

/// The answer to an accepted job, or to its cancellation: it is durable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobAccepted {
    /// The job's name.
    pub job: ids::WorkId,
}

/// How many tasks of a job are in which state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job.
    pub work: ids::WorkId,
    /// Tasks not yet handed to an owner of capacity.
    pub waiting: u32,
    /// Tasks handed to an owner that may be about to start.
    pub assigned: u32,
    /// Tasks that run.
    pub running: u32,
    /// Tasks that ran to their end.
    pub completed: u32,
    /// Tasks that failed in every attempt.
    pub failed: u32,
    /// Tasks that were cancelled and did not complete.
    pub cancelled: u32,
    /// Tasks of which it is not known whether they ran, and that must not run again.
    pub unknown: u32,
}

impl JobStatus {
    /// Whether no task will run any more.
    pub const fn is_settled(&self) -> bool {
        self.waiting == 0 && self.assigned == 0 && self.running == 0
    }
}
