//! Workers that look gone while their runs go on.

use std::{
    panic::{self, AssertUnwindSafe},
    rc::Rc,
};

use hickorychute_cell::{
    coordinator::{
        Coordinator, HoldFailure, InheritedWorker, Order, StartResponse, TakeoverState, Tuning,
    },
    jobs::JobState,
    workers::{EndKind, HoldReport, ReportedEnd, ReportedRun, WorkerEntry},
};

use crate::support::{self, DelayedStarts, Model, WorkerMode};

/// When another coordinator takes over, counted from the cut.
#[derive(Clone, Copy, Debug)]
enum Takeover {
    Never,
    /// Before the entry lapses.
    Early,
    /// After the entry has lapsed.
    Late,
}

#[derive(Clone, Copy, Debug)]
struct Cut {
    mode: WorkerMode,
    draining: bool,
    lapses: bool,
    takeover: Takeover,
    clock_per_mille: u64,
    lasts_ms: u64,
}

/// Cuts a worker off while its tasks run. The model asserts that none of them starts elsewhere while
/// it runs there.
fn play(cut: Cut) {
    let mut model = Model::new(support::config(), 3);
    for number in 0..3 {
        model.set_clock_rate(number, cut.clock_per_mille);
    }
    model.submit(support::job(
        1,
        "batch",
        vec![support::step(10, 3_000, 6_000)],
    ));
    model.run_ms(300);
    if cut.draining {
        model.drain_worker(0);
        // The durable roster follows within half a second.
        model.run_ms(500);
    }
    model.set_mode(0, cut.mode);
    model.run_ms(200);
    if matches!(cut.takeover, Takeover::Early) {
        model.take_over();
    }
    model.run_ms(1_300);
    if cut.lapses {
        model.lapse_entry(0);
    }
    model.run_ms(100);
    if matches!(cut.takeover, Takeover::Late) {
        model.take_over();
    }
    model.run_ms(cut.lasts_ms.saturating_sub(1_600));
    model.set_mode(0, WorkerMode::Healthy);
    if cut.lapses {
        model.restore_entry(0);
    }
    model.run_ms(30_000);
    assert_eq!(model.state(1), Some(JobState::Completed));
}

/// Guards against two runs of a task at the same time: no answer, a refused connection, a missing
/// entry and an announced shutdown are no end of a worker's runs, alone or together.
#[test]
fn a_worker_that_is_cut_off_keeps_its_tasks() {
    let mut failed = Vec::new();
    for mode in [WorkerMode::Unreachable, WorkerMode::Refusing] {
        for (draining, lapses) in [(false, false), (false, true), (true, false), (true, true)] {
            for takeover in [Takeover::Never, Takeover::Early, Takeover::Late] {
                for clock_per_mille in [1_000, 980] {
                    for lasts_ms in [1_600, 3_000, 7_000] {
                        let cut = Cut {
                            mode,
                            draining,
                            lapses,
                            takeover,
                            clock_per_mille,
                            lasts_ms,
                        };
                        if panic::catch_unwind(AssertUnwindSafe(|| play(cut))).is_err() {
                            failed.push(cut);
                        }
                    }
                }
            }
        }
    }
    assert!(failed.is_empty(), "{} cuts: {failed:#?}", failed.len());
}

/// A coordinator with one worker, and one task that it has ordered there.
fn coordinator_with_an_order() -> (Coordinator, Rc<str>) {
    let mut coordinator = support::coordinator(support::config());
    let entry = support::entry(0);
    let worker = Rc::clone(&entry.id);
    coordinator.update_worker(entry);
    coordinator.roster_durable(&[Rc::clone(&worker)]);
    assert!(report(&mut coordinator, &worker, 0, 10, 0, &[]));
    coordinator.add_job(
        &support::job(1, "batch", vec![support::step(1, 1_000, 5_000)]),
        false,
        support::START_UNIX_MS,
    );
    assert_eq!(starts(&mut coordinator, 20), 1);
    (coordinator, worker)
}

/// Passes a report that was requested at `sent_ms` by a process that started `started_ms` after the
/// first one. Returns whether it was accepted.
fn report(
    coordinator: &mut Coordinator,
    worker: &str,
    sent_ms: u64,
    now_ms: u64,
    started_ms: u64,
    running: &[u64],
) -> bool {
    let _terms = coordinator.begin_hold(worker, true, sent_ms);
    let report = HoldReport {
        clock_ms: 1_000 + now_ms - started_ms,
        started_unix_ms: support::START_UNIX_MS + started_ms,
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
    coordinator.hold_answered(worker, sent_ms, now_ms, unix_ms, &report)
}

/// Passes a report of the first process, which must be accepted.
fn accepted(
    coordinator: &mut Coordinator,
    worker: &str,
    sent_ms: u64,
    now_ms: u64,
    running: &[u64],
) {
    assert!(report(coordinator, worker, sent_ms, now_ms, 0, running));
}

fn starts(coordinator: &mut Coordinator, now_ms: u64) -> usize {
    let orders = coordinator.schedule(now_ms, support::START_UNIX_MS + now_ms);
    let is_start = |order: &&Order| matches!(order, Order::Start { .. });
    orders.iter().filter(is_start).count()
}

/// Guards against a second run of a task whose order reached the new process of a restarted worker
/// before the restart became known.
#[test]
fn a_run_on_the_new_process_of_a_restarted_worker_is_kept() {
    struct Case {
        name: &'static str,
        /// When the start was confirmed.
        confirmed_ms: u64,
        /// When the report was requested that shows the restart; it does not contain the run.
        requested_ms: u64,
        /// Whether that shows that the run is gone.
        released: bool,
    }
    let cases = [
        Case {
            name: "confirmed while the report was under way",
            confirmed_ms: 80,
            requested_ms: 60,
            released: false,
        },
        Case {
            name: "confirmed before the report was requested",
            confirmed_ms: 50,
            requested_ms: 60,
            released: true,
        },
    ];
    for case in cases {
        let (mut coordinator, worker) = coordinator_with_an_order();
        let task = support::first_task(1);
        coordinator.start_answered(&worker, task, 1, StartResponse::Started, case.confirmed_ms);
        assert!(report(
            &mut coordinator,
            &worker,
            case.requested_ms,
            90,
            40,
            &[]
        ));
        // The later process is given work once its own entry has come.
        coordinator.update_worker(WorkerEntry {
            started_unix_ms: support::START_UNIX_MS + 40,
            ..support::entry(0)
        });
        let released = starts(&mut coordinator, 100) == 1;
        assert_eq!(released, case.released, "{}", case.name);
        if !released {
            assert!(report(&mut coordinator, &worker, 110, 120, 40, &[1]));
            assert_eq!(starts(&mut coordinator, 130), 0, "{}: adopted", case.name);
        }
    }
}

/// Guards against a second run of a task after a response of an earlier process of its worker, as a
/// connection that was open before the restart may deliver it.
#[test]
fn a_report_of_an_earlier_process_releases_nothing() {
    let (mut coordinator, worker) = coordinator_with_an_order();
    let task = support::first_task(1);
    assert!(report(&mut coordinator, &worker, 30, 40, 25, &[]));
    coordinator.start_answered(&worker, task, 1, StartResponse::Started, 50);
    assert!(report(&mut coordinator, &worker, 60, 70, 25, &[1]));
    assert!(!report(&mut coordinator, &worker, 80, 90, 0, &[]));
    assert_eq!(starts(&mut coordinator, 100), 0);
}

/// A worker that exits after draining removes its entry; one that is cut off lets it lapse, which
/// takes longer. Guards against taking the latter for the former.
#[test]
fn only_a_withdrawn_entry_shows_that_a_draining_worker_has_left() {
    #[derive(Clone, Copy)]
    struct Case {
        name: &'static str,
        draining: bool,
        /// When the last write of the entry was seen, at the earliest; absent if it was only listed.
        written_ms: Option<u64>,
        /// When its removal was seen; absent if it was missing from a listing.
        removed_ms: Option<u64>,
        silent: bool,
        released: bool,
    }
    let left = Case {
        name: "left",
        draining: true,
        written_ms: Some(1_000),
        removed_ms: Some(4_900),
        silent: true,
        released: true,
    };
    let alive = Case {
        released: false,
        ..left
    };
    let cases = [
        left,
        Case {
            name: "may have lapsed",
            removed_ms: Some(5_000),
            ..alive
        },
        Case {
            name: "last write unknown",
            written_ms: None,
            ..alive
        },
        Case {
            name: "missing from a listing",
            removed_ms: None,
            ..alive
        },
        Case {
            name: "answers",
            silent: false,
            ..alive
        },
        Case {
            name: "not draining",
            draining: false,
            ..alive
        },
    ];
    for case in cases {
        let (mut coordinator, worker) = coordinator_with_an_order();
        let task = support::first_task(1);
        coordinator.start_answered(&worker, task, 1, StartResponse::Started, 120);
        coordinator.update_worker(WorkerEntry {
            draining: case.draining,
            ..support::entry(0)
        });
        let other = support::entry(1);
        coordinator.update_worker(other.clone());
        coordinator.roster_durable(&[Rc::clone(&other.id)]);
        if let Some(written_ms) = case.written_ms {
            coordinator.entry_written(&worker, written_ms);
        }
        assert!(report(&mut coordinator, &worker, 4_000, 4_000, 0, &[1]));
        assert!(report(&mut coordinator, &other.id, 4_000, 4_000, 0, &[]));
        if case.silent {
            coordinator.hold_failed(&worker, HoldFailure::Refused, 4_800);
        }
        match case.removed_ms {
            Some(removed_ms) => coordinator.entry_removed(&worker, removed_ms),
            None => coordinator.remove_from_list(&worker),
        }
        let released = starts(&mut coordinator, 5_010) == 1;
        assert_eq!(released, case.released, "{}", case.name);
    }
}

/// Another worker at an address ends a worker only if it answered there. Guards against releasing the
/// runs of a worker whose entry names an address at which it has never been.
#[test]
fn another_worker_at_an_unknown_address_ends_nothing() {
    struct Case {
        name: &'static str,
        address: Option<&'static str>,
        released: bool,
    }
    let cases = [
        Case {
            name: "address at which it answered",
            address: None,
            released: true,
        },
        Case {
            name: "other address",
            address: Some("10.9.9.9:1"),
            released: false,
        },
    ];
    for case in cases {
        let (mut coordinator, worker) = coordinator_with_an_order();
        let task = support::first_task(1);
        coordinator.start_answered(&worker, task, 1, StartResponse::Started, 120);
        let mut entry = support::entry(0);
        if let Some(address) = case.address {
            entry.address = address.into();
        }
        coordinator.update_worker(entry);
        let other = support::entry(1);
        coordinator.update_worker(other.clone());
        coordinator.roster_durable(&[Rc::clone(&other.id)]);
        assert!(report(&mut coordinator, &other.id, 200, 200, 0, &[]));
        let _terms = coordinator.begin_hold(&worker, true, 210);
        let proved = coordinator.address_taken(&worker, 220);
        coordinator.hold_failed(&worker, HoldFailure::Silent, 220);
        assert_eq!(proved, case.released, "{}", case.name);
        let released = starts(&mut coordinator, 230) == 1;
        assert_eq!(released, case.released, "{}", case.name);
    }
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
    accepted(&mut coordinator, &draining, 0, 10, &[]);
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
    accepted(&mut coordinator, &draining, 4_000, 4_000, &[1]);
    coordinator.entry_removed(&draining, 4_500);
    accepted(&mut coordinator, &draining, 5_000, 5_500, &[1]);
    accepted(&mut coordinator, &other, 5_500, 5_500, &[]);
    coordinator.hold_failed(&draining, HoldFailure::Silent, 6_000);
    assert_eq!(starts(&mut coordinator, 6_010), 0);
}

/// A task that only worker 0 may run, ordered there by an order that is in transit for `transit_ms`.
/// From then on only worker 1 may run it.
pub(crate) fn model_with_an_order_in_transit(transit_ms: u64) -> Model {
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
            late_orders: Vec::new(),
            pace_percent: None,
        };
        let takeover = TakeoverState {
            roster: vec![inherited(0), inherited(1)],
            expiry_ms: 11_200,
            orders_expiry_ms: 18_000,
            run_floor: 1_000,
        };
        let mut coordinator = Coordinator::new(Tuning::default(), support::config(), takeover);
        let job = support::job(1, "batch", vec![support::step(1, 1_000, 5_000)]);
        coordinator.add_job(&job, true, support::START_UNIX_MS);
        let ready = support::entry(2);
        coordinator.update_worker(ready.clone());
        coordinator.roster_durable(&[Rc::clone(&ready.id)]);
        accepted(&mut coordinator, &ready.id, 10, 20, &[]);
        // The worker with the earlier run answers, the one with the later run does not.
        let earlier = usize::from(case.listed[1] == 1);
        report(
            &mut coordinator,
            &support::entry(earlier).id,
            10,
            20,
            0,
            &[],
        );
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
    accepted(&mut coordinator, &worker, 0, 10, &[]);
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
    accepted(&mut coordinator, &worker, 60, 120, &[1]);
    accepted(&mut coordinator, &worker, 130, 140, &[]);
    assert_eq!(starts(&mut coordinator, 150), 0);
}
