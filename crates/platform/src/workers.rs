//! Interface to the worker list and to the agents that run tasks on workers.
//!
//! All communication between a group owner and a worker uses one idempotent
//! exchange, [`Workers::sync`]. A worker records the highest epoch it has seen
//! and rejects requests with a lower one. It stops a task when the task's lease
//! expires, and reports a finished run until the run is acknowledged.

use std::fmt;

use derive_more::Display;
use futures::future;
use kernel::ids;
use kernel::work;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Availability of a worker for new tasks.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum WorkerState {
    /// The worker accepts new tasks.
    #[default]
    Live,
    /// The worker is shutting down and accepts no new tasks.
    Leaving,
}

/// An entry of the platform's worker list, which may be out of date.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// The worker.
    pub id: ids::WorkerId,
    /// Its availability zone.
    pub zone: ids::ZoneId,
    /// Its rack.
    pub rack: ids::RackId,
    /// Address of its agent: `IP:PORT`, or `IP:PORT/PATH` if several agents share a port.
    pub address: String,
    /// Total resources.
    pub capacity: work::Resources,
    /// Availability for new tasks.
    pub state: WorkerState,
}

/// Instruction to start a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The task attempt to start.
    pub run: ids::TaskAttempt,
    /// Shard that receives the result; `None` for work from a release note.
    pub shard: Option<ids::ShardId>,
    /// Team whose quota is charged.
    pub team: ids::TeamId,
    /// Scheduling urgency.
    pub urgency: work::Urgency,
    /// Kind of the work that the task belongs to.
    pub kind: work::WorkKind,
    /// Resources assigned to the task.
    pub demand: work::Resources,
    /// Declared run time in milliseconds; `None` for a service.
    pub run_time_ms: Option<u64>,
    /// Maximum number of concurrent calls, if the task is an upstream.
    pub slots: u32,
    /// Maximum number of connections, if the task is an upstream.
    pub connections: u32,
    /// Release version of the work's specification.
    #[serde(default)]
    pub revision: ids::ReleaseVersion,
}

/// How a running task is throttled or stopped.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum StopMode {
    /// Continues with fewer resources than it uses now.
    Throttle,
    /// Saves its state and exits; the next attempt resumes from the checkpoint.
    Checkpoint,
    /// Accepts no new calls, and exits when the open ones have completed.
    Drain,
    /// Is terminated immediately.
    Kill,
}

/// Instruction to throttle or stop a task attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopOrder {
    /// The task attempt to stop.
    pub run: ids::TaskAttempt,
    /// Method of stopping.
    pub mode: StopMode,
}

/// Request of a group owner to a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The owner's epoch; the worker adopts it if it is higher than its own.
    pub epoch: ids::Epoch,
    /// Sequence number within the epoch. A worker rejects a request that is not newer than the
    /// last one, so that a delayed request cannot start tasks after its sender has abandoned it.
    #[serde(default)]
    pub sequence: u64,
    /// Lease duration of all running tasks, from receipt of the request.
    pub lease_ms: u64,
    /// Digest of the owner's copy of the running list; the reply omits the list if it is unchanged.
    pub known_digest: Option<u64>,
    /// Tasks to start.
    pub starts: Vec<StartOrder>,
    /// Tasks to throttle or stop.
    pub stops: Vec<StopOrder>,
    /// Finished runs that the worker no longer needs to report.
    pub acknowledged: Vec<ids::TaskAttempt>,
}

/// A task attempt running on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTask {
    /// The instruction that started it.
    pub order: StartOrder,
    /// Resource usage at the last measurement.
    pub usage: work::Resources,
    /// Number of open calls, if it is an upstream.
    pub open_calls: u32,
    /// Whether it has stopped accepting calls.
    pub draining: bool,
}

/// Outcome of a task attempt.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum RunEnd {
    /// Ran to completion.
    Completed,
    /// Exited with a failure.
    Failed,
    /// Saved its state and exited.
    Checkpointed,
    /// Stopped by instruction of the owner.
    Stopped,
    /// Stopped because its lease expired.
    LeaseLapsed,
}

/// A finished task attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishedRun {
    /// The instruction that started it.
    pub order: StartOrder,
    /// Outcome of the attempt.
    pub end: RunEnd,
    /// Run time in milliseconds.
    pub ran_ms: u64,
}

/// Reason for which a worker rejected a start.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum RefusalReason {
    /// Insufficient free resources.
    NoRoom,
    /// The worker has already seen this attempt of the task, or a later one.
    OldAttempt,
    /// The worker is shutting down.
    Leaving,
}

/// A rejected start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The rejected task attempt.
    pub run: ids::TaskAttempt,
    /// Reason for the rejection.
    pub reason: RefusalReason,
}

/// Reply of a worker to a group owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncReply {
    /// Digest of the running list.
    pub digest: u64,
    /// All running tasks; `None` if the digest equals the request's `known_digest`.
    pub running: Option<Vec<RunningTask>>,
    /// Finished runs that have not been acknowledged.
    pub finished: Vec<FinishedRun>,
    /// Rejected starts.
    pub refused: Vec<Refusal>,
    /// Availability for new tasks.
    pub state: WorkerState,
}

/// Errors of the worker list and of exchanges with workers.
#[derive(Debug, Snafu)]
pub enum WorkerError {
    /// The worker has seen a higher epoch; the request was not applied.
    #[snafu(display("the worker has seen epoch {seen}"))]
    StaleEpoch {
        /// Highest epoch seen by the worker.
        seen: ids::Epoch,
    },
    /// The worker has seen a newer request of the same epoch; this one was not applied.
    #[snafu(display("the worker has seen a newer request"))]
    OutOfOrder,
    /// The request was not sent.
    #[snafu(display("the worker is unreachable: {detail}"))]
    Unreachable {
        /// Description of the failure.
        detail: String,
    },
    /// The reply was lost; the request may have been applied.
    #[snafu(display("no complete reply from the worker: {detail}"))]
    ReplyLost {
        /// Description of the failure.
        detail: String,
    },
}

/// Client of the worker list and the worker agents.
pub trait Workers: fmt::Debug + Send + Sync {
    /// Lists the workers of one zone.
    fn list<'a>(
        &'a self,
        zone: &'a ids::ZoneId,
    ) -> future::BoxFuture<'a, Result<Vec<WorkerInfo>, WorkerError>>;

    /// Sends instructions to one worker and returns its report.
    fn sync<'a>(
        &'a self,
        worker: &'a WorkerInfo,
        request: &'a SyncRequest,
    ) -> future::BoxFuture<'a, Result<SyncReply, WorkerError>>;
}
