//! `hickory-standin load`: load generator with a constant request rate.

use std::net::SocketAddr;

use clap::{Args, ValueEnum};
use kernel::errors;
use kernel::ids;

use crate::load;

/// Maximum number of requests in one run.
const MAX_REQUESTS: u64 = 10_000_000;

/// Output format of the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Output {
    /// One value per line.
    Table,
    /// A single JSON object.
    Json,
}

/// Command-line settings of the load generator.
#[derive(Debug, Args)]
pub(super) struct Settings {
    /// HTTP address of an entry host or of the balancer, as IP:PORT.
    #[arg(long, env = "HICKORY_LOAD_TARGET")]
    target: SocketAddr,
    /// The service to call.
    #[arg(long, env = "HICKORY_LOAD_SERVICE")]
    service: String,
    /// The path to call at the service.
    #[arg(long, env = "HICKORY_LOAD_PATH", default_value = "/")]
    path: String,
    /// Requests per second.
    #[arg(long, env = "HICKORY_LOAD_RATE", value_parser = clap::value_parser!(u64).range(1..=100_000))]
    rate: u64,
    /// Duration of the run, in seconds.
    #[arg(long, env = "HICKORY_LOAD_SECONDS", value_parser = clap::value_parser!(u64).range(1..=3_600))]
    seconds: u64,
    /// The deadline of each request, in milliseconds.
    #[arg(long, env = "HICKORY_LOAD_DEADLINE_MS", default_value_t = 1_000, value_parser = clap::value_parser!(u64).range(1..=600_000))]
    deadline_ms: u64,
    /// Percentage of requests that carry an idempotency key.
    #[arg(long, env = "HICKORY_LOAD_KEY_PERCENT", default_value_t = 0, value_parser = clap::value_parser!(u64).range(0..=100))]
    key_percent: u64,
    /// One-way latency between the clients and the target, in milliseconds.
    #[arg(long, env = "HICKORY_LOAD_CLIENT_LATENCY_MS", default_value_t = 0, value_parser = clap::value_parser!(u64).range(0..=10_000))]
    client_latency_ms: u64,
    /// Length of each request's body, in bytes.
    #[arg(long, env = "HICKORY_LOAD_BODY_BYTES", default_value_t = 128, value_parser = clap::value_parser!(u32).range(0..=16_777_216))]
    body_bytes: u32,
    /// Maximum number of requests in flight; further ones are counted as not sent.
    #[arg(long, env = "HICKORY_LOAD_OPEN_LIMIT", default_value_t = 4_096, value_parser = clap::value_parser!(u32).range(1..=100_000))]
    open_limit: u32,
    /// Output format of the report.
    #[arg(long, env = "HICKORY_LOAD_OUTPUT", value_enum, default_value = "table")]
    output: Output,
}

/// Sends the requests and prints the report.
pub(super) async fn run(settings: Settings) -> errors::Result<()> {
    if settings.rate * settings.seconds > MAX_REQUESTS {
        let detail =
            format!("--rate times --seconds exceeds the maximum of {MAX_REQUESTS} requests");
        return Err(errors::Error::new(errors::ErrorKind::Usage, detail));
    }
    let report = load::run(load::Plan {
        target: settings.target,
        service: ids::WorkId::new(&settings.service),
        path: settings.path,
        rate_per_s: settings.rate,
        seconds: settings.seconds,
        deadline_ms: settings.deadline_ms,
        key_percent: settings.key_percent,
        client_latency_ms: settings.client_latency_ms,
        body_bytes: settings.body_bytes as usize,
        open_limit: settings.open_limit as usize,
        run_id: super::unix_ms(),
    });
    let report = report.await;
    match settings.output {
        Output::Table => print!("{report}"),
        Output::Json => {
            let json = serde_json::to_string(&report);
            println!(
                "{}",
                json.map_err(|error| super::to_error("cannot serialize the report", error))?
            );
        }
    }
    Ok(())
}
