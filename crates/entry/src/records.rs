//! Store keys and values.
//!
//! | key | value | written by |
//! |---|---|---|
//! | `hc/m/lead` | the leader; attached to a lease | the leader, at takeover |
//! | `hc/m/host/NAME` | peer address of a host; attached to a lease | each host |
//! | `hc/a/lead` | as `hc/m/lead`, in the same transaction | the leader |
//! | `hc/a/new/ID` | empty: the record was written directly in the store | any host |
//! | `hc/a/cancel/ID` | empty: a job was cancelled directly in the store | any host |
//! | `hc/j/ID` | a job's record | the accepting host, then the leader |
//! | `hc/p/ID` | payload passed to the job's tasks, until the job ends | the accepting host |
//! | `hc/term` | number of the current term | the leader, at takeover |
//! | `hc/roster` | workers that may have been given work | the leader |
//!
//! The leader watches only `hc/a/`. The leader key is mirrored there, so that a replaced leader
//! sees its successor before any job accepted after that.

use cell::{
    coordinator::InheritedWorker,
    ids::{JobId, StepId, TaskId},
    jobs::JobRecord,
    workers::{Resources, Worker, WorkerEntry},
};
use prost::Message;

/// The leader key.
pub const LEADER_KEY: &str = "hc/m/lead";
/// Mirror of the leader key under the prefix that the leader watches.
pub const LEADER_MIRROR_KEY: &str = "hc/a/lead";
/// Prefix of the hosts and the leader key.
pub const MEMBERS_PREFIX: &str = "hc/m/";
/// Prefix of the live hosts.
pub const HOST_PREFIX: &str = "hc/m/host/";
/// Prefix of changes that reach the leader through the store.
pub const ARRIVALS_PREFIX: &str = "hc/a/";
/// Prefix of markers for jobs accepted directly in the store.
pub const ACCEPTED_PREFIX: &str = "hc/a/new/";
/// Prefix of markers for jobs cancelled directly in the store.
pub const CANCEL_PREFIX: &str = "hc/a/cancel/";
/// Prefix of the job records.
pub const JOB_PREFIX: &str = "hc/j/";
/// Prefix of the job payloads.
pub const PAYLOAD_PREFIX: &str = "hc/p/";
/// Key of the term counter.
pub const TERM_KEY: &str = "hc/term";
/// Key of the roster of workers that may have been given work.
pub const ROSTER_KEY: &str = "hc/roster";

/// Key of a job's record.
pub fn job_key(id: JobId) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// Key of a job's payload.
pub fn payload_key(id: JobId) -> String {
    format!("{PAYLOAD_PREFIX}{id}")
}

/// Moves the payload out of a record. It is stored separately because a record is rewritten
/// whenever a task ends, and every new leader reads all records.
pub fn take_payload(record: &mut JobRecord) -> String {
    let spec = record.spec.as_mut();
    spec.map(|spec| std::mem::take(&mut spec.payload))
        .unwrap_or_default()
}

/// Value of the leader key.
#[derive(Clone, PartialEq, Message)]
pub struct LeaderRecord {
    /// Name of the host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Peer address, as `ip:port`.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Random value that distinguishes elections of the same host.
    #[prost(fixed64, tag = "3")]
    pub nonce: u64,
    /// Random identifier of the host's process; 0 if unknown.
    #[prost(fixed64, tag = "4")]
    pub process: u64,
}

/// Value of a live host's key.
#[derive(Clone, PartialEq, Message)]
pub struct HostRecord {
    /// Peer address, as `ip:port`.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Its availability zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Its CPU capacity, in thousandths of a core.
    #[prost(uint64, tag = "3")]
    pub cpu_millicores: u64,
}

/// Value of the term counter.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct TermRecord {
    /// Number of the current term, counted from 0.
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

/// A run that a worker may have.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct RosterRun {
    /// Job of the task.
    #[prost(fixed64, tag = "1")]
    pub job: u64,
    /// Occurrence of the job.
    #[prost(uint32, tag = "2")]
    pub occurrence: u32,
    /// Position of the step.
    #[prost(uint32, tag = "3")]
    pub step: u32,
    /// Position of the task in the step.
    #[prost(uint32, tag = "4")]
    pub index: u32,
    /// Number of the run.
    #[prost(uint64, tag = "5")]
    pub run: u64,
}

impl From<(TaskId, u64)> for RosterRun {
    fn from((task, run): (TaskId, u64)) -> Self {
        Self {
            job: task.step.job.0,
            occurrence: task.step.occurrence,
            step: task.step.step,
            index: task.index,
            run,
        }
    }
}

impl From<&RosterRun> for (TaskId, u64) {
    fn from(run: &RosterRun) -> Self {
        let step = StepId {
            job: JobId(run.job),
            occurrence: run.occurrence,
            step: run.step,
        };
        let index = run.index;
        (TaskId { step, index }, run.run)
    }
}

/// A worker in the roster.
#[derive(Clone, PartialEq, Message)]
pub struct RosterWorker {
    /// Worker identifier.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Order address, as `ip:port`.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Service that the worker runs.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Its availability zone.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// Whether it was about to shut down.
    #[prost(bool, tag = "5")]
    pub draining: bool,
    /// Whether `runs` contains all runs that it may have.
    #[prost(bool, tag = "6")]
    pub closed: bool,
    /// The runs that it may have, in no defined order.
    #[prost(message, repeated, tag = "7")]
    pub runs: Vec<RosterRun>,
    /// Runs of orders without a response, which a later process of the worker may execute.
    #[prost(message, repeated, tag = "8")]
    pub late_orders: Vec<RosterRun>,
    /// Duration of tasks on it relative to a typical worker, in percent; 0 if unknown.
    #[prost(uint32, tag = "9")]
    pub pace_percent: u32,
}

/// Workers that may have been given work.
#[derive(Clone, PartialEq, Message)]
pub struct Roster {
    /// The workers, in no defined order.
    #[prost(message, repeated, tag = "1")]
    pub workers: Vec<RosterWorker>,
    /// Fence of the last leader whose takeover was complete, so that no earlier leader's hold or
    /// order was left; 0 if unknown.
    #[prost(uint64, tag = "2")]
    pub settled_fence: u64,
}

impl From<&Worker> for RosterWorker {
    fn from(worker: &Worker) -> Self {
        let entry = &worker.entry;
        let closed_runs = worker.closed_runs.iter().flatten();
        Self {
            id: entry.id.to_string(),
            address: entry.address.to_string(),
            service: entry.service.to_string(),
            zone: entry.zone.to_string(),
            draining: entry.draining,
            closed: worker.closed_runs.is_some(),
            runs: closed_runs.copied().map(RosterRun::from).collect(),
            late_orders: worker.late_orders().map(RosterRun::from).collect(),
            pace_percent: worker.relative_pace_percent.unwrap_or(0),
        }
    }
}

impl From<&RosterWorker> for InheritedWorker {
    /// The entry is minimal: sufficient to request the worker's lists, but not to start tasks.
    fn from(worker: &RosterWorker) -> Self {
        let runs = |runs: &[RosterRun]| runs.iter().map(<(TaskId, u64)>::from).collect();
        Self {
            entry: WorkerEntry {
                id: worker.id.as_str().into(),
                service: worker.service.as_str().into(),
                address: worker.address.as_str().into(),
                zone: worker.zone.as_str().into(),
                labels: Vec::new(),
                capacity: Resources::default(),
                draining: worker.draining,
                started_unix_ms: 0,
            },
            closed_runs: worker.closed.then(|| runs(&worker.runs)),
            late_orders: runs(&worker.late_orders),
            pace_percent: Some(worker.pace_percent).filter(|&percent| percent > 0),
        }
    }
}

impl Roster {
    /// Builds the roster of the given workers.
    pub fn of<'a>(workers: impl Iterator<Item = &'a Worker>, settled_fence: u64) -> Self {
        Self {
            workers: workers.map(RosterWorker::from).collect(),
            settled_fence,
        }
    }

    /// Whether the roster has to be written to replace `durable`. Paces alone are no reason, since they
    /// change often, and a successor can learn them again.
    pub fn is_due(&self, durable: &Self) -> bool {
        let is_same = |(new, old): (&RosterWorker, &RosterWorker)| {
            if new.pace_percent == old.pace_percent {
                return new == old;
            }
            let paced = RosterWorker {
                pace_percent: old.pace_percent,
                ..new.clone()
            };
            paced == *old
        };
        self.settled_fence != durable.settled_fence
            || self.workers.len() != durable.workers.len()
            || !self.workers.iter().zip(&durable.workers).all(is_same)
    }

    /// The workers that a successor inherits.
    pub fn inherited(&self) -> Vec<InheritedWorker> {
        self.workers.iter().map(InheritedWorker::from).collect()
    }
}
