//! Runs that are better off elsewhere: on workers that have turned slow, or hung.
//!
//! A stop gives a run that saves its progress a new checkpoint, so moving it costs little. Any
//! other run loses its work and is moved only if that decides whether its job counts in full.
//! Workers that leave stay for a while, and progress is saved every second anyway, so nothing but
//! lasting tasks moves off them.

use std::rc::Rc;

use super::{Coordinator, job::Job, schedule};
use crate::{
    ids::TaskId,
    jobs::StepSpec,
    progress,
    workers::{Phase, Run, StopReason, Worker},
};

/// What a move costs beside the work itself, in milliseconds: the stop, the next pass, the order,
/// and restoring the progress.
const MOVE_COST_MS: u64 = 900;
/// A run whose progress is saved must gain at least this much by a move, in milliseconds.
const LEAST_GAIN_MS: u64 = 700;
/// The same for a gang, which gives up the room of all its members, in milliseconds.
const LEAST_GANG_GAIN_MS: u64 = 4_000;
/// Rest of a worker that has turned slow, in milliseconds; renewed while its runs tell so.
const SLOW_REST_MS: u64 = 2_000;
/// A run without progress for this long is hung, in milliseconds, if several lists show so.
const HUNG_AFTER_MS: u64 = 1_300;
/// The same for the members of a gang, which make no progress until all are present.
const GANG_HUNG_AFTER_MS: u64 = 2_500;
/// A run is not hung before this many times the longest that one percent has taken.
const SLOWEST_PERCENTS: u64 = 3;
/// Each time that a task was taken for hung doubles the time that its next run gets, this many
/// times at most.
const MOST_DOUBLINGS: u32 = 6;
/// Lists without progress that it takes to call a run hung.
const HUNG_LISTS: u32 = 3;
/// A run without progress for this long is watched closely, in milliseconds.
const SUSPECT_AFTER_MS: u64 = 300;
/// From here on a task counts as having done its part, in percent: workers round.
const DONE_PERCENT: u64 = 99;

/// What a move of a run is weighed by.
#[derive(Clone, Copy, Debug)]
struct Prospect {
    /// How long the rest takes where it is, in milliseconds.
    here_ms: u64,
    /// How long it takes elsewhere, with the move, in milliseconds.
    elsewhere_ms: u64,
}

impl Coordinator {
    /// Looks at a worker's runs after it has shown its lists.
    pub(super) fn review_runs(&mut self, id: &str, now_ms: u64, unix_ms: u64) {
        self.learn_pace(id);
        self.stop_hung_runs(id, now_ms);
        if self.has_turned_slow(id)
            && let Some(worker) = self.workers.get_mut(id)
        {
            worker.health.slow_until_ms = now_ms + SLOW_REST_MS;
        }
        self.move_runs(id, now_ms, unix_ms);
        self.review_fill_share(id, now_ms);
    }

    /// Whether the worker's next list should come soon: some run there makes no progress, or
    /// filling tasks work beside serving ones.
    pub(super) fn is_suspect(&self, id: &str, now_ms: u64) -> bool {
        let Some(worker) = self.workers.get(id) else {
            return false;
        };
        if self.has_fillers_beside_serving(worker) {
            return true;
        }
        worker.runs.iter().any(|(task, run)| {
            self.spec_of(*task)
                .is_some_and(|spec| can_hang(spec, run) && !spec.gang)
                && now_ms.saturating_sub(run.progress.moved_ms) >= SUSPECT_AFTER_MS
        })
    }

    pub(super) fn spec_of(&self, task: TaskId) -> Option<&StepSpec> {
        self.jobs.get(&task.step.job)?.step_spec(task.step.step)
    }

    /// Runs of a worker whose pace was measured: the task and what its whole work takes, in
    /// milliseconds. Members of a gang keep pace with the slowest of them and tell nothing of their
    /// own worker.
    fn measured_runs(&self, id: &str) -> Vec<(TaskId, u64)> {
        let Some(worker) = self.workers.get(id) else {
            return Vec::new();
        };
        let tells = |task: TaskId, run: &Run| {
            self.spec_of(task)
                .is_some_and(|spec| can_hang(spec, run) && !spec.gang && spec.estimate_ms > 0)
        };
        worker
            .runs
            .iter()
            .filter(|(_, run)| run.stopping.is_none() && run.progress.total_ms > 0)
            .filter(|(task, run)| tells(**task, run))
            .map(|(&task, run)| (task, run.progress.total_ms))
            .collect()
    }

    fn learn_pace(&mut self, id: &str) {
        let Some(name) = self.workers.get(id).map(|w| Rc::clone(&w.entry.id)) else {
            return;
        };
        for (task, total_ms) in self.measured_runs(id) {
            let Some(job) = self.jobs.get_mut(&task.step.job) else {
                continue;
            };
            let estimate_ms = job
                .step_spec(task.step.step)
                .map_or(0, |spec| spec.estimate_ms);
            self.usual_pace.learn(total_ms as f64 / estimate_ms as f64);
            if let Some(step) = job.step_mut(task.step) {
                step.pace.learn(&name, total_ms);
            }
        }
    }

    fn has_turned_slow(&self, id: &str) -> bool {
        let mut factors: Vec<f64> = self
            .measured_runs(id)
            .into_iter()
            .filter_map(|(task, total_ms)| {
                let step = self.jobs.get(&task.step.job)?.step(task.step)?;
                Some(total_ms as f64 / step.pace.elsewhere_ms(id)?.max(1) as f64)
            })
            .collect();
        progress::is_slow(&mut factors)
    }

    fn stop_hung_runs(&mut self, id: &str, now_ms: u64) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let hung: Vec<(TaskId, u64)> = worker
            .runs
            .iter()
            .filter(|(task, run)| {
                run.stopping.is_none()
                    && run.progress.unchanged_lists >= HUNG_LISTS
                    && self.hung_after_ms(**task, run).is_some_and(|after_ms| {
                        now_ms.saturating_sub(run.progress.moved_ms) > after_ms
                    })
            })
            .map(|(&task, run)| (task, run.run))
            .collect();
        if hung.is_empty() {
            return;
        }
        let moves = |run: &Run| now_ms.saturating_sub(run.progress.moved_ms) < SUSPECT_AFTER_MS;
        let others_move = worker.runs.values().any(moves);
        for (task, run) in hung {
            if let Some(task) = self
                .jobs
                .get_mut(&task.step.job)
                .and_then(|job| job.task_mut(task))
            {
                task.hung_stops += 1;
            }
            self.mark_stopping(id, task, run, StopReason::Hung);
            self.stop_gang_of(task, run);
        }
        // Beside runs that go on, the task is to blame.
        if !others_move && let Some(worker) = self.workers.get_mut(id) {
            Self::rest(worker, now_ms);
        }
    }

    /// How long a run may show no progress, in milliseconds; `None` if that says nothing.
    fn hung_after_ms(&self, task: TaskId, run: &Run) -> Option<u64> {
        let spec = self.spec_of(task).filter(|spec| can_hang(spec, run))?;
        let least_ms = if spec.gang {
            GANG_HUNG_AFTER_MS
        } else {
            HUNG_AFTER_MS
        };
        let before = self
            .jobs
            .get(&task.step.job)
            .and_then(|job| job.task(task))
            .map_or(0, |task| task.hung_stops);
        // Tasks may take far longer than declared: one percent of them is then long as well.
        let after_ms = least_ms.max(run.progress.percent_ms * SLOWEST_PERCENTS);
        Some(after_ms << before.min(MOST_DOUBLINGS))
    }

    fn move_runs(&mut self, id: &str, now_ms: u64, unix_ms: u64) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let slow = now_ms < worker.health.slow_until_ms;
        if !slow && !worker.entry.draining {
            return;
        }
        let reason = if slow {
            StopReason::WorkerSlow
        } else {
            StopReason::WorkerLeaves
        };
        let moves: Vec<(TaskId, u64)> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.stopping.is_none())
            .filter(|(_, run)| matches!(run.phase, Phase::Present { .. }))
            .filter(|(task, run)| self.gains_by_move(worker, **task, run, now_ms, unix_ms))
            .map(|(&task, run)| (task, run.run))
            .collect();
        for (task, run) in moves {
            self.mark_stopping(id, task, run, reason);
            self.stop_gang_of(task, run);
        }
    }

    fn gains_by_move(
        &self,
        worker: &Worker,
        task: TaskId,
        run: &Run,
        now_ms: u64,
        unix_ms: u64,
    ) -> bool {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return false;
        };
        let Some(spec) = job.step_spec(task.step.step) else {
            return false;
        };
        let service = schedule::service_of(&self.config, job);
        let finds_room = self.workers.values().any(|other| {
            other.takes_work(now_ms)
                && other.entry.service == service
                && schedule::has_label(other, spec)
                && other.entry.capacity.fits(&other.used, &run.room)
        });
        if !finds_room {
            return false;
        }
        if spec.long_running || now_ms >= worker.health.slow_until_ms {
            return spec.long_running && worker.entry.draining;
        }
        let expected_ms = job
            .step(task.step)
            .and_then(|step| step.pace.elsewhere_ms(&worker.entry.id))
            .unwrap_or_else(|| self.usual_pace.expected_ms(spec.estimate_ms));
        let again_ms = if spec.checkpointing {
            expected_ms * 100_u64.saturating_sub(run.progress.percent) / 100
        } else {
            expected_ms
        };
        let prospect = Prospect {
            here_ms: run.progress.rest_ms(expected_ms),
            elsewhere_ms: again_ms + MOVE_COST_MS,
        };
        pays(job, spec, task, &prospect, unix_ms)
    }
}

/// Whether moving a run off a slow worker pays.
fn pays(job: &Job, spec: &StepSpec, task: TaskId, prospect: &Prospect, unix_ms: u64) -> bool {
    let least_gain_ms = if spec.gang {
        LEAST_GANG_GAIN_MS
    } else {
        LEAST_GAIN_MS
    };
    if prospect.here_ms <= prospect.elsewhere_ms + least_gain_ms {
        return false;
    }
    let lateness =
        |takes_ms: u64| schedule::lateness(job, task.step.occurrence, unix_ms + takes_ms);
    spec.checkpointing || lateness(prospect.here_ms) > lateness(prospect.elsewhere_ms)
}

/// Whether a lack of progress of this run says anything.
fn can_hang(spec: &StepSpec, run: &Run) -> bool {
    matches!(run.phase, Phase::Present { .. })
        && !spec.long_running
        && !spec.fills
        // A member of a gang that has done its part waits for the others.
        && run.progress.percent < DONE_PERCENT
}
