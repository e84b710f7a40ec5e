//! The states of a job's tasks, run-length encoded.
//!
//! Adjacent tasks mostly have equal states, so a job takes 16 bytes for each
//! span of equal tasks. In the worst case, in which no two adjacent tasks are
//! equal, it takes 16 bytes per task.

use derive_more::Display;
use serde::Serialize;

/// State of a task.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum TaskState {
    /// No attempt is live; the next one may be assigned.
    #[default]
    Waiting,
    /// An attempt was assigned to a group and may run.
    Assigned,
    /// An attempt ran to completion.
    Completed,
    /// The maximum number of attempts has failed.
    Failed,
    /// Cancelled, without a live attempt.
    Cancelled,
    /// Its worker was lost, and the work is not idempotent and must not be started again.
    EndUnknown,
}

impl TaskState {
    /// All states, in the order of their codes in snapshots.
    pub const ALL: [Self; 6] = [
        Self::Waiting,
        Self::Assigned,
        Self::Completed,
        Self::Failed,
        Self::Cancelled,
        Self::EndUnknown,
    ];

    /// Whether the task will never be assigned again.
    pub const fn is_final(self) -> bool {
        !matches!(self, Self::Waiting | Self::Assigned)
    }
}

/// Progress of one task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct TaskProgress {
    /// Number of the latest attempt; zero before the first.
    pub attempt: u32,
    /// Index of the group in the shard's table, while assigned.
    pub group: u16,
    pub state: TaskState,
    /// Number of attempts that ended as failed, without those that were stopped or lost.
    pub failures: u8,
}

/// A range of adjacent tasks with equal progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Span {
    /// Index of the first task.
    pub start: u32,
    /// Index after the last task.
    pub end: u32,
    pub progress: TaskProgress,
}

/// Progress of all tasks of a job, as spans that cover them in order without gaps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct TaskTable {
    spans: Vec<Span>,
}

impl TaskTable {
    /// Creates tasks that wait for their first attempt.
    pub fn new(tasks: u32) -> Self {
        Self::after_attempt(tasks, 0)
    }

    /// Creates tasks that wait for the attempt after `attempt`.
    pub fn after_attempt(tasks: u32, attempt: u32) -> Self {
        let span = Span {
            start: 0,
            end: tasks,
            progress: TaskProgress {
                attempt,
                ..TaskProgress::default()
            },
        };
        let spans = if tasks == 0 { Vec::new() } else { vec![span] };
        Self { spans }
    }

    /// Appends tasks that wait for the attempt after `attempt`.
    pub fn extend(&mut self, tasks: u32, attempt: u32) {
        let start = self.len();
        let added = Self::after_attempt(tasks, attempt).spans;
        self.spans.extend(added.into_iter().map(|span| Span {
            start: span.start + start,
            end: span.end + start,
            ..span
        }));
        if let Some(previous) = self.spans.len().checked_sub(2) {
            self.merge_with_next(previous);
        }
    }

    /// Restores the table from spans; `None` if they have gaps or overlap.
    pub fn from_spans(spans: Vec<Span>) -> Option<Self> {
        let mut next = 0;
        for span in &spans {
            if span.start != next || span.end <= span.start {
                return None;
            }
            next = span.end;
        }
        Some(Self { spans })
    }

    pub fn spans(&self) -> &[Span] {
        &self.spans
    }

    /// The number of tasks.
    pub fn len(&self) -> u32 {
        self.spans.last().map_or(0, |span| span.end)
    }

    /// Progress of one task; `None` if the index is out of range.
    pub fn get(&self, index: u32) -> Option<TaskProgress> {
        let at = self.position(index)?;
        self.spans.get(at).map(|span| span.progress)
    }

    /// Sets the progress of one task; an index out of range has no effect.
    pub fn set(&mut self, index: u32, progress: TaskProgress) {
        let Some(at) = self.position(index) else {
            return;
        };
        let old = self.spans[at];
        if old.progress == progress {
            return;
        }
        let changed = Span {
            start: index,
            end: index + 1,
            progress,
        };
        let before = Span { end: index, ..old };
        let after = Span {
            start: index + 1,
            ..old
        };
        let parts = [before, changed, after];
        let parts = parts.into_iter().filter(|span| span.start < span.end);
        self.spans.splice(at..=at, parts);
        let middle = if old.start < index { at + 1 } else { at };
        self.merge_with_next(middle);
        if let Some(previous) = middle.checked_sub(1) {
            self.merge_with_next(previous);
        }
    }

    fn position(&self, index: u32) -> Option<usize> {
        let at = self.spans.partition_point(|span| span.end <= index);
        (at < self.spans.len()).then_some(at)
    }

    fn merge_with_next(&mut self, at: usize) {
        let Some(next) = self.spans.get(at + 1).copied() else {
            return;
        };
        if self.spans[at].progress == next.progress {
            self.spans[at].end = next.end;
            self.spans.remove(at + 1);
        }
    }
}
