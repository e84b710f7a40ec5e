//! What jobs cost the coordinator: memory, records, passes and orders.

use hickorychute_cell::{
    admission::Verdict,
    coordinator::{ChangeLimits, Coordinator, Order, Tuning},
    footprint::{self, HeldMemory, LARGE_JOB_BYTES, MemoryBudget},
    jobs::{JobRecord, JobSpec, JobState},
};

use crate::support::{self, Model};

const MIB: u64 = 1 << 20;

/// A job of independent steps.
fn wide(id: u64, steps: usize, cpu_millicores: u64) -> JobRecord {
    let mut record = support::job(id, "batch", Vec::new());
    if let Some(spec) = &mut record.spec {
        spec.steps = vec![support::step(1, cpu_millicores, 1_000); steps];
    }
    record
}

fn spec_of(record: &JobRecord) -> &JobSpec {
    record.spec.as_ref().expect("the job has a spec")
}

fn tune(model: &mut Model, job_bytes: u64) {
    let memory = MemoryBudget {
        job_bytes,
        record_bytes: MIB,
    };
    model.coordinator.tune(Tuning {
        memory,
        ..Tuning::default()
    });
}

fn verdict(model: &Model, record: &JobRecord) -> Verdict {
    let queue = &model.coordinator.config().queues[record.queue.as_str()];
    model.coordinator.admit(queue, spec_of(record))
}

/// Guards against large jobs that leave no memory to ordinary ones, and against a single one that is
/// refused although it fits.
#[test]
fn large_jobs_share_a_part_of_the_memory() {
    struct Case {
        name: &'static str,
        held: HeldMemory,
        bytes: u64,
        has_room: bool,
    }
    let held = |bytes, large_bytes| HeldMemory { bytes, large_bytes };
    let cases = [
        Case {
            name: "the only large one",
            held: held(MIB, 0),
            bytes: 9 * MIB,
            has_room: true,
        },
        Case {
            name: "more than there is",
            held: held(MIB, 0),
            bytes: 9 * MIB + 1,
            has_room: false,
        },
        Case {
            name: "large ones within half",
            held: held(3 * MIB, 3 * MIB),
            bytes: 2 * MIB,
            has_room: true,
        },
        Case {
            name: "large ones beyond half",
            held: held(3 * MIB, 3 * MIB),
            bytes: 2 * MIB + 1,
            has_room: false,
        },
        Case {
            name: "a small one beside them",
            held: held(9 * MIB, 9 * MIB),
            bytes: LARGE_JOB_BYTES - 1,
            has_room: true,
        },
        Case {
            name: "a small one without room",
            held: held(10 * MIB, 5 * MIB),
            bytes: 1,
            has_room: false,
        },
        Case {
            name: "a small one beside large ones that were inherited",
            held: held(30 * MIB, 28 * MIB),
            bytes: 1 << 10,
            has_room: true,
        },
        Case {
            name: "a small one beyond the share of small ones",
            held: held(30 * MIB, 27 * MIB),
            bytes: 1 << 10,
            has_room: false,
        },
        Case {
            name: "a large one beside large ones that were inherited",
            held: held(30 * MIB, 30 * MIB),
            bytes: MIB,
            has_room: false,
        },
    ];
    let budget = MemoryBudget {
        job_bytes: 10 * MIB,
        record_bytes: MIB,
    };
    for case in cases {
        let has_room = budget.has_room(case.held, case.bytes);
        assert_eq!(has_room, case.has_room, "{}", case.name);
    }
}

/// Guards against jobs that end the coordinator's process, and against refusals that last longer than
/// what they wait for.
#[test]
fn jobs_are_refused_while_others_take_the_memory() {
    struct Case {
        name: &'static str,
        /// Steps of the jobs that are open, and of one that is about to be accepted.
        open: &'static [usize],
        pending: usize,
        steps: usize,
        expected: Verdict,
    }
    let refused = Verdict::NoMemory {
        retry_after_ms: 2_000,
    };
    let cases = [
        Case {
            name: "a large one in calm",
            open: &[],
            pending: 0,
            steps: 5_000,
            expected: Verdict::Accept,
        },
        Case {
            name: "one that never fits",
            open: &[],
            pending: 0,
            steps: 20_000,
            expected: Verdict::TooLarge,
        },
        Case {
            name: "a second large one",
            open: &[4_000],
            pending: 0,
            steps: 3_000,
            expected: refused,
        },
        Case {
            name: "a second large one beside one that is about to be accepted",
            open: &[],
            pending: 4_000,
            steps: 3_000,
            expected: refused,
        },
        Case {
            name: "an ordinary one beside a large one",
            open: &[4_000],
            pending: 0,
            steps: 1,
            expected: Verdict::Accept,
        },
        Case {
            name: "an ordinary one without room",
            open: &[5_000, 200, 200, 200, 200, 200, 200, 200, 200, 200, 200, 200],
            pending: 1_800,
            steps: 100,
            expected: refused,
        },
    ];
    for case in cases {
        let mut model = Model::new(support::config(), 8);
        tune(&mut model, 10 * MIB);
        for (id, &steps) in case.open.iter().enumerate() {
            model.submit(wide(id as u64 + 1, steps, 1));
        }
        let pending = (case.pending > 0).then(|| wide(90, case.pending, 1));
        let pending_bytes = pending
            .as_ref()
            .map_or(0, |record| footprint::job_bytes(spec_of(record)));
        model.coordinator.reserve_memory(pending_bytes);
        let new = wide(99, case.steps, 1);
        assert_eq!(verdict(&model, &new), case.expected, "{}", case.name);
        for id in 0..case.open.len() {
            let unix_ms = model.unix_ms();
            model
                .coordinator
                .request_cancel(support::id(id as u64 + 1), unix_ms);
        }
        model.coordinator.release_memory(pending_bytes);
        model.run_ms(200);
        let after = verdict(&model, &new);
        let is_final = case.expected == Verdict::TooLarge;
        let expected = if is_final {
            Verdict::TooLarge
        } else {
            Verdict::Accept
        };
        assert_eq!(after, expected, "{}, afterwards", case.name);
    }
}

/// Guards against records that the store would refuse.
#[test]
fn jobs_whose_record_cannot_be_stored_are_refused() {
    struct Case {
        name: &'static str,
        count: u32,
        occurrences: u32,
        fits: bool,
    }
    let cases = [
        Case {
            name: "ordinary",
            count: 20,
            occurrences: 0,
            fits: true,
        },
        Case {
            name: "tasks",
            count: u32::MAX,
            occurrences: 0,
            fits: false,
        },
        Case {
            name: "occurrences",
            count: 1,
            occurrences: u32::MAX,
            fits: false,
        },
        Case {
            name: "many occurrences",
            count: 1,
            occurrences: 100_000,
            fits: true,
        },
    ];
    let budget = MemoryBudget {
        job_bytes: u64::MAX,
        record_bytes: MIB,
    };
    for case in cases {
        let spec = JobSpec {
            steps: vec![support::step(case.count, 1, 1)],
            occurrences: case.occurrences,
            ..JobSpec::default()
        };
        assert_eq!(budget.fits_alone(&spec), case.fits, "{}", case.name);
    }
}

/// Guards against occurrences that were due long ago and all begin at once.
#[test]
fn occurrences_begin_within_the_memory_and_all_complete() {
    let mut model = Model::new(support::config(), 8);
    tune(&mut model, 64 << 10);
    let mut record = wide(1, 1, 1_000);
    if let Some(spec) = &mut record.spec {
        spec.occurrences = 200;
        spec.first_due_unix_ms = support::START_UNIX_MS - 1;
        spec.interval_ms = 0;
        spec.steps[0].estimate_ms = 10;
    }
    model.submit(record);
    let begun = |model: &Model| {
        let job = model.coordinator.open_jobs().next();
        job.map_or(0, |job| job.occurrences.len())
    };
    assert!((2..100).contains(&begun(&model)), "{}", begun(&model));
    model.run_ms(30_000);
    assert_eq!(model.state(1), Some(JobState::Completed));
}

/// Guards against a pass over thousands of steps of one job, and against steps that never get their
/// turn because others of the job wait for workers that do not exist.
#[test]
fn the_ready_steps_of_a_job_take_turns() {
    let mut model = Model::new(support::config(), 4);
    // Lets the workers report before there is work.
    model.run_ms(100);
    let mut record = wide(1, 400, 100);
    if let Some(spec) = &mut record.spec {
        for step in &mut spec.steps[..100] {
            *step = support::labelled(step.clone());
        }
    }
    model.submit(record);
    let mut started = 0;
    for _ in 0..20 {
        model.run_ms(10);
        let now_started = model.first_starts_ms.len();
        assert!(now_started - started <= 64, "{}", now_started - started);
        started = now_started;
    }
    assert!(started > 0);
    model.run_ms(5_000);
    assert_eq!(model.first_starts_ms.len(), 300);
}

/// Guards against more orders at once than hosts have connections for.
#[test]
fn orders_in_flight_are_bounded_and_the_others_follow() {
    let few = Tuning {
        max_starts_in_flight: 512,
        ..Tuning::default()
    };
    let mut model = Model::new(support::config(), 8);
    model.coordinator.tune(few);
    let steps = vec![support::step(3_000, 1, 1_000)];
    model.submit(support::job(1, "batch", steps));
    model.run_ms(100);
    let starts = |orders: &[Order]| {
        let starts = orders.iter();
        starts
            .filter(|order| matches!(order, Order::Start { .. }))
            .count()
    };
    let unix_ms = model.unix_ms();
    let first = model.coordinator.schedule(model.now_ms + 10, unix_ms + 10);
    let second = model.coordinator.schedule(model.now_ms + 20, unix_ms + 20);
    assert!(starts(&first) <= 512, "{}", starts(&first));
    assert_eq!(starts(&second), 0, "none of the first ones is answered");
    let mut model = Model::new(support::config(), 8);
    model.coordinator.tune(few);
    let steps = vec![support::step(3_000, 1, 1_000)];
    model.submit(support::job(1, "batch", steps));
    model.run_ms(10_000);
    assert_eq!(model.state(1), Some(JobState::Completed));
}

/// Guards against stops to a worker that does not answer which hold back those to others.
#[test]
fn stops_are_bounded_for_each_worker_apart() {
    let mut model = Model::new(support::config(), 2);
    model.run_ms(100);
    let steps = vec![support::step(200, 160, 60_000)];
    model.submit(support::job(1, "batch", steps));
    model.run_ms(1_000);
    let (now_ms, unix_ms) = (model.now_ms, model.unix_ms());
    model.coordinator.request_cancel(support::id(1), unix_ms);
    let stops = |orders: &[Order]| {
        let of = |worker: &str| {
            let stops = orders.iter();
            let stops = stops
                .filter(|order| matches!(order, Order::Stop { worker: of, .. } if **of == *worker));
            stops.count()
        };
        (of("w0"), of("w1"))
    };
    let first = model.coordinator.schedule(now_ms + 10, unix_ms + 10);
    let (silent, other) = stops(&first);
    assert_eq!((silent, other), (32, 32));
    for order in first {
        if let Order::Stop {
            worker, task, run, ..
        } = order
            && *worker == *"w1"
        {
            model
                .coordinator
                .stop_confirmed(&worker, task, run, now_ms + 20);
        }
    }
    let second = model.coordinator.schedule(now_ms + 30, unix_ms + 30);
    assert_eq!(stops(&second), (0, 32));
}

fn taken(coordinator: &mut Coordinator, open_bytes: u64) -> usize {
    let limits = ChangeLimits {
        records: 10,
        open_records: 10,
        open_bytes,
    };
    coordinator.take_changes(limits).len()
}

/// Guards against large records that are copied and sent again at each end of a task.
#[test]
fn large_records_are_written_in_turn() {
    let mut model = Model::new(support::config(), 8);
    for id in 1..=3 {
        model.submit(wide(id, 3_000, 10));
    }
    model.store_up = false;
    model.run_ms(2_000);
    assert_eq!(
        taken(&mut model.coordinator, u64::MAX),
        1,
        "the first large one"
    );
    model.run_ms(10);
    assert_eq!(
        taken(&mut model.coordinator, u64::MAX),
        0,
        "too early for another"
    );
    model.run_ms(1_000);
    assert_eq!(
        taken(&mut model.coordinator, 1),
        1,
        "alone, whatever its size"
    );
}

/// Guards against ended jobs that take the memory of open ones for the whole retention period.
#[test]
fn ended_jobs_keep_what_queries_need() {
    let mut model = Model::new(support::config(), 2);
    for id in 1..=50 {
        let record = support::job(id, "batch", vec![support::step(1, 100, 10)]);
        model.submit(support::of_tenant("t", record));
    }
    model.run_ms(2_000);
    assert_eq!(model.state(50), Some(JobState::Completed));
    let before = model.coordinator.held_memory();
    model.run_ms(4_000);
    let (now_ms, unix_ms) = (model.now_ms, model.unix_ms());
    model.coordinator.compact_ended_jobs(now_ms, unix_ms);
    let coordinator = &mut model.coordinator;
    assert!(coordinator.held_memory().bytes < before.bytes / 4);
    let id = support::id(50);
    assert_eq!(coordinator.job_state(id), Some(JobState::Completed));
    assert_eq!(coordinator.job_tenant(id).map(|name| &**name), Some("t"));
    assert!(coordinator.contains_job(id));
    assert!(coordinator.request_cancel(id, unix_ms), "it was accepted");
    assert_eq!(coordinator.job_state(id), Some(JobState::Completed));
    let retention_ms = Tuning::default().retention_ms;
    assert_eq!(coordinator.expired_jobs(unix_ms), []);
    assert_eq!(coordinator.expired_jobs(unix_ms + retention_ms).len(), 50);
    coordinator.remove_job(id);
    assert!(!coordinator.contains_job(id));
}
