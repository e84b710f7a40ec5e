//! One measured figure.

use derive_more::Display;
use serde::Serialize;

/// Unit of a figure.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Unit {
    /// Microseconds.
    Us,
    /// Milliseconds.
    Ms,
    /// Seconds.
    S,
    /// Number in a second.
    PerS,
    /// Hundredths of a core.
    Percent,
    /// Bytes.
    Bytes,
    /// Thousands of bytes in a second.
    KbPerS,
    /// Millions of bytes.
    Mb,
    /// A number.
    Count,
    /// A ratio.
    Ratio,
}

/// A figure at a size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figure {
    /// What was measured.
    pub name: String,
    /// The size that was varied: workers, unless the name says otherwise.
    pub size: u64,
    /// Unit of the value.
    pub unit: Unit,
    /// The value.
    pub value: f64,
}
