//! Matching of responses to open attempts.
//!
//! Every attempt has its own ID, including retries of a request. A response whose ID is
//! not open is late; one from a peer other than the attempt's is crossed. Both are
//! dropped and counted, so a caller never receives the response to another call.

use derive_more::{Display, From, Into};
use indexmap::IndexMap;

/// IDs available to a host per millisecond of uptime.
///
/// IDs start at the host's incarnation times this, so that a later incarnation starts
/// above all IDs of earlier ones.
const IDS_PER_MS: u64 = 1 << 20;

/// ID of an attempt, unique per host across all its incarnations.
#[derive(
    Clone, Copy, Debug, Default, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash,
)]
pub struct AttemptId(pub u64);

/// Counts of the responses received, by how they were handled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Responses matched to an open attempt.
    pub matched: u64,
    /// Responses dropped because their attempt was closed or never opened.
    pub late: u64,
    /// Responses dropped because they came from a peer other than the attempt's.
    pub crossed: u64,
}

#[derive(Debug)]
struct OpenAttempt<P, T> {
    peer: P,
    pending: T,
}

/// The open attempts of one host.
///
/// `P` identifies the peer of an attempt, `T` is the state kept until its
/// response arrives.
#[derive(Debug)]
pub struct AttemptTable<P, T> {
    next_id: u64,
    open: IndexMap<AttemptId, OpenAttempt<P, T>>,
    counts: AttemptCounts,
}

impl<P: PartialEq, T> AttemptTable<P, T> {
    /// Creates a table for an incarnation, the host's start time in milliseconds since the
    /// Unix epoch.
    pub fn new(incarnation_ms: u64) -> Self {
        Self {
            next_id: incarnation_ms.saturating_mul(IDS_PER_MS),
            open: IndexMap::new(),
            counts: AttemptCounts::default(),
        }
    }

    /// Opens an attempt sent to a peer and returns its new ID.
    pub fn open(&mut self, peer: P, pending: T) -> AttemptId {
        let id = AttemptId(self.next_id);
        self.next_id += 1;
        self.open.insert(id, OpenAttempt { peer, pending });
        id
    }

    /// Closes the attempt that a response belongs to and returns its pending state.
    ///
    /// Returns `None` if the response must be dropped because it is late or crossed; a
    /// crossed one leaves the attempt open.
    pub fn accept(&mut self, id: AttemptId, peer: &P) -> Option<T> {
        let Some(attempt) = self.open.get(&id) else {
            self.counts.late += 1;
            return None;
        };
        if attempt.peer != *peer {
            self.counts.crossed += 1;
            return None;
        }
        self.counts.matched += 1;
        self.open.swap_remove(&id).map(|attempt| attempt.pending)
    }

    /// Closes an attempt without a response, for example after a timeout.
    pub fn close(&mut self, id: AttemptId) -> Option<T> {
        self.open.swap_remove(&id).map(|attempt| attempt.pending)
    }

    /// Closes all attempts sent to a peer, for example when its connection breaks.
    pub fn close_peer(&mut self, peer: &P) -> Vec<(AttemptId, T)> {
        let closed = self
            .open
            .extract_if(.., |_, attempt| attempt.peer == *peer)
            .map(|(id, attempt)| (id, attempt.pending));
        closed.collect()
    }

    /// Number of open attempts.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether there are no open attempts.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Counts of responses since the table was created.
    pub fn counts(&self) -> AttemptCounts {
        self.counts
    }
}
