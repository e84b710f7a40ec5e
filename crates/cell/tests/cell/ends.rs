//! Ends of runs that do not fit into a worker's report.

use hickorychute_cell::jobs::{JobState, StepSpec};

use crate::support::{self, Model, WorkerMode};

/// Guards against starting a task again whose end the worker has not listed yet: while the store is
/// unavailable, ends cannot be acknowledged, and only the first ones are listed.
#[test]
fn tasks_whose_ends_do_not_fit_into_a_report_run_once() {
    struct Case {
        name: &'static str,
        step: StepSpec,
        max_listed_ends: usize,
        takeovers: u32,
        outage_ms: u64,
    }
    let cases = [
        Case {
            name: "many ends in an outage",
            step: support::step(300, 500, 200),
            max_listed_ends: 20,
            takeovers: 0,
            outage_ms: 2_500,
        },
        Case {
            name: "a single listed end",
            step: support::step(60, 1_000, 200),
            max_listed_ends: 1,
            takeovers: 0,
            outage_ms: 2_000,
        },
        Case {
            name: "takeover during the outage",
            step: support::step(300, 500, 200),
            max_listed_ends: 20,
            takeovers: 1,
            outage_ms: 2_500,
        },
        Case {
            name: "three takeovers",
            step: support::step(300, 500, 200),
            max_listed_ends: 20,
            takeovers: 3,
            outage_ms: 1_500,
        },
        Case {
            name: "an outage that outlasts the predecessor's holds",
            step: support::step(300, 500, 200),
            max_listed_ends: 20,
            takeovers: 1,
            outage_ms: 14_000,
        },
        Case {
            name: "limit per worker",
            step: StepSpec {
                max_per_worker: 4,
                ..support::step(60, 500, 200)
            },
            max_listed_ends: 5,
            takeovers: 1,
            outage_ms: 2_500,
        },
    ];
    for case in cases {
        let count = u64::from(case.step.count);
        let mut model = Model::new(support::config(), 3);
        model.max_listed_ends = case.max_listed_ends;
        model.run_ms(100);
        model.submit(support::job(1, "batch", vec![case.step]));
        model.store_up = false;
        model.run_ms(case.outage_ms);
        for _ in 0..case.takeovers {
            model.take_over();
            model.run_ms(case.outage_ms);
        }
        model.store_up = true;
        model.run_ms(20_000);
        // The model asserts at every start that the task has not completed.
        assert_eq!(model.state(1), Some(JobState::Completed), "{}", case.name);
        assert_eq!(model.starts, count, "{}", case.name);
    }
}

/// Runs that have ended free their resources, also while their ends are not listed.
#[test]
fn unlisted_ends_do_not_keep_resources() {
    let mut model = Model::new(support::config(), 1);
    model.max_listed_ends = 4;
    model.run_ms(100);
    model.submit(support::job(
        1,
        "batch",
        vec![support::step(16, 1_000, 200)],
    ));
    model.store_up = false;
    model.run_ms(1_000);
    model.submit(support::job(
        2,
        "batch",
        vec![support::step(1, 16_000, 200)],
    ));
    model.run_ms(300);
    assert_eq!(model.starts, 17);
    model.store_up = true;
    model.run_ms(5_000);
    assert_eq!(model.state(1), Some(JobState::Completed));
    assert_eq!(model.state(2), Some(JobState::Completed));
}

/// A worker that is lost with unlisted ends does not hold up its tasks for ever: ends that it had
/// not listed when its hold expired do not count.
#[test]
fn tasks_of_a_lost_worker_with_unlisted_ends_run_again() {
    struct Case {
        name: &'static str,
        takes_over: bool,
    }
    let cases = [
        Case {
            name: "same coordinator",
            takes_over: false,
        },
        Case {
            name: "takeover",
            takes_over: true,
        },
    ];
    for case in cases {
        let mut model = Model::new(support::config(), 2);
        model.max_listed_ends = 4;
        model.run_ms(100);
        model.submit(support::job(
            1,
            "batch",
            vec![support::step(64, 1_000, 200)],
        ));
        model.store_up = false;
        model.run_ms(1_000);
        if case.takes_over {
            model.take_over();
            model.run_ms(200);
        }
        model.set_mode(0, WorkerMode::Down);
        model.store_up = true;
        model.run_ms(20_000);
        assert_eq!(model.state(1), Some(JobState::Completed), "{}", case.name);
    }
}
