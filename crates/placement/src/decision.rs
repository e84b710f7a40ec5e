//! What a group tells its caller.

use derive_more::Display;
use kernel::ids;
use kernel::work;
use platform::workers;
use serde::{Deserialize, Serialize};

/// Why a task is given back without having run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum HandBackReason {
    /// No worker of the group is large enough, even when it is empty.
    NeverFits,
    /// No room was found within the configured wait.
    NoRoom,
    /// Its gang cannot run as a whole and was aborted here.
    GangAborted,
    /// The reservation of its gang ran out before it was confirmed.
    ReservationExpired,
    /// Its work was changed to have fewer tasks.
    Surplus,
}

/// What the caller has to carry out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// Start a task on a worker; it counts against the worker already.
    Start {
        /// Where.
        worker: ids::WorkerId,
        /// What.
        order: workers::StartOrder,
    },
    /// Hold a run back or end it.
    Stop {
        /// Where it runs.
        worker: ids::WorkerId,
        /// Which run.
        run: ids::TaskAttempt,
        /// How.
        mode: workers::StopMode,
    },
    /// Give a task back to its shard; the run never started.
    HandBack {
        /// Which run.
        run: ids::TaskAttempt,
        /// Why.
        reason: HandBackReason,
    },
}

/// What follows from the end of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndEffect {
    /// The task waits in this group again under its next attempt.
    Restart {
        /// The next attempt.
        next: ids::Attempt,
    },
    /// The task's gang was aborted here; its shard assigns it again.
    Returned {
        /// The next attempt.
        next: ids::Attempt,
    },
    /// The task is done, cancelled or replaced.
    Finished,
    /// The task failed too often and is not started again.
    Failed,
    /// Whether the run completed is not known, and it must not run twice.
    Unresolved,
    /// The run is not known here, or its end was reported before.
    Ignored,
}

/// The state of a task, for listings.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum TaskState {
    /// Not known to this group.
    Unknown,
    /// In the queue.
    Waiting,
    /// Room is reserved for it, with its gang.
    Reserved,
    /// Start ordered, not confirmed.
    Starting,
    /// Runs.
    Running,
    /// Stop ordered, end not reported.
    Stopping,
}

/// Why a task is where it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// The task.
    pub task: ids::TaskId,
    /// Its state.
    pub state: TaskState,
    /// The attempt that runs or is next.
    pub attempt: ids::Attempt,
    /// Where it runs.
    pub worker: Option<ids::WorkerId>,
    /// One sentence that an operator can act on.
    pub reason: String,
}

/// A worker, for listings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct WorkerView {
    /// The worker.
    pub id: ids::WorkerId,
    /// Its rack.
    pub rack: ids::RackId,
    /// What it can hold.
    pub capacity: work::Resources,
    /// What is assigned.
    pub assigned: work::Resources,
    /// Runs on it.
    pub tasks: usize,
    /// `live`, `leaving`, `unconfirmed`, `quarantined`, `probation`, `refusing` or `gone`.
    pub state: &'static str,
}

/// A task, for listings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TaskView {
    /// Which run.
    pub run: ids::TaskAttempt,
    /// Its team.
    pub team: ids::TeamId,
    /// Its state.
    pub state: TaskState,
    /// Where it runs.
    pub worker: Option<ids::WorkerId>,
    /// What is assigned to it, or what it declares while it waits.
    pub size: work::Resources,
}

/// Everything that listings show.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Snapshot {
    /// All workers.
    pub workers: Vec<WorkerView>,
    /// All tasks.
    pub tasks: Vec<TaskView>,
}
