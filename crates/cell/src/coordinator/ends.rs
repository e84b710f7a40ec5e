//! Applies the end of a run to its task, job and worker.

use std::rc::Rc;

use super::{Coordinator, job::Failure};
use crate::{
    ids::TaskId,
    jobs::Outcome,
    workers::{EndKind, Phase, ReportedEnd, StopReason, Worker},
};

/// Number of consecutive failed runs, of different jobs, after which a worker is backed off.
const FAILURES_BEFORE_BACKOFF: u32 = 2;
/// Initial back-off of a worker that fails or stalls its runs, in milliseconds; doubled with each
/// further one.
const INITIAL_BACKOFF_MS: u64 = 2_000;
/// Maximum back-off, in milliseconds.
const MAX_BACKOFF_MS: u64 = 8_000;

impl Coordinator {
    pub(super) fn apply_end(&mut self, id: &str, end: &ReportedEnd, now_ms: u64, unix_ms: u64) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if end.number <= worker.processed_end {
            return;
        }
        worker.processed_end = end.number;
        let ended = worker.runs.get(&end.task).filter(|r| r.run <= end.run);
        let started_ms = ended.and_then(|run| match run.phase {
            Phase::Present { since_ms } => Some(since_ms),
            Phase::Ordered { .. } | Phase::Ended => None,
        });
        let ended_run = ended.is_some().then(|| worker.remove_run(end.task));
        match end.kind {
            EndKind::Done => {
                let health = &mut worker.health;
                health.sound_since_ms = health.sound_since_ms.max(started_ms.unwrap_or(0));
                worker.health.consecutive_failures = 0;
                worker.health.consecutive_backoffs = 0;
                if worker.health.probe == Some(end.task) {
                    worker.health.backoff_until_ms = 0;
                }
                if let Some(run) = ended_run.flatten() {
                    self.record_completed_pace(id, end, &run, now_ms);
                }
                self.record_completion(id, end, unix_ms);
            }
            EndKind::Failed => {
                // Repeated failures of one job do not indicate a faulty worker.
                let job = Some(end.task.step.job);
                if worker.health.last_failed_job != job {
                    worker.health.consecutive_failures += 1;
                    worker.health.last_failed_job = job;
                }
                if worker.health.consecutive_failures >= FAILURES_BEFORE_BACKOFF {
                    Self::back_off(worker, now_ms);
                }
                self.record_failure(id, end, now_ms, unix_ms);
            }
            EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => {
                self.requeue(id, end);
            }
        }
    }

    /// Suspends placement on a worker, for a time that doubles with each consecutive back-off.
    pub(super) fn back_off(worker: &mut Worker, now_ms: u64) {
        let backoff_ms =
            (INITIAL_BACKOFF_MS << worker.health.consecutive_backoffs.min(4)).min(MAX_BACKOFF_MS);
        worker.health.consecutive_backoffs += 1;
        worker.health.consecutive_failures = 0;
        worker.health.backoff_until_ms = now_ms + backoff_ms;
    }

    fn record_completion(&mut self, id: &str, end: &ReportedEnd, unix_ms: u64) {
        let job_id = end.task.step.job;
        let Some(job) = self.jobs.get_mut(&job_id) else {
            return;
        };
        let Some(spec) = job.step_spec(end.task.step.step) else {
            return;
        };
        let (gang, long_running) = (spec.gang, spec.long_running);
        if long_running {
            return self.requeue(id, end);
        }
        let Some(step) = job.step_mut(end.task.step) else {
            return;
        };
        let mut superseded = Vec::new();
        for (index, task) in step.tasks.iter_mut().enumerate() {
            let represented = index as u32 == end.task.index || gang;
            if !represented || task.done {
                continue;
            }
            task.done = true;
            task.last_run = task.last_run.max(end.run);
            task.checkpoint = String::new();
            step.done_count += 1;
            let elsewhere = task.active.take().filter(|active| {
                active.run != end.run || (index as u32 == end.task.index && &*active.worker != id)
            });
            if let Some(active) = elsewhere {
                superseded.push((
                    active,
                    TaskId {
                        step: end.task.step,
                        index: index as u32,
                    },
                ));
            }
        }
        job.started = true;
        job.close_completed(unix_ms);
        if job.outcome != Outcome::Open {
            self.open.swap_remove(&job_id);
            if job.on_trial {
                self.recent_crashes.record_safe_job(&job.queue);
            }
        }
        self.dirty.insert(job_id);
        for (active, task) in superseded {
            self.mark_stopping(&active.worker, task, active.run, StopReason::DoneElsewhere);
        }
    }

    fn record_failure(&mut self, id: &str, end: &ReportedEnd, now_ms: u64, unix_ms: u64) {
        let job_id = end.task.step.job;
        let Some(job) = self.jobs.get_mut(&job_id) else {
            return;
        };
        let limit = self
            .config
            .queues
            .get(&job.queue)
            .map_or(u32::MAX, |q| q.max_attempts.max(1));
        let Some(spec) = job.step_spec(end.task.step.step) else {
            return;
        };
        let (gang, long_running) = (spec.gang, spec.long_running);
        let Some(step) = job.step_mut(end.task.step) else {
            return;
        };
        let Some(member) = step.tasks.get_mut(end.task.index as usize) else {
            return;
        };
        if member.done {
            return;
        }
        member.last_failure = Some(Failure {
            worker: Rc::from(id),
            at_ms: now_ms,
        });
        if long_running {
            // Long-running tasks are restarted however often they fail.
            return self.requeue(id, end);
        }
        // The failures of a gang are counted on its first member: members that fail together fail
        // one run.
        let counting = if gang { 0 } else { end.task.index as usize };
        let task = &mut step.tasks[counting];
        if task.failed_runs.contains(&end.run) {
            // Already counted, for another member or by a predecessor that failed before it
            // acknowledged the end.
            return self.requeue(id, end);
        }
        task.failed_runs.push(end.run);
        let failed_runs = task.failed_runs.len() as u32;
        self.dirty.insert(job_id);
        if failed_runs >= limit {
            self.end_job(job_id, Outcome::Failed, unix_ms);
        } else {
            self.requeue(id, end);
        }
    }

    /// Ends a run that neither completed nor used up the task's attempts; the task waits for its
    /// next run.
    fn requeue(&mut self, id: &str, end: &ReportedEnd) {
        let job_id = end.task.step.job;
        let Some(job) = self.jobs.get_mut(&job_id) else {
            return;
        };
        let gang = job
            .step_spec(end.task.step.step)
            .is_some_and(|spec| spec.gang);
        let Some(step) = job.step_mut(end.task.step) else {
            return;
        };
        let Some(task) = step.tasks.get_mut(end.task.index as usize) else {
            return;
        };
        task.last_run = task.last_run.max(end.run);
        let ended = |active: &super::job::ActiveRun| &*active.worker == id && active.run <= end.run;
        if task.active.as_ref().is_some_and(ended) {
            task.active = None;
        }
        if !end.checkpoint.is_empty() {
            job.store_checkpoint(end.task, &end.checkpoint);
            self.dirty.insert(job_id);
        }
        if gang {
            self.stop_gang_of(end.task, end.run);
        }
    }

    /// Stops all active members of a gang's run.
    pub(super) fn stop_gang_of(&mut self, task: TaskId, run: u64) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        if !job.step_spec(task.step.step).is_some_and(|spec| spec.gang) {
            return;
        }
        let Some(step) = job.step_mut(task.step) else {
            return;
        };
        step.gang_ordered_ms = None;
        let members: Vec<_> = step
            .tasks
            .iter()
            .enumerate()
            .filter_map(|(index, member)| Some((index as u32, member.active.clone()?)))
            .filter(|(_, active)| active.run == run)
            .collect();
        for (index, active) in members {
            let member = TaskId {
                step: task.step,
                index,
            };
            self.mark_stopping(&active.worker, member, run, StopReason::GangBroken);
        }
    }

    pub(super) fn mark_stopping(
        &mut self,
        worker: &str,
        task: TaskId,
        run: u64,
        reason: StopReason,
    ) {
        let known = self
            .workers
            .get_mut(worker)
            .and_then(|worker| worker.runs.get_mut(&task));
        if let Some(known) = known.filter(|known| known.run == run) {
            known.stopping.get_or_insert(reason);
        }
    }
}
