//! What is wrong with a note.

use std::fmt;

use kernel::errors;
use serde::{Deserialize, Serialize};

use super::position::Position;

/// Most faults that one message lists; the rest are counted.
pub const LISTED_FAULTS: usize = 50;

/// One fault of a note.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Where it is; `None` if it concerns the note as a whole.
    pub position: Option<Position>,
    /// The field, as a path from the note's root; empty for a syntax fault.
    pub field: String,
    /// What is wrong and what is allowed.
    pub message: String,
}

impl Fault {
    /// A fault of the note as a whole.
    pub fn of_note(message: impl Into<String>) -> Self {
        Self {
            position: None,
            field: String::new(),
            message: message.into(),
        }
    }

    /// A fault of a field.
    pub fn at(position: Position, field: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            position: Some(position),
            field: field.into(),
            message: message.into(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(position) = self.position {
            write!(formatter, "{position}: ")?;
        }
        if !self.field.is_empty() {
            write!(formatter, "{}: ", self.field)?;
        }
        formatter.write_str(&self.message)
    }
}

/// All faults of a note, in the order of their positions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults(Vec<Fault>);

impl Faults {
    /// Sorts faults by position.
    pub fn new(mut faults: Vec<Fault>) -> Self {
        faults.sort_by_key(|fault| fault.position);
        Self(faults)
    }

    /// The faults.
    pub fn as_slice(&self) -> &[Fault] {
        &self.0
    }

    /// Returns `value` if there are no faults.
    ///
    /// # Errors
    ///
    /// The faults, if there are any.
    pub fn or_ok<T>(self, value: T) -> Result<T, Self> {
        if self.0.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl From<Fault> for Faults {
    fn from(fault: Fault) -> Self {
        Self(vec![fault])
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().take(LISTED_FAULTS).enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            write!(formatter, "{fault}")?;
        }
        if self.0.len() > LISTED_FAULTS {
            let more = self.0.len() - LISTED_FAULTS;
            write!(formatter, "\nand {more} more faults")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

impl From<Faults> for errors::Error {
    fn from(faults: Faults) -> Self {
        Self::new(errors::ErrorKind::BadRequest, faults.to_string())
    }
}
