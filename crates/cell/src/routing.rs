//! Selects the entry host that relays the coordinator's calls to a worker.
//!
//! The coordinator reaches a worker through a host near it, so that neither its connections nor its
//! network traffic grow with the cell. Hosts in the worker's availability zone are preferred, then
//! those in its region, then any other. Among equally near hosts, weighted rendezvous hashing
//! selects one: workers are distributed in proportion to the hosts' CPU, and if a host joins or
//! leaves, only the workers assigned to it move.

use std::{hash::Hasher, rc::Rc};

use indexmap::IndexMap;
use twox_hash::XxHash64;

/// A host that can relay calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Relay {
    /// Unique name of the host.
    pub name: Rc<str>,
    /// Availability zone of the host.
    pub zone: Rc<str>,
    /// CPU of the host, in millicores; its weight in the selection.
    pub cpu_millicores: u64,
}

/// The hosts that can relay calls, and the regions of their zones.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    relays: Vec<Relay>,
    region_of_zone: IndexMap<String, String>,
}

impl RoutingTable {
    /// Creates the routes from the available hosts and the region of each availability zone.
    pub fn new(relays: Vec<Relay>, region_of_zone: IndexMap<String, String>) -> Self {
        Self {
            relays,
            region_of_zone,
        }
    }

    /// Selects the host that relays calls to a worker in `zone`. `attempt` is the number of hosts
    /// already tried without success, and `usable` tells whether a host is reachable. The
    /// coordinator's own host is selected only if no other host is equally near: its CPU and its
    /// link serve the whole cell.
    pub fn select_relay(
        &self,
        worker: &str,
        zone: &str,
        attempt: usize,
        coordinator: &str,
        usable: impl Fn(&str) -> bool,
    ) -> Option<&Relay> {
        let region = self.region_of_zone.get(zone);
        let distance = |relay: &Relay| {
            if &*relay.zone == zone {
                0
            } else if region.is_some() && self.region_of_zone.get(&*relay.zone) == region {
                1
            } else {
                2
            }
        };
        let rank = |relay: &Relay| (distance(relay), &*relay.name == coordinator);
        let usable: Vec<&Relay> = self.relays.iter().filter(|c| usable(&c.name)).collect();
        let nearest = usable.iter().map(|relay| rank(relay)).min()?;
        let mut ranked: Vec<(f64, &Relay)> = usable
            .into_iter()
            .filter(|relay| rank(relay) == nearest)
            .map(|relay| (score(relay, worker), relay))
            .collect();
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
        ranked.get(attempt % ranked.len()).map(|(_, relay)| *relay)
    }

    /// Selects the host of an availability zone that fetches the data of `key` on behalf of all
    /// hosts there.
    pub fn select_fetcher(&self, key: &str, zone: &str) -> Option<&Relay> {
        self.relays
            .iter()
            .filter(|relay| &*relay.zone == zone)
            .max_by(|a, b| score(a, key).total_cmp(&score(b, key)))
    }
}

/// Rendezvous score of a host for a key, weighted by its CPU; the host with the highest score is
/// selected.
fn score(relay: &Relay, key: &str) -> f64 {
    let mut hasher = XxHash64::with_seed(0);
    hasher.write(relay.name.as_bytes());
    hasher.write_u8(0);
    hasher.write(key.as_bytes());
    // 53 bits fill the mantissa; the added half keeps the value strictly between 0 and 1, so that
    // the logarithm is finite and not zero.
    let uniform = ((hasher.finish() >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    relay.cpu_millicores.max(1) as f64 / -uniform.ln()
}
