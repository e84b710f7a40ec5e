//! Release notes, from the file an operator writes to the state in force on every host.
//!
//! The crate is cut along one line: what can be decided without I/O is a pure
//! function, and two small drivers carry it to the store and to peers.
//!
//! - [`note`]: reads a note and reports every fault with line, column and field;
//! - [`apply`] and [`diff`]: from a release and a note to the next release, and what differs;
//! - [`check`] and [`check_job`]: whether the cell can hold what a note or a job asks for;
//! - [`Acceptor`]: creates the next release in the store, which settles races and lost answers;
//! - [`ReleaseTracker`]: the version in force in a process, which only goes up;
//! - [`ReleaseWatcher`]: follows the store, and the peers while the store is away.
//!
//! Versions are consecutive and a release never changes once accepted, so a
//! version names its content: hosts compare numbers and fetch what they lack.

pub mod accepted;
pub mod events;
pub mod note;

mod acceptor;
mod apply;
mod cell;
mod tracker;
mod watcher;

pub use accepted::AcceptedRelease;
pub use acceptor::{Accepted, Acceptor, SUBMIT_ATTEMPTS, SUBMITTER_LIMIT_BYTES};
pub use apply::{Changes, apply, diff};
pub use cell::{CellLimits, WorkerShape, check, check_job};
pub use tracker::ReleaseTracker;
pub use watcher::{Peers, ReleaseWatcher, SharedRelease};
