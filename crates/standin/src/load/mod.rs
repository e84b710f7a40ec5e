//! Open-loop load generator: requests are sent on schedule regardless of outstanding answers.

mod report;
mod request;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kernel::ids;
use tokio::{task, time};

pub use report::{Outcome, Report};

/// Parameters of a load generator run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// HTTP address of an entry host or of the balancer.
    pub target: SocketAddr,
    /// The service to call.
    pub service: ids::WorkId,
    /// Request path within the service.
    pub path: String,
    /// Requests per second.
    pub rate_per_s: u64,
    /// Duration of the run, in seconds.
    pub seconds: u64,
    /// The deadline of each request, in milliseconds.
    pub deadline_ms: u64,
    /// Percentage of requests that carry an idempotency key.
    pub key_percent: u64,
    /// One-way latency between the clients and the target, in milliseconds.
    pub client_latency_ms: u64,
    /// Length of each request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum number of requests in flight; further ones are counted as not sent.
    pub open_limit: usize,
    /// Identifier that makes the idempotency keys and bodies of this run unique.
    pub run_id: u64,
}

/// Sends all requests of the plan and waits until each is answered or has timed out.
pub async fn run(plan: Plan) -> Report {
    let plan = Arc::new(plan);
    let client = request::client();
    let total = plan.rate_per_s * plan.seconds;
    let start = time::Instant::now();
    let mut in_flight = task::JoinSet::new();
    let mut report = Report::default();
    for number in 0..total {
        let offset_us = number * MICROS_PER_S / plan.rate_per_s.max(1);
        let scheduled_at = start + Duration::from_micros(offset_us);
        time::sleep_until(scheduled_at).await;
        while let Some(Ok(outcome)) = in_flight.try_join_next() {
            report.add(&outcome);
        }
        if in_flight.len() >= plan.open_limit {
            report.add(&Outcome::not_sent());
            continue;
        }
        // Latency is measured from the scheduled time rather than the send time, to avoid
        // coordinated omission.
        in_flight.spawn(request::send(
            client.clone(),
            plan.clone(),
            number,
            scheduled_at,
        ));
    }
    while let Some(outcome) = in_flight.join_next().await {
        if let Ok(outcome) = outcome {
            report.add(&outcome);
        }
    }
    report.finish(start.elapsed())
}

const MICROS_PER_S: u64 = 1_000_000;
