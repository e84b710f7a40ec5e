//! Placement decisions for the racks of one owner.
//!
//! [`Group`] holds the whole state: workers, queues, quotas, learned sizes and worker
//! health. It performs no I/O and reads no clock. The caller passes in submitted work
//! and worker reports, calls [`Group::decide`], carries out the returned [`Decision`]s
//! and logs them. The same sequence of calls with the same times and seed yields the
//! same decisions.
//!
//! The crate maintains these invariants for every order of calls:
//!
//! - The sizes assigned on a worker never exceed its capacity. A decided start counts
//!   from the decision on; a start whose outcome is unknown counts until a report
//!   settles it.
//! - A task is started only while no other attempt of it can be running.
//! - A waiting task of cancelled work never starts.
//! - The tasks of a gang start together or not at all.
//!
//! Each mechanism is a small module: the free-capacity index (`index`), scoring
//! plug-ins ([`scorer`]), learned sizes (`estimate`), quotas and fair shares (`team`),
//! failure attribution (`health`) and the lifecycle of a run as types (`lifecycle`).
//! The modules under `group` apply them to the state.

mod config;
mod decision;
mod estimate;
mod gang;
mod group;
mod health;
mod index;
mod lifecycle;
pub mod measure;
pub mod scorer;
mod slab;
mod table;
mod team;
mod tombstones;
mod worker;

pub use config::GroupConfig;
pub use decision::{
    Decision, EndEffect, Explanation, HandBackReason, Snapshot, TaskState, TaskView, WorkerView,
};
pub use gang::{
    ConfirmStep, Confirming, GangCoordinator, GangPart, GangRequest, ReserveStep, Reserving,
    divide_gang,
};
pub use group::{ALTERNATE_INDEX_BIT, Group, Reservation, replica_of};
pub use worker::WorkerSpec;
