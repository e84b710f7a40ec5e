//! Scheduling decisions of the cell's coordinator, free of I/O.
//!
//! One entry host at a time coordinates the cell. It holds the state of every accepted job and
//! every worker, decides which task starts where, and follows the runs through the workers'
//! reports. This crate contains that state and those decisions. It opens no sockets and reads no
//! clocks: callers pass in the time and the responses, and send the [`coordinator::Order`]s that
//! the crate returns.
//!
//! - [`credentials`]: keys of tenants, held as digests;
//! - [`freshness`]: whether a host's configuration is known to be recent enough to accept keys;
//! - [`ids`]: identifiers of jobs, steps and tasks;
//! - [`collections`]: maps and sets with a fast hash function;
//! - [`config`]: queues and services as configured by the operators;
//! - [`config_check`]: check of a configuration before it is sent;
//! - [`jobs`]: job specifications and the durable record of a job;
//! - [`progress`]: progress of runs, and detection of slow workers;
//! - [`worker_pace`]: relative paces of workers, learned from the durations of runs;
//! - [`workers`]: the state of a worker, its clock and its resources;
//! - [`contact`]: runs that start on a worker, and workers to which contact was lost meanwhile;
//! - [`contention`]: whether stopping a run for more urgent work pays;
//! - [`late_orders`]: orders without a response, and how late and where they can take effect;
//! - [`departure`]: workers that leave, and what a successor needs to know of them;
//! - [`coordinator`]: the state machine that turns this state into orders;
//! - [`footprint`]: what a job costs in memory and in the store, and the limits on it;
//! - [`link_budget`]: whether the network link of the coordinator's host is congested;
//! - [`objective`]: what the end of a job is worth, by how late it is;
//! - [`outage`]: store health, and whether requests wait or are turned away during an outage;
//! - [`pacing`]: the CPU share of best-effort tasks next to latency-sensitive tasks;
//! - [`pace_choice`]: choice between fast and slow workers;
//! - [`placement`]: assignment of a step's tasks to workers;
//! - [`placement_wait`]: whether a step waits for a better placement;
//! - [`quota`]: limits of tenants, and what each has running;
//! - [`routing`]: which host relays calls to a worker;
//! - [`shares`]: which jobs exceed their tenant's share;
//! - [`admission`]: which jobs are refused on submission, and when the caller may retry.

pub mod admission;
pub mod answer_loss;
pub mod collections;
pub mod config;
pub mod config_check;
pub mod contact;
pub mod contention;
pub mod coordinator;
pub mod credentials;
pub mod departure;
pub mod footprint;
pub mod freshness;
pub mod ids;
pub mod jobs;
pub mod late_orders;
pub mod link_budget;
pub mod objective;
pub mod outage;
pub mod pace_choice;
pub mod pacing;
pub mod placement;
pub mod placement_wait;
pub mod progress;
pub mod quota;
pub mod routing;
pub mod shares;
pub mod worker_pace;
pub mod workers;
