//! Which faults come when.

use derive_more::Display;
use kernel::random;
use rand::RngExt as _;
use rand::seq::IndexedRandom as _;

/// A kind of fault.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "snake_case")]
pub enum FaultKind {
    /// An entry host dies and another one takes its place later.
    KillHost,
    /// An entry host is paused and wakes later.
    PauseHost,
    /// An entry host is shut down and another one takes its place.
    DrainHost,
    /// Two zones lose each other.
    CutZones,
    /// A zone loses the store.
    CutPlatform,
    /// The store is away.
    StoreDown,
    /// The store is slow.
    StoreSlow,
    /// Answers of the store are lost after the write took effect.
    StoreAnswersLost,
    /// A worker dies and comes back under another name.
    KillWorker,
    /// A worker cannot be reached, but runs on.
    WorkerUnreachable,
    /// Replies of a worker are lost after it carried the orders out.
    WorkerRepliesLost,
    /// A worker is about to leave.
    WorkerLeaves,
    /// Answers of upstreams are lost.
    UpstreamAnswersLost,
    /// Two operators submit notes at the same moment.
    OperatorsRace,
    /// All entry hosts are replaced, one after another.
    ReplaceAllHosts,
    /// All entry hosts die at once and are replaced.
    KillAllHosts,
}

impl FaultKind {
    /// All kinds.
    pub const ALL: [Self; 16] = [
        Self::KillHost,
        Self::PauseHost,
        Self::DrainHost,
        Self::CutZones,
        Self::CutPlatform,
        Self::StoreDown,
        Self::StoreSlow,
        Self::StoreAnswersLost,
        Self::KillWorker,
        Self::WorkerUnreachable,
        Self::WorkerRepliesLost,
        Self::WorkerLeaves,
        Self::UpstreamAnswersLost,
        Self::OperatorsRace,
        Self::ReplaceAllHosts,
        Self::KillAllHosts,
    ];

    /// Finds a kind by its name in snake case.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.to_string() == name)
    }
}

/// One fault with its times, in milliseconds from the start of the faulty part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// When it comes.
    pub at_ms: u64,
    /// How long it lasts, for a fault that ends.
    pub lasts_ms: u64,
    /// What happens.
    pub kind: FaultKind,
}

/// The faults of one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Seed of everything that happens.
    pub seed: u64,
    /// The faults in the order of their times.
    pub faults: Vec<PlannedFault>,
    /// Length of the faulty part, in milliseconds.
    pub length_ms: u64,
}

const LENGTH_MS: u64 = 24_000;
const FIRST_FAULT_MS: u64 = 500;

impl Plan {
    /// Draws a plan of up to six faults of any kind; they overlap as they come.
    pub fn any(seed: u64) -> Self {
        let mut random = random::from_seed(seed);
        let count = random.random_range(1..=6);
        let kinds = (0..count)
            .filter_map(|_| FaultKind::ALL.choose(&mut random).copied())
            .collect::<Vec<_>>();
        Self::of(seed, &kinds)
    }

    /// Draws times for the given faults.
    pub fn of(seed: u64, kinds: &[FaultKind]) -> Self {
        let mut random = random::from_seed(seed ^ 0x5eed);
        let mut faults: Vec<PlannedFault> = kinds
            .iter()
            .map(|kind| PlannedFault {
                at_ms: random.random_range(FIRST_FAULT_MS..LENGTH_MS / 2),
                lasts_ms: random.random_range(500..LENGTH_MS / 2),
                kind: *kind,
            })
            .collect();
        faults.sort_by_key(|fault| fault.at_ms);
        Self {
            seed,
            faults,
            length_ms: LENGTH_MS,
        }
    }

    /// Draws one time at which all the given faults come.
    pub fn at_once(seed: u64, kinds: &[FaultKind]) -> Self {
        let mut plan = Self::of(seed, kinds);
        let Some(first) = plan.faults.first().copied() else {
            return plan;
        };
        for fault in &mut plan.faults {
            fault.at_ms = first.at_ms;
        }
        plan
    }

    /// The kinds of all faults, for messages.
    pub fn describe(&self) -> String {
        let parts: Vec<String> = self
            .faults
            .iter()
            .map(|fault| format!("{}@{}+{}", fault.kind, fault.at_ms, fault.lasts_ms))
            .collect();
        parts.join(" ")
    }
}
