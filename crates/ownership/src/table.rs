//! The owners of a set of units, as one value in the store.

use std::hash::{Hash, Hasher};

use indexmap::{IndexMap, IndexSet};
use kernel::errors;
use kernel::ids;
use serde::{Deserialize, Serialize};
use twox_hash::XxHash64;

/// The owner of one unit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnitOwner {
    /// The owning host; `None` if the last owner gave the unit up.
    pub owner: Option<ids::HostId>,
    /// The epoch under which it is, or was last, owned; never goes down.
    pub epoch: ids::Epoch,
}

/// The owners of all units of one kind, by unit number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnershipTable {
    units: IndexMap<u16, UnitOwner>,
}

/// What a host should do about a table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Units to take: they have no live owner, and this host is the choice for them.
    pub take: Vec<u16>,
    /// Units to give up: this host owns more than its part, and another host is the choice.
    pub give_up: Vec<u16>,
}

impl Plan {
    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.take.is_empty() && self.give_up.is_empty()
    }
}

impl OwnershipTable {
    /// Reads a table from a value in the store.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::Internal`] if the value is not a table.
    pub fn decode(value: &[u8]) -> errors::Result<Self> {
        serde_json::from_slice(value).map_err(|source| {
            errors::Error::with_source(
                errors::ErrorKind::Internal,
                "ownership table does not decode",
                source,
            )
        })
    }

    /// Writes the table as a value for the store.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::Internal`] if the table cannot be written as JSON.
    pub fn encode(&self) -> errors::Result<Vec<u8>> {
        serde_json::to_vec(self).map_err(|source| {
            errors::Error::with_source(
                errors::ErrorKind::Internal,
                "ownership table does not encode",
                source,
            )
        })
    }

    /// The owner of a unit, if the unit was ever owned.
    pub fn unit(&self, unit: u16) -> Option<&UnitOwner> {
        self.units.get(&unit)
    }

    /// The units that a host owns, with their epochs.
    pub fn owned_by(&self, host: &ids::HostId) -> IndexMap<u16, ids::Epoch> {
        self.units
            .iter()
            .filter(|(_, unit)| unit.owner.as_ref() == Some(host))
            .map(|(number, unit)| (*number, unit.epoch))
            .collect()
    }

    /// Makes `host` the owner of a unit under the next epoch, which is returned.
    pub fn take(&mut self, unit: u16, host: &ids::HostId) -> ids::Epoch {
        let entry = self.units.entry(unit).or_default();
        entry.owner = Some(host.clone());
        entry.epoch = entry.epoch.next();
        entry.epoch
    }

    /// Leaves a unit without owner if `host` owns it; the epoch stays.
    pub fn give_up(&mut self, unit: u16, host: &ids::HostId) {
        if let Some(entry) = self.units.get_mut(&unit)
            && entry.owner.as_ref() == Some(host)
        {
            entry.owner = None;
        }
    }

    /// What `host` should do, given the hosts that may own units now.
    ///
    /// Every host computes the same target from the same candidates, so hosts
    /// do not compete for a unit unless their views differ, and then the
    /// compare-and-swap decides. A host that is no candidate itself (it is
    /// draining) gives up everything.
    pub fn plan(&self, units: u16, candidates: &[ids::HostId], host: &ids::HostId) -> Plan {
        let target = target_owners(units, candidates);
        let candidates: IndexSet<&ids::HostId> = candidates.iter().collect();
        let mut plan = Plan::default();
        for unit in 0..units {
            let chosen = target.get(&unit) == Some(host);
            let owner = self.units.get(&unit).and_then(|unit| unit.owner.as_ref());
            match owner {
                Some(owner) if owner == host => {
                    if !chosen {
                        plan.give_up.push(unit);
                    }
                }
                Some(owner) if candidates.contains(owner) => {}
                Some(_) | None => {
                    if chosen {
                        plan.take.push(unit);
                    }
                }
            }
        }
        plan
    }
}

/// Rendezvous hashing with a bound on the units per host.
///
/// The bound keeps the parts within one unit of each other; hashing keeps most
/// units where they are when a host comes or goes.
fn target_owners(units: u16, candidates: &[ids::HostId]) -> IndexMap<u16, ids::HostId> {
    let mut target = IndexMap::new();
    if candidates.is_empty() {
        return target;
    }
    let bound = usize::from(units).div_ceil(candidates.len());
    let mut load: IndexMap<&ids::HostId, usize> = IndexMap::new();
    for unit in 0..units {
        let chosen = candidates
            .iter()
            .filter(|host| load.get(host).copied().unwrap_or(0) < bound)
            .max_by_key(|host| (rendezvous_weight(host, unit), host.as_str()));
        if let Some(host) = chosen {
            *load.entry(host).or_default() += 1;
            target.insert(unit, host.clone());
        }
    }
    target
}

fn rendezvous_weight(host: &ids::HostId, unit: u16) -> u64 {
    let mut hasher = XxHash64::with_seed(0);
    host.as_str().hash(&mut hasher);
    unit.hash(&mut hasher);
    hasher.finish()
}
