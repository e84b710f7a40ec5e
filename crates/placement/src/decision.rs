//! Decisions, end effects and views that a group returns to its caller.

use derive_more::Display;
use kernel::ids;
use kernel::work;
use platform::workers;
use serde::{Deserialize, Serialize};

/// Why a task is returned to its shard without having run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum HandBackReason {
    /// No worker of the group is large enough, even when idle.
    NeverFits,
    /// No room was found within `hand_back_after_ms`.
    NoRoom,
    /// Its gang was aborted in this group because the gang cannot run as a whole.
    GangAborted,
    /// The reservation of its gang expired before it was confirmed.
    ReservationExpired,
    /// The work now has fewer tasks than this task's index requires.
    Surplus,
}

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// Start a task on a worker. Its size already counts against the worker.
    Start {
        /// Worker that runs the task.
        worker: ids::WorkerId,
        /// Start order to send to the worker.
        order: workers::StartOrder,
    },
    /// Throttle, drain, checkpoint or kill a run.
    Stop {
        /// Worker that has the run.
        worker: ids::WorkerId,
        /// Run to act on.
        run: ids::TaskAttempt,
        /// Kind of stop.
        mode: workers::StopMode,
    },
    /// Return a task to its shard. The run never started.
    HandBack {
        /// Run that is placed, or that will be placed next.
        run: ids::TaskAttempt,
        /// Reason for the return.
        reason: HandBackReason,
    },
}

/// Outcome of the end of a run for its task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndEffect {
    /// The task is queued in this group again under its next attempt.
    Restart {
        /// Attempt under which the task runs next.
        next: ids::Attempt,
    },
    /// The task's gang was aborted in this group, and its shard assigns the task again.
    Returned {
        /// Attempt under which the task runs next.
        next: ids::Attempt,
    },
    /// The task completed, was cancelled, was replaced or is surplus.
    Finished,
    /// The task used up its attempts and is not started again.
    Failed,
    /// The outcome of the run is unknown and the task is not idempotent, so it is not restarted.
    Unresolved,
    /// The run is unknown to this group, or its end was already reported.
    Ignored,
}

/// State of a task in listings.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum TaskState {
    /// This group has no such task.
    Unknown,
    /// Queued, blocked by an older attempt, or delayed after a failure.
    Waiting,
    /// Capacity is reserved for the task as a member of its gang.
    Reserved,
    /// A start was decided but not confirmed by the worker.
    Starting,
    /// The worker confirmed the start.
    Running,
    /// A stop was decided but the end has not been reported.
    Stopping,
}

/// State of a task and the reason for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// Task that was asked about.
    pub task: ids::TaskId,
    /// State of the task.
    pub state: TaskState,
    /// Attempt that is placed, or that will be placed next.
    pub attempt: ids::Attempt,
    /// Worker that has the run; `None` while the task is not placed.
    pub worker: Option<ids::WorkerId>,
    /// One sentence with the reason and, where there is one, the remedy.
    pub reason: String,
}

/// A worker in listings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct WorkerView {
    /// Identifier of the worker.
    pub id: ids::WorkerId,
    /// Rack of the worker.
    pub rack: ids::RackId,
    /// Total capacity.
    pub capacity: work::Resources,
    /// Sum assigned to runs and reservations.
    pub assigned: work::Resources,
    /// Number of runs on the worker, including starts that are not confirmed.
    pub tasks: usize,
    /// One of `live`, `leaving`, `unconfirmed`, `quarantined`, `probation`, `refusing` and `gone`.
    pub state: &'static str,
}

/// A task in listings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TaskView {
    /// Run that is returned.
    pub run: ids::TaskAttempt,
    /// Team that owns the task.
    pub team: ids::TeamId,
    /// State of the task.
    pub state: TaskState,
    /// Worker that has the run; `None` while the task is not placed.
    pub worker: Option<ids::WorkerId>,
    /// Size assigned to the run, or the declared size while the task is not placed.
    pub size: work::Resources,
}

/// Workers and tasks of a group at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Snapshot {
    /// Present workers, and removed workers that still have runs.
    pub workers: Vec<WorkerView>,
    /// Tasks in any state, including orphaned runs of older attempts.
    pub tasks: Vec<TaskView>,
}
