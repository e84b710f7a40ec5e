//! What the store counts.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Calls counted by kind, and the bytes that they carried.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StoreCounters {
    /// Reads of one key.
    pub gets: u64,
    /// Writes.
    pub puts: u64,
    /// Deletions.
    pub deletes: u64,
    /// Reads of a range.
    pub ranges: u64,
    /// Watches.
    pub watches: u64,
    /// Leases granted.
    pub grants: u64,
    /// Extensions of leases.
    pub keep_alives: u64,
    /// Leases ended by their holder.
    pub revokes: u64,
    /// Calls refused because of their rate.
    pub throttled: u64,
    /// Writes and deletions whose condition did not hold.
    pub conflicts: u64,
    /// Bytes of values written.
    pub written_bytes: u64,
    /// Bytes of values read.
    pub read_bytes: u64,
    /// The largest value written, in bytes.
    pub largest_value_bytes: u64,
    /// Writes and deletions by the first part of the key.
    pub writes_by_prefix: IndexMap<String, u64>,
}

impl StoreCounters {
    /// Counts a write or a deletion under the first part of its key.
    pub(super) fn count_prefix(&mut self, key: &str) {
        let prefix = key.split('/').next().unwrap_or(key);
        if let Some(count) = self.writes_by_prefix.get_mut(prefix) {
            *count += 1;
            return;
        }
        self.writes_by_prefix.insert(prefix.to_owned(), 1);
    }

    /// Counts the bytes of a value that was written.
    pub(super) fn count_written(&mut self, bytes: u64) {
        self.written_bytes += bytes;
        self.largest_value_bytes = self.largest_value_bytes.max(bytes);
    }
}
