//! Runs that are stopped so that a wide gang can start.

use std::{collections::HashSet, rc::Rc};

use hickorychute_cell::{
    config::Config,
    coordinator::{Job, Tuning},
    ids::TaskId,
    jobs::{JobRecord, JobState, StepSpec},
};
use indexmap::IndexMap;

use crate::support::{self, Model, WorkerMode};

/// Jobs with these numbers keep all workers busy except [`VACATABLE`].
const FILLER: u64 = 1;
/// The job whose tasks fill the other workers.
const OCCUPANT: u64 = 2;
const GANG: u64 = 3;
/// A tenth of the workers may be held.
const WORKERS: usize = 20;
/// Number of workers without tasks of [`FILLER`].
const VACATABLE: usize = 2;
/// Tasks of 2 cores that fill the vacatable workers.
const OCCUPANTS: u32 = 16;

/// A configuration with tenants, in which runs are stopped for wide gangs.
fn with_preemption(config: &Config) -> Rc<Config> {
    support::with_tenants(config, [support::tenant("a", 0.0, 0)])
}

fn checkpointing(step: StepSpec) -> StepSpec {
    StepSpec {
        checkpointing: true,
        ..step
    }
}

/// Tasks that may be stopped.
fn occupants(estimate_ms: u64) -> JobRecord {
    let step = checkpointing(support::step(OCCUPANTS, 2_000, estimate_ms));
    support::job(OCCUPANT, "batch", vec![step])
}

/// A gang that fills both vacatable workers.
fn wide_gang(estimate_ms: u64) -> JobRecord {
    support::job(GANG, "gang", vec![support::gang(4, 8_000, estimate_ms)])
}

/// A full cell: all workers but two run tasks without checkpoints, and these two the occupants.
fn full_cell(config: Rc<Config>, workers: usize, occupants: JobRecord) -> Model {
    let mut model = Model::new(config, workers);
    model.run_ms(500);
    let fillers = (workers - VACATABLE) as u32;
    let filler = support::step(fillers, 16_000, 90_000);
    model.submit(support::job(FILLER, "batch", vec![filler]));
    model.run_ms(200);
    assert_eq!(model.starts, u64::from(fillers), "the fillers run");
    model.submit(occupants);
    model.run_ms(500);
    model
}

/// Positions of the workers that run tasks of the occupants.
fn occupied(model: &Model) -> Vec<usize> {
    let runs_one = |number: &usize| tasks_of(model, *number, OCCUPANT) > 0;
    (0..model.workers.len()).filter(runs_one).collect()
}

fn tasks_of(model: &Model, worker: usize, job: u64) -> usize {
    let tasks = model.tasks_on(worker);
    let of_job = |task: &&TaskId| task.step.job == support::id(job);
    tasks.iter().filter(of_job).count()
}

fn running(model: &Model, job: u64) -> usize {
    let workers = 0..model.workers.len();
    workers.map(|number| tasks_of(model, number, job)).sum()
}

/// Number of runs that were stopped for gangs since the last call.
fn take_stopped(model: &mut Model) -> usize {
    let reports = model.coordinator.take_preemptions();
    reports.iter().map(|report| report.stopped).sum()
}

/// Time from the submission of the gang to its first start, within `span_ms`.
fn wait_of_gang(model: &mut Model, gang: JobRecord, span_ms: u64) -> Option<u64> {
    let submitted_ms = model.now_ms;
    let task = support::first_task(gang.id);
    model.submit(gang);
    model.run_ms(span_ms);
    let started_ms = model.first_starts_ms.get(&task)?;
    Some(started_ms - submitted_ms)
}

/// Guards against wide gangs that starve in a full cell: a steady stream of small tasks takes whatever
/// becomes free.
#[test]
fn a_wide_gang_starts_early_in_a_stream_of_small_tasks() {
    struct Case {
        name: &'static str,
        config: Rc<Config>,
        starts_early: bool,
    }
    let cases = [
        Case {
            name: "without preemption",
            config: support::config(),
            starts_early: false,
        },
        Case {
            name: "with preemption",
            config: with_preemption(&support::config()),
            starts_early: true,
        },
        Case {
            name: "with advice, without preemption",
            config: support::advised_config(),
            starts_early: false,
        },
        Case {
            name: "with advice and preemption",
            config: with_preemption(&support::advised_config()),
            starts_early: true,
        },
    ];
    for case in cases {
        let mut model = Model::new(case.config, 2 * WORKERS);
        model.run_ms(500);
        let mut next_id = 1_000;
        let mut submit_small_jobs = |model: &mut Model, count: usize| {
            for _ in 0..count {
                // Tasks on one worker end at different times, as those of many jobs do.
                let estimate_ms = 10_000 + next_id * 7 % 21 * 1_000;
                let step = checkpointing(support::step(1, 2_000, estimate_ms));
                model.submit(support::job(next_id, "batch", vec![step]));
                next_id += 1;
            }
        };
        let full = 8 * 2 * WORKERS;
        // 320 tasks of 20 s on average fill the cell. From their first end on 18 arrive each second.
        submit_small_jobs(&mut model, full);
        model.run_ms(10_000);
        for _ in 0..6 {
            submit_small_jobs(&mut model, 9);
            model.run_ms(500);
        }
        let submitted_ms = model.now_ms;
        let gang = wide_gang(2_000);
        model.submit(gang);
        let job = model.coordinator.open_jobs();
        let objective_ms = job
            .filter(|job| job.id == support::id(GANG))
            .map(Job::allowed_ms)
            .sum::<u64>();
        assert_eq!(objective_ms, 5_600);
        for _ in 0..12 {
            submit_small_jobs(&mut model, 9);
            model.run_ms(500);
        }
        let started_ms = model.first_starts_ms.get(&support::first_task(GANG));
        let waited_ms = started_ms.map(|started_ms| started_ms - submitted_ms);
        let is_early = waited_ms.is_some_and(|waited_ms| waited_ms <= objective_ms / 4);
        let misses = waited_ms.is_none_or(|waited_ms| waited_ms + 2_000 > objective_ms);
        assert_eq!(is_early, case.starts_early, "{}: {waited_ms:?}", case.name);
        assert_eq!(misses, !case.starts_early, "{}: {waited_ms:?}", case.name);
        assert_eq!(
            take_stopped(&mut model) > 0,
            case.starts_early,
            "{}",
            case.name
        );
    }
}

/// Guards against stopped tasks that are forgotten, or that begin again from nothing.
#[test]
fn stopped_tasks_resume_from_their_checkpoint() {
    let config = with_preemption(&support::config());
    let mut model = full_cell(config, WORKERS, occupants(10_000));
    model.run_ms(4_500);
    let before = model.starts;
    let waited_ms = wait_of_gang(&mut model, wide_gang(1_000), 500);
    assert!(waited_ms.is_some_and(|waited_ms| waited_ms <= 200));
    assert_eq!(take_stopped(&mut model), 16);
    assert_eq!(running(&model, OCCUPANT), 0);
    model.run_ms(1_000);
    assert_eq!(model.state(GANG), Some(JobState::Completed));
    assert_eq!(running(&model, OCCUPANT), 16, "they run again");
    assert_eq!(model.starts, before + 4 + 16);
    // Half of their work of 10 s was done. The gang took 1.2 s of their time.
    model.run_ms(5_500);
    assert_eq!(model.state(OCCUPANT), Some(JobState::Completed));
    assert_eq!(model.starts, before + 4 + 16);
}

/// Guards against a stream of gangs that keeps a task from ever ending.
#[test]
fn no_task_is_stopped_more_than_twice() {
    let config = with_preemption(&support::config());
    let mut model = full_cell(config, WORKERS, occupants(30_000));
    let tasks = |model: &Model| -> HashSet<TaskId> {
        let workers = 0..WORKERS;
        workers.flat_map(|number| model.tasks_on(number)).collect()
    };
    let mut present = tasks(&model);
    let mut runs: IndexMap<TaskId, u32> = present.iter().map(|task| (*task, 1)).collect();
    let mut stops = Vec::new();
    for number in 0..5 {
        let gang = JobRecord {
            id: 100 + number,
            ..wide_gang(1_000)
        };
        model.submit(gang);
        for _ in 0..500 {
            model.run_ms(10);
            let now = tasks(&model);
            for task in now.difference(&present) {
                *runs.entry(*task).or_default() += 1;
            }
            present = now;
        }
        stops.push(take_stopped(&mut model));
    }
    assert_eq!(stops, [16, 16, 0, 0, 0]);
    let of_occupants = |(task, _): &(&TaskId, &u32)| task.step.job == support::id(OCCUPANT);
    let most = runs.iter().filter(of_occupants).map(|(_, runs)| *runs);
    assert_eq!(most.max(), Some(3));
    model.run_ms(30_000);
    assert_eq!(model.state(OCCUPANT), Some(JobState::Completed));
}

/// A gang or another step that finds a full cell.
#[derive(Debug)]
struct Contest {
    name: &'static str,
    config: Rc<Config>,
    workers: usize,
    occupants: JobRecord,
    claimant: JobRecord,
    /// Number of runs that are stopped.
    stopped: usize,
}

impl Contest {
    /// A wide gang that may use the capacity of the occupants; nothing is expected to be stopped.
    fn new(name: &'static str) -> Self {
        Self {
            name,
            config: with_preemption(&support::config()),
            workers: WORKERS,
            occupants: occupants(30_000),
            claimant: wide_gang(1_000),
            stopped: 0,
        }
    }

    fn check(self) {
        let Self { name, stopped, .. } = self;
        let mut model = full_cell(self.config, self.workers, self.occupants);
        assert_eq!(running(&model, OCCUPANT), 16, "{name}");
        let before = model.starts;
        model.submit(self.claimant);
        model.run_ms(500);
        assert_eq!(take_stopped(&mut model), stopped, "{name}");
        assert_eq!(running(&model, OCCUPANT), 16 - stopped, "{name}");
        let started = if stopped > 0 { 4 } else { 0 };
        assert_eq!(model.starts, before + started, "{name}");
    }
}

/// Guards against stops that destroy work, or that cost more than they gain.
#[test]
fn only_runs_that_lose_little_are_stopped() {
    let occupied_by = |queue, step| support::job(OCCUPANT, queue, vec![step]);
    let small = support::step(OCCUPANTS, 2_000, 30_000);
    let contests = [
        Contest {
            stopped: 16,
            ..Contest::new("every condition holds")
        },
        Contest {
            occupants: occupied_by("batch", small.clone()),
            ..Contest::new("runs without checkpoints")
        },
        Contest {
            occupants: occupied_by(
                "batch",
                checkpointing(support::gang(OCCUPANTS, 2_000, 30_000)),
            ),
            ..Contest::new("members of a gang")
        },
        Contest {
            occupants: occupied_by("gang", checkpointing(small.clone())),
            ..Contest::new("runs of the same priority")
        },
        Contest {
            occupants: occupied_by("urgent", checkpointing(small.clone())),
            ..Contest::new("runs of a higher priority")
        },
        Contest {
            occupants: occupied_by("batch", support::long_running(checkpointing(small))),
            ..Contest::new("tasks that run until they are cancelled")
        },
        Contest {
            occupants: occupants(3_500),
            ..Contest::new("runs that end soon by themselves")
        },
    ];
    contests.into_iter().for_each(Contest::check);
}

/// Guards against stops that do not let a gang start, and against stops for steps that need none.
#[test]
fn runs_are_stopped_only_for_a_wide_gang_that_then_starts_whole() {
    let claimed_by = |queue, step| support::job(GANG, queue, vec![step]);
    let limited = |cpu_millicores| {
        let tenant = support::tenant("a", 0.0, cpu_millicores);
        support::with_tenants(&support::config(), [tenant])
    };
    let contests = [
        Contest {
            workers: 40,
            claimant: claimed_by("gang", support::gang(5, 8_000, 1_000)),
            ..Contest::new("a gang that does not fit whole")
        },
        Contest {
            workers: WORKERS - 1,
            ..Contest::new("more workers than may be held")
        },
        Contest {
            claimant: claimed_by("gang", support::gang(2, 8_000, 1_000)),
            ..Contest::new("a gang that one worker can hold")
        },
        Contest {
            claimant: claimed_by("gang", support::step(4, 8_000, 1_000)),
            ..Contest::new("tasks that start one by one")
        },
        Contest {
            claimant: claimed_by("batch", support::gang(4, 8_000, 1_000)),
            ..Contest::new("a gang of the lowest priority")
        },
        Contest {
            config: limited(32_000),
            claimant: support::of_tenant("a", wide_gang(1_000)),
            stopped: 16,
            ..Contest::new("a gang as wide as its tenant's limit")
        },
        Contest {
            config: limited(31_000),
            claimant: support::of_tenant("a", wide_gang(1_000)),
            ..Contest::new("a gang wider than its tenant's limit")
        },
        Contest {
            config: limited(40_000),
            occupants: support::of_tenant("a", occupants(30_000)),
            claimant: support::of_tenant("a", wide_gang(1_000)),
            ..Contest::new("a gang that its tenant's other runs hold back")
        },
    ];
    contests.into_iter().for_each(Contest::check);
}

/// Guards against stops for a gang that can't meet its objective any more: it earns little for what they
/// cost others.
#[test]
fn nothing_is_stopped_for_a_late_gang() {
    struct Case {
        name: &'static str,
        waited_ms: u64,
        stopped: usize,
    }
    // The gang may take 3.4 s and runs for 1 s, half of which counts when its lateness is assessed.
    let cases = [
        Case {
            name: "in time",
            waited_ms: 2_500,
            stopped: 16,
        },
        Case {
            name: "late",
            waited_ms: 3_000,
            stopped: 0,
        },
    ];
    for case in cases {
        let config = support::config();
        let mut model = full_cell(Rc::clone(&config), WORKERS, occupants(30_000));
        model.submit(wide_gang(1_000));
        model.run_ms(case.waited_ms);
        assert_eq!(running(&model, GANG), 0, "{}", case.name);
        model.apply_config(with_preemption(&config));
        model.run_ms(300);
        assert_eq!(take_stopped(&mut model), case.stopped, "{}", case.name);
    }
}

/// Guards against stops on workers that the advice service does not let the gang use.
#[test]
fn runs_are_stopped_only_on_workers_with_tickets() {
    struct Case {
        name: &'static str,
        eligible_percent: u64,
        stopped: usize,
    }
    let cases = [
        Case {
            name: "all workers are eligible",
            eligible_percent: 100,
            stopped: 16,
        },
        Case {
            name: "other workers are eligible",
            eligible_percent: 0,
            stopped: 0,
        },
    ];
    for case in cases {
        let config = with_preemption(&support::advised_config());
        let mut model = full_cell(config, WORKERS, occupants(30_000));
        // The first three workers are eligible for every step.
        assert!(occupied(&model).iter().all(|&worker| worker > 2));
        model.eligible_percent = case.eligible_percent;
        model.submit(wide_gang(2_000));
        model.run_ms(1_000);
        assert_eq!(take_stopped(&mut model), case.stopped, "{}", case.name);
        let left = 16 - case.stopped;
        assert_eq!(running(&model, OCCUPANT), left, "{}", case.name);
    }
}

/// Guards against stops in cells whose operators did not ask for them.
#[test]
fn nothing_is_stopped_unless_preemption_is_configured() {
    struct Case {
        name: &'static str,
        config: Rc<Config>,
        preemption: bool,
        stopped: usize,
    }
    let cases = [
        Case {
            name: "neither",
            config: support::config(),
            preemption: false,
            stopped: 0,
        },
        Case {
            name: "tuning only",
            config: support::config(),
            preemption: true,
            stopped: 16,
        },
        Case {
            name: "tenants only",
            config: with_preemption(&support::config()),
            preemption: false,
            stopped: 16,
        },
    ];
    for case in cases {
        let mut model = full_cell(case.config, WORKERS, occupants(40_000));
        model.tuning = Tuning {
            preemption: case.preemption,
            ..model.tuning
        };
        // The successor uses the tuning.
        model.take_over();
        model.run_ms(12_000);
        model.submit(wide_gang(1_000));
        model.run_ms(3_000);
        assert_eq!(take_stopped(&mut model), case.stopped, "{}", case.name);
    }
}

/// A cell in which runs were stopped for a gang on two workers, one of which does not answer. Returns
/// the cell and the positions of the silent and the free worker.
fn half_vacated(estimate_ms: u64) -> (Model, usize, usize) {
    let config = with_preemption(&support::config());
    let mut model = full_cell(config, WORKERS, occupants(60_000));
    let [silent, free] = occupied(&model)[..] else {
        panic!("two workers are occupied");
    };
    model.set_mode(silent, WorkerMode::Unreachable);
    model.submit(wide_gang(estimate_ms));
    model.run_ms(300);
    assert_eq!(take_stopped(&mut model), 16);
    assert!(model.tasks_on(free).is_empty(), "it is held");
    (model, silent, free)
}

/// Guards against capacity that idles for a gang while more urgent work waits, and against small tasks
/// that take it.
#[test]
fn only_more_urgent_steps_use_held_workers() {
    struct Case {
        queue: &'static str,
        starts: bool,
    }
    let cases = [
        Case {
            queue: "urgent",
            starts: true,
        },
        Case {
            queue: "gang",
            starts: false,
        },
        Case {
            queue: "batch",
            starts: false,
        },
    ];
    for case in cases {
        let (mut model, _, free) = half_vacated(8_000);
        model.submit(support::job(
            4,
            case.queue,
            vec![support::step(2, 4_000, 500)],
        ));
        model.run_ms(300);
        let started = tasks_of(&model, free, 4) == 2;
        assert_eq!(started, case.starts, "{}", case.queue);
        assert_eq!(tasks_of(&model, free, OCCUPANT), 0, "{}", case.queue);
    }
}

/// Guards against workers that idle for a gang that does not wait any more.
#[test]
fn a_cancelled_gang_releases_its_workers() {
    let (mut model, _, free) = half_vacated(8_000);
    let id = support::id(GANG);
    let unix_ms = model.unix_ms();
    let _known = model.coordinator.request_cancel(id, unix_ms);
    model.coordinator.cancellation_durable(id, unix_ms);
    model.run_ms(200);
    assert_eq!(tasks_of(&model, free, OCCUPANT), 8);
}

/// Guards against a worker that does not answer: set after set of runs would be stopped for a gang that
/// can't start, and workers would be held for it without end.
#[test]
fn a_silent_worker_leads_to_no_second_stops_before_the_delay() {
    const HOLD_MS: u64 = 1_000 + 1_500;
    const RETRY_DELAY_MS: u64 = 1_000;
    const EXTRA: u64 = 4;
    let config = with_preemption(&support::config());
    let mut model = Model::new(config, 30);
    model.run_ms(500);
    let filler = support::step(27, 16_000, 90_000);
    model.submit(support::job(FILLER, "batch", vec![filler]));
    model.run_ms(200);
    model.submit(occupants(60_000));
    model.run_ms(500);
    // Its job has more slack, so that its runs are stopped first.
    let extra = checkpointing(support::step(8, 2_000, 80_000));
    model.submit(support::job(EXTRA, "batch", vec![extra]));
    model.run_ms(300);
    let silent = (0..30).find(|&worker| tasks_of(&model, worker, EXTRA) == 8);
    let silent = silent.expect("it fills a worker");
    model.set_mode(silent, WorkerMode::Unreachable);
    model.submit(wide_gang(8_000));
    let submitted_ms = model.now_ms;
    let mut stops = Vec::new();
    let mut returned_ms = None;
    let mut vacated = false;
    while model.now_ms < submitted_ms + 4_500 {
        model.run_ms(10);
        let elapsed_ms = model.now_ms - submitted_ms;
        let reports = model.coordinator.take_preemptions();
        stops.extend(reports.iter().map(|report| (elapsed_ms, report.stopped)));
        match running(&model, OCCUPANT) {
            16 if vacated => {
                returned_ms.get_or_insert(elapsed_ms);
            }
            running => vacated |= running == 8,
        }
    }
    let [(first_ms, 16), (second_ms, 16)] = stops[..] else {
        panic!("{stops:?}");
    };
    assert!(first_ms <= 50, "{stops:?}");
    assert!(
        second_ms >= first_ms + HOLD_MS + RETRY_DELAY_MS,
        "{stops:?}"
    );
    let returned_ms = returned_ms.expect("the stopped tasks return");
    assert!(returned_ms >= first_ms + HOLD_MS, "held until then");
    assert!(returned_ms <= first_ms + HOLD_MS + 200, "the hold ends");
    assert_eq!(running(&model, GANG), 4, "it runs after the second stops");
}

/// Guards against tasks that are lost or run twice when the coordinator fails after it stopped them.
#[test]
fn stopped_tasks_start_again_after_a_takeover() {
    struct Case {
        name: &'static str,
        takeover_after_ms: u64,
    }
    let cases = [
        Case {
            name: "before any end is listed",
            takeover_after_ms: 10,
        },
        Case {
            name: "when the ends are listed",
            takeover_after_ms: 50,
        },
        Case {
            name: "when the gang runs",
            takeover_after_ms: 300,
        },
    ];
    for case in cases {
        let config = with_preemption(&support::config());
        let mut model = full_cell(config, WORKERS, occupants(20_000));
        model.run_ms(10_000);
        let before = model.starts;
        model.submit(wide_gang(1_000));
        model.run_ms(case.takeover_after_ms);
        assert_eq!(take_stopped(&mut model), 16, "{}", case.name);
        model.take_over();
        model.run_ms(27_000);
        assert_eq!(
            model.state(GANG),
            Some(JobState::Completed),
            "{}",
            case.name
        );
        let state = model.state(OCCUPANT);
        assert_eq!(state, Some(JobState::Completed), "{}", case.name);
        assert_eq!(model.starts, before + 4 + 16, "{}", case.name);
    }
}
