//! Preferences among workers: each ends when it costs a job its turn.

use std::rc::Rc;

use hickorychute_cell::{
    config::Config,
    ids::TaskId,
    jobs::{JobState, StepSpec},
};

use crate::support::{self, Model, WorkerMode};

/// A job with attempts left that could run and has nothing running must be started within this
/// time.
const MAX_IDLE_MS: u64 = 2_500;
/// Number of labelled workers: one is filled, the other fails its runs.
const LABELLED_WORKERS: usize = 2;

fn task(job: u64, index: u32) -> TaskId {
    let text = format!("{job:016x}.0.0.{index}");
    text.parse().expect("a valid task ID")
}

/// A cell in which all labelled workers but one are nearly full. Returns it with that worker.
fn cell_with_one_free_worker(
    config: Rc<Config>,
    workers: usize,
    filler: &StepSpec,
) -> (Model, usize) {
    let mut model = Model::new(config, workers);
    for number in 0..LABELLED_WORKERS {
        model.add_label(number, support::LABEL);
    }
    model.run_ms(100);
    model.submit(support::job(
        1,
        "batch",
        vec![support::labelled(filler.clone())],
    ));
    model.run_ms(1_000);
    let idle: Vec<usize> = (0..LABELLED_WORKERS)
        .filter(|&number| model.tasks_on(number).is_empty())
        .collect();
    let [free] = idle.as_slice() else {
        panic!("the filling tasks leave {idle:?} idle");
    };
    (model, *free)
}

/// Guards against a task that is never started again after it failed on the only worker with room,
/// because another worker could run it and is full.
#[test]
fn a_failed_task_returns_to_the_worker_when_others_stay_full() {
    struct Case {
        name: &'static str,
        config: Rc<Config>,
        workers: usize,
        filler: StepSpec,
        step: StepSpec,
        takes_over: bool,
    }
    let lasting = support::long_running(support::step(2, 7_500, 1_000));
    let cases = [
        Case {
            name: "full of lasting tasks",
            config: support::config(),
            workers: 12,
            filler: lasting.clone(),
            step: support::step(1, 2_000, 400),
            takes_over: false,
        },
        Case {
            name: "full of long tasks",
            config: support::config(),
            workers: 4,
            filler: support::step(2, 7_500, 120_000),
            step: support::step(1, 2_000, 400),
            takes_over: false,
        },
        Case {
            name: "queue with advice",
            config: support::advised_config(),
            workers: 12,
            filler: lasting.clone(),
            step: support::step(1, 2_000, 400),
            takes_over: false,
        },
        Case {
            name: "gang",
            config: support::config(),
            workers: 60,
            filler: lasting.clone(),
            step: support::gang(2, 2_000, 400),
            takes_over: false,
        },
        Case {
            name: "several tasks, takeover",
            config: support::config(),
            workers: 12,
            filler: lasting,
            step: support::step(3, 2_000, 400),
            takes_over: true,
        },
    ];
    for case in cases {
        let (mut model, free) = cell_with_one_free_worker(case.config, case.workers, &case.filler);
        model.set_mode(free, WorkerMode::FailsRuns);
        model.submit(support::job(2, "batch", vec![support::labelled(case.step)]));
        while model.failures(task(2, 0)) == 0 {
            model.run_ms(10);
        }
        model.set_mode(free, WorkerMode::Healthy);
        if case.takes_over {
            model.take_over();
        }
        let starts = model.starts;
        model.run_ms(MAX_IDLE_MS);
        assert!(model.starts > starts, "{}: not started again", case.name);
    }
}

/// Guards against spending a task's last attempt on a worker that is still faulty: the only one with
/// room fails everything for a while, and nothing tells whether the task or the worker is at fault.
#[test]
fn the_last_attempt_waits_for_a_worker_that_may_still_be_faulty() {
    struct Case {
        name: &'static str,
        step: StepSpec,
        filled_workers: usize,
    }
    let cases = [
        Case {
            name: "other worker is full",
            step: support::step(1, 2_000, 400),
            filled_workers: 1,
        },
        Case {
            name: "no other worker has the label",
            step: support::step(1, 2_000, 400),
            filled_workers: 0,
        },
        Case {
            name: "gang",
            step: support::gang(2, 2_000, 400),
            filled_workers: 1,
        },
    ];
    for case in cases {
        let filler = support::long_running(support::step(2, 7_500, 1_000));
        let (mut model, free) = cell_with_one_free_worker(support::config(), 12, &filler);
        if case.filled_workers == 0 {
            model.set_mode(LABELLED_WORKERS - 1 - free, WorkerMode::Down);
        }
        model.set_mode(free, WorkerMode::FailsRuns);
        model.submit(support::job(
            2,
            "urgent",
            vec![support::labelled(case.step)],
        ));
        model.run_ms(3_000);
        model.set_mode(free, WorkerMode::Healthy);
        model.run_ms(7_000);
        assert_eq!(model.state(2), Some(JobState::Completed), "{}", case.name);
    }
}

/// A run that was started later and completes shows that the worker is sound.
#[test]
fn a_failed_task_returns_to_a_worker_that_has_completed_a_later_run() {
    let filler = support::long_running(support::step(2, 7_500, 1_000));
    let (mut model, free) = cell_with_one_free_worker(support::config(), 12, &filler);
    model.set_mode(free, WorkerMode::FailsRuns);
    let steps = vec![support::labelled(support::step(1, 2_000, 400))];
    model.submit(support::job(2, "urgent", steps.clone()));
    while model.failures(task(2, 0)) == 0 {
        model.run_ms(10);
    }
    model.set_mode(free, WorkerMode::Healthy);
    model.run_ms(100);
    model.submit(support::job(3, "urgent", steps));
    model.run_ms(1_800);
    assert_eq!(model.state(3), Some(JobState::Completed));
    assert_eq!(model.state(2), Some(JobState::Completed));
}

/// Guards against jobs that stand still while the only workers that may run them are backed off:
/// the back-off grows with each failure, and outlasts the fault.
#[test]
fn a_backed_off_worker_serves_jobs_that_no_other_worker_can_run() {
    struct Case {
        name: &'static str,
        config: Rc<Config>,
        step: StepSpec,
    }
    let cases = [
        Case {
            name: "finite task",
            config: support::config(),
            step: support::step(1, 2_000, 400),
        },
        Case {
            name: "lasting task",
            config: support::config(),
            step: support::long_running(support::step(1, 2_000, 400)),
        },
        Case {
            name: "queue with advice",
            config: support::advised_config(),
            step: support::step(1, 2_000, 400),
        },
    ];
    let filler = support::long_running(support::step(2, 7_500, 1_000));
    for case in cases {
        let (mut model, free) = cell_with_one_free_worker(case.config, 12, &filler);
        model.set_mode(free, WorkerMode::FailsRuns);
        for number in 0..70 {
            let steps = vec![support::labelled(support::step(1, 1_000, 200))];
            model.submit(support::job(100 + number, "urgent", steps));
            model.run_ms(100);
        }
        model.set_mode(free, WorkerMode::Healthy);
        model.submit(support::job(
            2,
            "urgent",
            vec![support::labelled(case.step)],
        ));
        model.run_ms(MAX_IDLE_MS);
        let started = model.first_starts_ms.contains_key(&task(2, 0));
        assert!(started, "{}: not started", case.name);
    }
}

/// The same for a worker that stays slow, which receives no tasks while others can.
#[test]
fn a_slow_worker_serves_jobs_that_no_other_worker_can_run() {
    let mut model = Model::new(support::config(), 12);
    for number in 0..LABELLED_WORKERS {
        model.add_label(number, support::LABEL);
    }
    model.run_ms(100);
    let wide = support::labelled(support::step(6, 4_000, 20_000));
    model.submit(support::job(1, "batch", vec![wide]));
    model.run_ms(300);
    let slow = (0..LABELLED_WORKERS)
        .find(|&number| model.tasks_on(number).len() == 2)
        .expect("the first four tasks fill one worker");
    model.set_mode(slow, WorkerMode::Slow(8));
    model.run_ms(5_000);
    let id = model.workers.get_index(slow).expect("it is there").0;
    let worker = &model.coordinator.workers()[id];
    assert!(worker.is_suspect(model.now_ms), "it counts as slow");
    let steps = vec![support::labelled(support::step(1, 2_000, 400))];
    model.submit(support::job(2, "urgent", steps));
    model.run_ms(MAX_IDLE_MS);
    assert!(model.first_starts_ms.contains_key(&task(2, 0)));
}
