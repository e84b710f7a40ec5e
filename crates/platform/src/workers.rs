//! The list of workers and the agents that run tasks on them.
//!
//! One idempotent exchange, [`Workers::sync`], carries everything that an
//! owner tells a worker and everything the worker tells its owner. A worker
//! remembers the highest epoch it has seen and refuses every request that
//! carries a lower one. It ends a task by itself when the task's lease runs
//! out, and it keeps reporting a finished run until the run is acknowledged.

use std::fmt;

use derive_more::Display;
use futures::future;
use kernel::ids;
use kernel::work;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Whether a worker takes new tasks.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum WorkerState {
    /// Takes new tasks.
    #[default]
    Live,
    /// Is about to go away; takes no new tasks.
    Leaving,
}

/// One line of the platform's list of workers, which lags behind reality.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// The worker.
    pub id: ids::WorkerId,
    /// Its availability zone.
    pub zone: ids::ZoneId,
    /// Its rack.
    pub rack: ids::RackId,
    /// Where its agent is reached, as `IP:PORT`, or `IP:PORT/PATH` if several share a port.
    pub address: String,
    /// What it can hold.
    pub capacity: work::Resources,
    /// Whether it takes new tasks.
    pub state: WorkerState,
}

/// An order to run a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// Which run of which task.
    pub run: ids::TaskAttempt,
    /// The shard to which the end is reported; `None` for work of a release note.
    pub shard: Option<ids::ShardId>,
    /// The team whose quota it uses.
    pub team: ids::TeamId,
    /// How soon it had to start.
    pub urgency: work::Urgency,
    /// How the task relates to its work.
    pub kind: work::WorkKind,
    /// What is assigned to the task.
    pub demand: work::Resources,
    /// Declared run time; `None` for a service.
    pub run_time_ms: Option<u64>,
    /// Calls that the task handles at once, if it is an upstream.
    pub slots: u32,
    /// Connections that the task accepts, if it is an upstream.
    pub connections: u32,
    /// The revision of the work under which it was started.
    #[serde(default)]
    pub revision: ids::ReleaseVersion,
}

/// How a running task is held back or ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum StopMode {
    /// Runs on with less than it uses now.
    Throttle,
    /// Saves its state and ends; its next attempt resumes from there.
    Checkpoint,
    /// Takes no new calls, and ends when the open ones have ended.
    Drain,
    /// Ends at once.
    Kill,
}

/// An order to hold back or end a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopOrder {
    /// Which run.
    pub run: ids::TaskAttempt,
    /// How.
    pub mode: StopMode,
}

/// What an owner tells a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The owner's epoch; raises the worker's if higher.
    pub epoch: ids::Epoch,
    /// Grows with every request under one epoch; a worker refuses one that is not newer than the
    /// last, so that a delayed request cannot start anything after its sender has given it up.
    #[serde(default)]
    pub sequence: u64,
    /// Every running task's lease ends this long after the worker got the request.
    pub lease_ms: u64,
    /// Digest of the running list that the owner knows; the list is left out of the reply if equal.
    pub known_digest: Option<u64>,
    /// Tasks to start.
    pub starts: Vec<StartOrder>,
    /// Tasks to hold back or end.
    pub stops: Vec<StopOrder>,
    /// Finished runs that need not be reported any more.
    pub acknowledged: Vec<ids::TaskAttempt>,
}

/// A run on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTask {
    /// The order under which it runs.
    pub order: StartOrder,
    /// What it used when it was last measured.
    pub usage: work::Resources,
    /// Calls open on it, if it is an upstream.
    pub open_calls: u32,
    /// Whether it takes no new calls.
    pub draining: bool,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum RunEnd {
    /// It ran to its own end.
    Completed,
    /// It failed by itself.
    Failed,
    /// It saved its state and ended.
    Checkpointed,
    /// It was ended by order.
    Stopped,
    /// Its lease ran out.
    LeaseLapsed,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishedRun {
    /// The order under which it ran.
    pub order: StartOrder,
    /// How it ended.
    pub end: RunEnd,
    /// How long it ran, in milliseconds.
    pub ran_ms: u64,
}

/// Why a worker did not carry out a start.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The worker has no room.
    NoRoom,
    /// An attempt with the same or a higher number is known already.
    OldAttempt,
    /// The worker is leaving.
    Leaving,
}

/// A start that was not carried out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Which run.
    pub run: ids::TaskAttempt,
    /// Why.
    pub reason: RefusalReason,
}

/// What a worker tells its owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncReply {
    /// Digest of the running list.
    pub digest: u64,
    /// All running tasks; `None` if the digest equals the one that the owner knows.
    pub running: Option<Vec<RunningTask>>,
    /// Runs that have ended and are not acknowledged.
    pub finished: Vec<FinishedRun>,
    /// Starts that were not carried out.
    pub refused: Vec<Refusal>,
    /// Whether the worker takes new tasks.
    pub state: WorkerState,
}

/// Why an exchange with a worker gave no result.
#[derive(Debug, Snafu)]
pub enum WorkerError {
    /// The worker has seen a higher epoch; it did nothing.
    #[snafu(display("the worker has seen epoch {seen}"))]
    StaleEpoch {
        /// The epoch that the worker has seen.
        seen: ids::Epoch,
    },
    /// The worker has seen a newer request of the same owner; it did nothing.
    #[snafu(display("the worker has seen a newer request"))]
    OutOfOrder,
    /// The worker did not get the request; it did nothing.
    #[snafu(display("the worker cannot be reached: {detail}"))]
    Unreachable {
        /// What was seen.
        detail: String,
    },
    /// The reply was lost; the worker may have carried the request out.
    #[snafu(display("the worker's reply was lost: {detail}"))]
    ReplyLost {
        /// What was seen.
        detail: String,
    },
}

/// The list of workers and their agents.
pub trait Workers: fmt::Debug + Send + Sync {
    /// The platform's list of the workers of one zone.
    fn list<'a>(
        &'a self,
        zone: &'a ids::ZoneId,
    ) -> future::BoxFuture<'a, Result<Vec<WorkerInfo>, WorkerError>>;

    /// Exchanges orders and reports with one worker.
    fn sync<'a>(
        &'a self,
        worker: &'a WorkerInfo,
        request: &'a SyncRequest,
    ) -> future::BoxFuture<'a, Result<SyncReply, WorkerError>>;
}
