//! Latency, cuts and the link between regions, as one zone sees them.

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
const MS_PER_S: u64 = 1_000;

/// Bytes that crossed the link from one region to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkBytes {
    /// The sending region.
    pub from: ids::RegionId,
    /// The receiving region.
    pub to: ids::RegionId,
    /// How many bytes.
    pub bytes: u64,
}

#[derive(Debug, Default)]
struct Direction {
    bytes: u64,
    // When everything handed to the link so far has been sent.
    busy_until_ms: u64,
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
    /// A network without traffic.
    pub fn new(topology: config::Topology, faults: faults::Faults, clock: clock::Clock) -> Self {
        Self {
            topology: Arc::new(topology),
            faults,
            clock,
            links: Arc::default(),
        }
    }

    /// The zone in which the store and the list are reached.
    pub fn store_zone(&self) -> &ids::ZoneId {
        &self.topology.store_zone
    }

    /// The zones and regions.
    pub fn topology(&self) -> &config::Topology {
        &self.topology
    }

    /// Carries bytes from one zone to another; tells whether they arrived.
    ///
    /// Bytes between regions queue for the link, which sends them at its rate.
    pub async fn carry(&self, from: &ids::ZoneId, to: &ids::ZoneId, bytes: usize) -> bool {
        if !self.faults.joined(from, to) {
            return false;
        }
        let delay_ms = self.delay_ms(from, to, bytes as u64);
        if delay_ms > 0 {
            time::sleep(Duration::from_millis(delay_ms)).await;
        }
        self.faults.joined(from, to)
    }

    /// The bytes that crossed the links so far.
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
        latencies.between_regions_ms + self.queue_ms(pair, bytes)
    }

    fn queue_ms(&self, pair: (ids::RegionId, ids::RegionId), bytes: u64) -> u64 {
        let now_ms = self.clock.now_ms();
        let mut links = self.lock();
        let direction = links.directions.entry(pair).or_default();
        direction.bytes += bytes;
        let Some(bits_per_s) = self.topology.link_bits_per_s else {
            return 0;
        };
        let sending_ms = bytes * BITS_PER_BYTE * MS_PER_S / bits_per_s.max(1);
        direction.busy_until_ms = direction.busy_until_ms.max(now_ms) + sending_ms;
        direction.busy_until_ms - now_ms
    }

    fn lock(&self) -> MutexGuard<'_, Links> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
