//! Configuration of a journal.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use crate::budget::StoreBudget;
use crate::state::Limits;

/// Maximum total size of the encoded records of one entry, before compression.
pub const MAX_BATCH_BYTES: usize = 512 * 1024;

/// Configuration of a journal.
#[derive(Clone, Debug)]
pub struct Config {
    /// Limits on the state that the shard retains.
    pub limits: Limits,
    /// The host's rate limit of store calls, shared by its shards.
    pub budget: StoreBudget,
    /// Maximum time that the first record of a batch waits for others, in milliseconds.
    pub batch_delay_ms: u64,
    /// Size of the encoded records at which a batch is written without further delay, in bytes.
    pub batch_bytes: usize,
    /// Timeout of one call to the store, in milliseconds.
    pub call_timeout_ms: u64,
    /// Minimum delay before a failed call is retried, in milliseconds.
    pub retry_min_ms: u64,
    /// Maximum delay before a failed call is retried, in milliseconds.
    pub retry_max_ms: u64,
    /// Timeout of opening the journal, in milliseconds.
    pub open_timeout_ms: u64,
    /// Minimum number of entries between two snapshots; the maximum is eight times as many.
    pub snapshot_entries: u64,
    /// Maximum number of entries that one range call reads.
    pub range_limit: usize,
    /// Maximum size of a snapshot chunk, each stored under its own key, in bytes.
    pub chunk_bytes: usize,
    /// Number of journals opened so far, from which session numbers are derived; shared by clones.
    pub openings: Arc<AtomicU64>,
    /// Seed of retry jitter and session numbers; must differ between starts of the process.
    pub seed: u64,
}

impl Config {
    /// Default production settings.
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
