//! Ways in which a run that goes on is still released.

use std::rc::Rc;

use hickorychute_cell::{
    coordinator::{
        Coordinator, HoldFailure, InheritedWorker, Order, StartResponse, TakeoverState, Tuning,
    },
    jobs::JobState,
    workers::{EndKind, HoldReport, ReportedEnd, ReportedRun, WorkerEntry},
};

use crate::support::{self, DelayedStarts, Model, WorkerMode};

fn report(coordinator: &mut Coordinator, worker: &str, sent_ms: u64, now_ms: u64, running: &[u64]) {
    let _terms = coordinator.begin_hold(worker, true, sent_ms);
    let report = HoldReport {
        clock_ms: 1_000 + now_ms,
        started_unix_ms: support::START_UNIX_MS,
        running: running
            .iter()
            .map(|&run| ReportedRun {
                task: support::first_task(1),
                run,
                checkpoint: String::new(),
                percent: 1,
                measured_value: 0,
            })
            .collect(),
        ..HoldReport::default()
    };
    let unix_ms = support::START_UNIX_MS + now_ms;
    assert!(coordinator.hold_answered(worker, sent_ms, now_ms, unix_ms, &report));
}

fn starts(coordinator: &mut Coordinator, now_ms: u64) -> usize {
    let orders = coordinator.schedule(now_ms, support::START_UNIX_MS + now_ms);
    let is_start = |order: &&Order| matches!(order, Order::Start { .. });
    orders.iter().filter(is_start).count()
}

/// Guards against TWICE: a draining worker answers after its entry was withdrawn, so that the removal
/// was not its exit, and is cut off afterwards.
#[test]
fn a_worker_that_answers_after_its_entry_was_withdrawn_has_not_left() {
    let mut coordinator = support::coordinator(support::config());
    let workers = [support::entry(0), support::entry(1)];
    for entry in &workers {
        coordinator.update_worker(entry.clone());
        coordinator.roster_durable(&[Rc::clone(&entry.id)]);
    }
    let [draining, other] = [0, 1].map(|number: usize| Rc::clone(&workers[number].id));
    report(&mut coordinator, &draining, 0, 10, &[]);
    coordinator.add_job(
        &support::job(1, "batch", vec![support::step(1, 1_000, 5_000)]),
        false,
        support::START_UNIX_MS,
    );
    assert_eq!(starts(&mut coordinator, 20), 1);
    let task = support::first_task(1);
    coordinator.start_answered(&draining, task, 1, StartResponse::Started, 120);
    coordinator.update_worker(WorkerEntry {
        draining: true,
        ..support::entry(0)
    });
    coordinator.entry_written(&draining, 1_000);
    report(&mut coordinator, &draining, 4_000, 4_000, &[1]);
    coordinator.entry_removed(&draining, 4_500);
    report(&mut coordinator, &draining, 5_000, 5_500, &[1]);
    report(&mut coordinator, &other, 5_500, 5_500, &[]);
    coordinator.hold_failed(&draining, HoldFailure::Silent, 6_000);
    assert_eq!(starts(&mut coordinator, 6_010), 0);
}

/// A task that only worker 0 may run, ordered there by an order that is in transit for `transit_ms`.
/// From then on only worker 1 may run it.
fn model_with_an_order_in_transit(transit_ms: u64) -> Model {
    let mut model = Model::new(support::config(), 2);
    // The clock of a later process starts anew, so that the order's deadline lies in its future.
    model.run_ms(30_000);
    model.add_label(0, support::LABEL);
    model.set_mode(0, WorkerMode::DelaysStarts(transit_ms));
    let step = support::labelled(support::step(1, 3_000, 20_000));
    model.submit(support::job(1, "batch", vec![step]));
    model.run_ms(100);
    model.workers[0].entry.labels.pop();
    let entry = model.workers[0].entry.clone();
    model.coordinator.update_worker(entry);
    model.add_label(1, support::LABEL);
    model
}

/// Guards against TWICE: the hold of a crashed worker expires while an order to it may still reach the
/// process that starts later under its identifier.
#[test]
fn an_order_that_may_reach_a_later_process_outlasts_the_hold_of_the_former() {
    let mut model = model_with_an_order_in_transit(8_000);
    model.set_mode(0, WorkerMode::Unreachable);
    model.run_ms(1_000);
    model.restart_worker(0, DelayedStarts::InTransit);
    model.set_mode(0, WorkerMode::Unreachable);
    // The model asserts that no task runs twice at the same time.
    model.run_ms(8_000);
    model.set_mode(0, WorkerMode::Healthy);
    model.run_ms(60_000);
    assert_eq!(model.state(1), Some(JobState::Completed));
}

/// Guards against TWICE: a coordinator keeps the task of an order that may still reach a later process,
/// and its successor does not know of it, since the worker's holds have expired.
#[test]
fn a_successor_knows_of_an_order_that_may_reach_a_later_process() {
    let mut model = model_with_an_order_in_transit(9_500);
    model.set_mode(0, WorkerMode::Unreachable);
    model.run_ms(6_500);
    model.take_over();
    model.run_ms(500);
    model.restart_worker(0, DelayedStarts::InTransit);
    model.set_mode(0, WorkerMode::Unreachable);
    // The model asserts that no task runs twice at the same time.
    model.run_ms(3_500);
    model.set_mode(0, WorkerMode::Healthy);
    model.run_ms(60_000);
    assert_eq!(model.state(1), Some(JobState::Completed));
}

/// Guards against TWICE: a worker that has accepted the successor's fence restarts, and its new process
/// accepts an order of the predecessor.
#[test]
fn a_report_of_a_former_process_does_not_fence_the_later_one() {
    let mut model = model_with_an_order_in_transit(2_000);
    model.set_mode(0, WorkerMode::Healthy);
    model.take_over();
    model.run_ms(1_900);
    model.restart_worker(0, DelayedStarts::InTransit);
    // The model asserts that no task runs twice at the same time.
    model.run_ms(60_000);
    assert_eq!(model.state(1), Some(JobState::Completed));
}

/// Guards against TWICE: the lists of two draining workers contain a task, since that of the first is
/// renewed only later. The successor took the first list's run for the active one, whichever is later.
#[test]
fn the_latest_listed_run_of_a_task_is_inherited() {
    struct Case {
        name: &'static str,
        /// Runs that workers 0 and 1 may have, in the order of the roster.
        listed: [u64; 2],
    }
    let cases = [
        Case {
            name: "later run listed last",
            listed: [1, 2],
        },
        Case {
            name: "later run listed first",
            listed: [2, 1],
        },
    ];
    for case in cases {
        let task = support::first_task(1);
        let inherited = |number: usize| InheritedWorker {
            entry: WorkerEntry {
                draining: true,
                ..support::entry(number)
            },
            closed_runs: Some(vec![(task, case.listed[number])]),
        };
        let takeover = TakeoverState {
            roster: vec![inherited(0), inherited(1)],
            expiry_ms: 11_200,
            run_floor: 1_000,
        };
        let mut coordinator = Coordinator::new(Tuning::default(), support::config(), takeover);
        let job = support::job(1, "batch", vec![support::step(1, 1_000, 5_000)]);
        coordinator.add_job(&job, true, support::START_UNIX_MS);
        let ready = support::entry(2);
        coordinator.update_worker(ready.clone());
        coordinator.roster_durable(&[Rc::clone(&ready.id)]);
        report(&mut coordinator, &ready.id, 10, 20, &[]);
        // The worker with the earlier run answers, the one with the later run does not.
        let earlier = usize::from(case.listed[1] == 1);
        report(&mut coordinator, &support::entry(earlier).id, 10, 20, &[]);
        assert_eq!(starts(&mut coordinator, 30), 0, "{}", case.name);
    }
}

/// Guards against TWICE: a report that was requested before a run ended and is received after it, as on
/// another connection, lists the earlier run and says nothing about the later one.
#[test]
fn a_report_of_an_earlier_run_does_not_confirm_the_start_of_a_later_one() {
    let mut coordinator = support::coordinator(support::config());
    let entry = support::entry(0);
    let worker = Rc::clone(&entry.id);
    coordinator.update_worker(entry);
    coordinator.roster_durable(&[Rc::clone(&worker)]);
    report(&mut coordinator, &worker, 0, 10, &[]);
    let job = support::job(1, "batch", vec![support::step(1, 1_000, 5_000)]);
    coordinator.add_job(&job, false, support::START_UNIX_MS);
    assert_eq!(starts(&mut coordinator, 20), 1);
    let task = support::first_task(1);
    coordinator.start_answered(&worker, task, 1, StartResponse::Started, 30);
    let ended = HoldReport {
        clock_ms: 1_100,
        started_unix_ms: support::START_UNIX_MS,
        ended: vec![ReportedEnd {
            number: 1,
            task,
            run: 1,
            kind: EndKind::Stopped,
            checkpoint: String::new(),
        }],
        ..HoldReport::default()
    };
    let _terms = coordinator.begin_hold(&worker, true, 90);
    let unix_ms = support::START_UNIX_MS + 100;
    assert!(coordinator.hold_answered(&worker, 90, 100, unix_ms, &ended));
    assert_eq!(starts(&mut coordinator, 110), 1, "run 2 is ordered");
    // The answer of an earlier hold, while the order of run 2 is on its way.
    report(&mut coordinator, &worker, 60, 120, &[1]);
    report(&mut coordinator, &worker, 130, 140, &[]);
    assert_eq!(starts(&mut coordinator, 150), 0);
}
