//! A whole cell in one process, whose connections are counted.

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

use crate::counting::{CountingStore, CountingTransport, CountingWorkers, Counts};
use crate::error::{Error, Result};

/// Lease under which tasks run, as the daemon's default.
const TASK_LEASE_MS: u64 = 15_000;
/// Time between exchanges with an idle worker, as the daemon's default.
const WORKER_SYNC_INTERVAL_MS: u64 = 3_000;
/// Time between readings of the list of workers, as the daemon's default.
const WORKER_LIST_INTERVAL_MS: u64 = 1_000;
/// Journal shards, as the daemon's default.
const SHARDS: u16 = 8;
const POLL_MS: u64 = 10;

/// Sizes of a cell.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    /// Workers, spread evenly over the zones.
    pub workers: u32,
    /// Entry hosts, spread evenly over the zones.
    pub hosts: usize,
    /// Zones, half of them in each region.
    pub zones: usize,
}

/// A running cell.
pub(crate) struct Cell {
    pub platform: MemoryPlatform,
    pub counts: Counts,
    pub size: Size,
    network: Arc<LocalNetwork>,
    topology: Topology,
    hosts: IndexMap<String, (Node<lifecycle::Serving>, Operations)>,
}

impl Cell {
    /// Starts a cell and waits until all its groups and shards are owned.
    pub async fn start(size: Size) -> Result<Self> {
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
            counts: Counts::default(),
            size,
            network: LocalNetwork::new(Arc::new(PerfectLink)),
            topology,
            hosts: IndexMap::new(),
        };
        for number in 0..size.hosts {
            cell.start_host(number).await;
        }
        let until = "all groups and shards are owned";
        cell.wait_for(until, Self::is_owned).await?;
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
        let counts = || self.counts.clone();
        let inner = self.platform.connect(&zone);
        let platform = platform::Platform {
            store: Arc::new(CountingStore {
                inner: inner.store,
                counts: counts(),
            }),
            workers: Arc::new(CountingWorkers {
                inner: inner.workers,
                counts: counts(),
            }),
            upstreams: inner.upstreams,
        };
        let transport = CountingTransport {
            inner: Arc::new(self.network.connect(&address)),
            counts: counts(),
        };
        let sink = Arc::new(history::NullSink);
        let node = Node::start(config, platform, Arc::new(transport), sink);
        self.network.attach(&address, node.peer_handler());
        let node = node.serve().await;
        let operations = Operations::new(Arc::clone(node.shared()));
        self.hosts.insert(address, (node, operations));
    }

    /// What can be asked of each host.
    pub fn operations(&self) -> impl Iterator<Item = &Operations> {
        self.hosts.values().map(|(_, operations)| operations)
    }

    /// What can be asked of one host; numbers beyond the last start again.
    pub fn any(&self, number: u64) -> Operations {
        let (_, (_, operations)) = self
            .hosts
            .get_index(number as usize % self.hosts.len())
            .expect("a cell has hosts");
        operations.clone()
    }

    /// Ends the last host at once and tells its identifier and zone.
    pub fn kill_last(&mut self) -> Option<(ids::HostId, ids::ZoneId)> {
        let (address, (node, operations)) = self.hosts.pop()?;
        self.network.detach(&address);
        node.halt();
        let config = &operations.shared().config;
        Some((config.host.clone(), config.zone.clone()))
    }

    /// Whether every group and every shard has an owner.
    pub fn is_owned(&self) -> bool {
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

    /// Waits until a condition holds and tells how long that took, in milliseconds.
    pub async fn wait_for(&self, what: &str, holds: impl Fn(&Self) -> bool) -> Result<u64> {
        const LIMIT_MS: u64 = 60_000;
        let started = tokio::time::Instant::now();
        let elapsed_ms = || started.elapsed().as_millis() as u64;
        while !holds(self) {
            if elapsed_ms() > LIMIT_MS {
                return Err(Error::Late {
                    what: what.to_owned(),
                    limit_ms: LIMIT_MS,
                });
            }
            tokio::time::sleep(time::Duration::from_millis(POLL_MS)).await;
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
