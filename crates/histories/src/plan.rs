//! Random fault schedules.

use derive_more::Display;
use kernel::random;
use rand::RngExt as _;
use rand::seq::IndexedRandom as _;

/// A kind of fault.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "snake_case")]
pub enum FaultKind {
    /// Kills an entry host and starts a replacement later.
    KillHost,
    /// Pauses an entry host and resumes it later.
    PauseHost,
    /// Drains an entry host and starts a replacement later.
    DrainHost,
    /// Partitions two zones from each other.
    CutZones,
    /// Partitions a zone from the store and the worker list.
    CutPlatform,
    /// Takes the store down.
    StoreDown,
    /// Raises the latency of the store.
    StoreSlow,
    /// Drops answers of the store after the write took effect.
    StoreAnswersLost,
    /// Kills a worker, which later rejoins under a new id.
    KillWorker,
    /// Makes a worker unreachable while its tasks keep running.
    WorkerUnreachable,
    /// Drops replies of a worker after it executed the orders.
    WorkerRepliesLost,
    /// Marks a worker as leaving; it is replaced later.
    WorkerLeaves,
    /// Drops answers of upstreams.
    UpstreamAnswersLost,
    /// Lets two operators submit release notes concurrently.
    OperatorsRace,
    /// Drains and replaces all entry hosts, one after another.
    ReplaceAllHosts,
    /// Kills all entry hosts at once and starts replacements.
    KillAllHosts,
}

impl FaultKind {
    /// All fault kinds.
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

/// A scheduled fault. Times are in milliseconds from the start of the fault phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// Start time.
    pub at_ms: u64,
    /// Duration; ignored by faults that are not cleared later.
    pub duration_ms: u64,
    /// Kind of the fault.
    pub kind: FaultKind,
}

/// The fault schedule of one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Seed of all random decisions of the run.
    pub seed: u64,
    /// The faults, ordered by start time.
    pub faults: Vec<PlannedFault>,
    /// Duration of the fault phase, in milliseconds.
    pub fault_phase_ms: u64,
}

const FAULT_PHASE_MS: u64 = 24_000;
const MIN_FAULT_START_MS: u64 = 500;

impl Plan {
    /// Generates a plan of one to six random faults, which may overlap.
    pub fn any(seed: u64) -> Self {
        let mut random = random::from_seed(seed);
        let count = random.random_range(1..=6);
        let kinds = (0..count)
            .filter_map(|_| FaultKind::ALL.choose(&mut random).copied())
            .collect::<Vec<_>>();
        Self::of(seed, &kinds)
    }

    /// Generates random times for the given faults.
    pub fn of(seed: u64, kinds: &[FaultKind]) -> Self {
        let mut random = random::from_seed(seed ^ 0x5eed);
        let mut faults: Vec<PlannedFault> = kinds
            .iter()
            .map(|kind| PlannedFault {
                at_ms: random.random_range(MIN_FAULT_START_MS..FAULT_PHASE_MS / 2),
                duration_ms: random.random_range(500..FAULT_PHASE_MS / 2),
                kind: *kind,
            })
            .collect();
        faults.sort_by_key(|fault| fault.at_ms);
        Self {
            seed,
            faults,
            fault_phase_ms: FAULT_PHASE_MS,
        }
    }

    /// Generates a plan in which all given faults start at the same random time.
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

    /// Formats all faults as `KIND@START+DURATION`, for messages.
    pub fn describe(&self) -> String {
        let parts: Vec<String> = self
            .faults
            .iter()
            .map(|fault| format!("{}@{}+{}", fault.kind, fault.at_ms, fault.duration_ms))
            .collect();
        parts.join(" ")
    }
}
