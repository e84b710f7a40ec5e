//! Every fault kind alone, twice, and together with each other kind, with fixed seeds.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use hickorychute_histories::{FaultKind, Plan, run};

const SEEDS_ALONE: u64 = 10;
const SEEDS_TWICE: u64 = 4;
const SEEDS_OF_A_PAIR: u64 = 1;
const THREADS: usize = 3;

/// Runs a plan; describes the violations found, if any.
fn failure_of(plan: &Plan) -> Option<String> {
    let outcome = run(plan);
    let mut shown: Vec<String> = outcome.violations.iter().map(ToString::to_string).collect();
    if outcome.settled_ms.is_none() {
        shown.push("never settled".to_owned());
    }
    let (seed, faults) = (plan.seed, plan.describe());
    (!shown.is_empty()).then(|| format!("seed {seed} ({faults}): {}", shown.join("; ")))
}

/// Runs all plans on several threads; fails the test with a list of all violations.
fn assert_clean(plans: &[Plan]) {
    let next = AtomicUsize::new(0);
    let faults: Vec<String> = thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|_| {
                scope.spawn(|| {
                    let plans =
                        std::iter::from_fn(|| plans.get(next.fetch_add(1, Ordering::Relaxed)));
                    plans.filter_map(failure_of).collect::<Vec<String>>()
                })
            })
            .collect();
        let threads = threads.into_iter();
        threads
            .flat_map(|thread| thread.join().expect("a run does not panic"))
            .collect()
    });
    let (found, all) = (faults.len(), plans.len());
    assert!(
        faults.is_empty(),
        "{found} of {all} runs:\n{}",
        faults.join("\n")
    );
}

#[test]
fn every_kind_alone_causes_no_violation() {
    let plans = FaultKind::ALL
        .iter()
        .flat_map(|kind| (0..SEEDS_ALONE).map(|seed| Plan::of(seed, &[*kind])));
    assert_clean(&plans.collect::<Vec<_>>());
}

#[test]
fn every_kind_twice_causes_no_violation() {
    let plans = FaultKind::ALL
        .iter()
        .flat_map(|kind| (0..SEEDS_TWICE).map(|seed| Plan::of(seed, &[*kind, *kind])));
    assert_clean(&plans.collect::<Vec<_>>());
}

#[test]
fn every_pair_at_once_causes_no_violation() {
    let mut plans = Vec::new();
    for (index, first) in FaultKind::ALL.iter().enumerate() {
        for second in &FaultKind::ALL[index + 1..] {
            let seeds = 0..SEEDS_OF_A_PAIR;
            plans.extend(seeds.map(|seed| Plan::at_once(seed, &[*first, *second])));
        }
    }
    assert_clean(&plans);
}
