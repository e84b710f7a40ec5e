//! Which entry host carries the coordinator's calls to a worker.
//!
//! The coordinator reaches a worker through a host near it, so that neither its connections nor its link
//! grow with the cell. Hosts of the worker's availability zone come first, then those of its region,
//! then any. Among them a worker's host is chosen by weighted rendezvous hashing: each host gets workers by its
//! processor, and a host that comes or goes moves only the workers that it carries.

use std::{hash::Hasher, rc::Rc};

use indexmap::IndexMap;
use twox_hash::XxHash64;

/// A host that can carry calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Carrier {
    /// The host's name.
    pub name: Rc<str>,
    /// Its availability zone.
    pub zone: Rc<str>,
    /// Its processor, in thousandths of a core.
    pub cpu_millicores: u64,
}

/// The hosts that can carry calls.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    carriers: Vec<Carrier>,
    region_of_zone: IndexMap<String, String>,
}

impl Routes {
    /// Routes over these hosts.
    pub fn new(carriers: Vec<Carrier>, region_of_zone: IndexMap<String, String>) -> Self {
        Self {
            carriers,
            region_of_zone,
        }
    }

    /// The host that carries calls to a worker in `zone`. `detour` counts the hosts that were tried before
    /// in vain, and `usable` tells which hosts answer. The host that coordinates carries calls
    /// only where no other one can: its processor and its link are needed for the whole cell.
    pub fn carrier(
        &self,
        worker: &str,
        zone: &str,
        detour: usize,
        coordinator: &str,
        usable: impl Fn(&str) -> bool,
    ) -> Option<&Carrier> {
        let region = self.region_of_zone.get(zone);
        let distance = |carrier: &Carrier| {
            if &*carrier.zone == zone {
                0
            } else if region.is_some() && self.region_of_zone.get(&*carrier.zone) == region {
                1
            } else {
                2
            }
        };
        let rank = |carrier: &Carrier| (distance(carrier), &*carrier.name == coordinator);
        let usable: Vec<&Carrier> = self.carriers.iter().filter(|c| usable(&c.name)).collect();
        let nearest = usable.iter().map(|carrier| rank(carrier)).min()?;
        let mut ranked: Vec<(f64, &Carrier)> = usable
            .into_iter()
            .filter(|carrier| rank(carrier) == nearest)
            .map(|carrier| (score(carrier, worker), carrier))
            .collect();
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
        ranked
            .get(detour % ranked.len())
            .map(|(_, carrier)| *carrier)
    }

    /// The host of an availability zone that fetches what belongs to `key` for all hosts there.
    pub fn depot(&self, key: &str, zone: &str) -> Option<&Carrier> {
        self.carriers
            .iter()
            .filter(|carrier| &*carrier.zone == zone)
            .max_by(|a, b| score(a, key).total_cmp(&score(b, key)))
    }
}

/// The highest score wins; scores of one host for many keys are spread by its weight.
fn score(carrier: &Carrier, key: &str) -> f64 {
    let mut hasher = XxHash64::with_seed(0);
    hasher.write(carrier.name.as_bytes());
    hasher.write_u8(0);
    hasher.write(key.as_bytes());
    // 53 bits fill the mantissa; one more keeps the logarithm away from zero and from one.
    let uniform = ((hasher.finish() >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    carrier.cpu_millicores.max(1) as f64 / -uniform.ln()
}
