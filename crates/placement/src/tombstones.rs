//! Names of cancelled jobs, remembered for a bounded time.

use indexmap::IndexSet;
use kernel::ids;

/// Names after which a new generation begins.
const GENERATION: usize = 65_536;

/// Two generations of names; the older one is forgotten when the newer is full.
#[derive(Debug, Default)]
pub struct Tombstones {
    newer: IndexSet<ids::WorkId>,
    older: IndexSet<ids::WorkId>,
}

impl Tombstones {
    /// Remembers a name.
    pub fn insert(&mut self, work: &ids::WorkId) {
        if self.newer.len() >= GENERATION {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(work.clone());
    }

    /// Whether a name is remembered.
    pub fn contains(&self, work: &ids::WorkId) -> bool {
        self.newer.contains(work) || self.older.contains(work)
    }

    /// Forgets a name.
    pub fn remove(&mut self, work: &ids::WorkId) {
        self.newer.swap_remove(work);
        self.older.swap_remove(work);
    }
}
