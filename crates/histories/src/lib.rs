//! Deterministic simulation of a whole cell in one process, with fault injection.
//!
//! [`run`] starts several entry hosts on an in-memory platform under a paused
//! clock, runs a workload of callers and operators while faults are injected,
//! clears all faults, waits until the cell has settled, and passes the history to
//! the `checker` crate. A run depends only on its seed, so a violation can be
//! reproduced from the seed.
//!
//! Faults are not visible to the hosts directly: partitions, outages and pauses
//! act on the connections of a host ([`gate`]) and on the platform.

pub mod cell;
pub mod gate;
pub mod plan;
mod runner;
pub mod weakened;
mod workload;

pub use plan::{FaultKind, Plan};
pub use runner::{HistoryOutcome, run, run_without};
pub use weakened::Guard;
