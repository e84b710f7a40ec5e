//! Faulty workers: unreachable, restarting, slow to respond, failing or stalling their runs.

use std::rc::Rc;

use hickorychute_cell::{
    coordinator::{Coordinator, Order, StartResponse},
    jobs::JobState,
    workers::HoldReport,
};

use crate::support::{self, DelayedStarts, Model, WorkerMode};

#[test]
fn jobs_complete_despite_a_faulty_worker() {
    struct Case {
        name: &'static str,
        mode: WorkerMode,
        within_ms: u64,
    }
    let cases = [
        Case {
            name: "healthy",
            mode: WorkerMode::Healthy,
            within_ms: 4_000,
        },
        Case {
            name: "fails all runs",
            mode: WorkerMode::FailsRuns,
            within_ms: 12_000,
        },
        Case {
            name: "stalls all runs",
            mode: WorkerMode::StallsRuns,
            within_ms: 15_000,
        },
        Case {
            name: "unreachable",
            mode: WorkerMode::Unreachable,
            within_ms: 15_000,
        },
        Case {
            name: "executes starts after 3 s",
            mode: WorkerMode::DelaysStarts(3_000),
            within_ms: 15_000,
        },
        Case {
            name: "executes starts after 700 ms",
            mode: WorkerMode::DelaysStarts(700),
            within_ms: 15_000,
        },
        Case {
            name: "down",
            mode: WorkerMode::Down,
            within_ms: 15_000,
        },
    ];
    for case in cases {
        let mut model = Model::new(support::config(), 4);
        model.submit(support::job(
            1,
            "batch",
            vec![support::step(20, 1_500, 900)],
        ));
        model.run_ms(200);
        model.set_mode(2, case.mode);
        model.submit(support::job(
            2,
            "batch",
            vec![support::step(20, 1_500, 900)],
        ));
        model.run_ms(case.within_ms);
        assert_eq!(model.state(1), Some(JobState::Completed), "{}", case.name);
        assert_eq!(model.state(2), Some(JobState::Completed), "{}", case.name);
    }
}

#[test]
fn runs_are_rescheduled_when_a_worker_restarts_under_its_id() {
    let mut model = Model::new(support::config(), 2);
    model.submit(support::job(
        1,
        "batch",
        vec![support::step(8, 3_000, 2_000)],
    ));
    for _ in 0..3 {
        model.run_ms(700);
        model.restart_worker(0, DelayedStarts::InProcess);
    }
    model.run_ms(8_000);
    assert_eq!(model.state(1), Some(JobState::Completed));
}

#[test]
fn a_late_start_at_a_restarted_worker_is_stopped() {
    let mut model = Model::new(support::config(), 2);
    model.set_mode(0, WorkerMode::DelaysStarts(1_500));
    model.submit(support::job(
        1,
        "batch",
        vec![support::step(8, 3_000, 2_500)],
    ));
    model.run_ms(200);
    model.restart_worker(0, DelayedStarts::InTransit);
    model.run_ms(400);
    model.set_mode(0, WorkerMode::Healthy);
    // The model asserts that no task runs twice at the same time.
    model.run_ms(15_000);
    assert_eq!(model.state(1), Some(JobState::Completed));
}

#[test]
fn a_worker_that_fails_all_runs_is_backed_off() {
    let mut model = Model::new(support::config(), 4);
    model.set_mode(0, WorkerMode::FailsRuns);
    for number in 0..12 {
        model.submit(support::job(
            number,
            "batch",
            vec![support::step(4, 1_000, 600)],
        ));
        model.run_ms(250);
    }
    model.run_ms(8_000);
    for number in 0..12 {
        assert_eq!(
            model.state(number),
            Some(JobState::Completed),
            "job {number}"
        );
    }
}

/// A report of a worker without runs.
fn empty_report(clock_ms: u64) -> HoldReport {
    HoldReport {
        clock_ms,
        started_unix_ms: support::START_UNIX_MS,
        ..HoldReport::default()
    }
}

/// A coordinator whose only worker reported at 10 ms that it has no runs.
fn coordinator_with_idle_worker() -> (Coordinator, Rc<str>) {
    let mut coordinator = support::coordinator(support::config());
    let worker = support::entry(0);
    let id = Rc::clone(&worker.id);
    coordinator.update_worker(worker);
    coordinator.roster_durable(&[Rc::clone(&id)]);
    let unix_ms = support::START_UNIX_MS;
    coordinator.hold_answered(&id, 0, 10, unix_ms, &empty_report(1_000));
    (coordinator, id)
}

/// Guards against a run that is never released: each further confirmation of a stop, while a long
/// poll was waiting, renewed the time from which the run counted as present, so its absence from
/// the next report was ignored. It occurred with workers that executed orders late.
#[test]
fn a_stop_confirmed_twice_does_not_retain_its_run() {
    let (mut coordinator, id) = coordinator_with_idle_worker();
    let unix_ms = support::START_UNIX_MS;
    coordinator.add_job(
        &support::job(1, "gang", vec![support::gang(1, 1_000, 500)]),
        false,
        unix_ms,
    );
    let orders = coordinator.schedule(20, unix_ms);
    let [Order::Start { task, run, .. }] = orders.as_slice() else {
        panic!("expected one start, got {orders:?}");
    };
    coordinator.start_answered(&id, *task, *run, StartResponse::Unknown, 820);
    let _stop = coordinator.schedule(830, unix_ms);
    coordinator.stop_confirmed(&id, *task, *run, 900);
    // The hold sent at 950 ms is answered after the stop was sent and confirmed again.
    let _stop = coordinator.schedule(1_300, unix_ms);
    coordinator.stop_confirmed(&id, *task, *run, 1_400);
    coordinator.hold_answered(&id, 950, 1_950, unix_ms, &empty_report(1_500));
    let again = coordinator.schedule(2_000, unix_ms);
    assert!(
        matches!(again.as_slice(), [Order::Start { run: second, .. }] if second > run),
        "expected a second start, got {again:?}"
    );
}

/// A poll may reach a worker before an order to start, although its answer arrives later. Guards
/// against giving up a run that such an answer lacks: its room was given away, and the worker
/// exceeded its capacity.
#[test]
fn a_run_is_missing_only_from_a_report_requested_after_its_start_was_confirmed() {
    struct Case {
        name: &'static str,
        sent_ms: u64,
        released: bool,
    }
    let confirmed_ms = 30;
    let cases = [
        Case {
            name: "before the confirmation",
            sent_ms: confirmed_ms - 1,
            released: false,
        },
        Case {
            name: "in the same millisecond",
            sent_ms: confirmed_ms,
            released: false,
        },
        Case {
            name: "after the confirmation",
            sent_ms: confirmed_ms + 1,
            released: true,
        },
    ];
    for case in cases {
        let (mut coordinator, id) = coordinator_with_idle_worker();
        let unix_ms = support::START_UNIX_MS;
        let steps = vec![support::step(1, 1_000, 500)];
        coordinator.add_job(&support::job(1, "urgent", steps), false, unix_ms);
        let orders = coordinator.schedule(20, unix_ms);
        let [Order::Start { task, run, .. }] = orders.as_slice() else {
            panic!("expected one start, got {orders:?}");
        };
        coordinator.start_answered(&id, *task, *run, StartResponse::Started, confirmed_ms);
        coordinator.hold_answered(&id, case.sent_ms, 40, unix_ms, &empty_report(1_030));
        let released = coordinator.workers()[&id].runs.is_empty();
        assert_eq!(released, case.released, "{}", case.name);
    }
}

/// A payload is unavailable while its host is gone and the store does not respond. The worker is
/// not at fault, and the order must not be sent again in each pass.
#[test]
fn a_job_without_its_payload_is_backed_off_but_not_its_worker() {
    let mut model = Model::new(support::config(), 1);
    model.run_ms(60);
    model.submit(support::job(
        1,
        "urgent",
        vec![support::step(1, 1_000, 400)],
    ));
    let now_ms = model.now_ms;
    let orders = model.coordinator.schedule(now_ms, support::START_UNIX_MS);
    let [
        Order::Start {
            worker, task, run, ..
        },
    ] = orders.as_slice()
    else {
        panic!("{orders:?}");
    };
    model
        .coordinator
        .start_answered(worker, *task, *run, StartResponse::NoText, now_ms);
    assert!(model.coordinator.workers()[worker].is_schedulable(now_ms));
    let at = |model: &mut Model, after_ms: u64| {
        let orders = model
            .coordinator
            .schedule(now_ms + after_ms, support::START_UNIX_MS);
        orders.len()
    };
    assert_eq!(at(&mut model, 100), 0);
    assert_eq!(at(&mut model, 400), 1);
}
