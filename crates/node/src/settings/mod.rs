//! Settings of `hickoryd serve`, from flags and environment variables.
//!
//! Values are parsed as text and validated together, so that one run reports every invalid
//! setting and its permitted values.

mod parse;

use std::net;

use clap::Args;
use kernel::errors;
use kernel::ids;

use crate::{clock, config, entry, topology};
use parse::SettingErrors;

/// Settings of `hickoryd serve`.
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

    /// Peer addresses for joining while the store is unavailable, as IP:PORT,IP:PORT.
    #[arg(long, env = "HICKORY_SEEDS", default_value = "")]
    pub seeds: String,

    /// Platform plug-in.
    #[arg(long, env = "HICKORY_PLATFORM", default_value = "http")]
    pub platform: String,

    /// Address that the platform plug-in connects to.
    #[arg(long, env = "HICKORY_PLATFORM_ADDRESS")]
    pub platform_address: Option<String>,

    /// Region of the store; hosts in this region own the journal shards if there are any.
    #[arg(long, env = "HICKORY_STORE_REGION")]
    pub store_region: Option<String>,

    /// Rack groups in each zone (1 to 64); the same on every host, at most the racks of a zone.
    #[arg(long, env = "HICKORY_GROUPS_PER_ZONE", default_value = "2")]
    pub groups_per_zone: String,

    /// Journal shards in the cell (1 to 256); the same on every host.
    #[arg(long, env = "HICKORY_SHARDS", default_value = "8")]
    pub shards: String,

    /// Duration of the lease under which tasks run, in milliseconds (2000 to 600000).
    #[arg(long, env = "HICKORY_TASK_LEASE_MS", default_value = "15000")]
    pub task_lease_ms: String,

    /// Interval between sync requests to an idle worker, in milliseconds (100 to 60000).
    #[arg(long, env = "HICKORY_WORKER_SYNC_INTERVAL_MS", default_value = "3000")]
    pub worker_sync_interval_ms: String,

    /// Interval between reads of the worker list, in milliseconds (100 to 60000).
    #[arg(long, env = "HICKORY_WORKER_LIST_INTERVAL_MS", default_value = "1000")]
    pub worker_list_interval_ms: String,

    /// Deadline of a call that states none, in milliseconds (1 to 600000).
    #[arg(long, env = "HICKORY_DEFAULT_DEADLINE_MS", default_value = "10000")]
    pub default_deadline_ms: String,

    /// Maximum time that a shutdown waits for open requests, in milliseconds (0 to 600000).
    #[arg(long, env = "HICKORY_DRAIN_TIMEOUT_MS", default_value = "30000")]
    pub drain_timeout_ms: String,

    /// Maximum number of open connections of callers and operators (1 to 65536).
    #[arg(long, env = "HICKORY_CONNECTION_LIMIT", default_value = "2048")]
    pub connection_limit: String,

    /// Timeout for receiving a request's headers, and again for its body, in milliseconds (100
    /// to 600000).
    #[arg(long, env = "HICKORY_REQUEST_TIMEOUT_MS", default_value = "10000")]
    pub request_timeout_ms: String,

    /// OTLP endpoint for traces over HTTP, as <http://IP:PORT>; empty disables traces.
    #[arg(long, env = "HICKORY_OTLP_ENDPOINT", default_value = "")]
    pub otlp_endpoint: String,

    /// File to which all placement decisions are recorded; empty disables recording.
    #[arg(long, env = "HICKORY_RECORD", default_value = "")]
    pub record: String,
}

/// Validated settings.
#[derive(Clone, Debug)]
pub struct ValidatedSettings {
    /// The host's configuration.
    pub node: config::NodeConfig,
    /// Limits of the HTTP port.
    pub http: entry::HttpConfig,
}

/// Maximum deadline that a caller may state, in milliseconds.
const MAX_DEADLINE_MS: u64 = 600_000;

impl ServeSettings {
    /// Validates all settings together.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::Usage`] with one line for every invalid setting.
    pub fn validate(&self) -> errors::Result<ValidatedSettings> {
        let mut setting_errors = SettingErrors::default();
        let zones = setting_errors.zones("zones", self.zones.as_deref());
        let zone = setting_errors.zone("zone", self.zone.as_deref(), &zones);
        let listen = setting_errors.address("listen", &self.listen);
        let peer_listen = setting_errors.address("peer-listen", &self.peer_listen);
        let seeds = setting_errors.addresses("seeds", &self.seeds);
        setting_errors.name("name", &self.name);
        if let Err(error) = platform::find(&self.platform) {
            setting_errors.add("platform", &error.detail);
        }
        if self.platform_address.is_none() {
            setting_errors.add("platform-address", "is required");
        }
        let store_region = self.store_region.as_deref().map(ids::RegionId::new);
        if let Some(region) = &store_region
            && !zones.values().any(|known| known == region)
        {
            setting_errors.add("store-region", "must be the region of one of --zones");
        }
        let range = |setting_errors: &mut SettingErrors, name, text: &str, low, high| {
            setting_errors.number(name, text, low..=high)
        };
        let groups_per_zone = range(
            &mut setting_errors,
            "groups-per-zone",
            &self.groups_per_zone,
            1,
            64,
        );
        let shards = range(&mut setting_errors, "shards", &self.shards, 1, 256);
        let task_lease_ms = range(
            &mut setting_errors,
            "task-lease-ms",
            &self.task_lease_ms,
            2_000,
            600_000,
        );
        let worker_sync_interval_ms = range(
            &mut setting_errors,
            "worker-sync-interval-ms",
            &self.worker_sync_interval_ms,
            100,
            60_000,
        );
        let worker_list_interval_ms = range(
            &mut setting_errors,
            "worker-list-interval-ms",
            &self.worker_list_interval_ms,
            100,
            60_000,
        );
        let default_deadline_ms = range(
            &mut setting_errors,
            "default-deadline-ms",
            &self.default_deadline_ms,
            1,
            MAX_DEADLINE_MS,
        );
        let drain_timeout_ms = range(
            &mut setting_errors,
            "drain-timeout-ms",
            &self.drain_timeout_ms,
            0,
            600_000,
        );
        let http = self.validate_http(&mut setting_errors);
        if worker_sync_interval_ms * 3 > task_lease_ms {
            setting_errors.add(
                "worker-sync-interval-ms",
                "must be at most a third of --task-lease-ms, so that a lost sync request ends no task",
            );
        }
        setting_errors.into_result()?;

        let incarnation_ms = clock::unix_time_ms();
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
        Ok(ValidatedSettings { node, http })
    }

    /// Validates the limits of the HTTP port.
    fn validate_http(&self, setting_errors: &mut SettingErrors) -> entry::HttpConfig {
        let connection_limit =
            setting_errors.number("connection-limit", &self.connection_limit, 1..=65_536);
        let request_timeout_ms = setting_errors.number(
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

/// Parses `IP:PORT`; names are not resolved.
fn parse_address(text: &str) -> Option<net::SocketAddr> {
    text.parse().ok()
}
