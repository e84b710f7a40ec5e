//! Discrete-event queueing model that runs the decision logic of this crate under load.
//!
//! Calls arrive at random at the entry hosts of one firm's cell. Decisions are made by the
//! production [`Router`](crate::Router), [`Dispatcher`](crate::Dispatcher),
//! [`RetryPolicy`](crate::RetryPolicy) and [`CreditLedger`](crate::CreditLedger). Only
//! latencies and service times are modelled: there are no faults, no CPU time of the hosts
//! and no bandwidth limit except the byte budget of the router. The model is for comparing
//! policies with each other; its absolute results do not predict a cluster.

mod case;
mod cell;
mod credit_exchange;
mod event_queue;
mod recorder;
mod requests;
mod results;
mod simulation;

pub use case::{CallPath, LoadCase, Workload};
pub use results::{ClassResults, LatencyPercentiles, LoadResults};

/// Runs one case. The results are deterministic for a case.
pub fn run(case: &LoadCase) -> LoadResults {
    simulation::Simulation::new(case).run()
}
