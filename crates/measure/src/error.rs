//! The error type of the measurements.

use std::io;

use kernel::errors;
use snafu::Snafu;

/// A measurement failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The measured code rejected an operation.
    #[snafu(display("measured operation failed: {source}"), context(false))]
    Refused {
        /// The error it returned.
        source: errors::Error,
    },
    /// I/O on a measured process failed, or an async runtime could not be built.
    #[snafu(display("I/O error during a measurement: {source}"), context(false))]
    Io {
        /// The underlying I/O error.
        source: io::Error,
    },
    /// A condition was not met in time.
    #[snafu(display("timed out after {timeout_ms} ms waiting until {condition}"))]
    Timeout {
        /// The condition, as a clause.
        condition: String,
        /// Time waited, in milliseconds.
        timeout_ms: u64,
    },
}

/// A result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
