//! Learns the paces of workers from their runs, and chooses between fast and slow workers.
//!
//! Members of a gang are excluded from learning: they advance together, at the pace of the slowest
//! one. So are best-effort tasks, whose CPU share changes, and the runs of workers that count as slow:
//! their pace is that of a fault, and must not become the one that is expected of them.

use std::rc::Rc;

use super::{Coordinator, job::Job};
use crate::{
    ids::{StepId, TaskId},
    jobs::StepSpec,
    objective::MAX_LATENESS_FACTOR,
    pace_choice::{PaceChoice, StepTime},
    worker_pace::{MeasuredRun, PaceSummary, TYPICAL_PERCENT},
    workers::{Phase, ReportedEnd, Run, Worker},
};

/// Whether the duration of a run tells something about its worker.
fn is_informative(spec: &StepSpec) -> bool {
    !spec.gang && !spec.long_running && !spec.best_effort && spec.count > 1
}

impl Coordinator {
    /// Records the paces of a worker's runs that have made enough progress since the last record.
    pub(super) fn record_worker_pace(&mut self, id: &str, now_ms: u64) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if now_ms < worker.health.slow_until_ms {
            return;
        }
        let name = Rc::clone(&worker.entry.id);
        for (&task, run) in &mut worker.runs {
            if run.stopping.is_some() || !run.phase.is_present() {
                continue;
            }
            let Some(total_ms) = run.progress.take_sample_ms() else {
                continue;
            };
            let measured = MeasuredRun {
                worker: &name,
                task,
                run: run.run,
                total_ms,
            };
            let Some(job) = self.jobs.get_mut(&task.step.job) else {
                continue;
            };
            if job.step_spec(task.step.step).is_some_and(is_informative)
                && let Some(step) = job.step_mut(task.step)
            {
                self.paces.record(&mut step.durations, measured, now_ms);
            }
        }
    }

    /// Records the duration of a run that has completed, before its step does.
    pub(super) fn record_completed_pace(
        &mut self,
        id: &str,
        end: &ReportedEnd,
        run: &Run,
        now_ms: u64,
    ) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let Phase::Present { since_ms } = run.phase else {
            return;
        };
        if now_ms < worker.health.slow_until_ms || run.run != end.run || run.stopping.is_some() {
            return;
        }
        let Some(job) = self.jobs.get_mut(&end.task.step.job) else {
            return;
        };
        let Some(spec) = job.step_spec(end.task.step.step) else {
            return;
        };
        if !is_informative(spec) {
            return;
        }
        // A run that may have resumed from a checkpoint has not done the whole work.
        let is_whole = !run.survived && !spec.checkpointing;
        let whole_ms = is_whole.then(|| now_ms.saturating_sub(since_ms));
        let Some(total_ms) = whole_ms.or_else(|| run.progress.completed_ms(now_ms)) else {
            return;
        };
        let measured = MeasuredRun {
            worker: &worker.entry.id,
            task: end.task,
            run: end.run,
            total_ms,
        };
        if let Some(step) = job.step_mut(end.task.step) {
            self.paces.record(&mut step.durations, measured, now_ms);
        }
    }

    /// Publishes the paces of all workers if that is due.
    pub(super) fn refresh_paces(&mut self, now_ms: u64) {
        let workers = &self.workers;
        if self.paces.refresh(now_ms, |id| workers.contains_key(id)) {
            for (id, worker) in &mut self.workers {
                worker.relative_pace_percent = self.paces.percent(id);
            }
        }
    }

    /// Takes over the pace that the predecessor knew of a worker.
    pub(super) fn inherit_pace(&mut self, id: &Rc<str>, percent: Option<u32>) {
        if let Some(percent) = percent {
            self.paces.inherit(id, percent);
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.relative_pace_percent = percent;
        }
    }

    /// Forgets the pace of a worker, because another process answers under its identifier.
    pub(super) fn forget_pace(&mut self, id: &str) {
        self.paces.forget(id);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.relative_pace_percent = None;
        }
    }

    /// Duration of tasks on a worker relative to a typical one, in percent.
    pub(super) fn pace_percent_of(&self, id: &str) -> u32 {
        let worker = self.workers.get(id);
        worker.map_or(TYPICAL_PERCENT, Worker::pace_percent)
    }

    /// Paces of the workers at a glance; `None` while they count as equal.
    pub fn pace_summary(&self) -> Option<PaceSummary> {
        self.paces.summary()
    }

    /// Expected duration of a task of a step on a typical worker, in milliseconds.
    pub(super) fn typical_ms(&self, job: &Job, id: StepId, spec: &StepSpec) -> u64 {
        let measured_ms = job.step(id).and_then(|step| step.durations.typical_ms());
        measured_ms.unwrap_or_else(|| self.average_pace.expected_ms(spec.estimate_ms))
    }

    /// Expected duration of a task on a worker, in milliseconds.
    pub(super) fn expected_ms(&self, task: TaskId, worker: &Worker) -> Option<u64> {
        let job = self.jobs.get(&task.step.job)?;
        let spec = job.step_spec(task.step.step)?;
        Some(at_pace(
            self.typical_ms(job, task.step, spec),
            worker.pace_percent(),
        ))
    }

    /// Which workers a step should use first.
    pub(super) fn pace_choice(&self, id: StepId, unix_ms: u64) -> PaceChoice {
        let Some(paces) = self.paces.summary() else {
            return PaceChoice::Any;
        };
        let Some(job) = self.jobs.get(&id.job) else {
            return PaceChoice::Any;
        };
        let Some(spec) = job.step_spec(id.step) else {
            return PaceChoice::Any;
        };
        if spec.long_running || spec.best_effort {
            return PaceChoice::Any;
        }
        let remaining_ms = self.remaining_ms(job, id, spec);
        let fast_ms = at_pace(remaining_ms, paces.fastest_decile_percent);
        let time = StepTime {
            remaining_ms,
            left_ms: time_left_ms(job, id, unix_ms, fast_ms),
            slowest_percent: paces.slowest_decile_percent,
        };
        time.choice()
    }

    /// Expected duration of a step and of those that follow it on typical workers, in milliseconds.
    pub(super) fn remaining_ms(&self, job: &Job, id: StepId, spec: &StepSpec) -> u64 {
        let path_ms = job.remaining_path_ms(id.step);
        let later_ms = path_ms.saturating_sub(spec.estimate_ms);
        self.typical_ms(job, id, spec) + self.average_pace.expected_ms(later_ms)
    }
}

/// Duration at a pace relative to typical workers, in milliseconds.
pub(super) fn at_pace(typical_ms: u64, pace_percent: u32) -> u64 {
    typical_ms * u64::from(pace_percent) / u64::from(TYPICAL_PERCENT)
}

/// Time left to the first of the objective and the end of any value that a step can meet if it takes
/// `min_ms`, in milliseconds.
pub(super) fn time_left_ms(job: &Job, id: StepId, unix_ms: u64, min_ms: u64) -> Option<u64> {
    let since_unix_ms = job.due_unix_ms(id.occurrence);
    [1, MAX_LATENESS_FACTOR]
        .into_iter()
        .map(|factor| (since_unix_ms + job.allowed_ms() * factor).saturating_sub(unix_ms))
        .find(|left_ms| *left_ms >= min_ms)
}
