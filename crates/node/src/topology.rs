//! The static layout of the cell: zones, regions, rack groups and shards.
//!
//! Every host must be started with the same topology, because each host derives the group of a
//! rack and the shard of a name from it locally.

use std::hash::{Hash, Hasher};

use indexmap::IndexMap;
use kernel::ids;
use twox_hash::XxHash64;

/// Zones with their regions, and the numbers of groups and shards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Topology {
    /// The region of each zone.
    pub zones: IndexMap<ids::ZoneId, ids::RegionId>,
    /// Number of rack groups in each zone.
    pub groups_per_zone: u16,
    /// Number of journal shards in the cell.
    pub shards: u16,
    /// The region with the lowest latency to the store; `None` treats all regions alike.
    pub store_region: Option<ids::RegionId>,
}

impl Topology {
    /// The group of a rack: the number at the end of its name, or else a hash of the name,
    /// modulo the number of groups.
    ///
    /// Numbers spread racks evenly over the groups, and unlike a rack's position in a list
    /// they do not change when racks are added.
    pub fn group_of(&self, zone: &ids::ZoneId, rack: &ids::RackId) -> ids::GroupId {
        let name = rack.as_str();
        let digits = name.len() - name.trim_end_matches(|c: char| c.is_ascii_digit()).len();
        let number = name[name.len() - digits..]
            .parse::<u64>()
            .unwrap_or_else(|_| hash_of(name));
        ids::GroupId::new(zone, (number % u64::from(self.groups_per_zone)) as u16)
    }

    /// The shard of a job name or idempotency key.
    pub fn shard_of(&self, name: &str) -> ids::ShardId {
        ids::ShardId((hash_of(name) % u64::from(self.shards)) as u16)
    }

    /// All groups, zone by zone.
    pub fn groups(&self) -> impl Iterator<Item = ids::GroupId> + '_ {
        self.zones
            .keys()
            .flat_map(|zone| (0..self.groups_per_zone).map(|index| ids::GroupId::new(zone, index)))
    }

    /// Whether two zones are in the same region.
    pub fn same_region(&self, a: &ids::ZoneId, b: &ids::ZoneId) -> bool {
        self.zones
            .get(a)
            .is_some_and(|region| self.zones.get(b) == Some(region))
    }
}

fn hash_of(name: &str) -> u64 {
    let mut hasher = XxHash64::with_seed(0);
    name.hash(&mut hasher);
    hasher.finish()
}
