//! Durable state of a shard, journaled in the platform's key-value store.
//!
//! Hosts have no durable storage of their own. Accepted jobs, the assignments
//! of their tasks and the claims of non-idempotent requests belong to a
//! *shard*, and each shard has a journal of numbered entries in the store.
//! Entry `n` is written on condition that it is absent, which serves as a
//! compare-and-swap: the host that creates it is the writer, and a successor
//! fences the old writer by creating the next entry. Correctness depends on
//! neither a lease nor a clock.
//!
//! - [`Record`] and [`Entry`]: the contents of the journal;
//! - [`ShardState`]: the state machine that the records are applied to;
//! - [`ShardJournal`]: recovery, group commit, fencing, snapshots and trimming;
//! - [`Deduplicator`]: at-most-once execution of non-idempotent requests;
//! - [`StoreBudget`]: the rate limit of store calls, shared by all shards of a host.
//!
//! A durable record may still be *ignored* by the state machine, for instance
//! the second claim of a key. Races are therefore decided by the order of the
//! journal alone, and [`Applied`] returns the outcome to the appender.

mod budget;
mod claims;
mod driver;
mod events;
pub mod measure;
mod record;
mod state;

pub use budget::StoreBudget;
pub use claims::{Begin, ClaimTicket, Deduplicator, Request};
pub use driver::{Config, MAX_BATCH_BYTES, ShardJournal, Status};
pub use record::{Answer, DECODED_LIMIT_BYTES, Entry, MAX_RETAINED_BODY_BYTES, Record, Run};
pub use state::{
    Applied, Assignment, ClaimOwner, ClaimState, IgnoredReason, Job, JobPhase, Limits, ShardState,
    TaskCounts, TaskState,
};
