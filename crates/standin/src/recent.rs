//! A history that keeps the latest events and counts those that it dropped.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use kernel::history;

#[derive(Debug, Default)]
struct Kept {
    records: VecDeque<history::Record>,
    dropped: u64,
}

/// A sink of bounded memory.
#[derive(Clone, Debug)]
pub struct RecentHistory {
    kept: Arc<Mutex<Kept>>,
    limit: usize,
}

impl RecentHistory {
    /// A history that keeps the latest `limit` events.
    pub fn new(limit: usize) -> Self {
        Self {
            kept: Arc::default(),
            limit,
        }
    }

    /// A copy of the kept events from number `after` on, counted from the first that ever came.
    pub fn records(&self, after: u64) -> Vec<history::Record> {
        let kept = self.lock();
        let skipped = usize::try_from(after.saturating_sub(kept.dropped)).unwrap_or(usize::MAX);
        kept.records.iter().skip(skipped).cloned().collect()
    }

    /// Number of events that are kept no longer.
    pub fn dropped(&self) -> u64 {
        self.lock().dropped
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl history::Sink for RecentHistory {
    fn append(&self, record: history::Record) {
        let mut kept = self.lock();
        kept.records.push_back(record);
        while kept.records.len() > self.limit {
            kept.records.pop_front();
            kept.dropped += 1;
        }
    }
}
