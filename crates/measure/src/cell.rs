//! An in-process cell whose store, worker and peer traffic is counted.
//!
//! The platform and the network between hosts are in memory, so a cell runs under
//! tokio's paused clock.

use std::sync::Arc;
use std::time;

use indexmap::IndexMap;
use kernel::history;
use kernel::ids;
use kernel::lifecycle;
use node::config::NodeConfig;
use node::local::{LocalNetwork, PerfectLink};
use node::topology::Topology;
use node::{Node, Operations};
use standin::MemoryPlatform;

use crate::counting::{CountingStore, CountingTransport, CountingWorkers, TrafficCounters};
use crate::error::{Error, Result};

/// Task lease; the default of `hickoryd`.
const TASK_LEASE_MS: u64 = 15_000;
/// Interval at which an idle worker is synchronised; the default of `hickoryd`.
const WORKER_SYNC_INTERVAL_MS: u64 = 3_000;
/// Interval at which the worker list is polled; the default of `hickoryd`.
const WORKER_LIST_INTERVAL_MS: u64 = 1_000;
/// Journal shards; the default of `hickoryd`.
const SHARDS: u16 = 8;
const POLL_INTERVAL_MS: u64 = 10;

/// Dimensions of a cell.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CellSize {
    /// Workers, distributed evenly over the zones.
    pub workers: u32,
    /// Entry hosts, distributed evenly over the zones.
    pub hosts: usize,
    /// Zones, split evenly between two regions.
    pub zones: usize,
}

/// A running cell.
pub(crate) struct Cell {
    pub platform: MemoryPlatform,
    pub counters: TrafficCounters,
    pub size: CellSize,
    network: Arc<LocalNetwork>,
    topology: Topology,
    hosts: IndexMap<String, (Node<lifecycle::Serving>, Operations)>,
}

impl Cell {
    /// Starts a cell and waits until every group and shard has an owner.
    pub async fn start(size: CellSize) -> Result<Self> {
        let zones: Vec<(String, &str)> = (0..size.zones)
            .map(|zone| (format!("zone-{zone}"), region(zone, size.zones)))
            .collect();
        let zones: Vec<(&str, &str)> = zones.iter().map(|(z, r)| (z.as_str(), *r)).collect();
        let mut config = standin::Config::new(standin::Topology::new(&zones));
        config.workers = size.workers;
        let platform = MemoryPlatform::new(&config, 1, Arc::new(history::NullSink));
        let topology = Topology {
            groups_per_zone: size.hosts.div_ceil(size.zones) as u16,
            shards: SHARDS,
            store_region: config.topology.zones.first().map(|(_, r)| r.clone()),
            zones: config.topology.zones,
        };
        let mut cell = Self {
            platform,
            counters: TrafficCounters::default(),
            size,
            network: LocalNetwork::new(Arc::new(PerfectLink)),
            topology,
            hosts: IndexMap::new(),
        };
        for number in 0..size.hosts {
            cell.start_host(number).await;
        }
        let condition = "all groups and shards are owned";
        cell.wait_for(condition, Self::is_fully_owned).await?;
        Ok(cell)
    }

    async fn start_host(&mut self, number: usize) {
        let zone = ids::ZoneId::new(format!("zone-{}", number % self.size.zones));
        let address = format!("10.20.30.{number}:7071");
        let config = NodeConfig {
            host: ids::HostId::new(format!("entry-{number:04}-0a1b2c3d")),
            zone: zone.clone(),
            incarnation_ms: 1_700_000_000_000 + number as u64,
            http_address: format!("10.20.30.{number}:7070"),
            peer_address: address.clone(),
            seeds: self.hosts.keys().take(1).cloned().collect(),
            topology: self.topology.clone(),
            task_lease_ms: TASK_LEASE_MS,
            worker_sync_interval_ms: WORKER_SYNC_INTERVAL_MS,
            worker_list_interval_ms: WORKER_LIST_INTERVAL_MS,
            default_deadline_ms: 5_000,
            max_deadline_ms: 60_000,
            drain_timeout_ms: 5_000,
            seed: number as u64,
            recorder: None,
        };
        let counters = || self.counters.clone();
        let inner = self.platform.connect(&zone);
        let platform = platform::Platform {
            store: Arc::new(CountingStore {
                inner: inner.store,
                counters: counters(),
            }),
            workers: Arc::new(CountingWorkers {
                inner: inner.workers,
                counters: counters(),
            }),
            upstreams: inner.upstreams,
        };
        let transport = CountingTransport {
            inner: Arc::new(self.network.connect(&address)),
            counters: counters(),
        };
        let sink = Arc::new(history::NullSink);
        let node = Node::start(config, platform, Arc::new(transport), sink);
        self.network.attach(&address, node.peer_handler());
        let node = node.serve().await;
        let operations = Operations::new(Arc::clone(node.shared()));
        self.hosts.insert(address, (node, operations));
    }

    /// The operations of each running host.
    pub fn operations(&self) -> impl Iterator<Item = &Operations> {
        self.hosts.values().map(|(_, operations)| operations)
    }

    /// The operations of one host, selected by `number` modulo the number of hosts.
    pub fn host_operations(&self, number: u64) -> Operations {
        let (_, (_, operations)) = self
            .hosts
            .get_index(number as usize % self.hosts.len())
            .expect("a cell has hosts");
        operations.clone()
    }

    /// Stops the last host without draining it and returns its identifier and zone; `None` if no
    /// host is left.
    pub fn kill_last_host(&mut self) -> Option<(ids::HostId, ids::ZoneId)> {
        let (address, (node, operations)) = self.hosts.pop()?;
        self.network.detach(&address);
        node.halt();
        let config = &operations.shared().config;
        Some((config.host.clone(), config.zone.clone()))
    }

    /// Returns whether every group and every shard has an owner.
    pub fn is_fully_owned(&self) -> bool {
        let groups = |o: &Operations| {
            o.shared()
                .groups()
                .iter()
                .filter(|g| !g.is_stopped())
                .count()
        };
        let shards = |o: &Operations| o.shared().shards().len();
        self.operations().map(groups).sum::<usize>() >= self.topology.groups().count()
            && self.operations().map(shards).sum::<usize>() >= usize::from(SHARDS)
    }

    /// Polls until `holds` returns true and returns the elapsed time in milliseconds.
    ///
    /// `condition` describes the condition in the time-out error.
    pub async fn wait_for(&self, condition: &str, holds: impl Fn(&Self) -> bool) -> Result<u64> {
        const WAIT_TIMEOUT_MS: u64 = 60_000;
        let started = tokio::time::Instant::now();
        let elapsed_ms = || started.elapsed().as_millis() as u64;
        while !holds(self) {
            if elapsed_ms() > WAIT_TIMEOUT_MS {
                return Err(Error::Timeout {
                    condition: condition.to_owned(),
                    timeout_ms: WAIT_TIMEOUT_MS,
                });
            }
            tokio::time::sleep(time::Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
        Ok(elapsed_ms())
    }
}

fn region(zone: usize, zones: usize) -> &'static str {
    if zone < zones.div_ceil(2) {
        "region-0"
    } else {
        "region-1"
    }
}
