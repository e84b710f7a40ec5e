//! Identifiers of cancelled works, kept in bounded memory.

use indexmap::IndexSet;
use kernel::ids;

/// Number of identifiers in a full generation.
const GENERATION_CAPACITY: usize = 65_536;

/// Two generations of identifiers; the older one is dropped when the newer one is full.
#[derive(Debug, Default)]
pub struct Tombstones {
    newer: IndexSet<ids::WorkId>,
    older: IndexSet<ids::WorkId>,
}

impl Tombstones {
    pub fn insert(&mut self, work: &ids::WorkId) {
        if self.newer.len() >= GENERATION_CAPACITY {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(work.clone());
    }

    /// Returns whether an identifier was added and has not been removed or dropped since.
    pub fn contains(&self, work: &ids::WorkId) -> bool {
        self.newer.contains(work) || self.older.contains(work)
    }

    pub fn remove(&mut self, work: &ids::WorkId) {
        self.newer.swap_remove(work);
        self.older.swap_remove(work);
    }
}
