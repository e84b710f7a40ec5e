//! Faults of release notes.

use std::fmt;

use kernel::errors;
use serde::{Deserialize, Serialize};

use super::position::Position;

/// Maximum number of faults listed in a message; further ones are only counted.
pub const MAX_LISTED_FAULTS: usize = 50;

/// One fault of a note.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Position in the note; `None` if the fault concerns the note as a whole.
    pub position: Option<Position>,
    /// Path of the field from the note's root; empty if the fault concerns no single field.
    pub field: String,
    /// Description of the fault, including the allowed values.
    pub message: String,
}

impl Fault {
    /// Creates a fault of the note as a whole.
    pub fn of_note(message: impl Into<String>) -> Self {
        Self {
            position: None,
            field: String::new(),
            message: message.into(),
        }
    }

    /// Creates a fault of a field.
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

/// The faults of a note, ordered by position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults(Vec<Fault>);

impl Faults {
    /// Creates the list, sorted by position.
    pub fn new(mut faults: Vec<Fault>) -> Self {
        faults.sort_by_key(|fault| fault.position);
        Self(faults)
    }

    /// The faults, ordered by position.
    pub fn as_slice(&self) -> &[Fault] {
        &self.0
    }

    /// Returns `value` if there are no faults.
    ///
    /// # Errors
    ///
    /// `self` if there are faults.
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
        for (index, fault) in self.0.iter().take(MAX_LISTED_FAULTS).enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            write!(formatter, "{fault}")?;
        }
        if self.0.len() > MAX_LISTED_FAULTS {
            let more = self.0.len() - MAX_LISTED_FAULTS;
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
