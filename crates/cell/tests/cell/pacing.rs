//! Best-effort tasks next to latency-sensitive tasks.

use hickorychute_cell::{
    jobs::{JobSpec, StepSpec},
    pacing::BestEffortShare,
};

use crate::support::{self, Model, WorkerMode};

/// Maximum time for which a latency-sensitive task may exceed its target, in milliseconds.
const MAX_OVER_TARGET_MS: u64 = 4_000;

#[test]
fn best_effort_share_falls_fast_and_rises_slowly() {
    struct Case {
        name: &'static str,
        /// Time of each report, and the highest ratio of tail latency to target.
        lists: &'static [(u64, Option<f64>)],
        percent: u32,
    }
    let cases = [
        Case {
            name: "no latency-sensitive task",
            lists: &[(1_000, None)],
            percent: 100,
        },
        Case {
            name: "well below the target",
            lists: &[(1_000, Some(0.5))],
            percent: 100,
        },
        Case {
            name: "at the target",
            lists: &[(1_000, Some(1.0))],
            percent: 50,
        },
        Case {
            name: "no second reduction before the first one shows",
            lists: &[(1_000, Some(1.0)), (1_300, Some(1.0))],
            percent: 50,
        },
        Case {
            name: "still at the target",
            lists: &[(1_000, Some(1.0)), (1_700, Some(1.0)), (2_400, Some(1.0))],
            percent: 0,
        },
        Case {
            name: "far above the target",
            lists: &[(1_000, Some(1.5))],
            percent: 0,
        },
        Case {
            name: "increased in steps",
            lists: &[
                (1_000, Some(1.5)),
                (1_500, Some(0.3)),
                (2_500, Some(0.3)),
                (3_000, Some(0.3)),
                (4_000, Some(0.3)),
            ],
            percent: 30,
        },
        Case {
            name: "slightly below the target",
            lists: &[(1_000, Some(1.0)), (5_000, Some(0.7))],
            percent: 50,
        },
        Case {
            name: "latency-sensitive task ended",
            lists: &[(1_000, Some(1.5)), (1_100, None)],
            percent: 100,
        },
    ];
    for case in cases {
        let mut share = BestEffortShare::default();
        for &(now_ms, pressure) in case.lists {
            share = share.next(pressure, now_ms);
        }
        assert_eq!(share.percent, case.percent, "{}", case.name);
    }
}

fn submit_latency_sensitive(model: &mut Model) {
    let step = StepSpec {
        long_running: true,
        latency_target_ms: 100,
        ..support::step(1, 2_000, 0)
    };
    model.submit(support::job(1, "urgent", vec![step]));
    model.run_ms(300);
}

fn best_effort_job(id: u64, count: u32) -> hickorychute_cell::jobs::JobRecord {
    let step = StepSpec {
        best_effort: true,
        ..support::step(count, 1_000, 30_000)
    };
    let mut record = support::job(id, "batch", vec![step]);
    let spec = record.spec.get_or_insert_with(JobSpec::default);
    "best-effort".clone_into(&mut spec.payload);
    record
}

#[test]
fn latency_sensitive_task_is_not_over_its_target_for_long() {
    struct Case {
        name: &'static str,
        takeover: bool,
    }
    let cases = [
        Case {
            name: "no takeover",
            takeover: false,
        },
        Case {
            name: "takeover by a coordinator without the shares",
            takeover: true,
        },
    ];
    for case in cases {
        let mut model = Model::new(support::config(), 1);
        submit_latency_sensitive(&mut model);
        model.submit(best_effort_job(2, 6));
        let mut over_since_ms = None;
        for round in 0..400 {
            model.run_ms(50);
            if case.takeover && round == 60 {
                model.take_over();
            }
            let (_, worker) = model.workers.get_index(0).expect("there is one");
            if worker.tail_ms() <= 100 {
                over_since_ms = None;
                continue;
            }
            let since_ms = *over_since_ms.get_or_insert(model.now_ms);
            assert!(
                model.now_ms - since_ms < MAX_OVER_TARGET_MS,
                "{}",
                case.name
            );
        }
        assert!(
            model.tasks_on(0).len() > 1,
            "{}: best-effort tasks still run",
            case.name
        );
    }
}

#[test]
fn best_effort_tasks_regain_their_full_share() {
    let mut model = Model::new(support::config(), 1);
    submit_latency_sensitive(&mut model);
    model.submit(best_effort_job(2, 6));
    model.run_ms(2_000);
    let unix_ms = support::START_UNIX_MS;
    assert!(model.coordinator.request_cancel(support::id(1), unix_ms));
    model.run_ms(2_000);
    // `BASE_TAIL_MS + 6 * INTERFERENCE_MS`: all six tasks run with their full share.
    let (_, worker) = model.workers.get_index(0).expect("there is one");
    assert_eq!(worker.tail_ms(), 200);
}

#[test]
fn long_running_task_is_restarted_however_often_it_fails() {
    let mut model = Model::new(support::config(), 2);
    let step = StepSpec {
        long_running: true,
        ..support::step(1, 1_000, 0)
    };
    model.set_mode(0, WorkerMode::FailsRuns);
    model.set_mode(1, WorkerMode::FailsRuns);
    model.submit(support::job(1, "urgent", vec![step]));
    model.run_ms(20_000);
    assert!(model.starts > 4, "{}", model.starts);
    model.set_mode(0, WorkerMode::Healthy);
    model.set_mode(1, WorkerMode::Healthy);
    model.run_ms(10_000);
    let present: usize = (0..2).map(|number| model.tasks_on(number).len()).sum();
    assert_eq!(present, 1);
}
