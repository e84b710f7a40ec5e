//! The owners of groups and shards, as seen by this host.
//!
//! Merges the ownership tables of the store with the gossip of peers; the higher epoch wins. A
//! host that starts while the store is unavailable thus finds the owners through its peers. A
//! stale entry is harmless, because the addressed host refuses requests for units that it does
//! not own.

use indexmap::IndexMap;
use kernel::ids;
use ownership::{MemberRecord, MirrorView, OwnershipTable};
use wire::messages;

use crate::topology;

/// The owner of a group or shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// The owning host.
    pub host: ids::HostId,
    /// Its peer address.
    pub address: String,
    /// The epoch under which it owns the unit.
    pub epoch: ids::Epoch,
}

/// The known owners of groups and shards; a unit without a known owner is absent.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    groups: IndexMap<ids::GroupId, Location>,
    shards: IndexMap<ids::ShardId, Location>,
}

impl Directory {
    /// Merges the ownership tables of the store with the gossip of peers.
    pub fn build(
        topology: &topology::Topology,
        mirror: &MirrorView,
        rumors: &[messages::HostRumor],
    ) -> Self {
        let mut directory = Self::default();
        for rumor in rumors {
            directory.add_rumor(rumor);
        }
        let addresses = addresses(mirror, rumors);
        for zone in topology.zones.keys() {
            let Some(table) = decode_table(mirror, &ownership::zone_key(zone)) else {
                continue;
            };
            for index in 0..topology.groups_per_zone {
                if let Some(location) = owner_location(&table, index, &addresses) {
                    insert_if_newer(
                        &mut directory.groups,
                        ids::GroupId::new(zone, index),
                        location,
                    );
                }
            }
        }
        if let Some(table) = decode_table(mirror, &ownership::shards_key()) {
            for shard in 0..topology.shards {
                if let Some(location) = owner_location(&table, shard, &addresses) {
                    insert_if_newer(&mut directory.shards, ids::ShardId(shard), location);
                }
            }
        }
        directory
    }

    /// The owner of a group.
    pub fn group(&self, group: &ids::GroupId) -> Option<&Location> {
        self.groups.get(group)
    }

    /// The owner of a shard.
    pub fn shard(&self, shard: ids::ShardId) -> Option<&Location> {
        self.shards.get(&shard)
    }

    fn add_rumor(&mut self, rumor: &messages::HostRumor) {
        let location = |epoch| Location {
            host: ids::HostId::new(&rumor.host),
            address: rumor.address.clone(),
            epoch: ids::Epoch(epoch),
        };
        for group in &rumor.groups {
            let id = ids::GroupId::new(&ids::ZoneId::new(&group.zone), group.index as u16);
            insert_if_newer(&mut self.groups, id, location(group.epoch));
        }
        for shard in &rumor.shards {
            insert_if_newer(
                &mut self.shards,
                ids::ShardId(shard.shard as u16),
                location(shard.epoch),
            );
        }
    }
}

/// Inserts a location unless the map has one of the same or a higher epoch.
fn insert_if_newer<K: std::hash::Hash + Eq>(
    map: &mut IndexMap<K, Location>,
    key: K,
    location: Location,
) {
    let newer = map
        .get(&key)
        .is_none_or(|known| known.epoch < location.epoch);
    if newer {
        map.insert(key, location);
    }
}

/// Decodes an ownership table. A malformed one is ignored here and reported by the ownership
/// task.
fn decode_table(mirror: &MirrorView, key: &str) -> Option<OwnershipTable> {
    OwnershipTable::decode(&mirror.entries.get(key)?.value).ok()
}

fn owner_location(
    table: &OwnershipTable,
    unit: u16,
    addresses: &IndexMap<ids::HostId, String>,
) -> Option<Location> {
    let unit = table.unit(unit)?;
    let host = unit.owner.clone()?;
    let address = addresses.get(&host)?.clone();
    Some(Location {
        host,
        address,
        epoch: unit.epoch,
    })
}

fn addresses(mirror: &MirrorView, rumors: &[messages::HostRumor]) -> IndexMap<ids::HostId, String> {
    let registered = members(mirror)
        .into_iter()
        .map(|record| (record.host, record.address));
    let heard = rumors
        .iter()
        .map(|rumor| (ids::HostId::new(&rumor.host), rumor.address.clone()));
    heard.chain(registered).collect()
}

/// The hosts registered in the store, sorted by name.
pub fn members(mirror: &MirrorView) -> Vec<MemberRecord> {
    let mut members: Vec<MemberRecord> = mirror
        .with_prefix(&ownership::members_prefix())
        .filter_map(|entry| serde_json::from_slice(&entry.value).ok())
        .collect();
    members.sort_by(|a, b| a.host.cmp(&b.host));
    members
}
