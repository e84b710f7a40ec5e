//! Events from which a checker decides whether the promises held.
//!
//! Every process and every stand-in appends what it did to a [`Sink`]. In
//! production the sink drops the events; in a test one sink collects them from
//! all processes, with times from one clock.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};

use crate::errors;
use crate::ids;
use crate::work;

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A worker was added with its capacity.
    WorkerAdded {
        /// The worker.
        worker: ids::WorkerId,
        /// What it can hold.
        capacity: work::Resources,
    },
    /// A worker died; all that ran on it ended.
    WorkerLost {
        /// The worker.
        worker: ids::WorkerId,
    },
    /// A worker began to run a task.
    TaskStarted {
        /// Where.
        worker: ids::WorkerId,
        /// Which run.
        run: ids::TaskAttempt,
        /// What was assigned to it.
        demand: work::Resources,
        /// The token under which it was started.
        epoch: ids::Epoch,
    },
    /// A task ended on a worker, for whatever reason.
    TaskEnded {
        /// Where.
        worker: ids::WorkerId,
        /// Which run.
        run: ids::TaskAttempt,
        /// Whether it ran to its own end.
        completed: bool,
    },
    /// A worker refused an order because of its epoch.
    OrderRefused {
        /// The worker.
        worker: ids::WorkerId,
        /// The order's epoch.
        epoch: ids::Epoch,
        /// The epoch that the worker has seen.
        seen: ids::Epoch,
    },
    /// A caller sent a request.
    RequestSent {
        /// The caller's number for the request, unique in the history.
        request: u64,
        /// The idempotency key of a non-idempotent request.
        key: Option<ids::IdempotencyKey>,
        /// Digest of the request, which its answer must carry.
        digest: u64,
    },
    /// A caller got an answer.
    AnswerReceived {
        /// The request's number.
        request: u64,
        /// What the answer says.
        outcome: errors::Outcome,
        /// Digest of the request that the answer belongs to, if it carries one.
        digest: Option<u64>,
        /// Whether the body was as long as announced.
        whole: bool,
    },
    /// An upstream began to run a request.
    RequestRan {
        /// Which upstream instance.
        task: ids::TaskId,
        /// The request's number, where the caller gave one.
        request: u64,
        /// The idempotency key of a non-idempotent request.
        key: Option<ids::IdempotencyKey>,
        /// Calls open on the instance, this one included.
        open_calls: u32,
        /// Slots of the instance.
        slots: u32,
    },
    /// An upstream was told to leave.
    UpstreamLeaving {
        /// Which upstream instance.
        task: ids::TaskId,
    },
    /// A job was accepted: the submitter has been told so.
    WorkAccepted {
        /// The work.
        work: ids::WorkId,
        /// Its number of tasks.
        tasks: u32,
    },
    /// A release note was accepted at the store.
    ReleaseAccepted {
        /// Its number.
        version: ids::ReleaseVersion,
    },
    /// A process put a release in force.
    ReleaseInForce {
        /// The entry host.
        host: ids::HostId,
        /// Its number.
        version: ids::ReleaseVersion,
    },
}

/// One event with its time and the process that saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Milliseconds on the history's clock.
    pub at_ms: u64,
    /// The process or stand-in that appended the event.
    pub process: String,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

/// Where events go.
pub trait Sink: fmt::Debug + Send + Sync {
    /// Appends one event.
    fn append(&self, record: Record);
}

/// Drops every event.
#[derive(Clone, Copy, Debug, Default)]
pub struct NullSink;

impl Sink for NullSink {
    fn append(&self, _record: Record) {}
}

/// Keeps every event in memory.
#[derive(Clone, Debug, Default)]
pub struct MemorySink {
    records: Arc<Mutex<Vec<Record>>>,
}

impl MemorySink {
    /// A copy of all events so far, in the order in which they were appended.
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
