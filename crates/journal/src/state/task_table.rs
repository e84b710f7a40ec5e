//! The states of a job's tasks, kept as runs of equal cells.
//!
//! Neighbouring tasks mostly share their state, so a job costs 16 bytes for
//! each stretch of equal tasks instead of something for each task. The worst
//! case, in which no two neighbours are alike, is 16 bytes a task.

use derive_more::Display;
use serde::Serialize;

/// Where a task stands.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum TaskState {
    /// No attempt is live; the next one may be assigned.
    #[default]
    Waiting,
    /// An attempt was assigned to a group and may run.
    Assigned,
    /// An attempt ran to its own end.
    Completed,
    /// All attempts that the work allows have failed.
    Failed,
    /// Cancelled with no attempt live.
    Cancelled,
    /// Its worker was lost, and the work may not be started again after such an end.
    EndUnknown,
}

impl TaskState {
    /// All states, in the order of their codes in a snapshot.
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

/// The state of one task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Cell {
    /// Number of the latest attempt; zero before the first.
    pub attempt: u32,
    /// Number of the group in the shard's table, while assigned.
    pub group: u16,
    /// Where the task stands.
    pub state: TaskState,
    /// Attempts that failed by themselves.
    pub failures: u8,
}

/// A stretch of tasks in the same state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Span {
    /// First task of the stretch.
    pub start: u32,
    /// Task after the last one of the stretch.
    pub end: u32,
    /// Their state.
    pub cell: Cell,
}

/// The states of all tasks of a job: spans that cover them in order without gaps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Cells {
    spans: Vec<Span>,
}

impl Cells {
    /// All tasks waiting for their first attempt.
    pub fn new(tasks: u32) -> Self {
        Self::after_attempt(tasks, 0)
    }

    /// All tasks waiting for the attempt after `attempt`.
    pub fn after_attempt(tasks: u32, attempt: u32) -> Self {
        let span = Span {
            start: 0,
            end: tasks,
            cell: Cell {
                attempt,
                ..Cell::default()
            },
        };
        let spans = if tasks == 0 { Vec::new() } else { vec![span] };
        Self { spans }
    }

    /// Adds tasks that wait for the attempt after `attempt`.
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

    /// Restores cells from spans, unless they leave a gap or overlap.
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

    /// The spans, in order.
    pub fn spans(&self) -> &[Span] {
        &self.spans
    }

    /// The number of tasks.
    pub fn len(&self) -> u32 {
        self.spans.last().map_or(0, |span| span.end)
    }

    /// The state of one task.
    pub fn get(&self, index: u32) -> Option<Cell> {
        let at = self.position(index)?;
        self.spans.get(at).map(|span| span.cell)
    }

    /// Changes the state of one task; an index outside the job changes nothing.
    pub fn set(&mut self, index: u32, cell: Cell) {
        let Some(at) = self.position(index) else {
            return;
        };
        let old = self.spans[at];
        if old.cell == cell {
            return;
        }
        let changed = Span {
            start: index,
            end: index + 1,
            cell,
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
        if self.spans[at].cell == next.cell {
            self.spans[at].end = next.end;
            self.spans.remove(at + 1);
        }
    }
}
