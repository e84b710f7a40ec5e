//! Tasks on trial: none waits for a worker that can't become available.

use std::rc::Rc;

use hickorychute_cell::{
    config::Config,
    ids::TaskId,
    jobs::{JobState, StepSpec},
};

use crate::support::{self, Model};

/// Longest time for which a trial may wait on workers that are idle otherwise, counted from the release of
/// the lost runs, in milliseconds.
const MAX_IDLE_WAIT_MS: u64 = 3_000;
/// Time from the loss of a worker to the release of its runs, at most, in milliseconds.
const RELEASE_MS: u64 = 6_200;

/// A gang of which some members are lost with their worker as they start.
struct LossCase {
    name: &'static str,
    config: Rc<Config>,
    workers: usize,
    /// Number of workers with the label, if the gang requires it.
    labelled: Option<usize>,
    gang: StepSpec,
    /// Resources in use on the first workers, in millicores, so that the gang is spread.
    fillers: &'static [u64],
}

fn loss_cases() -> Vec<LossCase> {
    let review_7 = || LossCase {
        name: "review/7: the label is left on one worker",
        config: support::config(),
        workers: 8,
        labelled: Some(2),
        gang: support::gang(3, 2_000, 2_500),
        fillers: &[11_000, 11_000],
    };
    vec![
        review_7(),
        LossCase {
            name: "a service of two workers",
            workers: 2,
            labelled: None,
            ..review_7()
        },
        LossCase {
            name: "members of several workers on two",
            workers: 4,
            labelled: None,
            gang: support::gang(8, 4_000, 2_500),
            fillers: &[8_000, 8_000, 8_000],
            ..review_7()
        },
        LossCase {
            name: "one member a worker, and one worker less",
            workers: 4,
            labelled: None,
            gang: StepSpec {
                max_per_worker: 1,
                ..support::gang(3, 2_000, 2_500)
            },
            fillers: &[],
            ..review_7()
        },
        LossCase {
            name: "advice allows few workers",
            config: support::advised_config(),
            workers: 4,
            labelled: Some(2),
            ..review_7()
        },
    ]
}

/// Guards against LOST: members of a gang that were lost with their worker start on trial, and the others
/// were to start on other workers than these, of which there were none. The gang waited for ever.
#[test]
fn a_gang_starts_again_after_it_lost_a_worker() {
    let mut waiting = Vec::new();
    for case in loss_cases() {
        let mut model = Model::new(Rc::clone(&case.config), case.workers);
        for number in 0..case.labelled.unwrap_or(0) {
            model.add_label(number, support::LABEL);
        }
        let with_label = |step: StepSpec| match case.labelled {
            Some(_) => support::labelled(step),
            None => step,
        };
        for (&millicores, job) in case.fillers.iter().zip(2..) {
            let filler = with_label(support::step(1, millicores, 4_000));
            model.submit(support::job(job, "batch", vec![filler]));
        }
        model.run_ms(500);
        model.submit(support::job(1, "batch", vec![with_label(case.gang)]));
        let is_member = |task: &TaskId| task.step.job == support::id(1);
        let members = |model: &Model, number: usize| {
            let tasks = model.tasks_on(number);
            tasks.into_iter().filter(is_member).count()
        };
        let (mut lost, mut steps) = (0, 0);
        while members(&model, lost) == 0 {
            model.run_ms(10);
            let most = (0..case.workers).max_by_key(|&number| members(&model, number));
            lost = most.expect("there are workers");
            steps += 1;
            assert!(steps < 200, "{}: not started", case.name);
        }
        model.run_ms(100);
        let used = (0..case.workers).filter(|&number| members(&model, number) > 0);
        assert!(used.count() > 1, "{}: on one worker", case.name);
        model.lose_worker(lost);
        model.lapse_entry(lost);
        model.run_ms(RELEASE_MS + MAX_IDLE_WAIT_MS + 2_500);
        if model.state(1) != Some(JobState::Completed) {
            waiting.push(case.name);
        }
    }
    assert!(waiting.is_empty(), "{waiting:?}");
}

/// A job that came while new jobs of its queue crashed workers, in a service that stays busy.
struct BusyCase {
    name: &'static str,
    load: Load,
    step: StepSpec,
    /// Number of its tasks that crash their workers.
    deadly: u32,
    outcome: JobState,
}

/// What keeps the service busy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Load {
    /// A task on each worker that runs until its job is cancelled.
    Lasting,
    /// A stream of jobs whose tasks leave room for no other.
    Stream,
}

fn busy_cases() -> [BusyCase; 5] {
    let innocent = || BusyCase {
        name: "a lasting task on each worker",
        load: Load::Lasting,
        step: support::step(1, 2_000, 500),
        deadly: 0,
        outcome: JobState::Completed,
    };
    [
        innocent(),
        BusyCase {
            name: "a gang on more workers than trials may use",
            load: Load::Stream,
            step: support::gang(4, 9_000, 500),
            ..innocent()
        },
        BusyCase {
            name: "a gang that crashed two workers and does not fit on one",
            load: Load::Stream,
            step: support::gang(2, 9_000, 500),
            deadly: 2,
            outcome: JobState::Failed,
        },
        BusyCase {
            name: "a task that lasts, beside others",
            step: support::long_running(support::step(1, 2_000, 500)),
            outcome: JobState::Running,
            ..innocent()
        },
        BusyCase {
            name: "a task that lasts",
            load: Load::Stream,
            step: support::long_running(support::step(1, 2_000, 500)),
            outcome: JobState::Running,
            ..innocent()
        },
    ]
}

/// Guards against LOST: in a busy service a trial of a queue that crashes workers waited without end for a
/// worker without runs, although none could become free, or not enough for a gang.
#[test]
fn a_trial_waits_only_for_a_worker_that_can_become_free() {
    const WORKERS: usize = 12;
    /// Time in which the job must have reached its outcome, in milliseconds.
    const WITHIN_MS: u64 = 30_000;
    let mut waiting = Vec::new();
    for case in busy_cases() {
        let mut model = Model::new(support::config(), WORKERS);
        let mut jobs = 100..;
        let mut play = |model: &mut Model| {
            if case.load == Load::Stream {
                let step = support::step(3, 15_000, 1_500);
                let number = jobs.next().expect("the range has no end");
                model.submit(support::job(number, "urgent", vec![step]));
            }
            model.run_ms(200);
        };
        if case.load == Load::Lasting {
            let lasting = StepSpec {
                max_per_worker: 1,
                ..support::long_running(support::step(WORKERS as u32, 12_000, 1_000))
            };
            model.submit(support::job(10, "urgent", vec![lasting]));
        }
        model.run_ms(300);
        let first = support::first_task(1);
        let deadly = (0..3).map(|index| TaskId { index, ..first });
        model.deadly.extend(deadly);
        let step = StepSpec {
            max_per_worker: 1,
            ..support::step(3, 2_000, 500)
        };
        model.submit(support::job(1, "batch", vec![step]));
        // The lost workers are back, and in use again.
        for _ in 0..25 {
            play(&mut model);
        }
        assert!(model.crashed_workers >= 3, "{}", case.name);
        for index in 0..case.deadly {
            let first = support::first_task(2);
            model.deadly.insert(TaskId { index, ..first });
        }
        model.submit(support::job(2, "batch", vec![case.step]));
        let has_outcome = |model: &Model| match case.outcome {
            JobState::Running => model.first_starts_ms.contains_key(&support::first_task(2)),
            outcome => model.state(2) == Some(outcome),
        };
        let mut passed_ms = 0;
        while passed_ms < WITHIN_MS && !has_outcome(&model) {
            play(&mut model);
            passed_ms += 200;
        }
        if passed_ms >= WITHIN_MS {
            waiting.push(case.name);
        }
    }
    assert!(waiting.is_empty(), "{waiting:?}");
}
