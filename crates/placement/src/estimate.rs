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
const MAX_KEPT_PEAKS: usize = 32;
/// Number of runs before a size below the declared one may be assigned.
const MIN_RUNS_TO_SHRINK: u32 = 3;
/// Margin over the largest peak after a single run, in thousandths.
const FIRST_RUN_MARGIN_PERMILLE: u64 = 500;

/// Attributes shared by tasks that are expected to have similar usage.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Class {
    team: ids::TeamId,
    kind: work::WorkKind,
    demand: work::Resources,
}

#[derive(Debug, Default)]
struct ClassUsage {
    runs: u32,
    peaks: Vec<work::Resources>,
}

impl ClassUsage {
    /// Returns the size to assign of the resource that `amount` selects.
    fn size(&self, amount: impl Fn(&work::Resources) -> u64) -> u64 {
        let largest = self.peaks.iter().map(&amount).max().unwrap_or(0);
        let smallest = self.peaks.iter().map(&amount).min().unwrap_or(0);
        let runs = u64::from(self.runs.max(1));
        let mean_gap = (largest - smallest).div_ceil(self.peaks.len().max(1) as u64);
        let margin = largest.saturating_mul(FIRST_RUN_MARGIN_PERMILLE) / (1_000 * runs);
        (largest + mean_gap + margin).max(1)
    }
}

/// Returns the larger amount of each resource.
pub fn component_max(a: work::Resources, b: work::Resources) -> work::Resources {
    work::Resources::new(
        a.cpu_milli.max(b.cpu_milli),
        a.memory_mb.max(b.memory_mb),
        a.accelerators.max(b.accelerators),
    )
}

fn component_min(a: work::Resources, b: work::Resources) -> work::Resources {
    work::Resources::new(
        a.cpu_milli.min(b.cpu_milli),
        a.memory_mb.min(b.memory_mb),
        a.accelerators.min(b.accelerators),
    )
}

#[derive(Debug, Default)]
pub struct Estimates {
    classes: IndexMap<Class, u32>,
    usage: Vec<ClassUsage>,
}

impl Estimates {
    /// Returns the index of a work's class, adding the class if it is new.
    pub fn class_of(&mut self, work: &work::Work) -> u32 {
        let class = Class {
            team: work.team.clone(),
            kind: work.kind,
            demand: work.demand,
        };
        let next = self.usage.len() as u32;
        let index = *self.classes.entry(class).or_insert(next);
        if index == next {
            self.usage.push(ClassUsage::default());
        }
        index
    }

    /// Records the peak usage of one run. An all-zero peak is ignored.
    pub fn record_peak(&mut self, class: u32, peak: work::Resources) {
        let usage = &mut self.usage[class as usize];
        if peak == work::Resources::default() {
            return;
        }
        if usage.peaks.len() < MAX_KEPT_PEAKS {
            usage.peaks.push(peak);
        } else {
            usage.peaks[usage.runs as usize % MAX_KEPT_PEAKS] = peak;
        }
        usage.runs = usage.runs.saturating_add(1);
    }

    /// Returns the size to assign to a task of a class, at most `ceiling` unless the
    /// task declares more.
    pub fn size(
        &self,
        class: u32,
        declared: work::Resources,
        ceiling: work::Resources,
    ) -> work::Resources {
        let usage = &self.usage[class as usize];
        if usage.runs == 0 {
            return declared;
        }
        let learned = work::Resources::new(
            usage.size(|peak| peak.cpu_milli),
            usage.size(|peak| peak.memory_mb),
            declared.accelerators,
        );
        let learned = component_min(learned, component_max(declared, ceiling));
        if usage.runs < MIN_RUNS_TO_SHRINK {
            return component_max(learned, declared);
        }
        learned
    }
}
