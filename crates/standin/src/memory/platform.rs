//! The complete in-memory platform: store, workers and upstreams with a shared clock, history and faults.

use std::sync::Arc;

use kernel::history;
use kernel::ids;
use platform::Platform;
use serde::{Deserialize, Serialize};
use tokio::task;

use super::clock;
use super::network;
use super::store;
use super::upstreams;
use super::workers;
use crate::config;
use crate::faults;
use crate::model;

/// Counters since the platform was created.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Store call counters.
    pub store: model::StoreCounters,
    /// Traffic on the links between regions.
    pub link_bytes: Vec<network::LinkBytes>,
    /// Number of tasks currently running.
    pub running_tasks: usize,
}

/// The in-memory platform; clones share the same state.
#[derive(Clone, Debug)]
pub struct MemoryPlatform {
    store: Arc<store::SharedStore>,
    fleet: Arc<workers::SharedFleet>,
    network: network::Network,
    faults: faults::Faults,
    clock: clock::Clock,
    cut_timeout_ms: u64,
}

impl MemoryPlatform {
    /// Creates a platform whose clock starts at zero. Must be called within a tokio runtime.
    pub fn new(config: &config::Config, seed: u64, sink: Arc<dyn history::Sink>) -> Self {
        Self::with_clock(config, seed, sink, clock::Clock::starting_at(0))
    }

    /// Creates a platform with a given clock. Must be called within a tokio runtime.
    pub fn with_clock(
        config: &config::Config,
        seed: u64,
        sink: Arc<dyn history::Sink>,
        clock: clock::Clock,
    ) -> Self {
        let faults = faults::Faults::new(config, seed);
        let fleet = model::FleetModel::new(config, sink, clock.now_ms());
        let fleet = Arc::new(workers::SharedFleet::new(fleet));
        let weak = Arc::downgrade(&fleet);
        task::spawn(workers::SharedFleet::run_timer(weak, clock));
        Self {
            store: Arc::new(store::SharedStore::new(model::StoreModel::new(
                config.store_limits,
            ))),
            fleet,
            network: network::Network::new(config.topology.clone(), faults.clone(), clock),
            faults,
            clock,
            cut_timeout_ms: config.cut_timeout_ms,
        }
    }

    /// Connects a host in the given zone to the platform.
    pub fn connect(&self, zone: &ids::ZoneId) -> Platform {
        Platform {
            store: Arc::new(self.store(zone)),
            workers: Arc::new(self.workers(zone)),
            upstreams: Arc::new(self.upstreams(zone)),
        }
    }

    /// Opens a connection from a zone to the store.
    pub fn store(&self, zone: &ids::ZoneId) -> store::MemoryStore {
        store::MemoryStore {
            shared: self.store.clone(),
            zone: zone.clone(),
            network: self.network.clone(),
            faults: self.faults.clone(),
            clock: self.clock,
            cut_timeout_ms: self.cut_timeout_ms,
        }
    }

    /// Opens a connection from a zone to the worker list and the workers.
    pub fn workers(&self, zone: &ids::ZoneId) -> workers::MemoryWorkers {
        workers::MemoryWorkers {
            shared: self.fleet.clone(),
            zone: zone.clone(),
            network: self.network.clone(),
            faults: self.faults.clone(),
            clock: self.clock,
            cut_timeout_ms: self.cut_timeout_ms,
        }
    }

    /// Opens a connection from a zone to the minions.
    pub fn upstreams(&self, zone: &ids::ZoneId) -> upstreams::MemoryUpstreams {
        upstreams::MemoryUpstreams {
            shared: self.fleet.clone(),
            zone: zone.clone(),
            network: self.network.clone(),
            faults: self.faults.clone(),
            clock: self.clock,
            cut_timeout_ms: self.cut_timeout_ms,
        }
    }

    /// The active faults.
    pub fn faults(&self) -> &faults::Faults {
        &self.faults
    }

    /// The clock used for history timestamps.
    pub fn clock(&self) -> clock::Clock {
        self.clock
    }

    /// The network between the zones.
    pub fn network(&self) -> &network::Network {
        &self.network
    }

    /// Sets or clears a fault.
    pub fn apply(&self, fault: faults::Fault) {
        match &fault {
            faults::Fault::WorkFails { work, fails } => {
                self.fleet
                    .change(|model| model.set_work_fails(work, *fails));
            }
            faults::Fault::ListLag { lag_ms } => {
                self.fleet.change(|model| model.set_list_lag_ms(*lag_ms));
            }
            _ => {}
        }
        self.faults.apply(fault);
    }

    /// Applies a change to the fleet model at the current time, which is passed to `apply`.
    pub fn change_fleet<T>(&self, apply: impl FnOnce(&mut model::FleetModel, u64) -> T) -> T {
        let now_ms = self.clock.now_ms();
        self.fleet.change(|model| apply(model, now_ms))
    }

    /// A snapshot of the counters.
    pub fn counters(&self) -> Counters {
        Counters {
            store: self.store.lock().counters().clone(),
            link_bytes: self.network.link_bytes(),
            running_tasks: self.fleet.lock().running_tasks(),
        }
    }
}
