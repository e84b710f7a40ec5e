//! Stops hung runs, and moves runs off slow and draining workers.
//!
//! Stopping a run with checkpoints creates a new checkpoint, so moving it costs little. Any other
//! run loses its work and is moved only if that reduces the lateness of its job. A draining worker
//! remains for a while, and checkpoints are at most a second old, so only long-running tasks are
//! moved off it.

use std::rc::Rc;

use super::{Coordinator, candidates, job::Job};
use crate::{
    ids::TaskId,
    jobs::StepSpec,
    progress, worker_pace,
    workers::{Phase, Run, StopReason, Worker},
};

/// Cost of a move in addition to repeated work, in milliseconds: the stop, the next scheduling
/// pass, the order to start, and restoring the checkpoint.
const MOVE_COST_MS: u64 = 900;
/// Minimum time that moving a run must save, in milliseconds.
const MIN_GAIN_MS: u64 = 700;
/// The same for a gang, in milliseconds; moving a gang releases the resources of all its members.
const MIN_GANG_GAIN_MS: u64 = 4_000;
/// Time for which a slow worker receives no new tasks, in milliseconds; extended while its runs
/// remain slow.
const SLOW_BACKOFF_MS: u64 = 2_000;
/// Time without progress after which a run is hung, in milliseconds, if [`HUNG_REPORTS`] reports
/// confirm it.
const HANG_TIMEOUT_MS: u64 = 1_300;
/// The same for members of a gang, in milliseconds; they make no progress until all are present.
const GANG_HANG_TIMEOUT_MS: u64 = 2_500;
/// Multiple of the longest time taken for one percent before which a run is not hung.
const HANG_PERCENT_FACTOR: u64 = 3;
/// Each hang of a task doubles the timeout of its next run, up to this many times.
const MAX_TIMEOUT_DOUBLINGS: u32 = 6;
/// Number of consecutive reports without progress after which a run can be hung.
const HUNG_REPORTS: u32 = 3;
/// Time without progress after which a worker is asked for a prompt report, in milliseconds.
const SUSPECT_AFTER_MS: u64 = 300;
/// Progress at which a task counts as complete, in percent; below 100 because workers round it.
const COMPLETE_PERCENT: u64 = 99;

/// Estimated times to completion of a run with and without a move.
#[derive(Clone, Copy, Debug)]
struct MoveEstimate {
    /// Time to completion on the current worker, in milliseconds.
    stay_ms: u64,
    /// Time to completion on another worker, including the cost of the move, in milliseconds.
    move_ms: u64,
}

impl Coordinator {
    /// Evaluates the runs of a worker after its report: measures their pace, stops hung ones, and
    /// moves those that complete sooner elsewhere.
    pub(super) fn review_runs(&mut self, id: &str, now_ms: u64, unix_ms: u64) {
        self.record_pace(id);
        self.record_worker_pace(id, now_ms);
        self.stop_hung_runs(id, now_ms);
        if self.is_slow_worker(id)
            && let Some(worker) = self.workers.get_mut(id)
        {
            worker.health.slow_until_ms = now_ms + SLOW_BACKOFF_MS;
        }
        self.move_runs(id, now_ms, unix_ms);
        self.update_best_effort_share(id, now_ms);
    }

    /// Whether the worker should send its next report promptly: a run makes no progress, or
    /// best-effort tasks run next to latency-sensitive ones.
    pub(super) fn is_suspect(&self, id: &str, now_ms: u64) -> bool {
        let Some(worker) = self.workers.get(id) else {
            return false;
        };
        if self.has_colocated_best_effort(worker) {
            return true;
        }
        worker.runs.iter().any(|(task, run)| {
            self.spec_of(*task)
                .is_some_and(|spec| can_hang(spec, run) && !spec.gang)
                && now_ms.saturating_sub(run.progress.advanced_ms) >= SUSPECT_AFTER_MS
        })
    }

    pub(super) fn spec_of(&self, task: TaskId) -> Option<&StepSpec> {
        self.jobs.get(&task.step.job)?.step_spec(task.step.step)
    }

    /// Tasks of a worker with a measured pace, with their estimated total durations in
    /// milliseconds. Members of a gang are excluded: they all advance at the pace of the slowest.
    fn measured_runs(&self, id: &str) -> Vec<(TaskId, u64)> {
        let Some(worker) = self.workers.get(id) else {
            return Vec::new();
        };
        let is_informative = |task: TaskId, run: &Run| {
            self.spec_of(task)
                .is_some_and(|spec| can_hang(spec, run) && !spec.gang && spec.estimate_ms > 0)
        };
        worker
            .runs
            .iter()
            .filter(|(_, run)| run.stopping.is_none() && run.progress.total_ms > 0)
            .filter(|(task, run)| is_informative(**task, run))
            .map(|(&task, run)| (task, run.progress.total_ms))
            .collect()
    }

    fn record_pace(&mut self, id: &str) {
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
            self.average_pace
                .record(total_ms as f64 / estimate_ms as f64);
            if let Some(step) = job.step_mut(task.step) {
                step.pace.record(&name, total_ms);
            }
        }
    }

    fn is_slow_worker(&self, id: &str) -> bool {
        let mut factors: Vec<f64> = self
            .measured_runs(id)
            .into_iter()
            .filter_map(|(task, total_ms)| {
                let step = self.jobs.get(&task.step.job)?.step(task.step)?;
                let (other, elsewhere_ms) = step.pace.fastest_elsewhere(id)?;
                Some(progress::slowdown(
                    (total_ms, self.pace_percent_of(id)),
                    (elsewhere_ms, self.pace_percent_of(other)),
                ))
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
                    && run.progress.unchanged_reports >= HUNG_REPORTS
                    && self.hang_timeout_ms(**task, run).is_some_and(|after_ms| {
                        now_ms.saturating_sub(run.progress.advanced_ms) > after_ms
                    })
            })
            .map(|(&task, run)| (task, run.run))
            .collect();
        if hung.is_empty() {
            return;
        }
        let advances =
            |run: &Run| now_ms.saturating_sub(run.progress.advanced_ms) < SUSPECT_AFTER_MS;
        let others_advance = worker.runs.values().any(advances);
        for (task, run) in hung {
            if let Some(task) = self
                .jobs
                .get_mut(&task.step.job)
                .and_then(|job| job.task_mut(task))
            {
                task.hung_runs += 1;
            }
            self.mark_stopping(id, task, run, StopReason::Hung);
            self.stop_gang_of(task, run);
        }
        // If other runs progress, the task is at fault and not the worker.
        if !others_advance && let Some(worker) = self.workers.get_mut(id) {
            Self::back_off(worker, now_ms);
        }
    }

    /// Time without progress after which the run is hung, in milliseconds; `None` if a lack of
    /// progress does not indicate a hang.
    fn hang_timeout_ms(&self, task: TaskId, run: &Run) -> Option<u64> {
        let spec = self.spec_of(task).filter(|spec| can_hang(spec, run))?;
        let min_timeout_ms = if spec.gang {
            GANG_HANG_TIMEOUT_MS
        } else {
            HANG_TIMEOUT_MS
        };
        let hung_runs = self
            .jobs
            .get(&task.step.job)
            .and_then(|job| job.task(task))
            .map_or(0, |task| task.hung_runs);
        // A task may take far longer than declared, and each percent of it as well.
        let after_ms = min_timeout_ms.max(run.progress.max_percent_ms * HANG_PERCENT_FACTOR);
        Some(after_ms << hung_runs.min(MAX_TIMEOUT_DOUBLINGS))
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
            StopReason::WorkerDraining
        };
        let moves: Vec<(TaskId, u64)> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.stopping.is_none())
            .filter(|(_, run)| matches!(run.phase, Phase::Present { .. }))
            .filter(|(task, run)| self.gains_by_moving(worker, **task, run, now_ms, unix_ms))
            .map(|(&task, run)| (task, run.run))
            .collect();
        for (task, run) in moves {
            self.mark_stopping(id, task, run, reason);
            self.stop_gang_of(task, run);
        }
    }

    fn gains_by_moving(
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
        // It could not start again until enough of the tenant's other runs have ended.
        if self.quota().is_exceeded(&job.tenant) {
            return false;
        }
        let service = candidates::service_of(&self.config, job);
        let fits_elsewhere = self.workers.values().any(|other| {
            other.is_schedulable(now_ms)
                && other.entry.service == service
                && candidates::has_label(other, spec)
                && other.entry.capacity.fits(&other.used, &run.resources)
        });
        if !fits_elsewhere {
            return false;
        }
        if spec.long_running || now_ms >= worker.health.slow_until_ms {
            return spec.long_running && worker.entry.draining;
        }
        let fastest = job
            .step(task.step)
            .and_then(|step| step.pace.fastest_elsewhere(&worker.entry.id));
        let (expected_ms, pace_percent) = fastest.map_or_else(
            || {
                let expected_ms = self.average_pace.expected_ms(spec.estimate_ms);
                (expected_ms, worker_pace::TYPICAL_PERCENT)
            },
            |(other, total_ms)| (total_ms, self.pace_percent_of(other)),
        );
        let expected_here_ms =
            expected_ms * u64::from(worker.pace_percent()) / u64::from(pace_percent);
        let repeated_ms = if spec.checkpointing {
            expected_ms * 100_u64.saturating_sub(run.progress.percent) / 100
        } else {
            expected_ms
        };
        let estimate = MoveEstimate {
            stay_ms: run.progress.remaining_ms(expected_here_ms),
            move_ms: repeated_ms + MOVE_COST_MS,
        };
        is_move_worthwhile(job, spec, task, &estimate, unix_ms)
    }
}

/// Whether moving a run off a slow worker is worth the cost.
fn is_move_worthwhile(
    job: &Job,
    spec: &StepSpec,
    task: TaskId,
    estimate: &MoveEstimate,
    unix_ms: u64,
) -> bool {
    let min_gain_ms = if spec.gang {
        MIN_GANG_GAIN_MS
    } else {
        MIN_GAIN_MS
    };
    if estimate.stay_ms <= estimate.move_ms + min_gain_ms {
        return false;
    }
    let lateness = |duration_ms: u64| job.lateness(task.step.occurrence, unix_ms + duration_ms);
    spec.checkpointing || lateness(estimate.stay_ms) > lateness(estimate.move_ms)
}

/// Whether a lack of progress can indicate that the run hangs.
fn can_hang(spec: &StepSpec, run: &Run) -> bool {
    matches!(run.phase, Phase::Present { .. })
        && !spec.long_running
        && !spec.best_effort
        // A gang member that has completed its part waits for the others.
        && run.progress.percent < COMPLETE_PERCENT
}
