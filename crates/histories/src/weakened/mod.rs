//! Platforms with one safety mechanism disabled, to test the checker.
//!
//! A clean result is meaningful only if the checker reports violations once a
//! mechanism is disabled. [`Guard`] selects the mechanism; [`without_guard`] wraps
//! the platform, while the rest of the system runs unmodified.

mod store;
mod upstreams;
mod workers;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use derive_more::Display;
use indexmap::IndexMap;
use kernel::ids;

/// A safety mechanism on which a guarantee depends.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "snake_case")]
pub enum Guard {
    /// Workers reject orders with a lower epoch or with an old sequence number.
    WorkerEpoch,
    /// Workers end their tasks when the task lease expires.
    TaskLease,
    /// The store applies a write only if its condition holds.
    StoreCondition,
    /// A key is claimed before its call is sent.
    Claim,
    /// An answer is returned only to the attempt it belongs to.
    AnswerMatch,
    /// A lost answer is distinguished from a request that did not run.
    AnswerLoss,
    /// Leaving workers and their upstreams announce that they are leaving.
    LeavingSignal,
}

/// Highest epoch and last sequence number sent to a worker by any host.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    epoch: ids::Epoch,
    sequence: u64,
}

/// The disabled guard, with state shared by the wrappers of all hosts.
#[derive(Clone, Debug)]
pub struct DisabledGuard {
    guard: Guard,
    seen: Arc<Mutex<IndexMap<String, Seen>>>,
}

impl DisabledGuard {
    /// Disables one guard.
    pub fn new(guard: Guard) -> Self {
        Self {
            guard,
            seen: Arc::default(),
        }
    }

    /// The guard that is disabled.
    pub const fn guard(&self) -> Guard {
        self.guard
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<String, Seen>> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns an epoch and a sequence number that the worker accepts, whatever the epoch of the
    /// request.
    fn accepted_order(&self, address: &str, epoch: ids::Epoch) -> Seen {
        let mut seen = self.lock();
        let worker = seen.entry(address.to_owned()).or_default();
        worker.epoch = worker.epoch.max(epoch);
        worker.sequence += 1;
        *worker
    }
}

/// Wraps a platform so that the guard is disabled.
pub fn without_guard(disabled: &DisabledGuard, inner: &platform::Platform) -> platform::Platform {
    platform::Platform {
        store: Arc::new(store::UnguardedStore::new(disabled, &inner.store)),
        workers: Arc::new(workers::UnguardedWorkers::new(disabled, &inner.workers)),
        upstreams: Arc::new(upstreams::UnguardedUpstreams::new(
            disabled,
            &inner.upstreams,
        )),
    }
}
