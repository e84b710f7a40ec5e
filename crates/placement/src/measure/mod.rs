//! Measurements shared by the benchmarks and `cargo xtask measure`.

mod baseline;
mod loaded_group;
mod packing;

use std::time::{Duration, Instant};

pub use baseline::Baseline;
pub use loaded_group::LoadedGroup;
pub use packing::{Mix, PackingResult, packing};

/// Number of decisions that are timed individually.
const TIMED_DECISIONS: usize = 20_000;

/// Time of one decision in a loaded group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DecisionTimes {
    /// Median time of one call of `decide` that starts one task, in microseconds.
    pub p50_us: f64,
    /// 99th percentile of that time, in microseconds.
    pub p99_us: f64,
    /// Decisions per second on one core, including the arrival of one task and the end
    /// of another per decision.
    pub per_s: f64,
}

/// Measures decisions of a group with `workers` workers and `tasks` running tasks.
///
/// # Panics
///
/// If a decision does not start the task, which is a bug.
pub fn decisions(workers: u32, tasks: u32, seed: u64) -> DecisionTimes {
    let mut loaded = LoadedGroup::new(workers, tasks, seed);
    time_steps(|| {
        loaded.replace_random_task();
        let before = Instant::now();
        let started = loaded.decide_start();
        let elapsed = before.elapsed();
        loaded.confirm(started);
        elapsed
    })
}

/// Measures decisions of a full group with a queue of `waiting` jobs.
///
/// A new job arrives for each one that ends, so the queue keeps its length.
pub fn measure_saturated_decisions(
    workers: u32,
    tasks: u32,
    waiting: u32,
    seed: u64,
) -> DecisionTimes {
    let mut loaded = LoadedGroup::new(workers, tasks, seed);
    loaded.fill_queue(waiting);
    time_steps(|| {
        loaded.replace_random_task();
        let before = Instant::now();
        let decisions = loaded.decide();
        let elapsed = before.elapsed();
        for decision in decisions {
            loaded.confirm(decision);
        }
        elapsed
    })
}

/// Runs a step [`TIMED_DECISIONS`] times. The step returns the time of its decision alone.
fn time_steps(mut step: impl FnMut() -> Duration) -> DecisionTimes {
    let begin = Instant::now();
    let mut times_us: Vec<f64> = (0..TIMED_DECISIONS)
        .map(|_| step().as_secs_f64() * 1e6)
        .collect();
    let elapsed_s = begin.elapsed().as_secs_f64();
    times_us.sort_by(f64::total_cmp);
    DecisionTimes {
        p50_us: times_us[TIMED_DECISIONS / 2],
        p99_us: times_us[TIMED_DECISIONS * 99 / 100],
        per_s: TIMED_DECISIONS as f64 / elapsed_s,
    }
}
