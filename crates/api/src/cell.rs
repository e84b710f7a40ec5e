//! Views of hosts, workers, tasks and placements for operators.

use derive_more::Display;
use kernel::ids;
use kernel::lifecycle;
use kernel::work;
use serde::{Deserialize, Serialize};

/// A rack group and the epoch under which it is owned.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupView {
    /// Availability zone of the group.
    pub zone: ids::ZoneId,
    /// Index of the group within its zone.
    pub index: u16,
    /// Epoch of the current owner.
    pub epoch: ids::Epoch,
}

/// A journal shard and the epoch under which it is owned.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardView {
    /// Number of the shard.
    pub shard: ids::ShardId,
    /// Epoch of the current owner.
    pub epoch: ids::Epoch,
}

/// An entry host, as known to the responding host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostView {
    /// Identifier of the entry host.
    pub host: ids::HostId,
    /// Availability zone of the host.
    pub zone: ids::ZoneId,
    /// Address of the host's HTTP API, as `IP:PORT`.
    pub address: String,
    /// Life-cycle phase of the host.
    pub phase: lifecycle::Phase,
    /// Rack groups owned by the host.
    pub groups: Vec<GroupView>,
    /// Journal shards owned by the host.
    pub shards: Vec<ShardView>,
    /// Total free capacity of the owned rack groups.
    pub free: work::Resources,
    /// Total capacity of the owned rack groups.
    pub capacity: work::Resources,
    /// Number of tasks that wait for capacity in the owned rack groups.
    pub waiting_tasks: u32,
    /// Time since the last message from the host, in milliseconds; zero for the responding host.
    pub heard_ms_ago: u64,
}

/// A worker, as known to the owner of its capacity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerView {
    /// Identifier of the worker.
    pub worker: ids::WorkerId,
    /// Availability zone of the worker.
    pub zone: ids::ZoneId,
    /// Rack of the worker.
    pub rack: ids::RackId,
    /// Total capacity of the worker.
    pub capacity: work::Resources,
    /// Resources assigned to tasks on the worker.
    pub assigned: work::Resources,
    /// `live`, `leaving`, or `unreachable` while its owner cannot connect to it.
    pub state: String,
    /// Whether the worker receives no tasks because earlier tasks failed on it.
    pub quarantined: bool,
}

/// State of a task.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum TaskState {
    /// Not yet assigned to a capacity owner.
    Waiting,
    /// Assigned to a capacity owner and not yet reported as started.
    Assigned,
    /// Running on a worker.
    Running,
    /// Ran to completion.
    Completed,
    /// Failed in every attempt.
    Failed,
    /// Cancelled before it completed.
    Cancelled,
    /// May or may not have run, and must not run again.
    Unknown,
}

impl TaskState {
    /// Whether the task will not run again.
    pub const fn is_final(self) -> bool {
        matches!(
            self,
            Self::Completed | Self::Failed | Self::Cancelled | Self::Unknown
        )
    }
}

/// The state of a task with the reason for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Current state of the task.
    pub state: TaskState,
    /// Worker of the latest attempt; `None` if there was none.
    pub worker: Option<ids::WorkerId>,
    /// Number of the latest attempt; zero if there was none.
    pub attempt: ids::Attempt,
    /// One sentence that explains the state and what an operator can do about it.
    pub reason: String,
}

/// A task that is placed on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Task and attempt number.
    #[serde(flatten)]
    pub run: ids::TaskAttempt,
    /// Team whose quota the task uses.
    pub team: ids::TeamId,
    /// Kind of work to which the task belongs.
    pub kind: work::WorkKind,
    /// Worker on which the task runs.
    pub worker: ids::WorkerId,
    /// Availability zone of the worker.
    pub zone: ids::ZoneId,
    /// Rack of the worker.
    pub rack: ids::RackId,
    /// Resources assigned to the task.
    pub demand: work::Resources,
}
