//! A job: its work, the progress of its tasks, and the number of tasks in each state.

use std::sync::Arc;

use derive_more::Display;
use kernel::ids;
use kernel::work;
use platform::workers;
use serde::Serialize;

use super::task_table::{TaskProgress, TaskState, TaskTable};
use crate::record::Run;

/// Number of tasks of a job in each state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TaskCounts {
    /// Tasks that may be assigned.
    pub waiting: u32,
    /// Tasks with a live attempt.
    pub assigned: u32,
    /// Tasks that ran to completion.
    pub completed: u32,
    /// Tasks that failed as often as the work allows.
    pub failed: u32,
    /// Tasks that were cancelled.
    pub cancelled: u32,
    /// Tasks whose end is not known and that must not run again.
    pub end_unknown: u32,
}

impl TaskCounts {
    fn count_mut(&mut self, state: TaskState) -> &mut u32 {
        match state {
            TaskState::Waiting => &mut self.waiting,
            TaskState::Assigned => &mut self.assigned,
            TaskState::Completed => &mut self.completed,
            TaskState::Failed => &mut self.failed,
            TaskState::Cancelled => &mut self.cancelled,
            TaskState::EndUnknown => &mut self.end_unknown,
        }
    }
}

/// Phase of a job as a whole.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum JobPhase {
    /// Some task is running or may run.
    Open,
    /// All tasks completed.
    Completed,
    /// No task will run again, and some did not complete.
    Ended,
}

/// A job of the shard.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    pub(crate) work: Arc<work::Work>,
    pub(crate) key: Option<ids::IdempotencyKey>,
    pub(crate) order: u64,
    pub(crate) accepted_ms: u64,
    pub(crate) finished_ms: Option<u64>,
    pub(crate) cancelled: bool,
    pub(crate) task_table: TaskTable,
    /// Work that a later release added under the same name.
    pub(crate) successor: Option<Arc<work::Work>>,
    /// Highest attempt of runs under this name that are not in the task table.
    pub(crate) attempt_floor: u32,
    counts: TaskCounts,
}

impl Job {
    pub(crate) fn new(
        work: Arc<work::Work>,
        key: Option<ids::IdempotencyKey>,
        order: u64,
        accepted_ms: u64,
    ) -> Self {
        let task_table = TaskTable::new(work.tasks);
        Self::restored(work, key, order, accepted_ms, task_table)
    }

    pub(crate) fn restored(
        work: Arc<work::Work>,
        key: Option<ids::IdempotencyKey>,
        order: u64,
        accepted_ms: u64,
        task_table: TaskTable,
    ) -> Self {
        let mut counts = TaskCounts::default();
        for span in task_table.spans() {
            *counts.count_mut(span.progress.state) += span.end - span.start;
        }
        Self {
            work,
            key,
            order,
            accepted_ms,
            finished_ms: None,
            cancelled: false,
            task_table,
            successor: None,
            attempt_floor: 0,
            counts,
        }
    }

    /// Creates the job of work that reuses the name of an older job without live runs.
    pub(crate) fn succeeding(
        older: &Self,
        work: Arc<work::Work>,
        order: u64,
        accepted_ms: u64,
    ) -> Self {
        let attempts = older
            .task_table
            .spans()
            .iter()
            .map(|span| span.progress.attempt);
        let highest = attempts.max().unwrap_or(0).max(older.attempt_floor);
        let task_table = TaskTable::after_attempt(work.tasks, highest);
        let mut job = Self::restored(work, older.key.clone(), order, accepted_ms, task_table);
        job.attempt_floor = highest;
        job
    }

    /// Records the attempt of a run that is not in the task table.
    pub(crate) fn note_attempt(&mut self, run: &ids::TaskAttempt) {
        if run.task.index >= self.task_table.len() {
            self.attempt_floor = self.attempt_floor.max(run.attempt.0);
        }
    }

    /// The newest work under the job's name: the successor if there is one.
    pub fn newest(&self) -> &Arc<work::Work> {
        self.successor.as_ref().unwrap_or(&self.work)
    }

    /// The work that the tasks belong to.
    pub fn work(&self) -> &Arc<work::Work> {
        &self.work
    }

    /// Whether the job was cancelled or its work withdrawn; live runs may not have ended yet.
    pub fn is_cancelled(&self) -> bool {
        self.cancelled
    }

    /// Number of tasks in each state; waiting tasks of a cancelled job count as cancelled.
    pub fn counts(&self) -> TaskCounts {
        let mut counts = self.counts;
        counts.waiting -= self.surplus_waiting();
        if self.cancelled {
            counts.cancelled += counts.waiting;
            counts.waiting = 0;
        }
        counts
    }

    /// Phase of the job as a whole.
    pub fn phase(&self) -> JobPhase {
        let counts = self.counts();
        if counts.waiting > 0 || counts.assigned > 0 {
            return JobPhase::Open;
        }
        if counts.failed == 0 && counts.cancelled == 0 && counts.end_unknown == 0 {
            JobPhase::Completed
        } else {
            JobPhase::Ended
        }
    }

    /// State and latest attempt of one task; `None` if the index is out of range.
    pub fn task(&self, index: u32) -> Option<(TaskState, ids::Attempt)> {
        let progress = self.task_table.get(index)?;
        let state = match progress.state {
            TaskState::Waiting if self.cancelled || index >= self.work.tasks => {
                TaskState::Cancelled
            }
            state => state,
        };
        Some((state, ids::Attempt(progress.attempt)))
    }

    /// Whether every run is the next attempt of a waiting task.
    pub(crate) fn may_assign(&self, runs: &[Run]) -> bool {
        !self.cancelled
            && runs.is_sorted_by(|left, right| left.index < right.index)
            && runs.iter().all(|run| {
                let progress = self.task_table.get(run.index);
                progress.is_some_and(|progress| {
                    progress.state == TaskState::Waiting
                        && progress.attempt.checked_add(1) == Some(run.attempt.0)
                })
            })
    }

    /// Whether every run is a later attempt of a task without a live attempt.
    pub(crate) fn may_restart(&self, runs: &[Run]) -> bool {
        self.finished_ms.is_none()
            && runs.is_sorted_by(|left, right| left.index < right.index)
            && runs.iter().all(|run| {
                let progress = self.task_table.get(run.index);
                progress.is_some_and(|progress| {
                    progress.state == TaskState::Waiting && progress.attempt < run.attempt.0
                })
            })
    }

    /// Whether a changed definition can still be applied.
    pub(crate) fn may_change(&self) -> bool {
        match self.work.kind {
            work::WorkKind::Service | work::WorkKind::BatchRun => self.finished_ms.is_none(),
            work::WorkKind::GangJob => self.counts.waiting == self.task_table.len(),
        }
    }

    /// Applies a changed definition.
    ///
    /// Tasks beyond the new number stay in the table, so that their attempt numbers
    /// continue if the number grows again; waiting ones are not assigned.
    pub(crate) fn change(&mut self, work: Arc<work::Work>) {
        let added = work.tasks.saturating_sub(self.task_table.len());
        self.task_table.extend(added, self.attempt_floor);
        self.counts.waiting += added;
        self.work = work;
    }

    /// Number of waiting tasks beyond the current size of the work.
    fn surplus_waiting(&self) -> u32 {
        let tasks = self.work.tasks;
        let spans = self.task_table.spans().iter().rev();
        let beyond = spans.take_while(|span| span.end > tasks);
        let waiting = beyond.filter(|span| span.progress.state == TaskState::Waiting);
        waiting.map(|span| span.end - span.start.max(tasks)).sum()
    }

    /// Marks runs as assigned to a group.
    pub(crate) fn assign(&mut self, runs: &[Run], group: u16) {
        for run in runs {
            let failures = self
                .task_table
                .get(run.index)
                .map_or(0, |progress| progress.failures);
            let progress = TaskProgress {
                attempt: run.attempt.0,
                group,
                state: TaskState::Assigned,
                failures,
            };
            self.set(run.index, progress);
        }
    }

    /// Whether this run is the live attempt of its task.
    pub(crate) fn is_live(&self, index: u32, attempt: ids::Attempt) -> bool {
        self.task_table.get(index).is_some_and(|progress| {
            progress.state == TaskState::Assigned && progress.attempt == attempt.0
        })
    }

    /// Returns a task whose live attempt was not started to waiting.
    pub(crate) fn hand_back(&mut self, index: u32) {
        self.finish(index, TaskState::Waiting, 0);
    }

    /// Records how the live attempt of a task ended.
    pub(crate) fn end(&mut self, index: u32, end: workers::RunEnd) {
        let failures = self
            .task_table
            .get(index)
            .map_or(0, |progress| progress.failures);
        match end {
            // A replica is restarted until its service is withdrawn.
            _ if self.work.kind == work::WorkKind::Service => {
                self.finish(index, TaskState::Waiting, 0);
            }
            workers::RunEnd::Completed => self.finish(index, TaskState::Completed, 0),
            workers::RunEnd::Failed if u32::from(failures) + 1 >= self.work.max_attempts => {
                self.finish(index, TaskState::Failed, 1);
            }
            workers::RunEnd::Failed => self.finish(index, TaskState::Waiting, 1),
            workers::RunEnd::LeaseLapsed if !self.work.idempotent => {
                self.finish(index, TaskState::EndUnknown, 0);
            }
            workers::RunEnd::Checkpointed
            | workers::RunEnd::Stopped
            | workers::RunEnd::LeaseLapsed => self.finish(index, TaskState::Waiting, 0),
        }
    }

    fn finish(&mut self, index: u32, state: TaskState, failures: u8) {
        let Some(progress) = self.task_table.get(index) else {
            return;
        };
        let progress = TaskProgress {
            attempt: progress.attempt,
            group: 0,
            state,
            failures: progress.failures.saturating_add(failures),
        };
        self.set(index, progress);
    }

    fn set(&mut self, index: u32, progress: TaskProgress) {
        let Some(old) = self.task_table.get(index) else {
            return;
        };
        debug_assert!(
            progress.state != TaskState::Assigned || old.state == TaskState::Waiting,
            "an attempt is assigned only if none is live"
        );
        debug_assert!(
            progress.attempt == old.attempt || progress.state == TaskState::Assigned,
            "only an assignment starts a new attempt"
        );
        *self.counts.count_mut(old.state) -= 1;
        *self.counts.count_mut(progress.state) += 1;
        self.task_table.set(index, progress);
    }

    /// The next attempts of waiting tasks, by index.
    pub(crate) fn waiting_runs(&self) -> impl Iterator<Item = Run> + '_ {
        let (cancelled, tasks) = (self.cancelled, self.work.tasks);
        let runs = self.runs(
            move |progress| progress.state == TaskState::Waiting && !cancelled,
            1,
        );
        runs.take_while(move |run| run.index < tasks)
    }

    /// The live attempts assigned to a group, by index.
    pub(crate) fn runs_in(&self, group: u16) -> impl Iterator<Item = Run> + '_ {
        let live = move |progress: TaskProgress| {
            progress.state == TaskState::Assigned && progress.group == group
        };
        self.runs(live, 0)
    }

    fn runs(
        &self,
        wanted: impl Fn(TaskProgress) -> bool + 'static,
        attempt_offset: u32,
    ) -> impl Iterator<Item = Run> + '_ {
        let spans = self.task_table.spans().iter();
        let spans = spans.filter(move |span| wanted(span.progress));
        spans.flat_map(move |span| {
            let attempt = ids::Attempt(span.progress.attempt.saturating_add(attempt_offset));
            (span.start..span.end).map(move |index| Run { index, attempt })
        })
    }
}
