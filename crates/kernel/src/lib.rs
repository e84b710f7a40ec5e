//! Vocabulary that every other crate of hickorychute shares.
//!
//! The kernel performs no I/O and reads no clock. Decisions elsewhere in the
//! workspace take the current time and a seed as arguments, so that a recorded
//! trace replays to the same decisions. What lives here:
//!
//! - [`ids`]: newtypes for every identifier that crosses a crate boundary;
//! - [`work`]: what operators and callers ask for (services, batch runs, gang jobs, quotas);
//! - [`errors`]: the closed list of error kinds and the table from kind to answer;
//! - [`events`]: numbered log events, collected from all crates;
//! - [`history`]: the events from which a checker decides whether the promises held;
//! - [`lifecycle`]: the states of an entry host as types;
//! - [`plugin`]: the registry into which plug-ins put themselves.

pub mod errors;
pub mod events;
pub mod history;
pub mod ids;
pub mod lifecycle;
pub mod plugin;
pub mod random;
pub mod work;

/// Libraries that the exported macros name.
#[doc(hidden)]
pub mod reexport {
    pub use inventory;
    pub use log;
}
