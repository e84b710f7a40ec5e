//! Positions in a note.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A line and column in a note.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[display("line {line}, column {column}")]
pub struct Position {
    /// Line number, from 1.
    pub line: u32,
    /// Column number in characters, from 1.
    pub column: u32,
}

/// A value with its position in the note.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Located<T> {
    /// The parsed value.
    pub value: T,
    /// Position of the value, or of the table that it was parsed from.
    pub position: Position,
}

/// Index that converts byte offsets to positions.
#[derive(Debug)]
pub(super) struct LineIndex<'a> {
    text: &'a str,
    line_starts: Vec<usize>,
}

impl<'a> LineIndex<'a> {
    pub(super) fn new(text: &'a str) -> Self {
        let after_breaks = text.match_indices('\n').map(|(offset, _)| offset + 1);
        let line_starts = std::iter::once(0).chain(after_breaks).collect();
        Self { text, line_starts }
    }

    pub(super) fn position(&self, offset: usize) -> Position {
        let offset = self.text.floor_char_boundary(offset.min(self.text.len()));
        let line = self
            .line_starts
            .partition_point(|start| *start <= offset)
            .max(1);
        let start = self.line_starts[line - 1];
        let column = self.text[start..offset].chars().count() + 1;
        Position {
            line: line as u32,
            column: column as u32,
        }
    }
}
