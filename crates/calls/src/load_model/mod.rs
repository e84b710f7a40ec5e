//! A queueing model that drives the decisions of this crate under load.
//!
//! Callers arrive at random at the entry hosts of one firm's cell, and the real
//! [`Router`](crate::Router), [`Dispatcher`](crate::Dispatcher),
//! [`RetryPolicy`](crate::RetryPolicy) and [`CreditLedger`](crate::CreditLedger) decide
//! on every call. Around them stand only latencies and service times: no faults, no
//! processor time of the hosts, no bandwidth but the router's own byte budget. It
//! compares ways to decide with each other; it does not stand for a cluster.

mod case;
mod cell;
mod figures;
mod lending;
mod requests;
mod simulation;
mod tally;
mod timeline;

pub use case::{CallPath, LoadCase, Workload};
pub use figures::{ClassFigures, LoadFigures, Waits};

/// Runs one case; the same case gives the same figures.
pub fn run(case: &LoadCase) -> LoadFigures {
    simulation::Simulation::new(case).run()
}
