//! Seeded runs of a whole cell in one process, with faults, and their check.
//!
//! [`run`] starts several entry hosts on an in-memory platform under a paused
//! clock, lets callers and operators work while faults come and go, heals
//! everything, waits until the cell has settled, and hands the history to the
//! `checker` crate. The seed alone decides what happens, so a violation is
//! repeated by its seed.
//!
//! No host is told of the faults: cuts, outages and pauses act on the
//! connections of a host ([`gate`]) and on the platform.

pub mod cell;
pub mod gate;
pub mod plan;
mod runner;
pub mod weakened;
mod workload;

pub use plan::{FaultKind, Plan};
pub use runner::{HistoryOutcome, run, run_without};
pub use weakened::Guard;
