//! `hickory-standin balancer`: TCP load balancer over the ready backends.

use std::net::SocketAddr;

use clap::Args;
use kernel::errors;

use crate::balancer;

/// Command-line settings of the balancer.
#[derive(Debug, Args)]
pub(super) struct Settings {
    /// Address to accept connections on, as IP:PORT; port 0 selects a free port.
    #[arg(long, env = "HICKORY_BALANCER_LISTEN", default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// HTTP addresses of the entry hosts, as IP:PORT,...
    #[arg(
        long,
        env = "HICKORY_BALANCER_BACKENDS",
        value_delimiter = ',',
        required = true
    )]
    backends: Vec<SocketAddr>,
    /// Interval between readiness probes of a backend, in milliseconds.
    #[arg(long, env = "HICKORY_BALANCER_POLL_MS", default_value_t = 200, value_parser = clap::value_parser!(u64).range(10..=60_000))]
    poll_ms: u64,
}

/// Runs the balancer until the process is terminated.
pub(super) async fn run(settings: Settings) -> errors::Result<()> {
    let (listener, address) = super::listen(settings.listen).await?;
    println!(
        "ready balancer={address} backends={}",
        settings.backends.len()
    );
    let balanced = balancer::balance(listener, &settings.backends, settings.poll_ms).await;
    balanced.map_err(|error| super::to_error("the balancer ended", error))
}
