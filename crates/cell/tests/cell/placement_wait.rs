//! Waits for a better placement.

use hickorychute_cell::{
    coordinator::{Tuning, WaitChange, WaitEvent},
    ids::TaskId,
    jobs::StepSpec,
    placement_wait::{self, WaitCase, WaitReason, WaitVerdict},
};

use crate::support::{self, Model};

/// A step that takes twice as long here and is late, while it meets its objective on a worker that is
/// free in 400 ms.
const CASE: WaitCase = WaitCase {
    reason: WaitReason::FasterWorker,
    unix_ms: support::START_UNIX_MS,
    here_ms: 2_000,
    better_ms: 1_000,
    free_in_ms: Some(400),
    later_ms: 0,
    waited_ms: 0,
    objective_left_ms: 1_900,
    value_left_ms: 6_000,
    idle_better_workers: 0,
    backlog_ms: 0,
};

/// The same step with much time left to its objective.
const ON_TIME: WaitCase = WaitCase {
    objective_left_ms: 4_000,
    ..CASE
};

struct Case {
    name: &'static str,
    situation: WaitCase,
    waits: bool,
}

fn check(cases: Vec<Case>) {
    for case in cases {
        let verdict = placement_wait::decide(&case.situation);
        let waits = WaitVerdict::WaitUntil {
            unix_ms: support::START_UNIX_MS + case.situation.free_in_ms.unwrap_or(0),
            reason: WaitReason::FasterWorker,
        };
        let expected = if case.waits {
            waits
        } else {
            WaitVerdict::StartNow
        };
        assert_eq!(verdict, expected, "{}", case.name);
    }
}

#[test]
fn a_wait_must_pay() {
    let cases = vec![
        Case {
            name: "late here, in time after the wait",
            situation: CASE,
            waits: true,
        },
        Case {
            name: "the same in a full cell",
            situation: WaitCase {
                backlog_ms: 10_000,
                ..CASE
            },
            waits: true,
        },
        Case {
            name: "better placement does not become free",
            situation: WaitCase {
                free_in_ms: None,
                ..CASE
            },
            waits: false,
        },
        Case {
            name: "becomes free too late",
            situation: WaitCase {
                free_in_ms: Some(900),
                ..ON_TIME
            },
            waits: false,
        },
        Case {
            name: "in time here, late after a delay of the wait",
            situation: WaitCase {
                objective_left_ms: 2_050,
                better_ms: 1_400,
                ..CASE
            },
            waits: false,
        },
        Case {
            name: "in time either way, cell is idle otherwise",
            situation: ON_TIME,
            waits: true,
        },
        Case {
            name: "in time either way, others would use the idle capacity",
            situation: WaitCase {
                free_in_ms: Some(450),
                backlog_ms: 10_000,
                ..ON_TIME
            },
            waits: false,
        },
        Case {
            name: "in time either way, little waiting work",
            situation: WaitCase {
                free_in_ms: Some(450),
                backlog_ms: 50,
                ..ON_TIME
            },
            waits: true,
        },
    ];
    check(cases);
}

/// Guards against waits that outlive their reason or cost the job its value.
#[test]
fn a_wait_ends() {
    let cases = vec![
        Case {
            name: "later steps make the job late either way",
            situation: WaitCase {
                later_ms: 1_000,
                backlog_ms: 10_000,
                free_in_ms: Some(450),
                ..CASE
            },
            waits: false,
        },
        Case {
            name: "no value left either way",
            situation: WaitCase {
                objective_left_ms: 0,
                value_left_ms: 500,
                ..CASE
            },
            waits: false,
        },
        Case {
            name: "many better workers are idle",
            situation: WaitCase {
                idle_better_workers: 10,
                ..CASE
            },
            waits: false,
        },
        Case {
            name: "has waited for most of what it gains",
            situation: WaitCase {
                waited_ms: 700,
                ..CASE
            },
            waits: false,
        },
    ];
    check(cases);
}

/// Number of workers in a rack.
const RACK_WORKERS: usize = 8;
const DATA_RACK: &str = "rack-0";

fn near_data(step: StepSpec) -> StepSpec {
    StepSpec {
        affinity_rack: DATA_RACK.to_owned(),
        ..step
    }
}

/// A cell of two racks. The first one is full of tasks that take `filler_ms`.
fn cell_with_full_rack(cross_rack_percent: u32, filler_ms: u64) -> Model {
    let mut model = Model::new(support::config(), 2 * RACK_WORKERS);
    model.coordinator.tune(Tuning {
        cross_rack_percent,
        ..Tuning::default()
    });
    model.run_ms(100);
    let filler = near_data(support::step(2 * RACK_WORKERS as u32, 8_000, filler_ms));
    model.submit(support::job(1, "batch", vec![filler]));
    model.run_ms(100);
    model
}

/// Workers with tasks of a job.
fn used_by(model: &Model, job: u64) -> Vec<usize> {
    let of_job = |task: &TaskId| task.step.job == support::id(job);
    (0..model.workers.len())
        .filter(|&worker| model.tasks_on(worker).iter().any(of_job))
        .collect()
}

fn changes(events: &[WaitEvent]) -> Vec<WaitChange> {
    events.iter().map(|event| event.change).collect()
}

#[test]
fn tasks_wait_for_the_rack_of_their_data_if_that_pays() {
    struct Case {
        name: &'static str,
        cross_rack_percent: u32,
        filler_ms: u64,
        /// Whether all workers of the rack drain during the wait.
        drains: bool,
        in_rack: bool,
        changes: &'static [WaitChange],
    }
    let cases = [
        Case {
            name: "rack becomes free soon",
            cross_rack_percent: 300,
            filler_ms: 800,
            drains: false,
            in_rack: true,
            changes: &[WaitChange::Began, WaitChange::Better],
        },
        Case {
            name: "rack stays full",
            cross_rack_percent: 300,
            filler_ms: 30_000,
            drains: false,
            in_rack: false,
            changes: &[],
        },
        Case {
            name: "racks do not matter",
            cross_rack_percent: 100,
            filler_ms: 800,
            drains: false,
            in_rack: false,
            changes: &[],
        },
        Case {
            name: "place is lost during the wait",
            cross_rack_percent: 300,
            filler_ms: 800,
            drains: true,
            in_rack: false,
            changes: &[WaitChange::Began, WaitChange::Elsewhere],
        },
    ];
    for case in cases {
        let mut model = cell_with_full_rack(case.cross_rack_percent, case.filler_ms);
        let step = near_data(support::step(2, 8_000, 2_000));
        model.submit(support::job(2, "urgent", vec![step]));
        model.run_ms(100);
        let waits = case.changes.contains(&WaitChange::Began);
        assert_eq!(
            used_by(&model, 2).is_empty(),
            waits,
            "{}: at once",
            case.name
        );
        if case.drains {
            for worker in 0..RACK_WORKERS {
                model.drain_worker(worker);
            }
            model.run_ms(100);
        } else {
            model.run_ms(900);
        }
        let used = used_by(&model, 2);
        assert!(!used.is_empty(), "{}: started", case.name);
        let in_rack = used.iter().all(|&worker| worker < RACK_WORKERS);
        assert_eq!(in_rack, case.in_rack, "{}: {used:?}", case.name);
        let events = model.coordinator.take_wait_events();
        assert_eq!(changes(&events), case.changes, "{}: {events:?}", case.name);
    }
}

#[test]
fn a_gang_waits_for_one_rack_if_that_pays() {
    struct Case {
        name: &'static str,
        filler_ms: u64,
        waits: bool,
    }
    let cases = [
        Case {
            name: "a rack becomes free soon",
            filler_ms: 700,
            waits: true,
        },
        Case {
            name: "both racks stay half full",
            filler_ms: 30_000,
            waits: false,
        },
    ];
    for case in cases {
        let mut model = Model::new(support::config(), 2 * RACK_WORKERS);
        model.coordinator.tune(Tuning {
            cross_rack_percent: 300,
            ..Tuning::default()
        });
        model.run_ms(100);
        // Each worker has room for one member, each rack for half of them.
        let filler = StepSpec {
            max_per_worker: 1,
            ..support::step(2 * RACK_WORKERS as u32, 9_000, case.filler_ms)
        };
        model.submit(support::job(1, "batch", vec![filler]));
        model.run_ms(100);
        let gang = StepSpec {
            same_rack: true,
            ..support::gang(RACK_WORKERS as u32 + 2, 7_000, 1_500)
        };
        model.submit(support::job(2, "gang", vec![gang]));
        model.run_ms(100);
        assert_eq!(used_by(&model, 2).is_empty(), case.waits, "{}", case.name);
        model.run_ms(900);
        let used = used_by(&model, 2);
        let racks = [0, 1].map(|rack| used.iter().any(|worker| worker / RACK_WORKERS == rack));
        assert_eq!(racks[0] != racks[1], case.waits, "{}: {used:?}", case.name);
        assert!(racks[0] || racks[1], "{}: started", case.name);
    }
}

/// Number of workers of the heterogeneous cell; every third one is slow.
const WORKERS: usize = 12;

/// A cell with workers of known, different paces.
fn heterogeneous_cell() -> Model {
    let mut model = Model::new(support::config(), WORKERS);
    for worker in 0..WORKERS {
        model.set_pace(worker, if worker.is_multiple_of(3) { 160 } else { 85 });
    }
    for number in 0..25 {
        let steps = vec![support::step(24, 8_000, 900)];
        model.submit(support::job(100_000 + number, "batch", steps));
        model.run_ms(1_500);
    }
    model.run_ms(4_000);
    assert!(model.coordinator.pace_summary().is_some());
    model
}

/// Guards against a gang that waits for ever for workers of one pace, and against one that starts on a
/// slow worker moments before a fast one is free.
#[test]
fn a_gang_that_fits_only_mixed_starts_mixed_unless_waiting_pays() {
    struct Case {
        name: &'static str,
        filler_ms: u64,
        waits: bool,
    }
    let cases = [
        Case {
            name: "fast workers become free soon",
            filler_ms: 900,
            waits: true,
        },
        Case {
            name: "fast workers stay busy",
            filler_ms: 30_000,
            waits: false,
        },
    ];
    for case in cases {
        let mut model = heterogeneous_cell();
        // Fills each worker halfway, so that neither the fast nor the slow ones have room for all.
        let filler = StepSpec {
            max_per_worker: 1,
            ..support::step(WORKERS as u32, 9_000, case.filler_ms)
        };
        model.submit(support::job(1, "batch", vec![filler]));
        model.run_ms(100);
        model.submit(support::job(
            2,
            "urgent",
            vec![support::gang(10, 7_000, 2_000)],
        ));
        model.run_ms(100);
        let used = used_by(&model, 2);
        assert_eq!(used.is_empty(), case.waits, "{}: {used:?}", case.name);
        model.run_ms(1_200);
        let used = used_by(&model, 2);
        assert!(!used.is_empty(), "{}: started", case.name);
        let is_mixed = used.iter().any(|worker| worker.is_multiple_of(3));
        assert_eq!(is_mixed, !case.waits, "{}: {used:?}", case.name);
    }
}
