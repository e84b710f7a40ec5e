//! Network model: latencies, partitions and the bandwidth of the links between regions.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use indexmap::IndexMap;
use kernel::ids;
use serde::{Deserialize, Serialize};
use tokio::time;

use super::clock;
use crate::config;
use crate::faults;

const BITS_PER_BYTE: u64 = 8;
const US_PER_MS: u64 = 1_000;
const US_PER_S: u64 = 1_000_000;

/// Traffic counter of the link from one region to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkBytes {
    /// The sending region.
    pub from: ids::RegionId,
    /// The receiving region.
    pub to: ids::RegionId,
    /// Number of bytes sent.
    pub bytes: u64,
}

#[derive(Debug, Default)]
struct Direction {
    bytes: u64,
    // Time at which all bytes queued so far will have been transmitted.
    busy_until_us: u64,
}

#[derive(Debug, Default)]
struct Links {
    directions: IndexMap<(ids::RegionId, ids::RegionId), Direction>,
}

/// The network between zones.
#[derive(Clone, Debug)]
pub struct Network {
    topology: Arc<config::Topology>,
    faults: faults::Faults,
    clock: clock::Clock,
    links: Arc<Mutex<Links>>,
}

impl Network {
    /// Creates an idle network.
    pub fn new(topology: config::Topology, faults: faults::Faults, clock: clock::Clock) -> Self {
        Self {
            topology: Arc::new(topology),
            faults,
            clock,
            links: Arc::default(),
        }
    }

    /// The zone that hosts the store and the worker list.
    pub fn store_zone(&self) -> &ids::ZoneId {
        &self.topology.store_zone
    }

    /// The topology, with its initial latencies.
    pub fn topology(&self) -> &config::Topology {
        &self.topology
    }

    /// Transmits bytes from one zone to another; returns whether they arrived.
    ///
    /// Traffic between regions is queued and sent at the bandwidth of the link.
    pub async fn transmit(&self, from: &ids::ZoneId, to: &ids::ZoneId, bytes: usize) -> bool {
        if !self.faults.zones_connected(from, to) {
            return false;
        }
        let delay_ms = self.delay_ms(from, to, bytes as u64);
        if delay_ms > 0 {
            time::sleep(Duration::from_millis(delay_ms)).await;
        }
        self.faults.zones_connected(from, to)
    }

    /// Traffic on the links between regions so far.
    pub fn link_bytes(&self) -> Vec<LinkBytes> {
        let links = self.lock();
        let directions = links.directions.iter();
        directions
            .map(|((from, to), direction)| LinkBytes {
                from: from.clone(),
                to: to.clone(),
                bytes: direction.bytes,
            })
            .collect()
    }

    fn delay_ms(&self, from: &ids::ZoneId, to: &ids::ZoneId, bytes: u64) -> u64 {
        let latencies = self.faults.latencies();
        if from == to {
            return latencies.zone_ms;
        }
        let pair = (self.topology.region_of(from), self.topology.region_of(to));
        if pair.0 == pair.1 {
            return latencies.region_ms;
        }
        latencies.between_regions_ms + self.link_delay_ms(pair, bytes)
    }

    fn link_delay_ms(&self, pair: (ids::RegionId, ids::RegionId), bytes: u64) -> u64 {
        let now_us = self.clock.now_us();
        let mut links = self.lock();
        let direction = links.directions.entry(pair).or_default();
        direction.bytes += bytes;
        let Some(bits_per_s) = self.topology.link_bits_per_s else {
            return 0;
        };
        let sending_us = bytes * BITS_PER_BYTE * US_PER_S / bits_per_s.max(1);
        direction.busy_until_us = direction.busy_until_us.max(now_us) + sending_us;
        (direction.busy_until_us - now_us) / US_PER_MS
    }

    fn lock(&self) -> MutexGuard<'_, Links> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
