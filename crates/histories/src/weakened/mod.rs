//! Platforms on which one guard is missing.
//!
//! A checker that finds nothing says little unless it finds something where a
//! guard is taken away. A [`Guard`] names what is taken away; [`weaken`] wraps
//! the platform so that the rest of the system runs as it is.

mod store;
mod upstreams;
mod workers;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use derive_more::Display;
use indexmap::IndexMap;
use kernel::ids;

/// What a promise rests on.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "snake_case")]
pub enum Guard {
    /// Workers refuse orders of lower epochs, and those that are not newer than the last.
    WorkerEpoch,
    /// Workers end a task when its lease runs out.
    TaskLease,
    /// The store writes only if the condition holds.
    StoreCondition,
    /// The claim of a key stands before its call leaves.
    Claim,
    /// An answer is handed on only to the attempt that it belongs to.
    AnswerMatch,
    /// A lost answer is told apart from a request that did not run.
    AnswerLoss,
    /// Leaving workers and their upstreams say so.
    LeavingSignal,
}

/// Highest epoch and last sequence that reached each worker, from all hosts.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    epoch: ids::Epoch,
    sequence: u64,
}

/// What the wrappers of all hosts share.
#[derive(Clone, Debug)]
pub struct Weakness {
    guard: Guard,
    seen: Arc<Mutex<IndexMap<String, Seen>>>,
}

impl Weakness {
    /// Takes one guard away.
    pub fn new(guard: Guard) -> Self {
        Self {
            guard,
            seen: Arc::default(),
        }
    }

    /// The guard that is missing.
    pub const fn guard(&self) -> Guard {
        self.guard
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<String, Seen>> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The epoch and sequence under which a worker obeys a request of any epoch.
    fn obeyed(&self, address: &str, epoch: ids::Epoch) -> Seen {
        let mut seen = self.lock();
        let worker = seen.entry(address.to_owned()).or_default();
        worker.epoch = worker.epoch.max(epoch);
        worker.sequence += 1;
        *worker
    }
}

/// The platform without the guard.
pub fn weaken(weakness: &Weakness, inner: &platform::Platform) -> platform::Platform {
    platform::Platform {
        store: Arc::new(store::WeakStore::new(weakness, &inner.store)),
        workers: Arc::new(workers::WeakWorkers::new(weakness, &inner.workers)),
        upstreams: Arc::new(upstreams::WeakUpstreams::new(weakness, &inner.upstreams)),
    }
}
