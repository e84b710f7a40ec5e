//! A single measured value with its name, size and unit.

use derive_more::Display;
use serde::Serialize;

/// Unit of a measured value.
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
    /// Events per second.
    PerS,
    /// Percent; 100 is one CPU core.
    Percent,
    /// Bytes.
    Bytes,
    /// Kilobytes (1,000 bytes) per second.
    KbPerS,
    /// Megabytes (1,000,000 bytes).
    Mb,
    /// A dimensionless count.
    Count,
    /// A dimensionless ratio.
    Ratio,
}

/// A value measured at one size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Measurement {
    /// Name of the measured quantity.
    pub name: String,
    /// Value of the varied dimension: workers, unless the name states another one.
    pub size: u64,
    /// Unit of the value.
    pub unit: Unit,
    /// Measured value, in `unit`.
    pub value: f64,
}
