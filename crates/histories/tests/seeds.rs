//! Runs of a whole cell under random faults.

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use hickorychute_histories::{Plan, run};

const SEEDS: u64 = 300;
const THREADS: usize = 6;

/// What is wrong with the run of a seed, if anything.
fn fault_of(seed: u64) -> Option<String> {
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
fn no_seed_breaks_a_promise() {
    let next = AtomicU64::new(0);
    let faults: Vec<String> = thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|_| {
                scope.spawn(|| {
                    let seeds = std::iter::from_fn(|| {
                        Some(next.fetch_add(1, Ordering::Relaxed)).filter(|seed| *seed < SEEDS)
                    });
                    seeds.filter_map(fault_of).collect::<Vec<String>>()
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
