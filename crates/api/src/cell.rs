//! Hosts, workers, tasks and placements as operators see them.

use derive_more::Display;
use kernel::ids;
use kernel::lifecycle;
use kernel::work;
use serde::{Deserialize, Serialize};

/// A rack group and the epoch under which it is owned.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupView {
    /// The group's zone.
    pub zone: ids::ZoneId,
    /// The group's number within its zone.
    pub index: u16,
    /// The epoch of its owner.
    pub epoch: ids::Epoch,
}

/// A journal shard and the epoch under which it is owned.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardView {
    /// The shard.
    pub shard: ids::ShardId,
    /// The epoch of its owner.
    pub epoch: ids::Epoch,
}

/// An entry host as the answering host knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostView {
    /// The entry host.
    pub host: ids::HostId,
    /// Its availability zone.
    pub zone: ids::ZoneId,
    /// Address of its HTTP port, as `IP:PORT`.
    pub address: String,
    /// Its life-cycle phase.
    pub phase: lifecycle::Phase,
    /// The rack groups that it owns.
    pub groups: Vec<GroupView>,
    /// The journal shards that it owns.
    pub shards: Vec<ShardView>,
    /// Free capacity of its groups together.
    pub free: work::Resources,
    /// Whole capacity of its groups together.
    pub capacity: work::Resources,
    /// Tasks that wait for capacity in its groups.
    pub waiting_tasks: u32,
    /// How long ago it was last heard, in milliseconds; zero for the answering host.
    pub heard_ms_ago: u64,
}

/// A worker as its capacity owner knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerView {
    /// The worker.
    pub worker: ids::WorkerId,
    /// Its availability zone.
    pub zone: ids::ZoneId,
    /// Its rack.
    pub rack: ids::RackId,
    /// What it can hold.
    pub capacity: work::Resources,
    /// What is assigned to it.
    pub assigned: work::Resources,
    /// `live`, `leaving`, or `unreachable` while its owner cannot speak to it.
    pub state: String,
    /// Whether it gets no tasks because it failed those it got.
    pub quarantined: bool,
}

/// Where a task stands.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum TaskState {
    /// Not yet handed to an owner of capacity.
    Waiting,
    /// Handed to an owner; may be about to start.
    Assigned,
    /// Runs on a worker.
    Running,
    /// Ran to its end.
    Completed,
    /// Failed in every attempt.
    Failed,
    /// Was cancelled.
    Cancelled,
    /// It is not known whether it ran.
    Unknown,
}

impl TaskState {
    /// Whether the task will not run any more.
    pub const fn is_final(self) -> bool {
        matches!(
            self,
            Self::Completed | Self::Failed | Self::Cancelled | Self::Unknown
        )
    }
}

/// Why a task waits, or where it runs or ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Where the task stands.
    pub state: TaskState,
    /// The worker of the latest attempt, if there is one.
    pub worker: Option<ids::WorkerId>,
    /// The latest attempt; zero if there was none.
    pub attempt: ids::Attempt,
    /// One sentence that an operator can act on.
    pub reason: String,
}

/// A task on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Which run of which task.
    #[serde(flatten)]
    pub run: ids::TaskAttempt,
    /// The team whose quota it uses.
    pub team: ids::TeamId,
    /// How the task relates to its work.
    pub kind: work::WorkKind,
    /// Where it runs.
    pub worker: ids::WorkerId,
    /// The worker's availability zone.
    pub zone: ids::ZoneId,
    /// The worker's rack.
    pub rack: ids::RackId,
    /// What is assigned to it.
    pub demand: work::Resources,
}
