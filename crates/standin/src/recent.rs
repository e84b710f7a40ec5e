//! History sink that retains the most recent events and counts the evicted ones.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use kernel::history;

#[derive(Debug, Default)]
struct Buffer {
    records: VecDeque<history::Record>,
    dropped: u64,
}

/// A bounded history sink; clones share the same buffer.
#[derive(Clone, Debug)]
pub struct RecentHistory {
    buffer: Arc<Mutex<Buffer>>,
    limit: usize,
}

impl RecentHistory {
    /// Creates a sink that retains the last `limit` events.
    pub fn new(limit: usize) -> Self {
        Self {
            buffer: Arc::default(),
            limit,
        }
    }

    /// Copies the retained events from index `after` on, counting from the first event ever appended.
    pub fn records(&self, after: u64) -> Vec<history::Record> {
        let buffer = self.lock();
        let skipped = usize::try_from(after.saturating_sub(buffer.dropped)).unwrap_or(usize::MAX);
        buffer.records.iter().skip(skipped).cloned().collect()
    }

    /// Number of events evicted so far.
    pub fn dropped(&self) -> u64 {
        self.lock().dropped
    }

    fn lock(&self) -> MutexGuard<'_, Buffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl history::Sink for RecentHistory {
    fn append(&self, record: history::Record) {
        let mut buffer = self.lock();
        buffer.records.push_back(record);
        while buffer.records.len() > self.limit {
            buffer.records.pop_front();
            buffer.dropped += 1;
        }
    }
}
