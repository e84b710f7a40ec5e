//! Topology of the modelled cell: one firm at its current size.

use indexmap::IndexMap;
use kernel::ids;

/// Zone index of each entry host.
pub(super) const HOST_ZONES: [usize; 7] = [0, 0, 0, 1, 1, 2, 2];
/// Index of the entry host that owns each group; it is in the zone of the group.
pub(super) const GROUP_OWNERS: [usize; 6] = [0, 1, 3, 4, 5, 6];
/// Number of instances in each group: one per worker of a rack.
pub(super) const INSTANCES_PER_GROUP: u32 = 8;
pub(super) const SLOTS_PER_INSTANCE: u32 = 8;
pub(super) const CONNECTIONS_PER_INSTANCE: u32 = 64;

pub(super) const ZONE_COUNT: usize = 3;

const ZONES: [&str; ZONE_COUNT] = ["zone-a", "zone-b", "zone-c"];
/// Region of each zone.
const REGIONS: [&str; ZONE_COUNT] = ["region-1", "region-1", "region-2"];
const SAME_ZONE_LATENCY_US: u64 = 200;
const SAME_REGION_LATENCY_US: u64 = 1_000;
const LINK_LATENCY_US: u64 = 30_000;

/// Indices of the entry hosts in a zone.
pub(super) fn hosts_of_zone(zone: usize) -> Vec<usize> {
    let hosts = 0..HOST_ZONES.len();
    hosts.filter(|host| HOST_ZONES[*host] == zone).collect()
}

/// Number of slots of all instances in the cell.
pub(super) fn total_slots() -> u32 {
    GROUP_OWNERS.len() as u32 * INSTANCES_PER_GROUP * SLOTS_PER_INSTANCE
}

pub(super) fn zone_of_group(group: usize) -> usize {
    HOST_ZONES[GROUP_OWNERS[group]]
}

/// One-way latency between zones.
pub(super) fn latency_us(from: usize, to: usize) -> u64 {
    if from == to {
        SAME_ZONE_LATENCY_US
    } else if REGIONS[from] == REGIONS[to] {
        SAME_REGION_LATENCY_US
    } else {
        LINK_LATENCY_US
    }
}

pub(super) fn zone_id(zone: usize) -> ids::ZoneId {
    ids::ZoneId::new(ZONES[zone])
}

pub(super) fn group_id(group: usize) -> ids::GroupId {
    ids::GroupId::new(&zone_id(zone_of_group(group)), group as u16)
}

pub(super) fn regions() -> IndexMap<ids::ZoneId, ids::RegionId> {
    let zones = ZONES.into_iter().zip(REGIONS);
    zones
        .map(|(zone, region)| (ids::ZoneId::new(zone), ids::RegionId::new(region)))
        .collect()
}

/// An instance of a group. Its task index is unique in the cell.
pub(super) fn instance(service: &ids::WorkId, group: usize, index: u32) -> ids::TaskAttempt {
    ids::TaskAttempt {
        task: ids::TaskId::new(service, group as u32 * INSTANCES_PER_GROUP + index),
        attempt: ids::Attempt(1),
    }
}
