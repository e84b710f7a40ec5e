//! Faults that a test or an operator brings about.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::{IndexMap, IndexSet};
use kernel::ids;
use kernel::random;
use rand::RngExt;
use serde::{Deserialize, Serialize};

use crate::config;

/// Which answers are lost after the call took effect.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LostAnswers {
    /// Only calls whose key or path starts with this.
    pub prefix: String,
    /// Loses this many answers and then no more; `None` for no end.
    pub count: Option<u32>,
    /// Probability that an answer is lost; one if left out.
    pub probability: Option<f64>,
}

/// One change of the faults in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Cuts two availability zones off from each other.
    CutZones {
        /// One of them.
        a: ids::ZoneId,
        /// The other.
        b: ids::ZoneId,
    },
    /// Joins two availability zones again.
    HealZones {
        /// One of them.
        a: ids::ZoneId,
        /// The other.
        b: ids::ZoneId,
    },
    /// Cuts an availability zone off from the store and the list of workers.
    CutPlatform {
        /// The zone.
        zone: ids::ZoneId,
    },
    /// Gives an availability zone the store and the list of workers again.
    HealPlatform {
        /// The zone.
        zone: ids::ZoneId,
    },
    /// Takes the store away or brings it back.
    StoreDown {
        /// Whether it is away.
        down: bool,
    },
    /// Sets the time that the store takes for a call.
    StoreLatency {
        /// In milliseconds, besides the latency of the network.
        latency_ms: u64,
    },
    /// Loses answers of the store to writes that took effect; replaces the former setting.
    LoseStoreAnswers(LostAnswers),
    /// Loses answers of upstreams to calls that ran; replaces the former setting.
    LoseUpstreamAnswers(LostAnswers),
    /// Makes a worker unreachable, or reachable again; it runs on either way.
    WorkerUnreachable {
        /// The worker.
        worker: ids::WorkerId,
        /// Whether it is unreachable.
        unreachable: bool,
    },
    /// Loses the next replies of a worker after it carried the orders out.
    LoseWorkerReplies {
        /// The worker.
        worker: ids::WorkerId,
        /// How many.
        count: u32,
    },
    /// Lets the tasks of some work fail wherever they are started.
    WorkFails {
        /// The work.
        work: ids::WorkId,
        /// Whether they fail.
        fails: bool,
    },
    /// Sets how far the list of workers lags for changes to come.
    ListLag {
        /// In milliseconds.
        lag_ms: u64,
    },
    /// Sets the latencies of the network.
    Latencies(config::Latencies),
    /// Ends all cuts, outages and losses; latencies stay as they are.
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
    latencies: config::Latencies,
    random: random::Random,
}

/// A shared handle on the faults in force.
#[derive(Clone, Debug)]
pub struct Faults {
    state: Arc<Mutex<State>>,
}

impl Faults {
    /// No faults, with the latencies of a configuration.
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
            latencies: config.topology.latencies,
            random: random::from_seed(seed),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Brings one fault about or ends it.
    ///
    /// [`Fault::WorkFails`] and [`Fault::ListLag`] concern the workers and take
    /// effect through [`MemoryPlatform::apply`](crate::memory::MemoryPlatform::apply) only.
    pub fn apply(&self, fault: Fault) {
        let mut state = self.lock();
        match fault {
            Fault::CutZones { a, b } => {
                state.cut_zones.insert(ordered(a, b));
            }
            Fault::HealZones { a, b } => {
                state.cut_zones.swap_remove(&ordered(a, b));
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
            Fault::WorkFails { .. } | Fault::ListLag { .. } => {}
            Fault::Latencies(latencies) => state.latencies = latencies,
            Fault::HealAll => state.heal_all(),
        }
    }

    /// Whether two zones are joined.
    pub fn joined(&self, a: &ids::ZoneId, b: &ids::ZoneId) -> bool {
        let pair = ordered(a.clone(), b.clone());
        !self.lock().cut_zones.contains(&pair)
    }

    /// Whether the store and the list can be reached from a zone.
    pub fn platform_joined(&self, zone: &ids::ZoneId) -> bool {
        !self.lock().cut_platform.contains(zone)
    }

    /// Whether the store is away.
    pub fn store_down(&self) -> bool {
        self.lock().store_down
    }

    /// Time that the store takes for a call, in milliseconds.
    pub fn store_latency_ms(&self) -> u64 {
        self.lock().store_latency_ms
    }

    /// The latencies of the network.
    pub fn latencies(&self) -> config::Latencies {
        self.lock().latencies
    }

    /// Whether a worker can be reached.
    pub fn reachable(&self, worker: &ids::WorkerId) -> bool {
        !self.lock().unreachable.contains(worker)
    }

    /// Whether the store's answer to this write is lost; counts it if so.
    pub fn loses_store_answer(&self, key: &str) -> bool {
        let state = &mut *self.lock();
        loses(&mut state.store_answers, &mut state.random, key)
    }

    /// Whether an upstream's answer to a call is lost; counts it if so.
    pub fn loses_upstream_answer(&self, path: &str) -> bool {
        let state = &mut *self.lock();
        loses(&mut state.upstream_answers, &mut state.random, path)
    }

    /// Whether a worker's reply is lost; counts it if so.
    pub fn loses_worker_reply(&self, worker: &ids::WorkerId) -> bool {
        let mut state = self.lock();
        let Some(count) = state.lost_replies.get_mut(worker) else {
            return false;
        };
        let Some(rest) = count.checked_sub(1) else {
            return false;
        };
        *count = rest;
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
    }
}

fn ordered(a: ids::ZoneId, b: ids::ZoneId) -> (ids::ZoneId, ids::ZoneId) {
    if a <= b { (a, b) } else { (b, a) }
}

fn loses(setting: &mut Option<LostAnswers>, random: &mut random::Random, name: &str) -> bool {
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
