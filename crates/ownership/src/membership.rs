//! What this host knows about all hosts, from gossip.

use std::time;

use indexmap::IndexMap;
use kernel::ids;
use kernel::random;
use rand::RngExt as _;
use rand::seq::IteratorRandom as _;
use wire::messages;

/// Intervals of gossip. Times are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct MembershipConfig {
    /// Time between rounds.
    pub interval_ms: u64,
    /// Peers told in a round.
    pub fanout: usize,
    /// A host whose heartbeat has not advanced for this long is suspected.
    pub suspect_after_ms: u64,
    /// A host whose heartbeat has not advanced for this long is forgotten.
    pub forget_after_ms: u64,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        let second = time::Duration::from_secs(1).as_millis() as u64;
        Self {
            interval_ms: second,
            fanout: 2,
            suspect_after_ms: 4 * second,
            forget_after_ms: 600 * second,
        }
    }
}

/// Whether a host has been heard of lately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum Liveness {
    /// Its heartbeat advances.
    Live,
    /// Its heartbeat has not advanced for a while.
    Suspected,
}

/// One host as this host sees it.
#[derive(Clone, Debug)]
pub struct HostView {
    /// The newest rumor about it.
    pub rumor: messages::HostRumor,
    /// Whether it has been heard of lately.
    pub liveness: Liveness,
    /// Time since its heartbeat advanced, in milliseconds.
    pub heard_ms_ago: u64,
}

#[derive(Clone, Debug)]
struct Known {
    rumor: messages::HostRumor,
    advanced_at_ms: u64,
}

/// The hosts that this host knows of, itself included.
#[derive(Debug)]
pub struct Membership {
    config: MembershipConfig,
    local: messages::HostRumor,
    known: IndexMap<String, Known>,
    random: random::Random,
}

impl Membership {
    /// Starts with a rumor about the local host only.
    pub fn new(config: MembershipConfig, local: messages::HostRumor, seed: u64) -> Self {
        Self {
            config,
            local,
            known: IndexMap::new(),
            random: random::from_seed(seed),
        }
    }

    /// The intervals in use.
    pub fn config(&self) -> &MembershipConfig {
        &self.config
    }

    /// The rumor about the local host.
    pub fn local(&self) -> &messages::HostRumor {
        &self.local
    }

    /// Changes the rumor about the local host and raises its heartbeat.
    pub fn beat(&mut self, update: impl FnOnce(&mut messages::HostRumor)) {
        update(&mut self.local);
        self.local.heartbeat += 1;
    }

    /// Takes over what a peer knows and this host did not; returns how many rumors were newer.
    ///
    /// Rumors about the local host are dropped, except that one from a later
    /// incarnation of the same name is kept out as well: the platform gives
    /// every process its own host name.
    pub fn merge(&mut self, rumors: Vec<messages::HostRumor>, now_ms: u64) -> usize {
        let mut newer = 0;
        for rumor in rumors {
            if rumor.host == self.local.host {
                continue;
            }
            let age = |rumor: &messages::HostRumor| (rumor.incarnation, rumor.heartbeat);
            let stale = self
                .known
                .get(&rumor.host)
                .is_some_and(|known| age(&known.rumor) >= age(&rumor));
            if !stale {
                self.known.insert(
                    rumor.host.clone(),
                    Known {
                        rumor,
                        advanced_at_ms: now_ms,
                    },
                );
                newer += 1;
            }
        }
        newer
    }

    /// Drops the hosts that have been silent for long.
    pub fn forget_silent(&mut self, now_ms: u64) {
        let limit_ms = self.config.forget_after_ms;
        self.known
            .retain(|_, known| now_ms.saturating_sub(known.advanced_at_ms) < limit_ms);
    }

    /// Rumors for a peer: the local host and all hosts that are not suspected.
    pub fn rumors(&self, now_ms: u64) -> Vec<messages::HostRumor> {
        let live = self
            .known
            .values()
            .filter(|known| self.liveness(known, now_ms) == Liveness::Live)
            .map(|known| known.rumor.clone());
        std::iter::once(self.local.clone()).chain(live).collect()
    }

    /// Addresses of the peers to tell in this round.
    ///
    /// Besides the fanout one suspected host is tried now and then, so that the
    /// two sides of a healed partition find each other again.
    pub fn targets(&mut self, now_ms: u64) -> Vec<String> {
        let fanout = self.config.fanout;
        let (live, suspected): (Vec<&Known>, Vec<&Known>) = self
            .known
            .values()
            .partition(|known| self.liveness(known, now_ms) == Liveness::Live);
        let live: Vec<String> = live
            .iter()
            .map(|known| known.rumor.address.clone())
            .collect();
        let suspected: Vec<String> = suspected
            .iter()
            .map(|known| known.rumor.address.clone())
            .collect();
        let mut chosen = live.into_iter().sample(&mut self.random, fanout);
        if !suspected.is_empty() {
            let index = self.random.random_range(0..suspected.len());
            chosen.push(suspected[index].clone());
        }
        chosen
    }

    /// All known hosts, the local one first.
    pub fn hosts(&self, now_ms: u64) -> Vec<HostView> {
        let local = HostView {
            rumor: self.local.clone(),
            liveness: Liveness::Live,
            heard_ms_ago: 0,
        };
        let others = self.known.values().map(|known| HostView {
            rumor: known.rumor.clone(),
            liveness: self.liveness(known, now_ms),
            heard_ms_ago: now_ms.saturating_sub(known.advanced_at_ms),
        });
        std::iter::once(local).chain(others).collect()
    }

    /// The peer address of a host, if it is known.
    pub fn address(&self, host: &ids::HostId) -> Option<String> {
        if self.local.host == host.as_str() {
            return Some(self.local.address.clone());
        }
        self.known
            .get(host.as_str())
            .map(|known| known.rumor.address.clone())
    }

    fn liveness(&self, known: &Known, now_ms: u64) -> Liveness {
        if now_ms.saturating_sub(known.advanced_at_ms) < self.config.suspect_after_ms {
            Liveness::Live
        } else {
            Liveness::Suspected
        }
    }
}
