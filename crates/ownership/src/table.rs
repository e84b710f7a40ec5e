//! Ownership table of a set of units, stored as one value.

use std::hash::{Hash, Hasher};

use indexmap::{IndexMap, IndexSet};
use kernel::errors;
use kernel::ids;
use serde::{Deserialize, Serialize};
use twox_hash::XxHash64;

/// The owner of one unit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnitOwner {
    /// The owning host; `None` if the last owner released the unit.
    pub owner: Option<ids::HostId>,
    /// Epoch of the current or last owner; never decreases.
    pub epoch: ids::Epoch,
}

/// The owners of all units of one kind, by unit number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnershipTable {
    units: IndexMap<u16, UnitOwner>,
}

/// Changes that a host should make to a table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Units to acquire: they have no eligible owner and are assigned to this host.
    pub take: Vec<u16>,
    /// Units to release: this host owns them, but they are assigned to another host or to none.
    pub give_up: Vec<u16>,
}

impl Plan {
    /// Whether there are no changes.
    pub fn is_empty(&self) -> bool {
        self.take.is_empty() && self.give_up.is_empty()
    }
}

impl OwnershipTable {
    /// Decodes a table from JSON.
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

    /// Encodes the table as JSON.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::Internal`] if JSON encoding fails.
    pub fn encode(&self) -> errors::Result<Vec<u8>> {
        serde_json::to_vec(self).map_err(|source| {
            errors::Error::with_source(
                errors::ErrorKind::Internal,
                "ownership table does not encode",
                source,
            )
        })
    }

    /// The owner of a unit; `None` if the unit was never owned.
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

    /// Makes `host` the owner of a unit and returns the incremented epoch.
    pub fn take(&mut self, unit: u16, host: &ids::HostId) -> ids::Epoch {
        let entry = self.units.entry(unit).or_default();
        entry.owner = Some(host.clone());
        entry.epoch = entry.epoch.next();
        entry.epoch
    }

    /// Releases a unit if `host` owns it; the epoch is unchanged.
    pub fn give_up(&mut self, unit: u16, host: &ids::HostId) {
        if let Some(entry) = self.units.get_mut(&unit)
            && entry.owner.as_ref() == Some(host)
        {
            entry.owner = None;
        }
    }

    /// Plans the changes for `host`, given the hosts that are currently eligible.
    ///
    /// Every host computes the same assignment from the same candidates, so hosts
    /// compete for a unit only if their views differ, in which case the
    /// compare-and-swap decides. A host that is not a candidate, for instance
    /// because it is draining, releases all its units.
    pub fn plan(&self, units: u16, candidates: &[ids::HostId], host: &ids::HostId) -> Plan {
        let assignment = assign_units(units, candidates);
        let candidates: IndexSet<&ids::HostId> = candidates.iter().collect();
        let mut plan = Plan::default();
        for unit in 0..units {
            let chosen = assignment.get(&unit) == Some(host);
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

/// Assigns units to hosts by rendezvous hashing with a bound on the units per host.
///
/// The bound limits each host to the rounded-up average; hashing keeps most
/// assignments stable when a host joins or leaves.
fn assign_units(units: u16, candidates: &[ids::HostId]) -> IndexMap<u16, ids::HostId> {
    let mut assignment = IndexMap::new();
    if candidates.is_empty() {
        return assignment;
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
            assignment.insert(unit, host.clone());
        }
    }
    assignment
}

fn rendezvous_weight(host: &ids::HostId, unit: u16) -> u64 {
    let mut hasher = XxHash64::with_seed(0);
    host.as_str().hash(&mut hasher);
    unit.hash(&mut hasher);
    hasher.finish()
}
