//! Takeover of the cell by a new coordinator.

use std::rc::Rc;

use hickorychute_cell::{
    coordinator::{Coordinator, HoldFailure, InheritedWorker, Order, TakeoverState, Tuning},
    ids::{StepId, TaskId},
    jobs::JobState,
    workers::{HoldReport, WorkerEntry},
};

use crate::support::{self, Model, WorkerMode};

fn task(job: u64, index: u32) -> TaskId {
    TaskId {
        step: StepId {
            job: support::id(job),
            occurrence: 0,
            step: 0,
        },
        index,
    }
}

/// A successor receives unacknowledged ends of failed runs again, also if the predecessor counted
/// them. Guards against counting them twice, and against ignoring failures that arrive in another
/// order. Both occurred while the store was unavailable.
#[test]
fn failed_runs_are_counted_once_over_a_takeover() {
    struct Case {
        name: &'static str,
        store_up: bool,
        takeovers: u32,
    }
    let cases = [
        Case {
            name: "acknowledged",
            store_up: true,
            takeovers: 0,
        },
        Case {
            name: "durable, 1 takeover",
            store_up: true,
            takeovers: 1,
        },
        Case {
            name: "not durable, 1 takeover",
            store_up: false,
            takeovers: 1,
        },
        Case {
            name: "not durable, 3 takeovers",
            store_up: false,
            takeovers: 3,
        },
    ];
    for case in cases {
        let mut model = Model::new(support::config(), 6);
        for number in 0..6 {
            model.set_mode(number, WorkerMode::FailsRuns);
        }
        model.submit(support::job(1, "batch", vec![support::step(1, 1_000, 400)]));
        model.store_up = case.store_up;
        model.run_ms(450);
        for _ in 0..case.takeovers {
            model.take_over();
            model.run_ms(300);
        }
        model.store_up = true;
        model.run_ms(20_000);
        // The model asserts that there is no fifth run.
        assert_eq!(model.failures(task(1, 0)), 4, "{}", case.name);
        assert_eq!(model.state(1), Some(JobState::Failed), "{}", case.name);
    }
}

/// Runs of an ended job may still be stopping when the coordinator changes. Guards against a
/// successor that treats their resources as free; this occurred when many jobs were cancelled.
#[test]
fn runs_of_ended_jobs_keep_their_room_at_the_successor() {
    let mut model = Model::new(support::config(), 1);
    model.submit(support::job(
        1,
        "batch",
        vec![support::step(16, 1_000, 3_000)],
    ));
    model.run_ms(300);
    // The worker is unreachable, so the stops do not arrive before the takeover.
    model.set_mode(0, WorkerMode::Unreachable);
    model
        .coordinator
        .request_cancel(support::id(1), support::START_UNIX_MS);
    model.run_ms(200);
    model.take_over();
    model.set_mode(0, WorkerMode::Healthy);
    model.submit(support::job(
        2,
        "urgent",
        vec![support::step(16, 1_000, 500)],
    ));
    // The model asserts at every start that it fits beside what still runs.
    model.run_ms(5_000);
    assert_eq!(model.state(2), Some(JobState::Completed));
}

#[test]
fn inherited_tasks_wait_for_unreachable_workers() {
    let mut model = Model::new(support::config(), 3);
    model.submit(support::job(
        1,
        "batch",
        vec![support::step(10, 4_000, 4_000)],
    ));
    model.run_ms(300);
    model.set_mode(1, WorkerMode::Unreachable);
    model.take_over();
    // Tasks of the unreachable worker must not start elsewhere while they may still run there; the
    // model asserts that. New jobs need not wait.
    model.submit(support::job(2, "urgent", vec![support::step(1, 500, 300)]));
    model.run_ms(3_000);
    assert_eq!(model.state(2), Some(JobState::Completed));
    assert_eq!(model.state(1), Some(JobState::Running));
    model.run_ms(25_000);
    assert_eq!(model.state(1), Some(JobState::Completed));
}

#[test]
fn jobs_complete_over_many_takeovers() {
    let mut model = Model::new(support::config(), 4);
    for number in 0..20 {
        model.submit(support::job(
            number,
            "batch",
            vec![support::step(3, 2_000, 700), support::gang(4, 3_000, 500)],
        ));
    }
    for _ in 0..8 {
        model.run_ms(900);
        model.take_over();
    }
    model.run_ms(30_000);
    for number in 0..20 {
        assert_eq!(
            model.state(number),
            Some(JobState::Completed),
            "job {number}"
        );
    }
}

/// A worker that drained and left does not hold up the tasks that a successor inherits, since
/// nothing on it is unknown, except for the task of a run that it still had, until its hold has
/// expired.
#[test]
fn successors_wait_only_for_workers_that_may_have_runs() {
    struct Case {
        name: &'static str,
        /// Whether the drained worker's run has ended before it goes down.
        vacated: bool,
        /// Whether the store takes the end of that run.
        store_up: bool,
        starts_immediately: bool,
    }
    let cases = [
        Case {
            name: "vacated",
            vacated: true,
            store_up: true,
            starts_immediately: true,
        },
        Case {
            name: "end not durable",
            vacated: true,
            store_up: false,
            starts_immediately: false,
        },
        Case {
            name: "with a run",
            vacated: false,
            store_up: true,
            starts_immediately: true,
        },
    ];
    for case in cases {
        let mut model = Model::new(support::config(), 2);
        let estimate_ms = if case.vacated { 300 } else { 60_000 };
        model.submit(support::job(
            1,
            "batch",
            vec![support::step(1, 1_000, estimate_ms)],
        ));
        model.run_ms(200);
        let used = (0..2)
            .find(|&number| !model.tasks_on(number).is_empty())
            .expect("the task runs");
        model.drain_worker(used);
        model.store_up = case.store_up;
        model.run_ms(1_000);
        model.set_mode(used, WorkerMode::Down);
        model.store_up = true;
        model.submit(support::job(2, "batch", vec![support::step(1, 1_000, 300)]));
        model.take_over();
        model.run_ms(1_000);
        let ended = model.state(2) == Some(JobState::Completed);
        assert_eq!(ended, case.starts_immediately, "{}", case.name);
        let restarted = model.tasks_on(1 - used).contains(&task(1, 0));
        assert!(!restarted, "{}: its hold has not expired", case.name);
        model.run_ms(20_000);
        assert_eq!(model.state(2), Some(JobState::Completed), "{}", case.name);
    }
}

/// When the predecessor's holds have expired.
const EXPIRY_MS: u64 = 11_200;
/// A silent worker of the predecessor, which had two tasks.
#[derive(Debug)]
struct SilentWorker {
    name: &'static str,
    draining: bool,
    /// Positions of the tasks that the roster lists for the worker; absent if it may have any.
    closed_runs: Option<&'static [u32]>,
    listed: bool,
    at_ms: u64,
    /// Number of the two inherited tasks that start on another worker by then.
    started: usize,
}
const SILENT_WORKERS: [SilentWorker; 9] = [
    SilentWorker {
        name: "draining, entry away for long",
        draining: true,
        closed_runs: None,
        listed: false,
        at_ms: EXPIRY_MS - 10,
        started: 0,
    },
    SilentWorker {
        name: "draining, still listed",
        draining: true,
        closed_runs: None,
        listed: true,
        at_ms: EXPIRY_MS - 10,
        started: 0,
    },
    SilentWorker {
        name: "draining, holds expired",
        draining: true,
        closed_runs: None,
        listed: false,
        at_ms: EXPIRY_MS,
        started: 2,
    },
    SilentWorker {
        name: "not draining: crashed or cut off",
        draining: false,
        closed_runs: None,
        listed: false,
        at_ms: EXPIRY_MS - 10,
        started: 0,
    },
    SilentWorker {
        name: "not draining, holds expired",
        draining: false,
        closed_runs: None,
        listed: false,
        at_ms: EXPIRY_MS,
        started: 2,
    },
    SilentWorker {
        name: "no runs known to be left",
        draining: true,
        closed_runs: Some(&[]),
        listed: false,
        at_ms: 100,
        started: 2,
    },
    SilentWorker {
        name: "one run known to be left",
        draining: true,
        closed_runs: Some(&[1]),
        listed: false,
        at_ms: 100,
        started: 1,
    },
    SilentWorker {
        name: "one run known to be left, until before the expiry",
        draining: true,
        closed_runs: Some(&[1]),
        listed: true,
        at_ms: EXPIRY_MS - 10,
        started: 1,
    },
    SilentWorker {
        name: "one run known to be left, holds expired",
        draining: true,
        closed_runs: Some(&[1]),
        listed: false,
        at_ms: EXPIRY_MS,
        started: 2,
    },
];

/// A worker of the predecessor that does not answer may be alive and cut off, whether it was draining
/// and is listed or not. Guards against starting its tasks elsewhere while they run, and against
/// holding up all other tasks for a draining worker whose possible runs are known.
#[test]
fn a_silent_worker_holds_back_what_it_may_have_until_all_holds_have_expired() {
    for case in SILENT_WORKERS {
        let entry = WorkerEntry {
            draining: case.draining,
            ..support::entry(0)
        };
        let closed_runs = |tasks: &[u32]| tasks.iter().map(|&index| (task(1, index), 1)).collect();
        let takeover = TakeoverState {
            roster: vec![InheritedWorker {
                entry: entry.clone(),
                closed_runs: case.closed_runs.map(closed_runs),
                late_orders: Vec::new(),
                pace_percent: None,
            }],
            expiry_ms: EXPIRY_MS,
            orders_expiry_ms: EXPIRY_MS,
            run_floor: 1_000,
        };
        let mut coordinator = Coordinator::new(Tuning::default(), support::config(), takeover);
        coordinator.add_job(
            &support::job(1, "batch", vec![support::step(2, 1_000, 20_000)]),
            true,
            support::START_UNIX_MS,
        );
        if case.listed {
            coordinator.update_worker(entry.clone());
        }
        let other = support::entry(1);
        coordinator.update_worker(other.clone());
        coordinator.roster_durable(&[Rc::clone(&other.id)]);
        let mut started = 0;
        for now_ms in (50..=case.at_ms).step_by(10) {
            coordinator.hold_failed(&entry.id, HoldFailure::Silent, now_ms);
            let _terms = coordinator.begin_hold(&other.id, true, now_ms);
            let report = HoldReport {
                clock_ms: now_ms,
                started_unix_ms: support::START_UNIX_MS,
                ..HoldReport::default()
            };
            let unix_ms = support::START_UNIX_MS + now_ms;
            let _accepted = coordinator.hold_answered(&other.id, now_ms, now_ms, unix_ms, &report);
            for order in coordinator.schedule(now_ms, unix_ms) {
                if let Order::Start { task, run, .. } = order {
                    started += 1;
                    // Keeps the run in flight, so that reports need not contain it.
                    assert!(run > 1_000, "{}: {task}", case.name);
                }
            }
        }
        assert_eq!(started, case.started, "{}", case.name);
    }
}
