//! The fixed parts of the cell: zones, regions, rack groups and shards.
//!
//! Every host must be started with the same topology. It decides which group a
//! rack belongs to and which shard a name belongs to, without any exchange.

use std::hash::{Hash, Hasher};

use indexmap::IndexMap;
use kernel::ids;
use twox_hash::XxHash64;

/// Zones, regions, and the numbers of groups and shards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Topology {
    /// The region of each zone.
    pub zones: IndexMap<ids::ZoneId, ids::RegionId>,
    /// Rack groups in each zone.
    pub groups_per_zone: u16,
    /// Journal shards in the cell.
    pub shards: u16,
    /// The region in which the store answers fastest.
    pub store_region: Option<ids::RegionId>,
}

impl Topology {
    /// The group of a rack: by the number at the end of its name, or else by hash.
    ///
    /// The number spreads racks evenly, and unlike a rack's position in a list it
    /// does not change when racks are added.
    pub fn group_of(&self, zone: &ids::ZoneId, rack: &ids::RackId) -> ids::GroupId {
        let name = rack.as_str();
        let digits = name.len() - name.trim_end_matches(|c: char| c.is_ascii_digit()).len();
        let number = name[name.len() - digits..]
            .parse::<u64>()
            .unwrap_or_else(|_| hash_of(name));
        ids::GroupId::new(zone, (number % u64::from(self.groups_per_zone)) as u16)
    }

    /// The shard that owns a job or a claim, by its name or key.
    pub fn shard_of(&self, name: &str) -> ids::ShardId {
        ids::ShardId((hash_of(name) % u64::from(self.shards)) as u16)
    }

    /// All groups, zone by zone.
    pub fn groups(&self) -> impl Iterator<Item = ids::GroupId> + '_ {
        self.zones
            .keys()
            .flat_map(|zone| (0..self.groups_per_zone).map(|index| ids::GroupId::new(zone, index)))
    }

    /// Whether two zones lie in one region.
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
