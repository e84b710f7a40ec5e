//! An open-loop load generator: requests leave on time, however late answers are.

mod report;
mod request;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kernel::ids;
use tokio::{task, time};

pub use report::{Outcome, Report};

/// What is sent, how often and for how long.
#[derive(Clone, Debug)]
pub struct Plan {
    /// HTTP address of an entry host or of the balancer.
    pub target: SocketAddr,
    /// The called service.
    pub service: ids::WorkId,
    /// The path at the service.
    pub path: String,
    /// Requests a second.
    pub rate_per_s: u64,
    /// For how many seconds requests are sent.
    pub seconds: u64,
    /// The deadline of each request, in milliseconds.
    pub deadline_ms: u64,
    /// How many in a hundred requests carry an idempotency key.
    pub key_percent: u64,
    /// Length of each request's body.
    pub body_bytes: usize,
    /// Requests open at a time; more are counted as not sent.
    pub open_limit: usize,
    /// What makes the keys and bodies of this run differ from those of others.
    pub run_id: u64,
}

/// Sends the planned requests and waits for the last answer.
pub async fn run(plan: Plan) -> Report {
    let plan = Arc::new(plan);
    let client = request::client();
    let total = plan.rate_per_s * plan.seconds;
    let start = time::Instant::now();
    let mut open = task::JoinSet::new();
    let mut report = Report::default();
    for number in 0..total {
        let offset_us = number * MICROS_PER_S / plan.rate_per_s.max(1);
        let due = start + Duration::from_micros(offset_us);
        time::sleep_until(due).await;
        while let Some(Ok(outcome)) = open.try_join_next() {
            report.add(&outcome);
        }
        if open.len() >= plan.open_limit {
            report.add(&Outcome::not_sent());
            continue;
        }
        // Waiting time counts from when the request was due, not from when it left.
        open.spawn(request::send(client.clone(), plan.clone(), number, due));
    }
    while let Some(outcome) = open.join_next().await {
        if let Ok(outcome) = outcome {
            report.add(&outcome);
        }
    }
    report.finish(start.elapsed())
}

const MICROS_PER_S: u64 = 1_000_000;
