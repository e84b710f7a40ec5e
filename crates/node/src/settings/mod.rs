//! Settings of `hickoryd`, from flags and environment variables.
//!
//! Values are taken as text and checked together, so that one run names every
//! wrong setting with what it should be.

mod parse;

use std::net;

use clap::Args;
use kernel::errors;
use kernel::ids;

use crate::{clock, config, entry, topology};
use parse::Faults;

/// Settings that `serve` takes.
#[derive(Clone, Debug, Args)]
pub struct ServeSettings {
    /// Name of this host; a suffix is added that differs at every start.
    #[arg(long, env = "HICKORY_NAME", default_value = "host")]
    pub name: String,

    /// Availability zone of this host; must be one of --zones.
    #[arg(long, env = "HICKORY_ZONE")]
    pub zone: Option<String>,

    /// All zones with their regions, as ZONE=REGION,ZONE=REGION; the same on every host.
    #[arg(long, env = "HICKORY_ZONES")]
    pub zones: Option<String>,

    /// Address for callers and operators (HTTP), as IP:PORT.
    #[arg(long, env = "HICKORY_LISTEN", default_value = "127.0.0.1:7070")]
    pub listen: String,

    /// Address for the other entry hosts, as IP:PORT.
    #[arg(long, env = "HICKORY_PEER_LISTEN", default_value = "127.0.0.1:7071")]
    pub peer_listen: String,

    /// Peer addresses to ask while the store is away, as IP:PORT,IP:PORT.
    #[arg(long, env = "HICKORY_SEEDS", default_value = "")]
    pub seeds: String,

    /// Platform plug-in.
    #[arg(long, env = "HICKORY_PLATFORM", default_value = "http")]
    pub platform: String,

    /// Address that the platform plug-in connects to.
    #[arg(long, env = "HICKORY_PLATFORM_ADDRESS")]
    pub platform_address: Option<String>,

    /// Region in which the store stands; hosts there own the journal shards while they can.
    #[arg(long, env = "HICKORY_STORE_REGION")]
    pub store_region: Option<String>,

    /// Rack groups in each zone (1 to 64); the same on every host, at most the racks of a zone.
    #[arg(long, env = "HICKORY_GROUPS_PER_ZONE", default_value = "2")]
    pub groups_per_zone: String,

    /// Journal shards in the cell (1 to 256); the same on every host.
    #[arg(long, env = "HICKORY_SHARDS", default_value = "8")]
    pub shards: String,

    /// Lease under which tasks run, in milliseconds (2000 to 600000).
    #[arg(long, env = "HICKORY_TASK_LEASE_MS", default_value = "15000")]
    pub task_lease_ms: String,

    /// Time between exchanges with an idle worker, in milliseconds (100 to 60000).
    #[arg(long, env = "HICKORY_WORKER_SYNC_INTERVAL_MS", default_value = "3000")]
    pub worker_sync_interval_ms: String,

    /// Time between readings of the list of workers, in milliseconds (100 to 60000).
    #[arg(long, env = "HICKORY_WORKER_LIST_INTERVAL_MS", default_value = "1000")]
    pub worker_list_interval_ms: String,

    /// Deadline of a call that states none, in milliseconds (1 to 600000).
    #[arg(long, env = "HICKORY_DEFAULT_DEADLINE_MS", default_value = "10000")]
    pub default_deadline_ms: String,

    /// Longest time that a shutdown waits for open requests, in milliseconds (0 to 600000).
    #[arg(long, env = "HICKORY_DRAIN_TIMEOUT_MS", default_value = "30000")]
    pub drain_timeout_ms: String,

    /// Connections that callers and operators may have open at once (1 to 65536).
    #[arg(long, env = "HICKORY_CONNECTION_LIMIT", default_value = "2048")]
    pub connection_limit: String,

    /// How long a request's headers may take to arrive, and how long its body, in milliseconds
    /// (100 to 600000).
    #[arg(long, env = "HICKORY_REQUEST_TIMEOUT_MS", default_value = "10000")]
    pub request_timeout_ms: String,

    /// OTLP endpoint for traces over HTTP, as <http://IP:PORT>; no traces if empty.
    #[arg(long, env = "HICKORY_OTLP_ENDPOINT", default_value = "")]
    pub otlp_endpoint: String,

    /// File to which a trace of all decisions is recorded; none if empty.
    #[arg(long, env = "HICKORY_RECORD", default_value = "")]
    pub record: String,
}

/// Settings that have passed all checks.
#[derive(Clone, Debug)]
pub struct Checked {
    /// The host's configuration.
    pub node: config::NodeConfig,
    /// Limits of the HTTP port.
    pub http: entry::HttpConfig,
}

/// Longest deadline that a caller may state, in milliseconds.
const MAX_DEADLINE_MS: u64 = 600_000;

impl ServeSettings {
    /// Checks all settings together.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::Usage`] with one line for every wrong setting.
    pub fn check(&self) -> errors::Result<Checked> {
        let mut faults = Faults::default();
        let zones = faults.zones("zones", self.zones.as_deref());
        let zone = faults.zone("zone", self.zone.as_deref(), &zones);
        let listen = faults.address("listen", &self.listen);
        let peer_listen = faults.address("peer-listen", &self.peer_listen);
        let seeds = faults.addresses("seeds", &self.seeds);
        faults.name("name", &self.name);
        if let Err(error) = platform::find(&self.platform) {
            faults.add("platform", &error.detail);
        }
        if self.platform_address.is_none() {
            faults.add("platform-address", "is required");
        }
        let store_region = self.store_region.as_deref().map(ids::RegionId::new);
        if let Some(region) = &store_region
            && !zones.values().any(|known| known == region)
        {
            faults.add("store-region", "must be the region of one of --zones");
        }
        let range = |faults: &mut Faults, name, text: &str, low, high| {
            faults.number(name, text, low..=high)
        };
        let groups_per_zone = range(&mut faults, "groups-per-zone", &self.groups_per_zone, 1, 64);
        let shards = range(&mut faults, "shards", &self.shards, 1, 256);
        let task_lease_ms = range(
            &mut faults,
            "task-lease-ms",
            &self.task_lease_ms,
            2_000,
            600_000,
        );
        let worker_sync_interval_ms = range(
            &mut faults,
            "worker-sync-interval-ms",
            &self.worker_sync_interval_ms,
            100,
            60_000,
        );
        let worker_list_interval_ms = range(
            &mut faults,
            "worker-list-interval-ms",
            &self.worker_list_interval_ms,
            100,
            60_000,
        );
        let default_deadline_ms = range(
            &mut faults,
            "default-deadline-ms",
            &self.default_deadline_ms,
            1,
            MAX_DEADLINE_MS,
        );
        let drain_timeout_ms = range(
            &mut faults,
            "drain-timeout-ms",
            &self.drain_timeout_ms,
            0,
            600_000,
        );
        let http = self.check_http(&mut faults);
        if worker_sync_interval_ms * 3 > task_lease_ms {
            faults.add(
                "worker-sync-interval-ms",
                "must be at most a third of --task-lease-ms, so that a lost exchange ends no task",
            );
        }
        faults.into_result()?;

        let incarnation_ms = clock::wall_ms();
        let suffix = std::process::id();
        let node = config::NodeConfig {
            host: ids::HostId::new(format!("{}.{incarnation_ms:x}.{suffix:x}", self.name)),
            zone,
            incarnation_ms,
            http_address: listen,
            peer_address: peer_listen,
            seeds,
            topology: topology::Topology {
                zones,
                groups_per_zone: groups_per_zone as u16,
                shards: shards as u16,
                store_region,
            },
            task_lease_ms,
            worker_sync_interval_ms,
            worker_list_interval_ms,
            default_deadline_ms,
            max_deadline_ms: MAX_DEADLINE_MS,
            drain_timeout_ms,
            seed: incarnation_ms ^ (u64::from(suffix) << 32),
            recorder: None,
        };
        Ok(Checked { node, http })
    }

    /// Checks the limits of the HTTP port.
    fn check_http(&self, faults: &mut Faults) -> entry::HttpConfig {
        let connection_limit =
            faults.number("connection-limit", &self.connection_limit, 1..=65_536);
        let request_timeout_ms = faults.number(
            "request-timeout-ms",
            &self.request_timeout_ms,
            100..=600_000,
        );
        entry::HttpConfig {
            connection_limit: connection_limit as usize,
            request_timeout_ms,
        }
    }
}

/// Parses `IP:PORT`.
fn parse_address(text: &str) -> Option<net::SocketAddr> {
    text.parse().ok()
}
