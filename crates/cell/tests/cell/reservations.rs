//! Workers that are kept free for gangs and long-running tasks, and the jobs that wait beside them.

use std::rc::Rc;

use hickorychute_cell::{
    config::Config,
    ids::TaskId,
    jobs::{JobState, StepSpec},
};

use crate::support::{self, Model};

/// A job that could run and has nothing running must be started within this time.
const MAX_IDLE_MS: u64 = 2_500;

fn first_task(job: u64) -> TaskId {
    let text = format!("{job:016x}.0.0.0");
    text.parse().expect("a valid task ID")
}

/// A job for which workers might be kept free, and what runs on these workers.
#[derive(Debug)]
struct Case {
    name: &'static str,
    config: Rc<Config>,
    workers: usize,
    labelled_workers: usize,
    /// Tasks that run on each labelled worker.
    running: StepSpec,
    /// Step of the job that cannot start.
    blocked: StepSpec,
    takes_over: bool,
}

fn cases() -> Vec<Case> {
    let lasting = |count| StepSpec {
        max_per_worker: 1,
        ..support::long_running(support::step(count, 2_000, 1_000))
    };
    vec![
        Case {
            name: "lasting tasks beside lasting tasks",
            config: support::config(),
            workers: 12,
            labelled_workers: 2,
            running: lasting(2),
            blocked: support::long_running(support::step(2, 15_000, 1_000)),
            takes_over: false,
        },
        Case {
            name: "the same, takeover",
            config: support::config(),
            workers: 12,
            labelled_workers: 2,
            running: lasting(2),
            blocked: support::long_running(support::step(2, 15_000, 1_000)),
            takes_over: true,
        },
        Case {
            name: "the same at a larger size",
            config: support::config(),
            workers: 60,
            labelled_workers: 9,
            running: lasting(9),
            blocked: support::long_running(support::step(9, 15_000, 1_000)),
            takes_over: false,
        },
        Case {
            name: "gang beside lasting tasks",
            config: support::config(),
            workers: 12,
            labelled_workers: 3,
            running: lasting(3),
            blocked: support::gang(3, 15_000, 6_000),
            takes_over: false,
        },
        Case {
            name: "queue with advice",
            config: support::advised_config(),
            workers: 12,
            labelled_workers: 3,
            running: lasting(3),
            blocked: support::long_running(support::step(3, 15_000, 1_000)),
            takes_over: false,
        },
        Case {
            name: "memory",
            config: support::config(),
            workers: 12,
            labelled_workers: 2,
            running: StepSpec {
                memory_mb: 2_000,
                ..lasting(2)
            },
            blocked: StepSpec {
                memory_mb: 31_000,
                ..support::long_running(support::step(2, 1_000, 1_000))
            },
            takes_over: false,
        },
        Case {
            name: "lasting tasks beside long ones",
            config: support::config(),
            workers: 12,
            labelled_workers: 2,
            running: StepSpec {
                max_per_worker: 1,
                ..support::step(2, 2_000, 90_000)
            },
            blocked: support::long_running(support::step(2, 15_000, 1_000)),
            takes_over: false,
        },
        Case {
            name: "gang beside long tasks",
            config: support::config(),
            workers: 12,
            labelled_workers: 3,
            running: StepSpec {
                max_per_worker: 1,
                ..support::step(3, 2_000, 90_000)
            },
            blocked: support::gang(3, 15_000, 6_000),
            takes_over: false,
        },
    ]
}

/// Guards against jobs that are never started because their workers are kept free for a job that
/// can't use them, or can't use them soon.
#[test]
fn small_jobs_start_beside_a_job_that_cannot() {
    for case in cases() {
        let mut model = Model::new(case.config, case.workers);
        // The same workers are eligible for every step in queues with advice.
        model.eligible_percent = 0;
        for number in 0..case.labelled_workers {
            model.add_label(number, support::LABEL);
        }
        model.run_ms(100);
        model.submit(support::job(
            1,
            "batch",
            vec![support::labelled(case.running)],
        ));
        model.run_ms(500);
        model.submit(support::job(
            2,
            "gang",
            vec![support::labelled(case.blocked)],
        ));
        // Workers are kept free for a gang once it has waited for part of its objective.
        model.run_ms(4_000);
        if case.takes_over {
            model.take_over();
            model.run_ms(300);
        }
        for number in 10..29 {
            let steps = vec![support::labelled(support::step(1, 2_000, 300))];
            model.submit(support::job(number, "batch", steps));
        }
        model.submit(support::job(
            30,
            "batch",
            vec![support::labelled(support::long_running(support::step(
                1, 500, 300,
            )))],
        ));
        model.run_ms(MAX_IDLE_MS);
        for number in (10..29).chain([30]) {
            let started = model.first_starts_ms.contains_key(&first_task(number));
            assert!(started, "{}: job {number} is not started", case.name);
        }
        assert_eq!(model.state(2), Some(JobState::Queued), "{}", case.name);
    }
}

/// Workers that are kept free must get free: they are not chosen among those that are backed off.
#[test]
fn workers_kept_free_serve_their_job() {
    struct Case {
        name: &'static str,
        blocked: StepSpec,
    }
    let cases = [
        Case {
            name: "lasting tasks",
            blocked: support::long_running(support::step(2, 15_000, 1_000)),
        },
        Case {
            name: "gang",
            blocked: support::gang(2, 15_000, 1_000),
        },
    ];
    for case in cases {
        let mut model = Model::new(support::config(), 8);
        model.run_ms(100);
        // Small tasks keep every worker busy, and more of them wait.
        for number in 0..150 {
            let steps = vec![support::step(4, 4_000, 600)];
            model.submit(support::job(100 + number, "urgent", steps));
        }
        model.run_ms(300);
        model.submit(support::job(2, "gang", vec![case.blocked]));
        model.run_ms(4_000);
        let started = model.first_starts_ms.contains_key(&first_task(2));
        assert!(started, "{}: not started", case.name);
    }
}
