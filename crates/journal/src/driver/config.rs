//! Settings of a journal.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use crate::budget::StoreBudget;
use crate::state::Limits;

/// Largest sum of the encoded records of one entry, in bytes before compression.
pub const BATCH_LIMIT_BYTES: usize = 512 * 1024;

/// Settings of a journal.
#[derive(Clone, Debug)]
pub struct Config {
    /// Bounds on what the shard keeps.
    pub limits: Limits,
    /// The host's budget of store calls, shared by its shards.
    pub budget: StoreBudget,
    /// How long the first record of a batch waits for others, in milliseconds.
    pub batch_delay_ms: u64,
    /// Size of encoded records at which a batch waits no longer, in bytes.
    pub batch_bytes: usize,
    /// How long one call to the store may take, in milliseconds.
    pub call_timeout_ms: u64,
    /// Shortest pause before a failed call is made again, in milliseconds.
    pub retry_min_ms: u64,
    /// Longest pause before a failed call is made again, in milliseconds.
    pub retry_max_ms: u64,
    /// How long opening the journal may take, in milliseconds.
    pub open_timeout_ms: u64,
    /// Fewest entries between two snapshots; eight times as many are the most.
    pub snapshot_entries: u64,
    /// Number of entries read by one call.
    pub range_limit: usize,
    /// Largest part of a snapshot in one value of the store, in bytes.
    pub chunk_bytes: usize,
    /// Openings so far, so that each has a session number of its own; clones share the count.
    pub openings: Arc<AtomicU64>,
    /// Seed of jitter and session numbers; must differ between starts of a process.
    pub seed: u64,
}

impl Config {
    /// Settings for production, with a budget and a seed.
    pub fn new(budget: StoreBudget, seed: u64) -> Self {
        Self {
            limits: Limits::default(),
            budget,
            batch_delay_ms: 25,
            batch_bytes: 256 * 1024,
            call_timeout_ms: 5_000,
            retry_min_ms: 50,
            retry_max_ms: 1_000,
            open_timeout_ms: 10_000,
            snapshot_entries: 512,
            range_limit: 32,
            chunk_bytes: 512 * 1024,
            openings: Arc::default(),
            seed,
        }
    }
}
