//! Recorded events that a checker verifies against the system's guarantees.
//!
//! Every process and every stand-in appends its actions to a [`Sink`]. In
//! production the sink drops the events; in a test one sink collects them from
//! all processes, with timestamps of a common clock.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};

use crate::errors;
use crate::ids;
use crate::work;

/// An action of a process or a stand-in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A worker was added.
    WorkerAdded {
        /// The new worker.
        worker: ids::WorkerId,
        /// Total capacity of the worker.
        capacity: work::Resources,
    },
    /// A worker was lost, which ended all tasks on it.
    WorkerLost {
        /// The lost worker.
        worker: ids::WorkerId,
    },
    /// A worker started a task.
    TaskStarted {
        /// Worker that runs the task.
        worker: ids::WorkerId,
        /// The started attempt.
        run: ids::TaskAttempt,
        /// Resources assigned to the task.
        demand: work::Resources,
        /// Fencing token of the start order.
        epoch: ids::Epoch,
    },
    /// A task ended on a worker, for any reason.
    TaskEnded {
        /// Worker that ran the task.
        worker: ids::WorkerId,
        /// The ended attempt.
        run: ids::TaskAttempt,
        /// Whether the task ran to completion.
        completed: bool,
    },
    /// A worker rejected an order with a stale epoch.
    OrderRefused {
        /// Worker that rejected the order.
        worker: ids::WorkerId,
        /// Epoch of the order.
        epoch: ids::Epoch,
        /// Highest epoch that the worker has accepted.
        seen: ids::Epoch,
    },
    /// A caller sent a request.
    RequestSent {
        /// Request number, assigned by the caller and unique in the history.
        request: u64,
        /// Idempotency key; `None` for an idempotent request.
        key: Option<ids::IdempotencyKey>,
        /// Digest of the request, which the answer must repeat.
        digest: u64,
    },
    /// A caller received an answer.
    AnswerReceived {
        /// Number of the answered request.
        request: u64,
        /// Outcome stated in the answer.
        outcome: errors::Outcome,
        /// Request digest in the answer, if any.
        digest: Option<u64>,
        /// Whether the body had its announced length.
        whole: bool,
    },
    /// An upstream started to execute a request.
    RequestRan {
        /// Task that is the upstream instance.
        task: ids::TaskId,
        /// Request number assigned by the caller, if any.
        request: u64,
        /// Idempotency key; `None` for an idempotent request.
        key: Option<ids::IdempotencyKey>,
        /// Open calls on the instance, including this one.
        open_calls: u32,
        /// Maximum number of concurrent calls on the instance.
        slots: u32,
    },
    /// An upstream was asked to shut down.
    UpstreamLeaving {
        /// Task that is the upstream instance.
        task: ids::TaskId,
    },
    /// A job was accepted, and its acceptance was reported to the submitter.
    WorkAccepted {
        /// The accepted job.
        work: ids::WorkId,
        /// Number of tasks in the job.
        tasks: u32,
    },
    /// The store accepted a release note.
    ReleaseAccepted {
        /// Version of the release.
        version: ids::ReleaseVersion,
    },
    /// A process put a release in force.
    ReleaseInForce {
        /// Entry host of the process.
        host: ids::HostId,
        /// Version of the release.
        version: ids::ReleaseVersion,
    },
}

/// An event with its timestamp and origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Timestamp in milliseconds on the clock of the history.
    pub at_ms: u64,
    /// Name of the process or stand-in that appended the event.
    pub process: String,
    /// The recorded event.
    #[serde(flatten)]
    pub event: Event,
}

/// Destination of recorded events.
pub trait Sink: fmt::Debug + Send + Sync {
    /// Appends one event.
    fn append(&self, record: Record);
}

/// A sink that drops all events.
#[derive(Clone, Copy, Debug, Default)]
pub struct NullSink;

impl Sink for NullSink {
    fn append(&self, _record: Record) {}
}

/// A sink that keeps all events in memory; clones share the same events.
#[derive(Clone, Debug, Default)]
pub struct MemorySink {
    records: Arc<Mutex<Vec<Record>>>,
}

impl MemorySink {
    /// A copy of the events so far, in append order.
    pub fn records(&self) -> Vec<Record> {
        self.records
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

impl Sink for MemorySink {
    fn append(&self, record: Record) {
        self.records
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(record);
    }
}
