//! Jobs that are submitted individually rather than in a release note.

use kernel::ids;
use kernel::work;
use serde::{Deserialize, Serialize};

/// Default of [`JobRequest::max_attempts`].
pub const DEFAULT_MAX_ATTEMPTS: u32 = 3;

/// Kind of a submitted job. Services cannot be submitted; they are defined by release notes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobKind {
    /// Independent tasks that run to completion.
    #[default]
    BatchRun,
    /// Tasks that start all together or not at all.
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

/// Body of a job submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobRequest {
    /// Name of the job, unique in the cell; derived from the idempotency key if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub name: Option<ids::WorkId>,
    /// Team whose quota the job uses.
    pub team: ids::TeamId,
    /// Kind of the job.
    #[serde(default)]
    pub kind: JobKind,
    /// Number of tasks; 1 if absent.
    #[serde(default = "default_tasks")]
    pub tasks: u32,
    /// Declared resource demand of each task.
    pub demand: work::Resources,
    /// Scheduling priority.
    #[serde(default)]
    pub urgency: work::Urgency,
    /// Primary objective of placement.
    #[serde(default)]
    pub policy: work::Policy,
    /// Declared run time of a task in milliseconds.
    pub run_time_ms: u64,
    /// Maximum number of starts of a task that fails, including the first.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u32,
    /// Zones in which the tasks may run; empty for all zones.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<ids::ZoneId>,
    /// Whether a task may be restarted when it is not known whether its last run completed.
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
    /// Converts the request to work with the identifier `id`, which replaces the request's name.
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
            revision: ids::ReleaseVersion::default(),
        }
    }
}

/// Reply to a job submission or cancellation, sent once the change is durable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobAccepted {
    /// Identifier of the job.
    pub job: ids::WorkId,
}

/// Numbers of a job's tasks by state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Identifier of the job.
    pub work: ids::WorkId,
    /// Tasks that are not yet assigned to a capacity owner.
    pub waiting: u32,
    /// Tasks assigned to a capacity owner that have not been reported as started.
    pub assigned: u32,
    /// Tasks that are running.
    pub running: u32,
    /// Tasks that ran to completion.
    pub completed: u32,
    /// Tasks that failed in every attempt.
    pub failed: u32,
    /// Tasks that were cancelled and did not complete.
    pub cancelled: u32,
    /// Tasks that may or may not have run and must not run again.
    pub unknown: u32,
}

impl JobStatus {
    /// Whether all tasks are in a final state.
    pub const fn is_settled(&self) -> bool {
        self.waiting == 0 && self.assigned == 0 && self.running == 0
    }
}
