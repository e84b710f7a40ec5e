//! Gossip-based membership: this host's view of all hosts.

use std::time;

use indexmap::IndexMap;
use kernel::ids;
use kernel::random;
use rand::RngExt as _;
use rand::seq::IteratorRandom as _;
use wire::messages;

/// Configuration of gossip. Times are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct MembershipConfig {
    /// Interval between gossip rounds.
    pub interval_ms: u64,
    /// Number of live peers contacted in a round.
    pub fanout: usize,
    /// A host whose heartbeat has not advanced for this long is suspected.
    pub suspect_after_ms: u64,
    /// A host whose heartbeat has not advanced for this long is removed.
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

/// Liveness of a host according to its heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum Liveness {
    /// The heartbeat advanced within [`MembershipConfig::suspect_after_ms`].
    Live,
    /// The heartbeat has not advanced within [`MembershipConfig::suspect_after_ms`].
    Suspected,
}

/// This host's view of one host.
#[derive(Clone, Debug)]
pub struct HostView {
    /// The newest gossip message about the host.
    pub rumor: messages::HostRumor,
    /// Liveness at the time of the query.
    pub liveness: Liveness,
    /// Time since the heartbeat advanced, in milliseconds; zero for the local host.
    pub heard_ms_ago: u64,
}

#[derive(Clone, Debug)]
struct KnownHost {
    rumor: messages::HostRumor,
    advanced_at_ms: u64,
}

/// All known hosts, including the local one.
#[derive(Debug)]
pub struct Membership {
    config: MembershipConfig,
    local: messages::HostRumor,
    known: IndexMap<String, KnownHost>,
    random: random::Random,
}

impl Membership {
    /// Creates a membership with the local host only.
    pub fn new(config: MembershipConfig, local: messages::HostRumor, seed: u64) -> Self {
        Self {
            config,
            local,
            known: IndexMap::new(),
            random: random::from_seed(seed),
        }
    }

    /// The configuration of gossip.
    pub fn config(&self) -> &MembershipConfig {
        &self.config
    }

    /// The gossip message about the local host.
    pub fn local(&self) -> &messages::HostRumor {
        &self.local
    }

    /// Updates the gossip message about the local host and increments its heartbeat.
    pub fn beat(&mut self, update: impl FnOnce(&mut messages::HostRumor)) {
        update(&mut self.local);
        self.local.heartbeat += 1;
    }

    /// Merges gossip from a peer; returns the number of messages that were newer.
    ///
    /// Messages about the local host are dropped. A later incarnation under the same
    /// name is not handled, because the platform gives every process its own host name.
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
                    KnownHost {
                        rumor,
                        advanced_at_ms: now_ms,
                    },
                );
                newer += 1;
            }
        }
        newer
    }

    /// Removes hosts whose heartbeat has not advanced for the configured time.
    pub fn forget_silent(&mut self, now_ms: u64) {
        let limit_ms = self.config.forget_after_ms;
        self.known
            .retain(|_, known| now_ms.saturating_sub(known.advanced_at_ms) < limit_ms);
    }

    /// Gossip to send to a peer: messages about the local host and all live hosts.
    pub fn rumors(&self, now_ms: u64) -> Vec<messages::HostRumor> {
        let live = self
            .known
            .values()
            .filter(|known| self.liveness(known, now_ms) == Liveness::Live)
            .map(|known| known.rumor.clone());
        std::iter::once(self.local.clone()).chain(live).collect()
    }

    /// Addresses of the peers to contact in this round.
    ///
    /// One suspected host, if there is any, is contacted in addition to the fanout, so
    /// that the two sides of a healed partition rejoin.
    pub fn targets(&mut self, now_ms: u64) -> Vec<String> {
        let fanout = self.config.fanout;
        let (live, suspected): (Vec<&KnownHost>, Vec<&KnownHost>) = self
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

    /// Views of all known hosts, the local one first.
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

    /// The peer address of a host; `None` if the host is not known.
    pub fn address(&self, host: &ids::HostId) -> Option<String> {
        if self.local.host == host.as_str() {
            return Some(self.local.address.clone());
        }
        self.known
            .get(host.as_str())
            .map(|known| known.rumor.address.clone())
    }

    fn liveness(&self, known: &KnownHost, now_ms: u64) -> Liveness {
        if now_ms.saturating_sub(known.advanced_at_ms) < self.config.suspect_after_ms {
            Liveness::Live
        } else {
            Liveness::Suspected
        }
    }
}
