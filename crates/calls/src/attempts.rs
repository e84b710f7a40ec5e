//! Matches answers to the attempts that asked for them.
//!
//! Every attempt has a number of its own, also when it repeats a request. An answer
//! whose number is not open is late, one from another peer than was asked is
//! crossed; both are dropped and counted, so a caller never gets another's answer.

use derive_more::{Display, From, Into};
use indexmap::IndexMap;

/// Attempts that a host can number in each millisecond of its life.
///
/// Numbers start at the host's incarnation times this, so that a later incarnation
/// starts above all numbers of earlier ones.
const IDS_PER_MS: u64 = 1 << 20;

/// The number of an attempt, unique per host over all its incarnations.
#[derive(
    Clone, Copy, Debug, Default, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash,
)]
pub struct AttemptId(pub u64);

/// Counts of what became of answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Answers that found their attempt.
    pub matched: u64,
    /// Answers whose attempt was not open any more, or never.
    pub late: u64,
    /// Answers from another peer than the one that was asked.
    pub crossed: u64,
}

#[derive(Debug)]
struct OpenAttempt<P, T> {
    peer: P,
    waiting: T,
}

/// The open attempts of one host.
///
/// `P` names the peer that was asked, `T` is what waits for the answer.
#[derive(Debug)]
pub struct AttemptTable<P, T> {
    next: u64,
    open: IndexMap<AttemptId, OpenAttempt<P, T>>,
    counts: AttemptCounts,
}

impl<P: PartialEq, T> AttemptTable<P, T> {
    /// Makes a table for one incarnation: the host's start, in milliseconds since the epoch.
    pub fn new(incarnation_ms: u64) -> Self {
        Self {
            next: incarnation_ms.saturating_mul(IDS_PER_MS),
            open: IndexMap::new(),
            counts: AttemptCounts::default(),
        }
    }

    /// Opens an attempt at a peer.
    pub fn open(&mut self, peer: P, waiting: T) -> AttemptId {
        let id = AttemptId(self.next);
        self.next += 1;
        self.open.insert(id, OpenAttempt { peer, waiting });
        id
    }

    /// Takes what waits for an answer; `None` if the answer must be dropped.
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
        self.open.swap_remove(&id).map(|attempt| attempt.waiting)
    }

    /// Closes an attempt whose answer is not awaited any more.
    pub fn close(&mut self, id: AttemptId) -> Option<T> {
        self.open.swap_remove(&id).map(|attempt| attempt.waiting)
    }

    /// Closes all attempts at a peer, for instance when its connection breaks.
    pub fn close_peer(&mut self, peer: &P) -> Vec<(AttemptId, T)> {
        let closed = self
            .open
            .extract_if(.., |_, attempt| attempt.peer == *peer)
            .map(|(id, attempt)| (id, attempt.waiting));
        closed.collect()
    }

    /// Number of open attempts.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no attempt is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// What became of answers so far.
    pub fn counts(&self) -> AttemptCounts {
        self.counts
    }
}
