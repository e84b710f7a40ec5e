//! Fault injection: partitions, outages, lost answers, delays and failing work.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::{IndexMap, IndexSet};
use kernel::ids;
use kernel::random;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio::sync;

use crate::config;

/// Selects the answers to drop after the call took effect.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LostAnswers {
    /// Prefix of the keys or paths affected; empty for all.
    pub prefix: String,
    /// Number of answers to drop; `None` for no limit.
    pub count: Option<u32>,
    /// Probability that an answer is dropped; `None` means 1.
    pub probability: Option<f64>,
}

/// A command that sets or clears a fault.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Partitions two availability zones from each other.
    CutZones {
        /// First zone; the order does not matter.
        a: ids::ZoneId,
        /// Second zone.
        b: ids::ZoneId,
    },
    /// Heals the partition between two availability zones.
    HealZones {
        /// First zone; the order does not matter.
        a: ids::ZoneId,
        /// Second zone.
        b: ids::ZoneId,
    },
    /// Partitions an availability zone from the store and the worker list.
    CutPlatform {
        /// The affected zone.
        zone: ids::ZoneId,
    },
    /// Heals the partition between an availability zone and the store and worker list.
    HealPlatform {
        /// The affected zone.
        zone: ids::ZoneId,
    },
    /// Starts or ends an outage of the store.
    StoreDown {
        /// Whether the store is down.
        down: bool,
    },
    /// Sets the processing time of a store call.
    StoreLatency {
        /// In milliseconds, excluding network latency.
        latency_ms: u64,
    },
    /// Drops store answers to writes that took effect; replaces the previous setting.
    LoseStoreAnswers(LostAnswers),
    /// Drops upstream answers to calls that ran; replaces the previous setting.
    LoseUpstreamAnswers(LostAnswers),
    /// Makes a worker unreachable or reachable again; its tasks keep running in both cases.
    WorkerUnreachable {
        /// The affected worker.
        worker: ids::WorkerId,
        /// Whether the worker is unreachable.
        unreachable: bool,
    },
    /// Drops the next replies of a worker after it executed the orders.
    LoseWorkerReplies {
        /// The affected worker.
        worker: ids::WorkerId,
        /// Number of replies to drop.
        count: u32,
    },
    /// Delays requests to a worker; they are delivered even if the sender has timed out.
    WorkerDelay {
        /// The affected worker.
        worker: ids::WorkerId,
        /// Delay in milliseconds; zero clears the fault.
        delay_ms: u64,
    },
    /// Makes all tasks of a work item fail on every worker.
    WorkFails {
        /// The affected work.
        work: ids::WorkId,
        /// Whether its tasks fail.
        fails: bool,
    },
    /// Sets the worker list's delay for future changes.
    ListLag {
        /// Delay in milliseconds.
        lag_ms: u64,
    },
    /// Sets the network latencies.
    Latencies(config::Latencies),
    /// Clears all partitions, outages, losses and worker delays; latencies are kept.
    HealAll,
}

#[derive(Debug)]
struct State {
    cut_zones: IndexSet<(ids::ZoneId, ids::ZoneId)>,
    cut_platform: IndexSet<ids::ZoneId>,
    store_down: bool,
    store_latency_ms: u64,
    store_answers: Option<LostAnswers>,
    upstream_answers: Option<LostAnswers>,
    unreachable: IndexSet<ids::WorkerId>,
    lost_replies: IndexMap<ids::WorkerId, u32>,
    delays_ms: IndexMap<ids::WorkerId, u64>,
    latencies: config::Latencies,
    random: random::Random,
}

/// Shared handle to the active faults; clones refer to the same state.
#[derive(Clone, Debug)]
pub struct Faults {
    state: Arc<Mutex<State>>,
    changed: Arc<sync::Notify>,
}

impl Faults {
    /// Creates a state without faults and with the latencies of `config`; `seed` drives probabilistic losses.
    pub fn new(config: &config::Config, seed: u64) -> Self {
        let state = State {
            cut_zones: IndexSet::new(),
            cut_platform: IndexSet::new(),
            store_down: false,
            store_latency_ms: config.store_latency_ms,
            store_answers: None,
            upstream_answers: None,
            unreachable: IndexSet::new(),
            lost_replies: IndexMap::new(),
            delays_ms: IndexMap::new(),
            latencies: config.topology.latencies,
            random: random::from_seed(seed),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            changed: Arc::default(),
        }
    }

    /// Sets or clears a fault and wakes the tasks waiting for a change.
    ///
    /// [`Fault::WorkFails`] and [`Fault::ListLag`] belong to the fleet model and take
    /// effect only through [`MemoryPlatform::apply`](crate::memory::MemoryPlatform::apply).
    pub fn apply(&self, fault: Fault) {
        let mut state = self.lock();
        match fault {
            Fault::CutZones { a, b } => {
                state.cut_zones.insert(sorted_pair(a, b));
            }
            Fault::HealZones { a, b } => {
                state.cut_zones.swap_remove(&sorted_pair(a, b));
            }
            Fault::CutPlatform { zone } => {
                state.cut_platform.insert(zone);
            }
            Fault::HealPlatform { zone } => {
                state.cut_platform.swap_remove(&zone);
            }
            Fault::StoreDown { down } => state.store_down = down,
            Fault::StoreLatency { latency_ms } => state.store_latency_ms = latency_ms,
            Fault::LoseStoreAnswers(lost) => state.store_answers = Some(lost),
            Fault::LoseUpstreamAnswers(lost) => state.upstream_answers = Some(lost),
            Fault::WorkerUnreachable {
                worker,
                unreachable,
            } => {
                if unreachable {
                    state.unreachable.insert(worker);
                } else {
                    state.unreachable.swap_remove(&worker);
                }
            }
            Fault::LoseWorkerReplies { worker, count } => {
                state.lost_replies.insert(worker, count);
            }
            Fault::WorkerDelay { worker, delay_ms } => {
                state.delays_ms.insert(worker, delay_ms);
            }
            Fault::WorkFails { .. } | Fault::ListLag { .. } => {}
            Fault::Latencies(latencies) => state.latencies = latencies,
            Fault::HealAll => state.heal_all(),
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Resolves at the next [`Faults::apply`] after the future is first enabled or polled.
    pub(crate) fn changed(&self) -> sync::futures::Notified<'_> {
        self.changed.notified()
    }

    /// Delivery delay of requests to a worker, in milliseconds; zero without the fault.
    pub fn worker_delay_ms(&self, worker: &ids::WorkerId) -> u64 {
        let state = self.lock();
        state.delays_ms.get(worker).copied().unwrap_or_default()
    }

    /// Whether there is no partition between two zones.
    pub fn zones_connected(&self, a: &ids::ZoneId, b: &ids::ZoneId) -> bool {
        let pair = sorted_pair(a.clone(), b.clone());
        !self.lock().cut_zones.contains(&pair)
    }

    /// Whether there is no partition between a zone and the store and worker list.
    pub fn platform_connected(&self, zone: &ids::ZoneId) -> bool {
        !self.lock().cut_platform.contains(zone)
    }

    /// Whether a store outage is active.
    pub fn store_down(&self) -> bool {
        self.lock().store_down
    }

    /// Processing time of a store call, in milliseconds.
    pub fn store_latency_ms(&self) -> u64 {
        self.lock().store_latency_ms
    }

    /// The current network latencies.
    pub fn latencies(&self) -> config::Latencies {
        self.lock().latencies
    }

    /// Whether a worker is not marked unreachable.
    pub fn worker_reachable(&self, worker: &ids::WorkerId) -> bool {
        !self.lock().unreachable.contains(worker)
    }

    /// Whether to drop the store's answer to this write; a drop uses up one of the count.
    pub fn drops_store_answer(&self, key: &str) -> bool {
        let state = &mut *self.lock();
        should_drop(&mut state.store_answers, &mut state.random, key)
    }

    /// Whether to drop an upstream's answer to a call; a drop uses up one of the count.
    pub fn drops_upstream_answer(&self, path: &str) -> bool {
        let state = &mut *self.lock();
        should_drop(&mut state.upstream_answers, &mut state.random, path)
    }

    /// Whether to drop a worker's reply; a drop uses up one of the count.
    pub fn drops_worker_reply(&self, worker: &ids::WorkerId) -> bool {
        let mut state = self.lock();
        let Some(count) = state.lost_replies.get_mut(worker) else {
            return false;
        };
        let Some(remaining) = count.checked_sub(1) else {
            return false;
        };
        *count = remaining;
        true
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn heal_all(&mut self) {
        self.cut_zones.clear();
        self.cut_platform.clear();
        self.store_down = false;
        self.store_answers = None;
        self.upstream_answers = None;
        self.unreachable.clear();
        self.lost_replies.clear();
        self.delays_ms.clear();
    }
}

fn sorted_pair(a: ids::ZoneId, b: ids::ZoneId) -> (ids::ZoneId, ids::ZoneId) {
    if a <= b { (a, b) } else { (b, a) }
}

fn should_drop(setting: &mut Option<LostAnswers>, random: &mut random::Random, name: &str) -> bool {
    let Some(lost) = setting else {
        return false;
    };
    if !name.starts_with(&lost.prefix) || lost.count == Some(0) {
        return false;
    }
    let drawn = lost
        .probability
        .is_none_or(|probability| random.random_bool(probability.clamp(0.0, 1.0)));
    if drawn && let Some(count) = &mut lost.count {
        *count -= 1;
    }
    drawn
}
