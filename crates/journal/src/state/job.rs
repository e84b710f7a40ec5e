//! One job: its work, the states of its tasks, and how many are in each state.

use std::sync::Arc;

use derive_more::Display;
use kernel::ids;
use kernel::work;
use platform::workers;
use serde::Serialize;

use super::cells::{Cell, Cells, TaskState};
use crate::record::Run;

/// How many tasks of a job are in each state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TaskCounts {
    /// Tasks that may be assigned.
    pub waiting: u32,
    /// Tasks with a live attempt.
    pub assigned: u32,
    /// Tasks that ran to their own end.
    pub completed: u32,
    /// Tasks whose attempts all failed.
    pub failed: u32,
    /// Tasks that were cancelled.
    pub cancelled: u32,
    /// Tasks whose end is not known and that may not run again.
    pub end_unknown: u32,
}

impl TaskCounts {
    fn of(&mut self, state: TaskState) -> &mut u32 {
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

/// A job as a whole.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum JobPhase {
    /// Some task may still run.
    Open,
    /// No task will run any more, and all completed.
    Completed,
    /// No task will run any more, and some did not complete.
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
    pub(crate) cells: Cells,
    /// Work that a later release added under the same name.
    pub(crate) successor: Option<Arc<work::Work>>,
    /// The highest attempt known of runs under this name that are in no cell.
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
        let cells = Cells::new(work.tasks);
        Self::restored(work, key, order, accepted_ms, cells)
    }

    pub(crate) fn restored(
        work: Arc<work::Work>,
        key: Option<ids::IdempotencyKey>,
        order: u64,
        accepted_ms: u64,
        cells: Cells,
    ) -> Self {
        let mut counts = TaskCounts::default();
        for span in cells.spans() {
            *counts.of(span.cell.state) += span.end - span.start;
        }
        Self {
            work,
            key,
            order,
            accepted_ms,
            finished_ms: None,
            cancelled: false,
            cells,
            successor: None,
            attempt_floor: 0,
            counts,
        }
    }

    /// The job of work that uses the name of an older job without live runs.
    pub(crate) fn after(older: &Self, work: Arc<work::Work>, order: u64, accepted_ms: u64) -> Self {
        let attempts = older.cells.spans().iter().map(|span| span.cell.attempt);
        let highest = attempts.max().unwrap_or(0).max(older.attempt_floor);
        let cells = Cells::after_attempt(work.tasks, highest);
        let mut job = Self::restored(work, older.key.clone(), order, accepted_ms, cells);
        job.attempt_floor = highest;
        job
    }

    /// Notes the attempt of a run of which no cell knows.
    pub(crate) fn note_attempt(&mut self, run: &ids::TaskAttempt) {
        if run.task.index >= self.cells.len() {
            self.attempt_floor = self.attempt_floor.max(run.attempt.0);
        }
    }

    /// The work that is the newest under the job's name.
    pub fn newest(&self) -> &Arc<work::Work> {
        self.successor.as_ref().unwrap_or(&self.work)
    }

    /// The work.
    pub fn work(&self) -> &Arc<work::Work> {
        &self.work
    }

    /// Whether it was cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.cancelled
    }

    /// How many tasks are in each state.
    pub fn counts(&self) -> TaskCounts {
        let mut counts = self.counts;
        if self.cancelled {
            counts.cancelled += counts.waiting;
            counts.waiting = 0;
        }
        counts
    }

    /// Where the job as a whole stands.
    pub fn phase(&self) -> JobPhase {
        let counts = self.counts();
        if counts.waiting > 0 || counts.assigned > 0 {
            return JobPhase::Open;
        }
        if counts.completed == self.work.tasks {
            JobPhase::Completed
        } else {
            JobPhase::Ended
        }
    }

    /// Where one task stands, and the number of its latest attempt.
    pub fn task(&self, index: u32) -> Option<(TaskState, ids::Attempt)> {
        let cell = self.cells.get(index)?;
        let state = match cell.state {
            TaskState::Waiting if self.cancelled => TaskState::Cancelled,
            state => state,
        };
        Some((state, ids::Attempt(cell.attempt)))
    }

    /// Whether every run is the next attempt of a task that waits.
    pub(crate) fn may_assign(&self, runs: &[Run]) -> bool {
        !self.cancelled
            && runs.is_sorted_by(|left, right| left.index < right.index)
            && runs.iter().all(|run| {
                let cell = self.cells.get(run.index);
                cell.is_some_and(|cell| {
                    cell.state == TaskState::Waiting
                        && cell.attempt.checked_add(1) == Some(run.attempt.0)
                })
            })
    }

    /// Records that runs may run from now on.
    pub(crate) fn assign(&mut self, runs: &[Run], group: u16) {
        for run in runs {
            let failures = self.cells.get(run.index).map_or(0, |cell| cell.failures);
            let cell = Cell {
                attempt: run.attempt.0,
                group,
                state: TaskState::Assigned,
                failures,
            };
            self.set(run.index, cell);
        }
    }

    /// Whether this run is the live attempt of its task.
    pub(crate) fn is_live(&self, index: u32, attempt: ids::Attempt) -> bool {
        self.cells
            .get(index)
            .is_some_and(|cell| cell.state == TaskState::Assigned && cell.attempt == attempt.0)
    }

    /// Records that the live attempt of a task was given back unstarted.
    pub(crate) fn hand_back(&mut self, index: u32) {
        self.finish(index, TaskState::Waiting, 0);
    }

    /// Records how the live attempt of a task ended.
    pub(crate) fn end(&mut self, index: u32, end: workers::RunEnd) {
        let failures = self.cells.get(index).map_or(0, |cell| cell.failures);
        match end {
            // A replica is wanted until its service is withdrawn.
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
        let Some(cell) = self.cells.get(index) else {
            return;
        };
        let cell = Cell {
            attempt: cell.attempt,
            group: 0,
            state,
            failures: cell.failures.saturating_add(failures),
        };
        self.set(index, cell);
    }

    fn set(&mut self, index: u32, cell: Cell) {
        let Some(old) = self.cells.get(index) else {
            return;
        };
        debug_assert!(
            cell.state != TaskState::Assigned || old.state == TaskState::Waiting,
            "an attempt is assigned only when none is live"
        );
        debug_assert!(
            cell.attempt == old.attempt || cell.state == TaskState::Assigned,
            "only an assignment begins a new attempt"
        );
        *self.counts.of(old.state) -= 1;
        *self.counts.of(cell.state) += 1;
        self.cells.set(index, cell);
    }

    /// The next attempts of tasks that wait, in order.
    pub(crate) fn waiting_runs(&self) -> impl Iterator<Item = Run> + '_ {
        let cancelled = self.cancelled;
        self.runs(
            move |cell| cell.state == TaskState::Waiting && !cancelled,
            1,
        )
    }

    /// The live attempts that were assigned to a group, in order.
    pub(crate) fn runs_in(&self, group: u16) -> impl Iterator<Item = Run> + '_ {
        let live = move |cell: Cell| cell.state == TaskState::Assigned && cell.group == group;
        self.runs(live, 0)
    }

    fn runs(
        &self,
        wanted: impl Fn(Cell) -> bool + 'static,
        attempt_offset: u32,
    ) -> impl Iterator<Item = Run> + '_ {
        let spans = self.cells.spans().iter();
        let spans = spans.filter(move |span| wanted(span.cell));
        spans.flat_map(move |span| {
            let attempt = ids::Attempt(span.cell.attempt.saturating_add(attempt_offset));
            (span.start..span.end).map(move |index| Run { index, attempt })
        })
    }
}
