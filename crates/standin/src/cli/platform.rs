//! `hickory-standin platform`: the in-memory platform over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;

use clap::Args;
use kernel::errors;
use kernel::ids;

use crate::config;
use crate::memory;
use crate::recent;
use crate::server;

/// Command-line settings of the platform.
#[derive(Debug, Args)]
pub(super) struct Settings {
    /// Address to serve on, as IP:PORT; port 0 selects a free port.
    #[arg(long, env = "HICKORY_STANDIN_LISTEN", default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Firm whose preset deployment is used.
    #[arg(
        long,
        env = "HICKORY_STANDIN_FIRM",
        value_enum,
        default_value = "huber"
    )]
    firm: config::Firm,
    /// Total number of workers in all zones.
    #[arg(long, env = "HICKORY_STANDIN_WORKERS", value_parser = clap::value_parser!(u32).range(1..=100_000))]
    workers: Option<u32>,
    /// Zones that replace the firm's, as ZONE=REGION,...; the first one hosts the store.
    #[arg(long, env = "HICKORY_STANDIN_ZONES", value_delimiter = ',', value_parser = zone)]
    zones: Option<Vec<ZoneSetting>>,
    /// Processing time of a store call, in milliseconds.
    #[arg(long, env = "HICKORY_STANDIN_STORE_LATENCY_MS", value_parser = clap::value_parser!(u64).range(0..=60_000))]
    store_latency_ms: Option<u64>,
    /// Writes per second above which the store throttles calls.
    #[arg(long, env = "HICKORY_STANDIN_STORE_WRITES_PER_S", value_parser = clap::value_parser!(u64).range(1..=1_000_000))]
    store_writes_per_s: Option<u64>,
    /// Reads per second above which the store throttles calls.
    #[arg(long, env = "HICKORY_STANDIN_STORE_READS_PER_S", value_parser = clap::value_parser!(u64).range(1..=1_000_000))]
    store_reads_per_s: Option<u64>,
    /// One-way latency between zones of a region, in milliseconds.
    #[arg(long, env = "HICKORY_STANDIN_REGION_LATENCY_MS", value_parser = clap::value_parser!(u64).range(0..=60_000))]
    region_latency_ms: Option<u64>,
    /// One-way latency between regions, in milliseconds.
    #[arg(long, env = "HICKORY_STANDIN_BETWEEN_REGIONS_LATENCY_MS", value_parser = clap::value_parser!(u64).range(0..=60_000))]
    between_regions_latency_ms: Option<u64>,
    /// Delay until a change appears in the worker list, in milliseconds.
    #[arg(long, env = "HICKORY_STANDIN_LIST_LAG_MS", value_parser = clap::value_parser!(u64).range(0..=600_000))]
    list_lag_ms: Option<u64>,
    /// Processing time of a call on a minion, in milliseconds.
    #[arg(long, env = "HICKORY_STANDIN_CALL_MS", value_parser = clap::value_parser!(u64).range(0..=600_000))]
    call_ms: Option<u64>,
    /// Number of accelerators per worker.
    #[arg(long, env = "HICKORY_STANDIN_ACCELERATORS", value_parser = clap::value_parser!(u64).range(0..=64))]
    accelerators: Option<u64>,
    /// Number of events retained in the history; older ones are dropped and counted.
    #[arg(
        long,
        env = "HICKORY_STANDIN_HISTORY_LIMIT",
        default_value_t = 1_000_000
    )]
    history_limit: usize,
    /// Seed of the random number generator.
    #[arg(long, env = "HICKORY_STANDIN_SEED", default_value_t = 1)]
    seed: u64,
}

/// A parsed `ZONE=REGION` argument.
#[derive(Clone, Debug)]
struct ZoneSetting {
    zone: ids::ZoneId,
    region: ids::RegionId,
}

fn zone(text: &str) -> Result<ZoneSetting, String> {
    let Some((zone, region)) = text.split_once('=') else {
        return Err("expected ZONE=REGION".to_owned());
    };
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    let valid = |name: &str| !name.is_empty() && name.bytes().all(allowed);
    if !valid(zone) || !valid(region) {
        return Err("names consist of a-z, 0-9 and '-'".to_owned());
    }
    Ok(ZoneSetting {
        zone: ids::ZoneId::new(zone),
        region: ids::RegionId::new(region),
    })
}

impl Settings {
    fn config(&self, address: SocketAddr) -> config::Config {
        let mut config = config::Config::preset(self.firm);
        config.address = address.to_string();
        if let Some(zones) = &self.zones {
            let zones = zones.iter();
            config.topology.zones = zones
                .map(|setting| (setting.zone.clone(), setting.region.clone()))
                .collect();
            if let Some((first, _)) = config.topology.zones.first() {
                config.topology.store_zone = first.clone();
            }
        }
        let latencies = &mut config.topology.latencies;
        override_if_some(&mut latencies.region_ms, self.region_latency_ms);
        override_if_some(
            &mut latencies.between_regions_ms,
            self.between_regions_latency_ms,
        );
        override_if_some(&mut config.capacity.accelerators, self.accelerators);
        override_if_some(&mut config.workers, self.workers);
        override_if_some(&mut config.store_latency_ms, self.store_latency_ms);
        override_if_some(&mut config.list_lag_ms, self.list_lag_ms);
        override_if_some(&mut config.behaviour.call_ms, self.call_ms);
        config.store_limits.writes_per_s = self.store_writes_per_s;
        config.store_limits.reads_per_s = self.store_reads_per_s;
        config
    }
}

fn override_if_some<T>(field: &mut T, setting: Option<T>) {
    if let Some(value) = setting {
        *field = value;
    }
}

/// Serves the platform until the process is terminated.
pub(super) async fn run(settings: Settings) -> errors::Result<()> {
    let (listener, address) = super::listen(settings.listen).await?;
    let config = settings.config(address);
    let sink = recent::RecentHistory::new(settings.history_limit);
    let clock = memory::Clock::starting_at(super::unix_ms());
    let events = Arc::new(sink.clone());
    let platform = memory::MemoryPlatform::with_clock(&config, settings.seed, events, clock);
    let zones: Vec<&str> = config
        .topology
        .zones
        .keys()
        .map(ids::ZoneId::as_str)
        .collect();
    println!(
        "ready store={address} firm={} workers={} zones={}",
        settings.firm,
        config.workers,
        zones.join(",")
    );
    super::serve(listener, server::router(server::State::new(platform, sink))).await
}
