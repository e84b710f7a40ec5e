//! Connections that count what passes over them.

mod store;
mod transport;
mod workers;

use std::sync::{Arc, Mutex, PoisonError};

use indexmap::IndexMap;

pub(crate) use store::CountingStore;
pub(crate) use transport::CountingTransport;
pub(crate) use workers::CountingWorkers;

/// What a connection was used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Use {
    /// An exchange with a peer, by the kind of its request.
    Peer(&'static str),
    /// A read in the store, by what it reads.
    StoreRead(&'static str),
    /// A watch in the store, by what it waits for.
    StoreWatch(&'static str),
    /// A write or deletion in the store, by what it writes.
    StoreWrite(&'static str),
    /// A grant, renewal or end of a lease.
    StoreLease,
    /// An exchange with a worker.
    WorkerSync,
    /// A reading of the list of workers.
    WorkerList,
    /// A start that was handed to a worker and not refused.
    Start,
}

/// Number and bytes of one use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Tally {
    /// Calls with their replies.
    pub calls: u64,
    /// Bytes of both.
    pub bytes: u64,
    /// Bytes of the largest call.
    pub largest_bytes: u64,
}

/// Tallies that all connections of a cell share.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counts(Arc<Mutex<IndexMap<Use, Tally>>>);

impl Counts {
    /// Counts one call.
    pub fn add(&self, purpose: Use, bytes: usize) {
        let mut tallies = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let tally = tallies.entry(purpose).or_default();
        tally.calls += 1;
        tally.bytes += bytes as u64;
        tally.largest_bytes = tally.largest_bytes.max(bytes as u64);
    }

    /// Takes all tallies and begins again at zero.
    pub fn take(&self) -> IndexMap<Use, Tally> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
