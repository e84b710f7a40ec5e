//! Wrappers around the store, worker and peer connections that count calls and bytes.

mod store;
mod transport;
mod workers;

use std::sync::{Arc, Mutex, PoisonError};

use indexmap::IndexMap;

pub(crate) use store::CountingStore;
pub(crate) use transport::CountingTransport;
pub(crate) use workers::CountingWorkers;

/// The kind of a counted call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Traffic {
    /// A request to a peer host, by request kind.
    Peer(&'static str),
    /// A store read, by key category.
    StoreRead(&'static str),
    /// A store watch, by key category.
    StoreWatch(&'static str),
    /// A store write or deletion, by key category.
    StoreWrite(&'static str),
    /// A grant, renewal or revocation of a store lease.
    StoreLease,
    /// A sync request to a worker.
    WorkerSync,
    /// A request for the worker list.
    WorkerList,
    /// A task start that was sent to a worker and not refused.
    Start,
}

/// Call and byte totals of one kind of traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct TrafficTotals {
    /// Calls, each counted once together with its reply.
    pub calls: u64,
    /// Bytes of the requests and the replies.
    pub bytes: u64,
    /// Bytes of the largest single call with its reply.
    pub largest_bytes: u64,
}

/// Traffic totals shared by all connections of a cell.
#[derive(Clone, Debug, Default)]
pub(crate) struct TrafficCounters(Arc<Mutex<IndexMap<Traffic, TrafficTotals>>>);

impl TrafficCounters {
    /// Counts one call of `bytes` bytes.
    pub fn add(&self, traffic: Traffic, bytes: usize) {
        let mut all_totals = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let totals = all_totals.entry(traffic).or_default();
        totals.calls += 1;
        totals.bytes += bytes as u64;
        totals.largest_bytes = totals.largest_bytes.max(bytes as u64);
    }

    /// Returns the totals since the last call and resets them.
    pub fn take(&self) -> IndexMap<Traffic, TrafficTotals> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
