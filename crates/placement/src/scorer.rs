//! Scoring plug-ins for the choice of a worker.
//!
//! Each placement policy is a weighted sum of scores between 0 and 1, and the candidate
//! with the highest sum is chosen. Plug-ins register a [`ScorerPlugin`] through
//! `inventory` and are looked up by name.

use kernel::plugin;
use kernel::work;

/// Inputs to a scorer: a worker on which the task fits.
#[derive(Clone, Copy, Debug, Default)]
pub struct Candidate {
    /// Total capacity of the worker.
    pub capacity: work::Resources,
    /// Free capacity of the worker before the task is placed.
    pub free: work::Resources,
    /// Size that would be assigned to the task.
    pub demand: work::Resources,
    /// Number of starts on the worker that are not confirmed.
    pub starting: u32,
    /// Number of placed tasks of the same work on the worker's rack.
    pub same_work_on_rack: u32,
    /// Whether the task's previous run was on this worker.
    pub ran_here: bool,
}

/// A scoring plug-in, registered with `inventory::submit!`.
#[derive(Clone, Copy, Debug)]
pub struct ScorerPlugin {
    /// Name and summary under which the plug-in is listed.
    pub descriptor: plugin::Descriptor,
    /// Scores a candidate from 0 (poor) to 1 (good).
    pub score: fn(&Candidate) -> f64,
}

inventory::collect!(ScorerPlugin);

macro_rules! register_scorer {
    ($constant:ident, $name:literal, $summary:literal, $score:path) => {
        const $constant: plugin::Descriptor = plugin::Descriptor {
            extension: plugin::Extension::Scorer,
            name: $name,
            summary: $summary,
        };
        inventory::submit! { $constant }
        inventory::submit! { ScorerPlugin { descriptor: $constant, score: $score } }
    };
}

register_scorer!(
    TIGHT_PACKING,
    "tight-packing",
    "Prefers workers that are left with little free capacity.",
    tight_packing
);
register_scorer!(
    QUICK_START,
    "quick-start",
    "Prefers workers that start few other tasks at the moment.",
    quick_start
);
register_scorer!(
    RACK_SPREAD,
    "rack-spread",
    "Prefers racks with few tasks of the same work.",
    rack_spread
);
register_scorer!(
    LOCALITY,
    "locality",
    "Prefers the worker on which the task ran before.",
    locality
);

fn remaining_fraction(free: u64, demand: u64, capacity: u64) -> f64 {
    if capacity == 0 {
        return 0.0;
    }
    free.saturating_sub(demand) as f64 / capacity as f64
}

fn tight_packing(candidate: &Candidate) -> f64 {
    let cpu = remaining_fraction(
        candidate.free.cpu_milli,
        candidate.demand.cpu_milli,
        candidate.capacity.cpu_milli,
    );
    let memory = remaining_fraction(
        candidate.free.memory_mb,
        candidate.demand.memory_mb,
        candidate.capacity.memory_mb,
    );
    // Penalizes an uneven remainder: free capacity of one resource is unusable without the other.
    1.0 - cpu.midpoint(memory) - (cpu - memory).abs() / 4.0
}

fn quick_start(candidate: &Candidate) -> f64 {
    1.0 / f64::from(1 + candidate.starting)
}

fn rack_spread(candidate: &Candidate) -> f64 {
    1.0 / f64::from(1 + candidate.same_work_on_rack)
}

fn locality(candidate: &Candidate) -> f64 {
    f64::from(u8::from(candidate.ran_here))
}

/// Returns the names and weights of a policy's scorers.
const fn weights(policy: work::Policy) -> &'static [(&'static str, f64)] {
    match policy {
        work::Policy::QuickStart => &[
            ("quick-start", 4.0),
            ("tight-packing", 1.0),
            ("locality", 1.0),
        ],
        work::Policy::TightPacking => &[("tight-packing", 4.0), ("locality", 0.01)],
        work::Policy::Spread => &[
            ("rack-spread", 8.0),
            ("tight-packing", 1.0),
            ("quick-start", 1.0),
        ],
    }
}

#[derive(Clone, Copy, Debug)]
struct WeightedScorer {
    score: fn(&Candidate) -> f64,
    weight: f64,
}

/// Scorers and weights of one policy, resolved at construction.
#[derive(Debug)]
pub struct PolicyScorer {
    scorers: Vec<WeightedScorer>,
}

impl PolicyScorer {
    /// Resolves the scorers of a policy. Scorers that are not registered are left out.
    pub fn for_policy(policy: work::Policy) -> Self {
        let scorers = weights(policy)
            .iter()
            .filter_map(|&(name, weight)| {
                let plugin = inventory::iter::<ScorerPlugin>
                    .into_iter()
                    .find(|plugin| plugin.descriptor.name == name)?;
                Some(WeightedScorer {
                    score: plugin.score,
                    weight,
                })
            })
            .collect();
        Self { scorers }
    }

    /// Returns the weighted sum for a candidate; higher is better.
    pub fn score(&self, candidate: &Candidate) -> f64 {
        self.scorers
            .iter()
            .map(|scorer| (scorer.score)(candidate) * scorer.weight)
            .sum()
    }
}
