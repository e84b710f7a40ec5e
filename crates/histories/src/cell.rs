//! A cell of entry hosts on an in-memory platform.

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

/// Task lease, short enough that several leases can expire within one run.
pub const TASK_LEASE_MS: u64 = 4_000;
const GROUPS_PER_ZONE: u16 = 2;
const SHARDS: u16 = 3;

/// One entry host of a cell.
#[derive(Debug)]
pub struct CellHost {
    /// Zone of the host.
    pub zone: ids::ZoneId,
    /// Peer address, `ZONE/NUMBER`.
    pub address: String,
    /// Pauses and resumes the host.
    pub gate: gate::Gate,
    node: Option<Node<lifecycle::Serving>>,
    operations: Operations,
}

impl CellHost {
    /// Operations offered to callers and operators.
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
    /// The in-memory platform.
    pub platform: MemoryPlatform,
    network: Arc<LocalNetwork>,
    topology: Topology,
    sink: Arc<history::MemorySink>,
    hosts: IndexMap<String, CellHost>,
    hosts_started: u64,
    seed: u64,
    disabled_guard: Option<weakened::DisabledGuard>,
}

impl Cell {
    /// Creates a platform without entry hosts.
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
            hosts_started: 0,
            seed,
            disabled_guard: None,
        }
    }

    /// Disables a guard for hosts started from now on; `None` enables all guards.
    pub fn disable_guard(&mut self, guard: Option<weakened::Guard>) {
        self.disabled_guard = guard.map(weakened::DisabledGuard::new);
    }

    /// The zones of the cell.
    pub fn zones(&self) -> Vec<ids::ZoneId> {
        self.topology.zones.keys().cloned().collect()
    }

    /// The running hosts by peer address.
    pub fn hosts(&self) -> &IndexMap<String, CellHost> {
        &self.hosts
    }

    /// All events recorded so far.
    pub fn records(&self) -> Vec<history::Record> {
        self.sink.records()
    }

    /// The sink for events recorded by callers.
    pub fn sink(&self) -> Arc<history::MemorySink> {
        Arc::clone(&self.sink)
    }

    /// Starts a host in a zone and returns its address; it is ready within a few seconds.
    pub async fn start_host(&mut self, zone: &ids::ZoneId) -> String {
        self.hosts_started += 1;
        let address = format!("{zone}/{}", self.hosts_started);
        let config = self.node_config(zone, &address);
        let gate = gate::Gate::default();
        let mut platform = self.platform.connect(zone);
        if let Some(disabled_guard) = &self.disabled_guard {
            platform = weakened::without_guard(disabled_guard, &platform);
        }
        let platform = gate::gated_platform(&gate, &platform);
        let transport = Arc::new(self.network.connect(&address));
        let transport = gate::gated_transport(&gate, transport);
        let sink = Arc::new(TimestampingSink {
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
            incarnation_ms: self.platform.clock().now_ms() + self.hosts_started,
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
            seed: self
                .seed
                .wrapping_mul(1_000)
                .wrapping_add(self.hosts_started),
            recorder: None,
        }
    }

    /// Stops a host immediately, without draining.
    pub fn kill_host(&mut self, address: &str) {
        self.network.detach(address);
        if let Some(mut host) = self.hosts.shift_remove(address)
            && let Some(node) = host.node.take()
        {
            // Closing the gate ensures that messages in flight are never delivered.
            host.gate.set_open(false);
            node.halt();
        }
    }

    /// Drains and stops a host, like SIGTERM.
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

    /// Resumes all hosts and clears all faults of the platform.
    pub fn heal(&self) {
        self.platform.apply(standin::Fault::HealAll);
        self.platform
            .apply(standin::Fault::StoreLatency { latency_ms: 2 });
        for host in self.hosts.values() {
            host.gate.set_open(true);
        }
    }
}

/// Applies the platform's partitions and latencies to messages between hosts.
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

/// Sink that timestamps the events of hosts with the platform's clock.
#[derive(Debug)]
struct TimestampingSink {
    inner: Arc<history::MemorySink>,
    platform: MemoryPlatform,
}

impl history::Sink for TimestampingSink {
    fn append(&self, mut record: history::Record) {
        record.at_ms = self.platform.clock().now_ms();
        self.inner.append(record);
    }
}
