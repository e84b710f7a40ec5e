//! Release notes, from the operator's file to the release in force on every host.
//!
//! All decisions are pure functions without I/O; two small drivers connect them
//! to the store and to peers.
//!
//! - [`note`]: parses a note and reports every fault with line, column and field;
//! - [`apply`] and [`diff`]: compute the next release, and the differences of two releases;
//! - [`check`] and [`check_job`]: check a note or a job against the capacity of the cell;
//! - [`Acceptor`]: creates the next release in the store and resolves races and lost answers;
//! - [`ReleaseTracker`]: the version in force in a process, which never decreases;
//! - [`ReleaseWatcher`]: follows the store, and peers while the store is unavailable.
//!
//! Versions are consecutive and an accepted release is immutable, so a version
//! identifies its content: hosts compare versions and fetch missing releases.

pub mod accepted;
pub mod events;
pub mod note;

mod acceptor;
mod apply;
mod cell;
mod tracker;
mod watcher;

pub use accepted::AcceptedRelease;
pub use acceptor::{Accepted, Acceptor, MAX_SUBMIT_ATTEMPTS, SUBMITTER_LIMIT_BYTES};
pub use apply::{Changes, apply, diff};
pub use cell::{CellLimits, WorkerShape, check, check_job};
pub use tracker::ReleaseTracker;
pub use watcher::{Peers, ReleaseWatcher, SharedRelease};
