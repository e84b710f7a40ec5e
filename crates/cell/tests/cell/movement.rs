//! Workers become slow, stall their runs or drain while tasks run on them.

use std::rc::Rc;

use hickorychute_cell::{
    jobs::{JobRecord, JobState, StepSpec},
    progress::{self, Progress, StepPace},
};

use crate::support::{self, Model, WorkerMode};

/// Maximum time to detect a slow worker, in milliseconds: holds of the model are 50 ms apart, and a
/// measurement takes up to 1.5 s.
const MAX_DETECTION_MS: u64 = 2_000;

fn batch(id: u64, count: u32, estimate_ms: u64, checkpointing: bool) -> JobRecord {
    let step = StepSpec {
        checkpointing,
        ..support::step(count, 1_000, estimate_ms)
    };
    support::job(id, "batch", vec![step])
}

#[test]
fn pace_of_a_run_is_measured_from_its_reports() {
    struct Case {
        name: &'static str,
        /// Time and percentage of each report.
        lists: &'static [(u64, u64)],
        total_ms: u64,
        unchanged_reports: u32,
    }
    let cases = [
        Case {
            name: "span too short",
            lists: &[(100, 10), (300, 30)],
            total_ms: 0,
            unchanged_reports: 0,
        },
        Case {
            name: "one second in total",
            lists: &[(250, 25), (500, 50)],
            total_ms: 1_000,
            unchanged_reports: 0,
        },
        Case {
            name: "last span counts",
            lists: &[(500, 50), (1_000, 55)],
            total_ms: 10_000,
            unchanged_reports: 0,
        },
        Case {
            name: "too little progress to measure",
            lists: &[(500, 50), (1_000, 52)],
            total_ms: 1_000,
            unchanged_reports: 0,
        },
        Case {
            name: "resuming run starts at its checkpoint",
            lists: &[(50, 60), (500, 75)],
            total_ms: 3_000,
            unchanged_reports: 0,
        },
        Case {
            name: "resuming run without progress at first",
            lists: &[(300, 0), (700, 0), (1_000, 30)],
            total_ms: 3_333,
            unchanged_reports: 0,
        },
        Case {
            name: "no progress",
            lists: &[(500, 0), (1_000, 0), (1_500, 0)],
            total_ms: 150_000,
            unchanged_reports: 3,
        },
    ];
    for case in cases {
        let mut progress = Progress::unreported(0);
        if case.lists[0].1 < 60 {
            progress.update(0, 0);
        }
        for &(now_ms, percent) in case.lists {
            progress.update(percent, now_ms);
        }
        assert_eq!(progress.total_ms, case.total_ms, "{}", case.name);
        assert_eq!(
            progress.unchanged_reports, case.unchanged_reports,
            "{}",
            case.name
        );
    }
}

#[test]
fn a_worker_is_slow_only_relative_to_others() {
    struct Case {
        name: &'static str,
        factors: &'static [f64],
        slow: bool,
    }
    let cases = [
        Case {
            name: "nothing measured",
            factors: &[],
            slow: false,
        },
        Case {
            name: "tasks of a step differ by a half",
            factors: &[1.5, 1.4, 0.6],
            slow: false,
        },
        Case {
            name: "one long task among others",
            factors: &[6.0, 1.0, 1.0],
            slow: false,
        },
        Case {
            name: "all runs slow",
            factors: &[4.0, 6.0],
            slow: true,
        },
        Case {
            name: "single run below its higher threshold",
            factors: &[4.0],
            slow: false,
        },
        Case {
            name: "single run above its higher threshold",
            factors: &[5.0],
            slow: true,
        },
    ];
    for case in cases {
        let mut factors = case.factors.to_vec();
        assert_eq!(progress::is_slow(&mut factors), case.slow, "{}", case.name);
    }
}

#[test]
fn a_step_is_compared_with_its_runs_on_other_workers() {
    let workers: Vec<Rc<str>> = ["a", "b", "c", "d", "e"].map(Rc::from).to_vec();
    let mut pace = StepPace::default();
    assert_eq!(pace.fastest_elsewhere_ms("a"), None);
    pace.record(&workers[0], 900);
    assert_eq!(
        pace.fastest_elsewhere_ms("a"),
        None,
        "runs on the same worker do not count"
    );
    assert_eq!(pace.fastest_elsewhere_ms("b"), Some(900));
    for (worker, total_ms) in workers.iter().zip([800, 700, 600, 500, 4_000]) {
        pace.record(worker, total_ms);
    }
    assert_eq!(pace.fastest_elsewhere_ms("d"), Some(600));
    assert_eq!(pace.fastest_elsewhere_ms("e"), Some(500));
}

/// Declared durations can be wrong for all tasks of a step alike. Guards against treating workers
/// with such tasks as slow and moving all runs off them.
#[test]
fn tasks_that_take_longer_than_declared_make_no_worker_slow() {
    let mut model = Model::new(support::config(), 3);
    model.set_mode(0, WorkerMode::Slow(5));
    model.set_mode(1, WorkerMode::Slow(5));
    model.set_mode(2, WorkerMode::Slow(5));
    model.submit(batch(1, 24, 800, true));
    model.run_ms(15_000);
    assert_eq!(model.state(1), Some(JobState::Completed));
    assert_eq!(model.starts, 24);
}

/// A quarter of the workers becomes six times slower while tasks keep arriving.
#[test]
fn a_slow_worker_gets_no_new_tasks_and_its_checkpointed_runs_move() {
    let mut model = Model::new(support::config(), 4);
    model.submit(batch(1, 40, 4_000, true));
    model.run_ms(1_000);
    assert!(!model.tasks_on(0).is_empty());
    model.set_mode(0, WorkerMode::Slow(6));
    model.run_ms(MAX_DETECTION_MS);
    for number in 2..6 {
        model.submit(batch(number, 4, 500, false));
    }
    model.run_ms(300);
    let fresh = model
        .tasks_on(0)
        .iter()
        .filter(|task| task.step.job != support::id(1))
        .count();
    assert_eq!(fresh, 0, "the slow worker got new tasks");
    // Without a move, the tasks would take 19 s from the start.
    model.run_ms(6_000);
    assert_eq!(model.state(1), Some(JobState::Completed));
}

#[test]
fn runs_without_checkpoints_stay_if_a_move_does_not_reduce_lateness() {
    let mut model = Model::new(support::config(), 2);
    // The objective of 4 * 1.5 s + 3 s is met even on the slow worker.
    model.submit(batch(1, 20, 1_500, false));
    model.run_ms(700);
    model.set_mode(0, WorkerMode::Slow(4));
    let before = model.starts;
    model.run_ms(5_000);
    assert_eq!(model.state(1), Some(JobState::Completed));
    assert_eq!(model.starts, before, "work was discarded");
}

/// A draining worker remains for a while, and checkpoints are at most a second old, so only
/// long-running tasks are moved before it shuts down.
#[test]
fn only_long_running_tasks_move_off_a_draining_worker() {
    struct Case {
        name: &'static str,
        long_running: bool,
        moved: bool,
    }
    let cases = [
        Case {
            name: "long-running",
            long_running: true,
            moved: true,
        },
        Case {
            name: "finite",
            long_running: false,
            moved: false,
        },
    ];
    for case in cases {
        let mut model = Model::new(support::config(), 2);
        let step = StepSpec {
            checkpointing: true,
            long_running: case.long_running,
            ..support::step(4, 1_000, 5_000)
        };
        model.submit(support::job(1, "batch", vec![step]));
        model.run_ms(1_000);
        let packed = usize::from(model.tasks_on(0).is_empty());
        model.drain_worker(packed);
        model.run_ms(500);
        assert_eq!(
            model.tasks_on(packed).is_empty(),
            case.moved,
            "{}",
            case.name
        );
        let present: usize = (0..2).map(|number| model.tasks_on(number).len()).sum();
        assert_eq!(present, 4, "{}", case.name);
    }
}

/// Tasks on some workers make no progress.
#[test]
fn hung_runs_are_stopped_promptly_and_slow_ones_are_not() {
    struct Case {
        name: &'static str,
        mode: WorkerMode,
        estimate_ms: u64,
        is_restarted: bool,
    }
    let cases = [
        Case {
            name: "no progress",
            mode: WorkerMode::StallsRuns,
            estimate_ms: 1_000,
            is_restarted: true,
        },
        Case {
            name: "three seconds per percent",
            mode: WorkerMode::Healthy,
            estimate_ms: 300_000,
            is_restarted: true,
        },
        Case {
            name: "one second per percent",
            mode: WorkerMode::Healthy,
            estimate_ms: 100_000,
            is_restarted: false,
        },
    ];
    for case in cases {
        let mut model = Model::new(support::config(), 2);
        model.set_mode(0, case.mode);
        model.set_mode(1, case.mode);
        model.submit(batch(1, 1, case.estimate_ms, false));
        model.run_ms(2_500);
        assert_eq!(model.starts > 1, case.is_restarted, "{}", case.name);
        // A long task is stopped no more once its timeout has doubled a few times.
        model.run_ms(60_000);
        let before = model.starts;
        model.set_mode(0, WorkerMode::Healthy);
        model.set_mode(1, WorkerMode::Healthy);
        model.run_ms(20_000);
        assert!(model.starts <= before + 1, "{}", case.name);
    }
}
