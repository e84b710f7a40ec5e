//! Number of workers taken by tasks whose declared sizes are wrong.

use std::sync::Arc;

use derive_more::Display;
use indexmap::IndexSet;
use kernel::ids;
use kernel::random;
use kernel::work;
use platform::workers;
use rand::Rng;

use super::loaded_group;
use crate::decision;
use crate::group;

/// Number of classes of jobs in a mix.
const CLASS_COUNT: usize = 40;
/// Number of tasks in a mix.
const TASK_COUNT: u32 = 4_000;
/// Runs of each class from which sizes are learned before the mix is placed.
const LEARNING_RUNS_PER_CLASS: u32 = 40;
/// Maximum deviation of a run from its class's size, up or down, in thousandths.
const JITTER_PERMILLE: u64 = 20;
/// Number of workers in the group.
const WORKER_COUNT: u32 = 2_000;

/// A mix of task sizes.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum Mix {
    /// Small tasks with balanced CPU and memory.
    Small,
    /// Small and large tasks.
    Broad,
    /// Tasks that need either much memory or much CPU.
    Unbalanced,
}

impl Mix {
    /// All mixes, in the order in which they are reported.
    pub const ALL: [Self; 3] = [Self::Small, Self::Broad, Self::Unbalanced];

    /// Returns a random actual size, as a share of a worker's capacity.
    fn size(self, random: &mut random::Random) -> work::Resources {
        let mut permille = |low: u64, high: u64| low + random.next_u64() % (high - low);
        let (cpu, memory) = match self {
            Self::Small => (permille(10, 60), permille(10, 60)),
            Self::Broad if permille(0, 10) < 7 => (permille(10, 80), permille(10, 80)),
            Self::Broad => (permille(100, 400), permille(100, 400)),
            Self::Unbalanced if permille(0, 2) == 0 => (permille(80, 200), permille(10, 40)),
            Self::Unbalanced => (permille(10, 40), permille(80, 200)),
        };
        work::Resources::new(
            loaded_group::WORKER_CAPACITY.cpu_milli * cpu / 1_000,
            loaded_group::WORKER_CAPACITY.memory_mb * memory / 1_000,
            0,
        )
    }
}

/// Number of workers that a mix takes, with bounds for comparison.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PackingResult {
    /// Number of tasks that were placed.
    pub tasks: usize,
    /// Number of workers with tasks.
    pub workers_used: usize,
    /// Number of workers that first fit decreasing takes with the actual sizes.
    pub first_fit_decreasing: usize,
    /// Total actual size over the capacity of a worker, rounded up.
    pub lower_bound: usize,
    /// `workers_used / first_fit_decreasing`.
    pub ratio: f64,
    /// Number of runs that exceeded their assigned size and found no more room on their worker.
    pub unresolved_overuses: usize,
}

#[derive(Debug)]
struct Class {
    actual: work::Resources,
    declared: work::Resources,
}

/// Returns a declared amount that is wrong by a factor of 2 to 10, within a worker's capacity.
fn misdeclare(actual: u64, capacity: u64, random: &mut random::Random) -> u64 {
    let factor = 2 + random.next_u64() % 9;
    if random.next_u64().is_multiple_of(2) {
        (actual * factor).min(capacity)
    } else {
        (actual / factor).max(1)
    }
}

fn jittered(actual: work::Resources, random: &mut random::Random) -> work::Resources {
    let mut vary = |amount: u64| {
        let permille = 1_000 - JITTER_PERMILLE + random.next_u64() % (2 * JITTER_PERMILLE + 1);
        (amount * permille / 1_000).max(1)
    };
    work::Resources::new(vary(actual.cpu_milli), vary(actual.memory_mb), 0)
}

fn classes(mix: Mix, random: &mut random::Random) -> Vec<Class> {
    (0..CLASS_COUNT)
        .map(|_| {
            let actual = mix.size(random);
            let declared = work::Resources::new(
                misdeclare(
                    actual.cpu_milli,
                    loaded_group::WORKER_CAPACITY.cpu_milli,
                    random,
                ),
                misdeclare(
                    actual.memory_mb,
                    loaded_group::WORKER_CAPACITY.memory_mb,
                    random,
                ),
                0,
            );
            Class { actual, declared }
        })
        .collect()
}

/// Places a mix whose declared sizes are wrong by a factor of 2 to 10.
///
/// Some runs of each class end first and report their usage. Then all tasks of the mix
/// arrive at once.
pub fn packing(mix: Mix, seed: u64) -> PackingResult {
    let mut random = random::from_seed(seed);
    let classes = classes(mix, &mut random);
    let mut group = loaded_group::empty_group(WORKER_COUNT, seed, loaded_group::config());
    for number in 0..CLASS_COUNT {
        submit(
            &mut group,
            &classes,
            number,
            "learn",
            LEARNING_RUNS_PER_CLASS,
        );
    }
    for start in group.decide(0, usize::MAX) {
        if let Some((worker, run, actual)) = started_run(&start, &classes, &mut random) {
            group.usage(&worker, &run, actual, 1);
            group.ended(&run, workers::RunEnd::Completed, 1_000, 1);
        }
    }
    group.decide(1, usize::MAX);
    let tasks_per_class = TASK_COUNT / CLASS_COUNT as u32;
    for number in 0..CLASS_COUNT {
        submit(&mut group, &classes, number, "measured", tasks_per_class);
    }
    let starts = group.decide(2, usize::MAX);
    let mut used = IndexSet::new();
    let mut actual_sizes = Vec::new();
    for start in &starts {
        if let Some((worker, run, actual)) = started_run(start, &classes, &mut random) {
            group.usage(&worker, &run, actual, 3);
            used.insert(worker);
            actual_sizes.push(actual);
        }
    }
    let unresolved_overuses = group.decide(3, usize::MAX).len();
    let first_fit_decreasing = first_fit_decreasing(&mut actual_sizes);
    PackingResult {
        tasks: actual_sizes.len(),
        workers_used: used.len(),
        first_fit_decreasing,
        lower_bound: lower_bound(&actual_sizes),
        ratio: used.len() as f64 / first_fit_decreasing as f64,
        unresolved_overuses,
    }
}

fn submit(group: &mut group::Group, classes: &[Class], number: usize, prefix: &str, tasks: u32) {
    let id = format!("{prefix}-{number}");
    let run = loaded_group::batch_run(&id, number as u64, tasks, classes[number].declared);
    group.submit(&Arc::new(run), &loaded_group::first_runs(tasks), None, 0);
}

/// Returns the worker, the run and the usage of a started task.
fn started_run(
    start: &decision::Decision,
    classes: &[Class],
    random: &mut random::Random,
) -> Option<(ids::WorkerId, ids::TaskAttempt, work::Resources)> {
    let decision::Decision::Start { worker, order } = start else {
        return None;
    };
    let (_, number) = order.run.task.work.as_str().rsplit_once('-')?;
    let class = classes.get(number.parse::<usize>().ok()?)?;
    let actual = jittered(class.actual, random);
    Some((worker.clone(), order.run.clone(), actual))
}

/// Returns the dominant share of a worker's capacity that a task needs, in millionths.
fn dominant_share(size: &work::Resources) -> u64 {
    let cpu = size.cpu_milli * 1_000_000 / loaded_group::WORKER_CAPACITY.cpu_milli;
    let memory = size.memory_mb * 1_000_000 / loaded_group::WORKER_CAPACITY.memory_mb;
    cpu.max(memory)
}

fn first_fit_decreasing(sizes: &mut [work::Resources]) -> usize {
    sizes.sort_by_key(|size| std::cmp::Reverse(dominant_share(size)));
    let mut free: Vec<work::Resources> = Vec::new();
    for size in sizes.iter() {
        let fitting = free.iter_mut().find(|free| size.fits_in(**free));
        if let Some(free) = fitting {
            *free = free.saturating_sub(*size);
        } else {
            free.push(loaded_group::WORKER_CAPACITY.saturating_sub(*size));
        }
    }
    free.len()
}

fn lower_bound(sizes: &[work::Resources]) -> usize {
    let total = sizes
        .iter()
        .fold(work::Resources::default(), |sum, size| sum + *size);
    let cpu = total
        .cpu_milli
        .div_ceil(loaded_group::WORKER_CAPACITY.cpu_milli);
    let memory = total
        .memory_mb
        .div_ceil(loaded_group::WORKER_CAPACITY.memory_mb);
    cpu.max(memory) as usize
}
