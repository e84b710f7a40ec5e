//! Long-running tasks in an overloaded cell.

use hickorychute_cell::{ids::TaskId, jobs::StepSpec};

use crate::support::{self, Model, WorkerMode};

fn long_running_step(count: u32, cpu_millicores: u64) -> StepSpec {
    StepSpec {
        long_running: true,
        ..support::step(count, cpu_millicores, 400)
    }
}

/// Submits twice as much work each second as the workers can do.
fn overload(model: &mut Model, seconds: u64) {
    for second in 0..seconds {
        for number in 0..16 {
            let id = 1_000 + second * 100 + number;
            let steps = vec![support::step(1, 4_000, 1_000)];
            model.submit(support::job(id + model.now_ms * 1_000, "urgent", steps));
        }
        model.run_ms(1_000);
    }
}

#[test]
fn long_running_task_restarts_promptly_in_an_overloaded_cell() {
    struct Case {
        name: &'static str,
        queue: &'static str,
        cpu_millicores: u64,
    }
    let cases = [
        Case {
            name: "as small as the other tasks",
            queue: "urgent",
            cpu_millicores: 4_000,
        },
        Case {
            name: "in a queue of lower priority",
            queue: "batch",
            cpu_millicores: 4_000,
        },
        Case {
            name: "as large as a worker",
            queue: "batch",
            cpu_millicores: 16_000,
        },
    ];
    for case in cases {
        let mut model = Model::new(support::config(), 3);
        model.submit(support::job(
            1,
            case.queue,
            vec![long_running_step(1, case.cpu_millicores)],
        ));
        model.run_ms(30_000);
        let task: TaskId = "0000000000000001.0.0.0".parse().expect("a task's name");
        let original = (0..3)
            .find(|&worker| model.tasks_on(worker).contains(&task))
            .expect("it runs");
        overload(&mut model, 2);
        model.set_mode(original, WorkerMode::FailsRuns);
        let failed_before = model.failures(task);
        while model.failures(task) == failed_before {
            overload(&mut model, 1);
        }
        model.set_mode(original, WorkerMode::Healthy);
        overload(&mut model, 2);
        let restarted = (0..3).any(|worker| model.tasks_on(worker).contains(&task));
        assert!(restarted, "{}: not restarted within 2 s", case.name);
    }
}

/// A wide step with a limit of one task per worker. An eligible worker that runs one task of the
/// step has no slot for another, so queries must name workers that have not been named yet.
#[test]
fn queries_name_other_workers_when_eligible_ones_reached_their_task_limit() {
    let mut model = Model::new(support::advised_config(), 160);
    model.eligible_percent = 6;
    let step = StepSpec {
        max_per_worker: 1,
        ..long_running_step(9, 1_000)
    };
    model.submit(support::job(1, "urgent", vec![step]));
    model.run_ms(6_000);
    let running: usize = (0..160).map(|worker| model.tasks_on(worker).len()).sum();
    assert_eq!(running, 9);
}

#[test]
fn long_running_task_restarts_on_the_failed_worker_when_others_are_full() {
    let mut model = Model::new(support::config(), 2);
    let long = |id| support::job(id, "batch", vec![support::step(1, 16_000, 60_000)]);
    model.submit(long(2));
    model.run_ms(200);
    model.submit(support::job(
        1,
        "urgent",
        vec![long_running_step(1, 16_000)],
    ));
    model.run_ms(500);
    let task: TaskId = "0000000000000001.0.0.0".parse().expect("a task's name");
    let worker_of = |model: &Model| (0..2).find(|&w| model.tasks_on(w).contains(&task));
    let original = worker_of(&model).expect("it runs");
    model.set_mode(original, WorkerMode::FailsRuns);
    while model.failures(task) == 0 {
        model.run_ms(10);
    }
    model.set_mode(original, WorkerMode::Healthy);
    model.run_ms(1_500);
    assert_eq!(worker_of(&model), Some(original));
}
