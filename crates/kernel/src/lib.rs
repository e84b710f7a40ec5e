//! Types that all other crates of hickorychute share.
//!
//! The kernel performs no I/O and reads no clock. Decisions elsewhere in the
//! workspace take the current time and a seed as arguments, so that replaying a
//! recorded trace gives the same decisions.
//!
//! - [`ids`]: newtypes for every identifier that crosses a crate boundary;
//! - [`work`]: services, batch runs, gang jobs, quotas and releases;
//! - [`errors`]: the closed list of error kinds and the response for each kind;
//! - [`events`]: numbered log events, collected from all crates;
//! - [`history`]: the recorded events that a checker verifies against the system's guarantees;
//! - [`lifecycle`]: the states of an entry host as types;
//! - [`plugin`]: the registry of linked plug-ins;
//! - [`random`]: seeded random number generators.

pub mod errors;
pub mod events;
pub mod history;
pub mod ids;
pub mod lifecycle;
pub mod plugin;
pub mod random;
pub mod work;

/// Dependencies to which the exported macros expand.
#[doc(hidden)]
pub mod reexport {
    pub use inventory;
    pub use log;
}
