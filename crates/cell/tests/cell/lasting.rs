//! Tasks that last, in a cell that is full of other work.

use hickorychute_cell::{ids::TaskId, jobs::StepSpec};

use crate::support::{self, Fate, Model};

fn lasting(count: u32, cpu_millicores: u64) -> StepSpec {
    StepSpec {
        long_running: true,
        ..support::step(count, cpu_millicores, 400)
    }
}

/// A cell in which twice as much is handed in each second as its workers can do.
fn overfull(model: &mut Model, seconds: u64) {
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
fn a_lasting_task_that_fails_late_in_its_life_is_back_at_once_in_an_overfull_cell() {
    struct Case {
        name: &'static str,
        queue: &'static str,
        cpu_millicores: u64,
    }
    let cases = [
        Case {
            name: "as small as the tasks around it",
            queue: "urgent",
            cpu_millicores: 4_000,
        },
        Case {
            name: "of a queue that comes after the others",
            queue: "batch",
            cpu_millicores: 4_000,
        },
        Case {
            name: "as wide as a worker",
            queue: "batch",
            cpu_millicores: 16_000,
        },
    ];
    for case in cases {
        let mut model = Model::new(support::config(), 3);
        model.submit(support::job(
            1,
            case.queue,
            vec![lasting(1, case.cpu_millicores)],
        ));
        model.run_ms(30_000);
        let task: TaskId = "0000000000000001.0.0.0".parse().expect("a task's name");
        let home = (0..3)
            .find(|&worker| model.tasks_on(worker).contains(&task))
            .expect("it runs");
        overfull(&mut model, 2);
        model.set_fate(home, Fate::Fails);
        let failed_before = model.failures(task);
        while model.failures(task) == failed_before {
            overfull(&mut model, 1);
        }
        model.set_fate(home, Fate::Sound);
        overfull(&mut model, 2);
        let back = (0..3).any(|worker| model.tasks_on(worker).contains(&task));
        assert!(back, "{}: not back at work after 2 s", case.name);
    }
}

/// Pattern: a wide step of which a worker may run one task only. A good worker that runs one already has
/// no room for another, so the question goes on to workers that were not named yet.
#[test]
fn tasks_that_may_not_share_a_worker_find_others_though_known_ones_have_room() {
    let mut model = Model::new(support::advised_config(), 160);
    model.good_percent = 6;
    let step = StepSpec {
        max_per_worker: 1,
        ..lasting(9, 1_000)
    };
    model.submit(support::job(1, "urgent", vec![step]));
    model.run_ms(6_000);
    let running: usize = (0..160).map(|worker| model.tasks_on(worker).len()).sum();
    assert_eq!(running, 9);
}

#[test]
fn a_lasting_task_runs_again_where_it_failed_while_all_other_workers_are_full() {
    let mut model = Model::new(support::config(), 2);
    let long = |id| support::job(id, "batch", vec![support::step(1, 16_000, 60_000)]);
    model.submit(long(2));
    model.run_ms(200);
    model.submit(support::job(1, "urgent", vec![lasting(1, 16_000)]));
    model.run_ms(500);
    let task: TaskId = "0000000000000001.0.0.0".parse().expect("a task's name");
    let runs_at = |model: &Model| (0..2).find(|&w| model.tasks_on(w).contains(&task));
    let home = runs_at(&model).expect("it runs");
    model.set_fate(home, Fate::Fails);
    while model.failures(task) == 0 {
        model.run_ms(10);
    }
    model.set_fate(home, Fate::Sound);
    model.run_ms(1_500);
    assert_eq!(runs_at(&model), Some(home));
}
