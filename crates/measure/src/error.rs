//! Why a measurement could not be made.

use std::io;

use kernel::errors;
use snafu::Snafu;

/// Why a measurement could not be made.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The measured code refused its work.
    #[snafu(display("the measured work was refused: {source}"), context(false))]
    Refused {
        /// What it said.
        source: errors::Error,
    },
    /// A process or a runtime could not be used.
    #[snafu(display("a process cannot be used: {source}"), context(false))]
    Io {
        /// What was seen.
        source: io::Error,
    },
    /// Something did not come about in its time.
    #[snafu(display("not within {limit_ms} ms: {what}"))]
    Late {
        /// What was waited for.
        what: String,
        /// How long.
        limit_ms: u64,
    },
}

/// The result of a measurement.
pub type Result<T> = std::result::Result<T, Error>;
