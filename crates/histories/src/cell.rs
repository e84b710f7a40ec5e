//! Entry hosts on an in-memory platform.

use std::sync::Arc;
use std::time;

use indexmap::IndexMap;
use kernel::history;
use kernel::ids;
use kernel::lifecycle;
use node::config::NodeConfig;
use node::local::{Link, LocalNetwork, Passage};
use node::topology::Topology;
use node::{Node, Operations};
use standin::MemoryPlatform;

use crate::gate;
use crate::weakened;

/// Lease under which tasks run, short enough that several lapse within a run.
pub const TASK_LEASE_MS: u64 = 4_000;
const GROUPS_PER_ZONE: u16 = 2;
const SHARDS: u16 = 3;

/// One entry host of a cell.
#[derive(Debug)]
pub struct CellHost {
    /// Its zone.
    pub zone: ids::ZoneId,
    /// Its peer address.
    pub address: String,
    /// Pauses and wakes it.
    pub gate: gate::Gate,
    node: Option<Node<lifecycle::Serving>>,
    operations: Operations,
}

impl CellHost {
    /// What callers and operators can ask of it.
    pub fn operations(&self) -> &Operations {
        &self.operations
    }

    /// The host's identifier.
    pub fn id(&self) -> &ids::HostId {
        &self.operations.shared().config.host
    }
}

/// A platform and its entry hosts.
#[derive(Debug)]
pub struct Cell {
    /// The platform.
    pub platform: MemoryPlatform,
    network: Arc<LocalNetwork>,
    topology: Topology,
    sink: Arc<history::MemorySink>,
    hosts: IndexMap<String, CellHost>,
    started: u64,
    seed: u64,
    weakness: Option<weakened::Weakness>,
}

impl Cell {
    /// Makes a platform without entry hosts.
    pub fn new(config: &standin::Config, seed: u64) -> Self {
        let sink = Arc::new(history::MemorySink::default());
        let platform = MemoryPlatform::new(config, seed, Arc::clone(&sink) as _);
        let topology = Topology {
            zones: config.topology.zones.clone(),
            groups_per_zone: GROUPS_PER_ZONE,
            shards: SHARDS,
            store_region: config
                .topology
                .zones
                .get(&config.topology.store_zone)
                .cloned(),
        };
        let link = Arc::new(ZoneLink {
            platform: platform.clone(),
        });
        Self {
            platform,
            network: LocalNetwork::new(link),
            topology,
            sink,
            hosts: IndexMap::new(),
            started: 0,
            seed,
            weakness: None,
        }
    }

    /// Takes a guard away from hosts that are started from now on.
    pub fn weaken(&mut self, guard: Option<weakened::Guard>) {
        self.weakness = guard.map(weakened::Weakness::new);
    }

    /// The zones.
    pub fn zones(&self) -> Vec<ids::ZoneId> {
        self.topology.zones.keys().cloned().collect()
    }

    /// The running hosts by peer address.
    pub fn hosts(&self) -> &IndexMap<String, CellHost> {
        &self.hosts
    }

    /// The history so far.
    pub fn records(&self) -> Vec<history::Record> {
        self.sink.records()
    }

    /// Where events of callers go.
    pub fn sink(&self) -> Arc<history::MemorySink> {
        Arc::clone(&self.sink)
    }

    /// Starts a host in a zone; it serves within a few seconds.
    pub async fn start_host(&mut self, zone: &ids::ZoneId) -> String {
        self.started += 1;
        let address = format!("{zone}/{}", self.started);
        let config = self.node_config(zone, &address);
        let gate = gate::Gate::default();
        let mut platform = self.platform.connect(zone);
        if let Some(weakness) = &self.weakness {
            platform = weakened::weaken(weakness, &platform);
        }
        let platform = gate::gated_platform(&gate, &platform);
        let transport = Arc::new(self.network.connect(&address));
        let transport = gate::gated_transport(&gate, transport);
        let sink = Arc::new(ClockedSink {
            inner: Arc::clone(&self.sink),
            platform: self.platform.clone(),
        });
        let node = Node::start(config, platform, transport, sink);
        let handler = gate::GatedHandler::new(&gate, node.peer_handler());
        self.network.attach(&address, Arc::new(handler));
        let node = node.serve().await;
        let operations = Operations::new(Arc::clone(node.shared()));
        let host = CellHost {
            zone: zone.clone(),
            address: address.clone(),
            gate,
            node: Some(node),
            operations,
        };
        self.hosts.insert(address.clone(), host);
        address
    }

    fn node_config(&self, zone: &ids::ZoneId, address: &str) -> NodeConfig {
        NodeConfig {
            host: ids::HostId::new(format!("host-{address}")),
            zone: zone.clone(),
            incarnation_ms: self.platform.clock().now_ms() + self.started,
            http_address: String::new(),
            peer_address: address.to_owned(),
            seeds: self.hosts.keys().cloned().collect(),
            topology: self.topology.clone(),
            task_lease_ms: TASK_LEASE_MS,
            worker_sync_interval_ms: 500,
            worker_list_interval_ms: 500,
            default_deadline_ms: 5_000,
            max_deadline_ms: 60_000,
            drain_timeout_ms: 5_000,
            seed: self.seed.wrapping_mul(1_000).wrapping_add(self.started),
            recorder: None,
        }
    }

    /// Ends a host at once.
    pub fn kill_host(&mut self, address: &str) {
        self.network.detach(address);
        if let Some(mut host) = self.hosts.shift_remove(address)
            && let Some(node) = host.node.take()
        {
            // What it had handed to its connections is never delivered.
            host.gate.set_open(false);
            node.halt();
        }
    }

    /// Shuts a host down as SIGTERM does.
    pub async fn drain_host(&mut self, address: &str) {
        let Some(mut host) = self.hosts.shift_remove(address) else {
            return;
        };
        if let Some(node) = host.node.take() {
            let node = node.drain().await;
            self.network.detach(address);
            node.halt();
        }
    }

    /// Wakes all hosts and ends all faults of the platform.
    pub fn heal(&self) {
        self.platform.apply(standin::Fault::HealAll);
        self.platform
            .apply(standin::Fault::StoreLatency { latency_ms: 2 });
        for host in self.hosts.values() {
            host.gate.set_open(true);
        }
    }
}

/// Delays and cuts messages between hosts as the platform's faults say.
#[derive(Debug)]
struct ZoneLink {
    platform: MemoryPlatform,
}

impl Link for ZoneLink {
    fn passage(&self, from: &str, to: &str) -> Passage {
        let zone = |address: &str| {
            ids::ZoneId::new(address.split_once('/').map_or(address, |(zone, _)| zone))
        };
        let (from, to) = (zone(from), zone(to));
        if !self.platform.faults().zones_connected(&from, &to) {
            return Passage::Lost;
        }
        let latency_ms = self.platform.network().topology().latency_ms(&from, &to);
        Passage::Arrives(time::Duration::from_millis(latency_ms))
    }
}

/// Stamps the events of hosts with the platform's time.
#[derive(Debug)]
struct ClockedSink {
    inner: Arc<history::MemorySink>,
    platform: MemoryPlatform,
}

impl history::Sink for ClockedSink {
    fn append(&self, mut record: history::Record) {
        record.at_ms = self.platform.clock().now_ms();
        self.inner.append(record);
    }
}
