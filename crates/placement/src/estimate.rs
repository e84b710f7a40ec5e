//! Sizes learned from reported usage, by class of job.
//!
//! Declared sizes are far off in both directions. Until a class has evidence,
//! tasks get what they declare. Afterwards they get the largest recent peak and
//! a reserve: a part that shrinks with the number of runs, and the mean gap
//! between the recent peaks, by which the largest of a few underestimates the
//! largest of many.

use indexmap::IndexMap;
use kernel::ids;
use kernel::work;

/// Peaks of runs that are remembered for each class.
const WINDOW_RUNS: usize = 32;
/// Runs before a size below the declared one is assigned.
const EVIDENCE_RUNS: u32 = 3;
/// Reserve over the largest peak after a single run, in thousandths.
const FIRST_RESERVE_PERMILLE: u64 = 500;

/// What tasks have in common that probably use about the same.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Class {
    team: ids::TeamId,
    kind: work::WorkKind,
    demand: work::Resources,
}

#[derive(Debug, Default)]
struct Evidence {
    runs: u32,
    peaks: Vec<work::Resources>,
}

impl Evidence {
    /// The size to assign, of one resource.
    fn size(&self, amount: impl Fn(&work::Resources) -> u64) -> u64 {
        let largest = self.peaks.iter().map(&amount).max().unwrap_or(0);
        let smallest = self.peaks.iter().map(&amount).min().unwrap_or(0);
        let runs = u64::from(self.runs.max(1));
        let gap = (largest - smallest).div_ceil(self.peaks.len().max(1) as u64);
        let shrinking = largest.saturating_mul(FIRST_RESERVE_PERMILLE) / (1_000 * runs);
        (largest + gap + shrinking).max(1)
    }
}

/// The larger amount of each resource.
pub fn larger(a: work::Resources, b: work::Resources) -> work::Resources {
    work::Resources::new(
        a.cpu_milli.max(b.cpu_milli),
        a.memory_mb.max(b.memory_mb),
        a.accelerators.max(b.accelerators),
    )
}

fn smaller(a: work::Resources, b: work::Resources) -> work::Resources {
    work::Resources::new(
        a.cpu_milli.min(b.cpu_milli),
        a.memory_mb.min(b.memory_mb),
        a.accelerators.min(b.accelerators),
    )
}

/// Learned sizes of all classes.
#[derive(Debug, Default)]
pub struct Estimates {
    classes: IndexMap<Class, u32>,
    evidence: Vec<Evidence>,
}

impl Estimates {
    /// The class of a piece of work, as a number.
    pub fn class_of(&mut self, work: &work::Work) -> u32 {
        let class = Class {
            team: work.team.clone(),
            kind: work.kind,
            demand: work.demand,
        };
        let next = self.evidence.len() as u32;
        let number = *self.classes.entry(class).or_insert(next);
        if number == next {
            self.evidence.push(Evidence::default());
        }
        number
    }

    /// Takes the peak usage of one run as evidence.
    pub fn learn(&mut self, class: u32, peak: work::Resources) {
        let evidence = &mut self.evidence[class as usize];
        if peak == work::Resources::default() {
            return;
        }
        if evidence.peaks.len() < WINDOW_RUNS {
            evidence.peaks.push(peak);
        } else {
            evidence.peaks[evidence.runs as usize % WINDOW_RUNS] = peak;
        }
        evidence.runs = evidence.runs.saturating_add(1);
    }

    /// What to assign to a task of a class, at most `ceiling` unless it declares more.
    pub fn size(
        &self,
        class: u32,
        declared: work::Resources,
        ceiling: work::Resources,
    ) -> work::Resources {
        let evidence = &self.evidence[class as usize];
        if evidence.runs == 0 {
            return declared;
        }
        let learned = work::Resources::new(
            evidence.size(|peak| peak.cpu_milli),
            evidence.size(|peak| peak.memory_mb),
            declared.accelerators,
        );
        let learned = smaller(learned, larger(declared, ceiling));
        if evidence.runs < EVIDENCE_RUNS {
            return larger(learned, declared);
        }
        learned
    }
}
