//! Configuration of a stand-in platform (topology, sizes, latencies, limits), with a preset per firm.

use clap::ValueEnum;
use derive_more::Display;
use indexmap::IndexMap;
use kernel::ids;
use kernel::work;
use serde::{Deserialize, Serialize};

/// Capacity of the link between regions in each direction.
const DEFAULT_LINK_BITS_PER_S: u64 = 30_000_000;
/// Number of workers per rack.
const DEFAULT_WORKERS_PER_RACK: u32 = 8;
/// Number of workers in each firm's preset.
const DEFAULT_WORKERS: u32 = 48;
/// Number of changes that the store retains for watches.
const DEFAULT_WATCH_LOG_CHANGES: usize = 10_000;

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

/// The availability zones, their regions and the location of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Topology {
    /// The region of each availability zone.
    pub zones: IndexMap<ids::ZoneId, ids::RegionId>,
    /// The availability zone that hosts the store and the worker list.
    pub store_zone: ids::ZoneId,
    /// One-way latencies.
    pub latencies: Latencies,
    /// Capacity of the link between regions in each direction, in bits per second; `None` for no limit.
    pub link_bits_per_s: Option<u64>,
}

impl Topology {
    /// Creates a topology of `(zone, region)` pairs with the store in the first zone.
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
            link_bits_per_s: Some(DEFAULT_LINK_BITS_PER_S),
        }
    }

    /// The region of a zone; an unlisted zone forms a region of the same name.
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

/// Rate and retention limits of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreLimits {
    /// Number of changes retained for watches; older ones are compacted.
    pub watch_log_changes: usize,
    /// Writes per second above which calls are throttled; `None` for no limit.
    pub writes_per_s: Option<u64>,
    /// Reads per second above which calls are throttled; `None` for no limit.
    pub reads_per_s: Option<u64>,
}

impl Default for StoreLimits {
    fn default() -> Self {
        Self {
            watch_log_changes: DEFAULT_WATCH_LOG_CHANGES,
            writes_per_s: None,
            reads_per_s: None,
        }
    }
}

/// An inclusive range of percentages; each task gets one value, derived from its hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PercentRange {
    /// Inclusive lower bound.
    pub low: u64,
    /// Inclusive upper bound.
    pub high: u64,
}

impl PercentRange {
    /// Creates the range `low..=high`.
    pub const fn new(low: u64, high: u64) -> Self {
        Self { low, high }
    }

    /// Maps a hash to a percentage in the range.
    pub const fn pick(self, hash: u64) -> u64 {
        let width = self.high.saturating_sub(self.low) + 1;
        self.low + hash % width
    }
}

/// Simulated behaviour of workers and the tasks on them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerBehaviour {
    /// Age of the usage that a worker reports, in milliseconds.
    pub usage_lag_ms: u64,
    /// Resource usage of a task, in percent of its assigned demand.
    pub usage_percent: PercentRange,
    /// Actual run time of a task, in percent of its declared run time.
    pub run_time_percent: PercentRange,
    /// Time after which a task fails, if its worker or its work is set to fail; in milliseconds.
    pub fail_after_ms: u64,
    /// Processing time of a call on an upstream, in milliseconds.
    pub call_ms: u64,
    /// Whether upstreams on a leaving worker reject new calls.
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

/// Configuration of a stand-in platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Zones, regions, latencies and the capacity of the link between regions.
    pub topology: Topology,
    /// Total number of workers, distributed evenly over the zones.
    pub workers: u32,
    /// Number of workers per rack.
    pub workers_per_rack: u32,
    /// Resource capacity of each worker.
    pub capacity: work::Resources,
    /// Delay until a change appears in the worker list, in milliseconds.
    pub list_lag_ms: u64,
    /// Simulated behaviour of workers and the tasks on them.
    pub behaviour: WorkerBehaviour,
    /// Rate and retention limits of the store.
    pub store_limits: StoreLimits,
    /// Processing time of a store call, excluding network latency; in milliseconds.
    pub store_latency_ms: u64,
    /// Time after which a call across a network partition fails, in milliseconds.
    pub cut_timeout_ms: u64,
    /// Address prefix of the workers as `IP:PORT`; a worker's address is `IP:PORT/workers/ID`.
    pub address: String,
}

impl Config {
    /// Default configuration for the given topology, with the worker capacity of Huber.
    pub fn new(topology: Topology) -> Self {
        Self {
            topology,
            workers: DEFAULT_WORKERS,
            workers_per_rack: DEFAULT_WORKERS_PER_RACK,
            capacity: work::Resources::new(16_000, 32 * 1024, 0),
            list_lag_ms: 1_000,
            behaviour: WorkerBehaviour::default(),
            store_limits: StoreLimits::default(),
            store_latency_ms: 2,
            cut_timeout_ms: 200,
            address: "127.0.0.1:0".to_owned(),
        }
    }

    /// The deployment of a firm at its current size.
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
