//! Cells whose workers differ in pace.

use hickorychute_cell::{ids::TaskId, jobs::JobState};

use crate::support::{self, DelayedStarts, Model, WorkerMode};

/// Number of workers; every third one is slow.
const WORKERS: usize = 12;
const FAST_PERCENT: u64 = 85;
const SLOW_PERCENT: u64 = 160;

fn is_slow(worker: usize) -> bool {
    worker.is_multiple_of(3)
}

/// Tasks of a step differ by up to 30%.
fn varied(task: TaskId) -> u64 {
    let mixed =
        (task.step.job.0 * 31 + u64::from(task.index) * 17 + 7).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    70 + (mixed >> 40) % 61
}

/// A cell with slow workers that have run enough for their paces to be known.
fn learned_cell() -> Model {
    let mut model = Model::new(support::config(), WORKERS);
    model.work_percent = varied;
    for worker in 0..WORKERS {
        let percent = if is_slow(worker) {
            SLOW_PERCENT
        } else {
            FAST_PERCENT
        };
        model.set_pace(worker, percent);
    }
    for number in 0..40 {
        let steps = vec![support::step(24, 8_000, 900)];
        model.submit(support::job(100_000 + number, "batch", steps));
        model.run_ms(1_500);
    }
    model.run_ms(4_000);
    model
}

fn pace(model: &Model, worker: usize) -> Option<u32> {
    let id = format!("w{worker}");
    model.coordinator.workers()[id.as_str()].relative_pace_percent
}

fn assert_paces_known(model: &Model, name: &str) {
    for worker in 0..WORKERS {
        let pace = pace(model, worker);
        let summary = model.coordinator.pace_summary();
        let known = pace.is_some_and(|percent| (percent > 130) == is_slow(worker));
        assert!(known, "{name}: worker {worker}: {pace:?}, {summary:?}");
    }
}

/// Workers with members of a gang.
fn used_by(model: &Model, job: u64) -> Vec<usize> {
    let of_job = |task: &TaskId| task.step.job == support::id(job);
    (0..WORKERS)
        .filter(|&worker| model.tasks_on(worker).iter().any(of_job))
        .collect()
}

/// Guards against gangs that run at the pace of one slow member while fast workers have room.
#[test]
fn gangs_do_not_mix_paces() {
    let mut model = learned_cell();
    assert_paces_known(&model, "learned");
    let mut mixed = 0;
    for number in 0..30 {
        let steps = vec![support::step(6, 3_000, 600)];
        model.submit(support::job(200_000 + number, "batch", steps));
        model.submit(support::job(
            number,
            "gang",
            vec![support::gang(8, 6_000, 700)],
        ));
        model.run_ms(250);
        let used = used_by(&model, number);
        let slow = used.iter().filter(|&&worker| is_slow(worker)).count();
        mixed += u32::from(slow > 0 && slow < used.len());
        model.run_ms(900);
    }
    assert!(mixed <= 3, "{mixed} of 30 gangs mix");
}

#[test]
fn urgent_tasks_run_on_fast_workers_beside_batches() {
    let mut model = learned_cell();
    let mut on_slow = 0;
    let mut urgent = 0;
    for number in 0..40 {
        let steps = vec![support::step(8, 4_000, 1_000)];
        model.submit(support::job(200_000 + number, "batch", steps));
        model.submit(support::job(
            number,
            "urgent",
            vec![support::step(3, 3_000, 600)],
        ));
        model.run_ms(200);
        for worker in 0..WORKERS {
            let of_job = |task: &&TaskId| task.step.job == support::id(number);
            let count = model.tasks_on(worker).iter().filter(of_job).count();
            urgent += count;
            on_slow += if is_slow(worker) { count } else { 0 };
        }
        model.run_ms(300);
    }
    assert!(urgent >= 100, "{urgent} urgent tasks were placed at once");
    assert!(
        on_slow * 10 <= urgent,
        "{on_slow} of {urgent} urgent tasks are on slow workers"
    );
}

#[test]
fn a_takeover_keeps_the_paces_and_a_new_process_drops_its_own() {
    let mut model = learned_cell();
    assert_paces_known(&model, "before");
    model.take_over();
    model.run_ms(1_500);
    assert_paces_known(&model, "after");
    model.restart_worker(0, DelayedStarts::InProcess);
    model.run_ms(200);
    assert_eq!(pace(&model, 0), None);
    assert!(pace(&model, 3).is_some());
}

/// Guards against backing off workers that are slow by nature, and against missing one that has become
/// slow.
#[test]
fn only_a_worker_that_is_slower_than_its_own_pace_is_backed_off() {
    struct Case {
        name: &'static str,
        worker: usize,
        mode: WorkerMode,
        backed_off: bool,
    }
    let cases = [
        Case {
            name: "slow by nature",
            worker: 0,
            mode: WorkerMode::Healthy,
            backed_off: false,
        },
        Case {
            name: "slow by nature, five times slower than that",
            worker: 0,
            mode: WorkerMode::Slow(5),
            backed_off: true,
        },
        Case {
            name: "fast, five times slower than that",
            worker: 1,
            mode: WorkerMode::Slow(5),
            backed_off: true,
        },
    ];
    for case in cases {
        let mut model = learned_cell();
        model.set_mode(case.worker, case.mode);
        let mut suspected = false;
        for number in 0..8 {
            let steps = vec![support::step(24, 8_000, 2_000)];
            model.submit(support::job(300_000 + number, "batch", steps));
            for _ in 0..15 {
                model.run_ms(100);
                let id = format!("w{}", case.worker);
                let worker = &model.coordinator.workers()[id.as_str()];
                suspected |= worker.is_suspect(model.now_ms);
            }
        }
        assert_eq!(suspected, case.backed_off, "{}", case.name);
    }
}

/// Guards against a change in cells of equal workers: nothing is published there.
#[test]
fn equal_workers_stay_equal() {
    let mut model = Model::new(support::config(), WORKERS);
    model.work_percent = varied;
    for number in 0..40 {
        let steps = vec![support::step(24, 8_000, 900)];
        model.submit(support::job(1_000 + number, "batch", steps));
        model.run_ms(1_500);
        assert_eq!(model.coordinator.pace_summary(), None, "job {number}");
    }
    assert_eq!(model.state(1_000), Some(JobState::Completed));
}
