//! Call and traffic counters of the store.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Number of calls by kind, and bytes read and written.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StoreCounters {
    /// Single-key reads.
    pub gets: u64,
    /// Put calls that passed the rate limit, including failed ones.
    pub puts: u64,
    /// Delete calls that passed the rate limit, including failed ones.
    pub deletes: u64,
    /// Range reads.
    pub ranges: u64,
    /// Watch calls.
    pub watches: u64,
    /// Leases granted.
    pub grants: u64,
    /// Lease renewals.
    pub keep_alives: u64,
    /// Leases revoked by their holder.
    pub revokes: u64,
    /// Calls rejected by the rate limit.
    pub throttled: u64,
    /// Writes and deletions whose condition did not hold.
    pub conflicts: u64,
    /// Bytes of values written.
    pub written_bytes: u64,
    /// Bytes of values read.
    pub read_bytes: u64,
    /// The largest value written, in bytes.
    pub largest_value_bytes: u64,
    /// Writes and deletions by the first path segment of the key.
    pub writes_by_prefix: IndexMap<String, u64>,
}

impl StoreCounters {
    /// Counts a write or a deletion under the first path segment of its key.
    pub(super) fn count_prefix(&mut self, key: &str) {
        let prefix = key.split('/').next().unwrap_or(key);
        if let Some(count) = self.writes_by_prefix.get_mut(prefix) {
            *count += 1;
            return;
        }
        self.writes_by_prefix.insert(prefix.to_owned(), 1);
    }

    /// Counts a written value of the given size.
    pub(super) fn count_written(&mut self, bytes: u64) {
        self.written_bytes += bytes;
        self.largest_value_bytes = self.largest_value_bytes.max(bytes);
    }
}
