//! Sizes learned from reported usage, by class of job.
//!
//! Declared sizes are often several times too large or too small. A class without
//! samples gets its declared size. Otherwise it gets the largest recent peak plus a
//! margin: a part that shrinks with the number of runs, and the mean gap between the
//! recent peaks, which estimates how far the largest of a few samples lies below the
//! largest of many.

use indexmap::IndexMap;
use kernel::ids;
use kernel::work;

/// Number of recent peaks kept for each class.
const WINDOW_RUNS: usize = 32;
/// Number of runs before a size below the declared one may be assigned.
const EVIDENCE_RUNS: u32 = 3;
/// Margin over the largest peak after a single run, in thousandths.
const FIRST_RESERVE_PERMILLE: u64 = 500;

/// Attributes shared by tasks that are expected to have similar usage.
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
    /// Returns the size to assign of one resource.
    fn size(&self, amount: impl Fn(&work::Resources) -> u64) -> u64 {
        let largest = self.peaks.iter().map(&amount).max().unwrap_or(0);
        let smallest = self.peaks.iter().map(&amount).min().unwrap_or(0);
        let runs = u64::from(self.runs.max(1));
        let gap = (largest - smallest).div_ceil(self.peaks.len().max(1) as u64);
        let shrinking = largest.saturating_mul(FIRST_RESERVE_PERMILLE) / (1_000 * runs);
        (largest + gap + shrinking).max(1)
    }
}

/// Returns the larger amount of each resource.
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
    /// Returns the index of a work's class, adding the class if it is new.
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

    /// Records the peak usage of one run. An all-zero peak is ignored.
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

    /// Returns the size to assign to a task of a class, at most `ceiling` unless the
    /// task declares more.
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
