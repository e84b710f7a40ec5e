//! Regression seeds: runs in which the search over many seeds found a violation.

use hickorychute_histories::{Plan, run};

fn check(seed: u64) {
    let plan = Plan::any(seed);
    let outcome = run(&plan);
    let shown: Vec<String> = outcome.violations.iter().map(ToString::to_string).collect();
    assert!(
        outcome.is_clean(),
        "{}: {shown:?}, {:?}",
        plan.describe(),
        outcome.unsettled
    );
}

#[test]
fn found_seed_330_settles() {
    check(330);
}

// Guards against a hand-back by a paused owner of runs that its successor has started.
#[test]
fn found_seed_1573_completes_no_task_twice() {
    check(1573);
}

// Guards against taking a roster that could not be read for a group without workers.
#[test]
fn found_seed_3171_completes_no_task_twice() {
    check(3171);
}

#[test]
fn found_seed_1360_runs_no_task_twice() {
    check(1360);
}
