//! What must last, kept in the platform's key-value store.
//!
//! The hosts of hickorychute keep nothing of their own. Accepted jobs, the
//! assignments of their tasks and the claims of non-idempotent requests belong
//! to a *shard*, and each shard has a journal of numbered entries in the store.
//! Creating entry `n` only if it is absent is the compare-and-swap: whoever
//! creates it first is the writer, and a successor fences the old writer by
//! creating the next entry itself. Neither a lease nor a clock is involved.
//!
//! - [`Record`] and [`Entry`]: what is written;
//! - [`ShardState`]: what the records mean, a pure function of them;
//! - [`ShardJournal`]: recovery, group commit, fencing, snapshots and trimming;
//! - [`Deduplicator`]: at most one run of a non-idempotent request;
//! - [`StoreBudget`]: the pace of store calls, shared by all shards of a host.
//!
//! A record that became durable may still be *ignored* by the state, for
//! instance the second claim of a key. So every race is decided by the order
//! of the journal, and [`Applied`] tells the one who appended how it went.

mod budget;
mod claims;
mod driver;
mod events;
mod record;
mod state;

pub use budget::StoreBudget;
pub use claims::{Begin, ClaimTicket, Deduplicator, Request};
pub use driver::{BATCH_LIMIT_BYTES, Config, ShardJournal, Status};
pub use record::{Answer, BODY_KEPT_LIMIT_BYTES, DECODED_LIMIT_BYTES, Entry, Record, Run};
pub use state::{
    Applied, Assignment, ClaimOwner, ClaimState, IgnoredReason, Job, JobPhase, Limits, ShardState,
    TaskCounts, TaskState,
};
