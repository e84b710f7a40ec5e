//! Sizes, places and speeds of a stand-in platform, with a preset for each firm.

use clap::ValueEnum;
use derive_more::Display;
use indexmap::IndexMap;
use kernel::ids;
use kernel::work;
use serde::{Deserialize, Serialize};

/// Bits a second that the link between regions carries each way.
const LINK_BITS_PER_S: u64 = 30_000_000;
/// Workers that stand in one rack.
const WORKERS_PER_RACK: u32 = 8;
/// Workers of each firm.
const WORKERS: u32 = 48;
/// Changes that the store keeps for watches.
const WATCH_LOG_CHANGES: usize = 10_000;

/// The firm whose deployment a preset describes.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, ValueEnum, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Firm {
    /// Huber Werkbankvermietung.
    Huber,
    /// The association of catalytic filter regenerators.
    Association,
}

/// One-way latencies in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Latencies {
    /// Within an availability zone.
    pub zone_ms: u64,
    /// Between two availability zones of one region.
    pub region_ms: u64,
    /// Between regions.
    pub between_regions_ms: u64,
    /// Between clients and entry hosts.
    pub client_ms: u64,
}

impl Default for Latencies {
    fn default() -> Self {
        Self {
            zone_ms: 0,
            region_ms: 1,
            between_regions_ms: 30,
            client_ms: 1,
        }
    }
}

/// The availability zones, their regions and the place of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Topology {
    /// The region of each availability zone.
    pub zones: IndexMap<ids::ZoneId, ids::RegionId>,
    /// The availability zone in which the store and the list of workers are reached.
    pub store_zone: ids::ZoneId,
    /// One-way latencies.
    pub latencies: Latencies,
    /// Capacity of the link between regions each way, in bits a second; `None` for no limit.
    pub link_bits_per_s: Option<u64>,
}

impl Topology {
    /// Makes a topology whose store is in the first zone.
    ///
    /// # Panics
    ///
    /// If there are no zones.
    pub fn new(zones: &[(&str, &str)]) -> Self {
        assert!(!zones.is_empty(), "a topology has at least one zone");
        Self {
            zones: zones
                .iter()
                .map(|(zone, region)| (ids::ZoneId::new(zone), ids::RegionId::new(region)))
                .collect(),
            store_zone: ids::ZoneId::new(zones[0].0),
            latencies: Latencies::default(),
            link_bits_per_s: Some(LINK_BITS_PER_S),
        }
    }

    /// The region of a zone; a zone that is not listed is a region of its own.
    pub fn region_of(&self, zone: &ids::ZoneId) -> ids::RegionId {
        let region = self.zones.get(zone);
        region.map_or_else(|| ids::RegionId::new(zone), Clone::clone)
    }

    /// One-way latency between two zones, in milliseconds.
    pub fn latency_ms(&self, from: &ids::ZoneId, to: &ids::ZoneId) -> u64 {
        if from == to {
            return self.latencies.zone_ms;
        }
        if self.region_of(from) == self.region_of(to) {
            return self.latencies.region_ms;
        }
        self.latencies.between_regions_ms
    }
}

/// Limits of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreLimits {
    /// Changes kept for watches; older ones are compacted.
    pub watch_log_changes: usize,
    /// Writes a second before calls are refused; `None` for no limit.
    pub writes_per_s: Option<u64>,
    /// Reads a second before calls are refused; `None` for no limit.
    pub reads_per_s: Option<u64>,
}

impl Default for StoreLimits {
    fn default() -> Self {
        Self {
            watch_log_changes: WATCH_LOG_CHANGES,
            writes_per_s: None,
            reads_per_s: None,
        }
    }
}

/// A range of percentages from which each task draws its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PercentRange {
    /// The least.
    pub low: u64,
    /// The most.
    pub high: u64,
}

impl PercentRange {
    /// A range from `low` to `high`, both included.
    pub const fn new(low: u64, high: u64) -> Self {
        Self { low, high }
    }

    /// The percentage that belongs to a hash.
    pub const fn pick(self, hash: u64) -> u64 {
        let width = self.high.saturating_sub(self.low) + 1;
        self.low + hash % width
    }
}

/// How workers behave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerBehaviour {
    /// Age of the usage that a worker reports, in milliseconds.
    pub usage_lag_ms: u64,
    /// What a task uses, in percent of what it was assigned.
    pub usage_percent: PercentRange,
    /// How long a task runs, in percent of its declared run time.
    pub run_time_percent: PercentRange,
    /// How long a task runs before it fails on a worker that fails everything.
    pub fail_after_ms: u64,
    /// How long an upstream works on a call.
    pub call_ms: u64,
    /// Whether upstreams on a leaving worker refuse new calls.
    pub leaving_refuses: bool,
}

impl Default for WorkerBehaviour {
    fn default() -> Self {
        Self {
            usage_lag_ms: 5_000,
            usage_percent: PercentRange::new(20, 100),
            run_time_percent: PercentRange::new(100, 100),
            fail_after_ms: 50,
            call_ms: 2,
            leaving_refuses: true,
        }
    }
}

/// Everything that a stand-in platform is made from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Zones, regions, latencies and the link.
    pub topology: Topology,
    /// Number of workers, spread evenly over the zones.
    pub workers: u32,
    /// Workers that stand in one rack.
    pub workers_per_rack: u32,
    /// What each worker can hold.
    pub capacity: work::Resources,
    /// How far the list of workers lags, in milliseconds.
    pub list_lag_ms: u64,
    /// How workers behave.
    pub behaviour: WorkerBehaviour,
    /// Limits of the store.
    pub store_limits: StoreLimits,
    /// Time that the store takes for a call, besides the latency of the network.
    pub store_latency_ms: u64,
    /// Time until a call across a cut is given up, in milliseconds.
    pub cut_timeout_ms: u64,
    /// What stands before `/workers/ID` in the addresses of workers, as `IP:PORT`.
    pub address: String,
}

impl Config {
    /// A platform with the given zones and the sizes of Huber's workers.
    pub fn new(topology: Topology) -> Self {
        Self {
            topology,
            workers: WORKERS,
            workers_per_rack: WORKERS_PER_RACK,
            capacity: work::Resources::new(16_000, 32 * 1024, 0),
            list_lag_ms: 1_000,
            behaviour: WorkerBehaviour::default(),
            store_limits: StoreLimits::default(),
            store_latency_ms: 2,
            cut_timeout_ms: 200,
            address: "127.0.0.1:0".to_owned(),
        }
    }

    /// The deployment of a firm at today's size.
    pub fn preset(firm: Firm) -> Self {
        match firm {
            Firm::Huber => {
                let mut config = Self::new(Topology::new(&[
                    ("muc-ost", "obb"),
                    ("ros-nord", "obb"),
                    ("lan-sued", "nbb"),
                ]));
                config.topology.latencies.client_ms = 3;
                config
            }
            Firm::Association => {
                let mut config = Self::new(Topology::new(&[
                    ("katowice", "slask"),
                    ("gliwice", "slask"),
                    ("gdansk", "pomorze"),
                ]));
                config.capacity = work::Resources::new(64_000, 256 * 1024, 0);
                config
            }
        }
    }
}
