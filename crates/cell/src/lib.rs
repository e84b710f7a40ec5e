//! Decisions of the cell's coordinator, free of I/O.
//!
//! One entry host at a time coordinates the cell: it knows every accepted job and every worker,
//! decides which task starts where, and learns from the workers' lists what became of it. This
//! crate is the whole of that knowledge and of those decisions. It opens no socket and reads no
//! clock: callers pass the time in, feed answers in, and carry out the [`coordinator::Order`]s
//! that come out.
//!
//! - [`ids`]: names of jobs, tasks and runs;
//! - [`config`]: queues and services as the operators configure them;
//! - [`jobs`]: what clients ask for, and the durable record of a job;
//! - [`progress`]: how the work of a run goes on, and which workers are slow;
//! - [`workers`]: what is known of a worker, its clock and its room;
//! - [`coordinator`]: the state machine that turns all of it into orders;
//! - [`link_budget`]: whether the link of the coordinator is nearly full;
//! - [`outage`]: what callers are told while the store is away;
//! - [`pacing`]: how fast tasks that fill may work beside tasks that serve;
//! - [`placement`]: which workers a step's tasks go to;
//! - [`routing`]: which host carries calls to a worker;
//! - [`admission`]: which jobs are refused before they are accepted, and when to come back.

pub mod admission;
pub mod config;
pub mod coordinator;
pub mod ids;
pub mod jobs;
pub mod link_budget;
pub mod outage;
pub mod pacing;
pub mod placement;
pub mod progress;
pub mod routing;
pub mod workers;
