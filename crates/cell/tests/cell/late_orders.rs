//! Orders to start that take effect late, in the process to which they were sent or in a later one.

use std::rc::Rc;

use hickorychute_cell::{
    coordinator::{AdviceOutcome, Coordinator, Order, StartResponse},
    ids::TaskId,
    jobs::{JobState, StepSpec},
    workers::{EndKind, HoldReport, ReportedEnd, ReportedRun, WorkerEntry},
};

use crate::{
    end_proofs::model_with_an_order_in_transit,
    support::{self, DelayedStarts, Model, WorkerMode},
};

/// When a call that got no response has certainly been executed, in milliseconds after it was sent.
const DELIVERY_MS: u64 = 13_000;

/// Guards against TWICE: an order gets no response, its process shows that it has not started the run
/// and never will, and the next process under the same identifier executes it.
#[test]
fn a_task_waits_for_an_order_that_only_a_later_process_may_execute() {
    struct Case {
        name: &'static str,
        transit_ms: u64,
        /// When the worker restarts, counted from the order.
        restarts_ms: &'static [u64],
    }
    let cases = [
        Case {
            name: "review/8",
            transit_ms: 3_500,
            restarts_ms: &[3_450],
        },
        Case {
            name: "as late as possible",
            transit_ms: 12_000,
            restarts_ms: &[11_900],
        },
        Case {
            name: "two restarts",
            transit_ms: 6_000,
            restarts_ms: &[2_000, 5_950],
        },
        Case {
            name: "restart without the order",
            transit_ms: 12_900,
            restarts_ms: &[2_000],
        },
    ];
    for case in cases {
        let mut model = model_with_an_order_in_transit(case.transit_ms);
        model.set_mode(0, WorkerMode::Healthy);
        let mut passed_ms = 100;
        for &restart_ms in case.restarts_ms {
            model.run_ms(restart_ms - passed_ms);
            model.restart_worker(0, DelayedStarts::InTransit);
            passed_ms = restart_ms;
        }
        // The model asserts that no task runs twice at the same time.
        model.run_ms(60_000);
        assert_eq!(model.state(1), Some(JobState::Completed), "{}", case.name);
    }
}

/// Guards against TWICE: an order is executed on its second copy, its worker crashes, and the next
/// process executes the first copy, which got no response.
#[test]
fn a_copy_without_a_response_counts_although_another_one_was_answered() {
    struct Case {
        name: &'static str,
        transit_ms: u64,
        restart_ms: u64,
    }
    let cases = [
        Case {
            name: "first call of the new process",
            transit_ms: 4_000,
            restart_ms: 3_990,
        },
        Case {
            name: "after the new process was heard",
            transit_ms: 4_000,
            restart_ms: 2_000,
        },
    ];
    for case in cases {
        let mut model = Model::new(support::config(), 2);
        model.run_ms(30_000);
        model.set_mode(0, WorkerMode::DelaysCopies(case.transit_ms));
        model.set_mode(1, WorkerMode::DelaysCopies(case.transit_ms));
        let step = support::step(1, 1_000, 20_000);
        model.submit(support::job(1, "batch", vec![step]));
        model.run_ms(100);
        let used = usize::from(model.tasks_on(0).is_empty());
        assert_eq!(model.tasks_on(used).len(), 1, "{}", case.name);
        model.set_mode(1 - used, WorkerMode::Healthy);
        model.run_ms(case.restart_ms - 100);
        model.restart_worker(used, DelayedStarts::InTransit);
        // The model asserts that no task runs twice at the same time.
        model.run_ms(60_000);
        assert_eq!(model.state(1), Some(JobState::Completed), "{}", case.name);
    }
}

/// A coordinator with two idle workers.
fn coordinator_with_two_workers() -> (Coordinator, [Rc<str>; 2]) {
    let mut coordinator = support::coordinator(support::config());
    let ids = [0, 1].map(|number: usize| {
        let entry = support::entry(number);
        let id = Rc::clone(&entry.id);
        coordinator.update_worker(entry);
        coordinator.roster_durable(&[Rc::clone(&id)]);
        report(&mut coordinator, &id, 10, &[], &[]);
        id
    });
    (coordinator, ids)
}

/// Passes a report of a worker whose clock showed 1,000 ms at the start.
fn report(
    coordinator: &mut Coordinator,
    worker: &str,
    now_ms: u64,
    running: &[(TaskId, u64)],
    ended: &[(TaskId, u64, EndKind)],
) {
    report_of(coordinator, worker, now_ms, 0, running, ended);
}

/// The same for a process that started at `started_ms`.
fn report_of(
    coordinator: &mut Coordinator,
    worker: &str,
    now_ms: u64,
    started_ms: u64,
    running: &[(TaskId, u64)],
    ended: &[(TaskId, u64, EndKind)],
) {
    let running = running.iter().map(|&(task, run)| ReportedRun {
        task,
        run,
        checkpoint: String::new(),
        percent: 1,
        measured_value: 0,
    });
    let ended = ended.iter().zip(1..).map(|(&end, number)| ReportedEnd {
        number,
        task: end.0,
        run: end.1,
        kind: end.2,
        checkpoint: String::new(),
    });
    let report = HoldReport {
        clock_ms: 1_000 + now_ms - started_ms,
        started_unix_ms: support::START_UNIX_MS + started_ms,
        running: running.collect(),
        ended: ended.collect(),
        ends_truncated: false,
    };
    let unix_ms = support::START_UNIX_MS + now_ms;
    let _terms = coordinator.begin_hold(worker, true, now_ms);
    coordinator.hold_answered(worker, now_ms, now_ms, unix_ms, &report);
}

/// Starts ordered in a scheduling pass: task, run and worker.
fn starts(coordinator: &mut Coordinator, now_ms: u64) -> Vec<(TaskId, u64, Rc<str>)> {
    let orders = coordinator.schedule(now_ms, support::START_UNIX_MS + now_ms);
    let start = |order| match order {
        Order::Start {
            task, run, worker, ..
        } => Some((task, run, worker)),
        _ => None,
    };
    orders.into_iter().filter_map(start).collect()
}

fn submit(coordinator: &mut Coordinator, step: StepSpec) {
    let job = support::job(1, "batch", vec![step]);
    coordinator.add_job(&job, false, support::START_UNIX_MS);
}

/// An order that its process has not executed by its deadline is sent to it again under the same
/// number, since its task may start nowhere else, if the process answers orders again.
#[test]
fn an_order_without_a_response_is_repeated_on_its_worker() {
    let (mut coordinator, ids) = coordinator_with_two_workers();
    submit(&mut coordinator, support::step(1, 1_000, 500));
    let [(task, run, worker)] = starts(&mut coordinator, 20).try_into().expect("one start");
    coordinator.start_answered(&worker, task, run, StartResponse::Unknown, 900);
    for id in &ids {
        report(&mut coordinator, id, 1_000, &[], &[]);
    }
    assert_eq!(starts(&mut coordinator, 1_010), [], "before the deadline");
    for id in &ids {
        report(&mut coordinator, id, 1_400, &[], &[]);
    }
    assert_eq!(
        starts(&mut coordinator, 1_410),
        [],
        "answers its polls alone"
    );
    // A stop of an unknown run is confirmed as well.
    let other = support::first_task(9);
    coordinator.stop_confirmed(&worker, other, 1, 1_420);
    let again = starts(&mut coordinator, 1_430);
    assert_eq!(again, [(task, run, Rc::clone(&worker))]);
    coordinator.start_answered(&worker, task, run, StartResponse::Started, 1_440);
    report(&mut coordinator, &worker, 1_500, &[(task, run)], &[]);
    let done = [(task, run, EndKind::Done)];
    report(&mut coordinator, &worker, 2_000, &[], &done);
    assert_eq!(starts(&mut coordinator, 2_010), []);
}

/// A worker that answers its polls and no order, or never that of one task, keeps the task until none of
/// its orders can take effect any more, and no longer.
#[test]
fn a_worker_that_does_not_answer_an_order_gives_up_its_task() {
    struct Case {
        name: &'static str,
        answers_others: bool,
        last_order_ms: std::ops::Range<u64>,
    }
    let cases = [
        Case {
            name: "answers no order",
            answers_others: false,
            last_order_ms: 0..901,
        },
        Case {
            name: "answers other orders",
            answers_others: true,
            last_order_ms: DELIVERY_MS - 1_000..DELIVERY_MS + 1_000,
        },
    ];
    for case in cases {
        let (mut coordinator, ids) = coordinator_with_two_workers();
        submit(&mut coordinator, support::step(1, 1_000, 500));
        let [(task, run, mute)] = starts(&mut coordinator, 20).try_into().expect("one start");
        coordinator.start_answered(&mute, task, run, StartResponse::Unknown, 900);
        let mut last_ms = 900;
        let (elsewhere_ms, second) = (1_000..40_000)
            .step_by(100)
            .find_map(|now_ms| {
                for id in &ids {
                    report(&mut coordinator, id, now_ms, &[], &[]);
                    if case.answers_others {
                        coordinator.stop_confirmed(id, support::first_task(9), 1, now_ms);
                    }
                }
                let (task, run, worker) = starts(&mut coordinator, now_ms).pop()?;
                if worker != mute {
                    return Some((now_ms, run));
                }
                last_ms = now_ms;
                let answer = StartResponse::Unknown;
                coordinator.start_answered(&worker, task, run, answer, now_ms);
                None
            })
            .expect("the task starts elsewhere");
        assert!(second > run, "{}", case.name);
        assert!(
            case.last_order_ms.contains(&last_ms),
            "{}: {last_ms}",
            case.name
        );
        let waited_ms = elsewhere_ms - last_ms;
        assert!(waited_ms >= DELIVERY_MS, "{}: {waited_ms}", case.name);
        assert!(waited_ms <= DELIVERY_MS + 200, "{}: {waited_ms}", case.name);
    }
}

/// Guards against waiting for nothing: while an order may still reach a later process of its worker,
/// the present one has rejected it, so that the task starts again there.
#[test]
fn a_bound_task_starts_again_on_its_worker() {
    struct Case {
        name: &'static str,
        end: EndKind,
        /// When the run ends, after its order.
        end_ms: u64,
        is_bound: bool,
    }
    let cases = [
        Case {
            name: "failed",
            end: EndKind::Failed,
            end_ms: 500,
            is_bound: true,
        },
        Case {
            name: "stopped",
            end: EndKind::Stopped,
            end_ms: 500,
            is_bound: true,
        },
        Case {
            name: "failed after the last copy has expired",
            end: EndKind::Failed,
            end_ms: DELIVERY_MS + 500,
            is_bound: false,
        },
    ];
    for case in cases {
        let (mut coordinator, ids) = coordinator_with_two_workers();
        submit(&mut coordinator, support::step(1, 1_000, 60_000));
        let [(task, run, worker)] = starts(&mut coordinator, 20).try_into().expect("one start");
        coordinator.start_unanswered(&worker, task, run, 300);
        coordinator.start_answered(&worker, task, run, StartResponse::Started, 310);
        for now_ms in (320..320 + case.end_ms).step_by(100) {
            for id in &ids {
                let running = (*id == worker).then_some((task, run));
                report(&mut coordinator, id, now_ms, running.as_slice(), &[]);
            }
            assert_eq!(starts(&mut coordinator, now_ms), []);
        }
        let now_ms = 320 + case.end_ms;
        report(
            &mut coordinator,
            &worker,
            now_ms,
            &[],
            &[(task, run, case.end)],
        );
        let next = starts(&mut coordinator, now_ms + 10);
        let [(_, second, on)] = next.as_slice() else {
            panic!("{}: {next:?}", case.name);
        };
        assert!(*second > run, "{}", case.name);
        if case.is_bound {
            assert_eq!(*on, worker, "{}", case.name);
        }
    }
}

/// Guards against TWICE in a gang: one of its members has an order that a later process may execute, so
/// that the next run has that member on the same worker, and the others anywhere.
#[test]
fn a_gang_starts_again_with_its_bound_members_in_place() {
    let (mut coordinator, ids) = coordinator_with_two_workers();
    submit(&mut coordinator, support::gang(2, 9_000, 5_000));
    let first = starts(&mut coordinator, 20);
    assert_eq!(first.len(), 2);
    let (bound, run, worker) = first[0].clone();
    let (other, _, elsewhere) = first[1].clone();
    assert_ne!(worker, elsewhere);
    coordinator.start_answered(&elsewhere, other, run, StartResponse::Started, 30);
    coordinator.start_answered(&worker, bound, run, StartResponse::Unknown, 900);
    assert_eq!(starts(&mut coordinator, 910), []);
    coordinator.stop_confirmed(&worker, bound, run, 920);
    coordinator.stop_confirmed(&elsewhere, other, run, 920);
    report(
        &mut coordinator,
        &elsewhere,
        950,
        &[],
        &[(other, run, EndKind::Stopped)],
    );
    report(&mut coordinator, &worker, 950, &[], &[]);
    assert_eq!(
        starts(&mut coordinator, 960),
        [],
        "the worker is backed off"
    );
    // Tasks are packed: without the binding, the first member would start on the worker in use.
    let mut entry = support::entry(usize::from(elsewhere == ids[1]));
    entry.labels.push(support::LABEL.into());
    coordinator.update_worker(entry);
    let filler = support::labelled(support::step(1, 1_000, 60_000));
    let filler = support::job(2, "urgent", vec![filler]);
    coordinator.add_job(&filler, false, support::START_UNIX_MS);
    let [(task, run, on)] = starts(&mut coordinator, 970).try_into().expect("one start");
    assert_eq!(on, elsewhere);
    coordinator.start_answered(&on, task, run, StartResponse::Started, 980);
    report(&mut coordinator, &worker, 1_400, &[], &[]);
    report(&mut coordinator, &elsewhere, 1_400, &[(task, run)], &[]);
    let second = starts(&mut coordinator, 1_410);
    let of_bound = second.iter().find(|(task, ..)| *task == bound);
    assert_eq!(second.len(), 2, "{second:?}");
    assert_eq!(of_bound.map(|(.., on)| on), Some(&worker));
}

/// Tickets expire: guards against holding back a task for an order that no worker accepts any more.
#[test]
fn an_order_with_a_ticket_binds_its_task_until_that_has_expired() {
    let mut model = Model::new(support::advised_config(), 2);
    model.run_ms(30_000);
    for number in 0..2 {
        model.set_mode(number, WorkerMode::DelaysStarts(60_000));
    }
    let step = support::step(1, 1_000, 500);
    model.submit(support::job(1, "batch", vec![step]));
    model.run_ms(300);
    let ordered = model
        .workers
        .values()
        .position(support::ModelWorker::has_delayed_starts);
    let ordered = ordered.expect("an order is in transit");
    model.set_mode(1 - ordered, WorkerMode::Healthy);
    // The ticket was issued within the first 300 ms and is valid for 2,500 ms; clocks may be 2% slow.
    model.run_ms(2_000);
    assert!(
        model.tasks_on(1 - ordered).is_empty(),
        "it may still arrive"
    );
    model.run_ms(1_000);
    assert_eq!(model.state(1), Some(JobState::Completed));
}

/// Guards against TWICE over a takeover: the predecessor's order gets no response, the successor hears
/// the process that rejects it, and the next process executes it although its fence is lower.
#[test]
fn a_successor_keeps_tasks_bound_to_the_workers_of_late_orders() {
    struct Case {
        name: &'static str,
        transit_ms: u64,
        /// When the coordinator is replaced, counted from the order.
        takeovers_ms: &'static [u64],
        restart_ms: u64,
        /// When the task has started, if the order is lost with the process.
        started_by_ms: u64,
    }
    let cases = [
        Case {
            name: "order in transit",
            transit_ms: 2_000,
            takeovers_ms: &[100],
            restart_ms: 2_000,
            started_by_ms: 2_500,
        },
        Case {
            name: "run released by the predecessor",
            transit_ms: 6_000,
            takeovers_ms: &[3_000],
            restart_ms: 6_000,
            started_by_ms: 6_500,
        },
        Case {
            name: "two successors",
            transit_ms: 9_000,
            takeovers_ms: &[1_000, 5_000],
            restart_ms: 9_000,
            started_by_ms: 9_500,
        },
    ];
    for case in cases {
        for delayed in [DelayedStarts::InTransit, DelayedStarts::InProcess] {
            let mut model = model_with_an_order_in_transit(case.transit_ms);
            model.set_mode(0, WorkerMode::Healthy);
            let mut passed_ms = 100;
            for &takeover_ms in case.takeovers_ms {
                model.run_ms(takeover_ms - passed_ms);
                model.take_over();
                passed_ms = takeover_ms;
            }
            model.run_ms(case.restart_ms - passed_ms);
            model.restart_worker(0, delayed);
            // The model asserts that no task runs twice at the same time.
            model.run_ms(case.started_by_ms - case.restart_ms);
            let started = model.state(1) == Some(JobState::Running);
            assert_eq!(
                started,
                delayed == DelayedStarts::InTransit,
                "{}",
                case.name
            );
            model.run_ms(60_000);
            assert_eq!(model.state(1), Some(JobState::Completed), "{}", case.name);
        }
    }
}

/// Guards against waiting for nothing after a takeover: a worker that has accepted the successor's fence
/// rejects the predecessor's order, so that the task starts there at once. A task of another job waits
/// for no order.
#[test]
fn a_successor_starts_a_bound_task_on_its_worker() {
    let mut model = Model::new(support::config(), 2);
    model.run_ms(30_000);
    for number in 0..2 {
        model.set_mode(number, WorkerMode::DelaysStarts(12_000));
    }
    let step = support::step(1, 1_000, 3_000);
    model.submit(support::job(1, "batch", vec![step.clone()]));
    model.run_ms(100);
    let bound = model
        .workers
        .values()
        .position(support::ModelWorker::has_delayed_starts);
    let bound = bound.expect("an order is in transit");
    model.submit(support::job(2, "batch", vec![step]));
    model.take_over();
    for number in 0..2 {
        model.set_mode(number, WorkerMode::Healthy);
    }
    model.run_ms(300);
    assert!(model.tasks_on(bound).contains(&support::first_task(1)));
    assert_eq!(model.state(2), Some(JobState::Running));
    model.run_ms(30_000);
    assert_eq!(model.state(1), Some(JobState::Completed));
}

/// Guards against TWICE on one worker: its new process has executed an order of which the coordinator does
/// not know, instead of the later run that the former process had. The later run was taken for missing, and
/// the task started again beside the earlier one.
#[test]
fn an_earlier_run_on_a_new_process_is_adopted() {
    let mut model = Model::new(support::config(), 1);
    model.run_ms(30_000);
    model.set_mode(0, WorkerMode::DelaysStarts(4_000));
    let step = support::step(1, 1_000, 20_000);
    model.submit(support::job(1, "batch", vec![step]));
    // The order is sent, and its coordinator ends before the durable roster lists it.
    model.run_ms(20);
    assert!(model.workers[0].has_delayed_starts());
    model.take_over();
    model.set_mode(0, WorkerMode::Healthy);
    model.run_ms(3_980);
    assert_eq!(model.tasks_on(0).len(), 1, "a later run");
    model.restart_worker(0, DelayedStarts::InTransit);
    // The model asserts that no task runs twice at the same time.
    model.run_ms(500);
    assert_eq!(model.starts, 2, "the late order, and no start beside it");
    model.run_ms(60_000);
    assert_eq!(model.state(1), Some(JobState::Completed));
}

/// Guards against TWICE on one worker: its new process has executed the order of an earlier run and has
/// confirmed a stop of the later one, which says nothing about the earlier one.
#[test]
fn a_stop_of_a_later_run_does_not_end_an_earlier_one() {
    let (mut coordinator, ids) = coordinator_with_two_workers();
    submit(&mut coordinator, support::step(1, 1_000, 60_000));
    let [(task, first, worker)] = starts(&mut coordinator, 20).try_into().expect("one start");
    coordinator.start_unanswered(&worker, task, first, 300);
    coordinator.start_answered(&worker, task, first, StartResponse::Started, 310);
    report(
        &mut coordinator,
        &worker,
        400,
        &[],
        &[(task, first, EndKind::Stopped)],
    );
    let [(_, second, on)] = starts(&mut coordinator, 410).try_into().expect("one start");
    assert_eq!(on, worker);
    coordinator.start_answered(&worker, task, second, StartResponse::Unknown, 1_300);
    let running = [(task, first)];
    report_of(&mut coordinator, &worker, 2_000, 1_900, &running, &[]);
    assert_eq!(starts(&mut coordinator, 2_010), []);
    coordinator.stop_confirmed(&worker, task, second, 2_020);
    for now_ms in [2_100, 3_000, 30_000] {
        report_of(&mut coordinator, &worker, now_ms, 1_900, &running, &[]);
        for id in ids.iter().filter(|id| **id != worker) {
            report(&mut coordinator, id, now_ms, &[], &[]);
        }
        assert_eq!(starts(&mut coordinator, now_ms + 10), [], "at {now_ms}");
    }
    let done = [(task, first, EndKind::Done)];
    report_of(&mut coordinator, &worker, 31_000, 1_900, &[], &done);
    assert_eq!(starts(&mut coordinator, 31_010), []);
    assert_eq!(coordinator.open_jobs().count(), 0, "completed");
}

/// Guards against waiting for nothing: the response to an order was lost, and its run had ended before that
/// became known. No later process accepts its ticket, so that the task is not bound to the worker.
#[test]
fn a_run_with_a_ticket_that_has_ended_binds_no_task() {
    let mut coordinator = support::coordinator(support::advised_config());
    let entry = support::entry(0);
    let id = Rc::clone(&entry.id);
    coordinator.update_worker(entry);
    coordinator.roster_durable(&[Rc::clone(&id)]);
    report(&mut coordinator, &id, 10, &[], &[]);
    submit(&mut coordinator, support::step(1, 1_000, 500));
    assert_eq!(starts(&mut coordinator, 20), []);
    let advise = |coordinator: &mut Coordinator, now_ms: u64| {
        let query = coordinator.next_advice_query(now_ms, false);
        let outcome = AdviceOutcome::Answered {
            tickets: vec![(Rc::clone(&id), "ticket".into())],
            valid_ms: 2_500,
        };
        if let Some(query) = query {
            coordinator.advice_answered(&query, &outcome, now_ms);
        }
    };
    advise(&mut coordinator, 30);
    let [(task, run, _)] = starts(&mut coordinator, 40).try_into().expect("one start");
    report(
        &mut coordinator,
        &id,
        200,
        &[],
        &[(task, run, EndKind::Stopped)],
    );
    coordinator.start_unanswered(&id, task, run, 340);
    let other = support::entry(1);
    let other_id = Rc::clone(&other.id);
    coordinator.update_worker(other);
    coordinator.roster_durable(&[Rc::clone(&id), other_id]);
    assert_eq!(
        coordinator
            .roster(350)
            .map(|w| w.late_orders().count())
            .sum::<usize>(),
        0
    );
    coordinator.update_worker(WorkerEntry {
        draining: true,
        ..support::entry(0)
    });
    report(&mut coordinator, &support::entry(1).id, 360, &[], &[]);
    assert_eq!(
        starts(&mut coordinator, 370),
        [],
        "without a ticket for the other worker"
    );
    let query = coordinator
        .next_advice_query(380, false)
        .expect("a question");
    let outcome = AdviceOutcome::Answered {
        tickets: vec![(support::entry(1).id, "ticket".into())],
        valid_ms: 2_500,
    };
    coordinator.advice_answered(&query, &outcome, 390);
    let next = starts(&mut coordinator, 400);
    assert_eq!(next.len(), 1, "{next:?}");
    assert_eq!(next[0].2, support::entry(1).id);
}
