//! Runs of a whole cell with random faults.

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use hickorychute_histories::{Plan, run};

const SEEDS: u64 = 300;
const THREADS: usize = 6;

/// Runs a seed; describes the violations found, if any.
fn failure_of(seed: u64) -> Option<String> {
    let plan = Plan::any(seed);
    let outcome = run(&plan);
    if outcome.is_clean() {
        return None;
    }
    let mut shown: Vec<String> = outcome.violations.iter().map(ToString::to_string).collect();
    if outcome.settled_ms.is_none() {
        shown.push(format!("never settled: {}", outcome.unsettled.join(", ")));
    }
    Some(format!(
        "seed {seed} ({}): {}",
        plan.describe(),
        shown.join("; ")
    ))
}

#[test]
fn no_seed_causes_a_violation() {
    let next = AtomicU64::new(0);
    let faults: Vec<String> = thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|_| {
                scope.spawn(|| {
                    let seeds = std::iter::from_fn(|| {
                        Some(next.fetch_add(1, Ordering::Relaxed)).filter(|seed| *seed < SEEDS)
                    });
                    seeds.filter_map(failure_of).collect::<Vec<String>>()
                })
            })
            .collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("a run does not panic"))
            .collect()
    });
    assert!(
        faults.is_empty(),
        "{} of {SEEDS} runs:\n{}",
        faults.len(),
        faults.join("\n")
    );
}
