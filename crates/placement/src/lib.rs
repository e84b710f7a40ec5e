//! Placement decisions for the racks of one owner.
//!
//! [`Group`] is the whole state: workers, queues, quotas, learned sizes and
//! health. It performs no I/O and reads no clock. The caller feeds it with work
//! and with what workers report, calls [`Group::decide`], carries the
//! [`Decision`]s out and logs them; the same calls with the same times and seed
//! give the same decisions.
//!
//! The crate keeps these invariants, whatever order the calls come in:
//!
//! - the sizes assigned on a worker never exceed its capacity; a decided start
//!   counts from the decision on, and an unanswered one counts until it is settled;
//! - a task is started only while no other attempt of it may run;
//! - a cancelled task that waits never starts;
//! - the tasks of a gang start together or not at all.
//!
//! Each mechanism is a small module: the free-capacity index (`index`), scoring
//! plug-ins ([`scorer`]), learned sizes (`estimate`), quotas and fair shares
//! (`team`), attribution of failures (`health`), the life cycle of a run as
//! types (`life`). The modules under `group` apply them to the state.

mod config;
mod decision;
mod estimate;
mod gang;
mod group;
mod health;
mod index;
mod life;
pub mod measure;
pub mod scorer;
mod slots;
mod table;
mod team;
mod tombstones;
mod worker;

pub use config::GroupConfig;
pub use decision::{
    Decision, EndEffect, Explanation, HandBackReason, Snapshot, TaskState, TaskView, WorkerView,
};
pub use gang::{
    ConfirmStep, Confirming, GangCoordinator, GangPart, GangRequest, ReserveStep, Reserving, divide,
};
pub use group::{Group, Reservation, TWIN_BIT, replica_of};
pub use worker::WorkerSpec;
