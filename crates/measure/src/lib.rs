//! Measures the cost of the control plane at small sizes and fits straight lines to the results.
//!
//! `docs/design/capacity-hickoryd.md` extrapolates to a cell far larger than one machine can run,
//! with the slopes measured here. [`run`] measures placement decisions, the journal, in-process
//! cells under a paused clock, and one real process, each at several sizes. Under the paused clock
//! messages, bytes and calls are counted, so the load of the machine does not affect them; only
//! decisions, journal processing and the real process are timed in real time.
//!
//! A [`Report`] holds the [`Measurement`]s and the lines fitted to them. A large residual of a line
//! shows that the quantity does not grow linearly.

mod cell;
mod control;
mod counting;
mod error;
mod figure;
mod fit;
mod journals;
mod placements;
mod processes;
mod recovery;
mod report;
mod rumors;
mod scale;
mod workload;

pub use error::{Error, Result};
pub use figure::{Measurement, Unit};
pub use fit::LinearFit;
pub use report::{FittedQuantity, Report};
pub use scale::Scale;

/// Runs all measurements at the sizes given by `scale`.
///
/// `programs` is the directory that holds the `hickoryd` and `hickory-standin` executables; without
/// it no real process is measured.
///
/// # Errors
///
/// [`Error`] if a cell or a process does not start or rejects an operation.
pub fn run(scale: &Scale, programs: Option<&std::path::Path>) -> Result<Report> {
    let mut report = Report::default();
    if let Some(programs) = programs {
        processes::measure(scale, programs, &mut report)?;
    }
    placements::measure(scale, &mut report);
    journals::measure(scale, &mut report)?;
    rumors::measure(scale, &mut report);
    control::measure(scale, &mut report)?;
    recovery::measure(scale, &mut report)?;
    Ok(report)
}

/// Runs a future to completion on a single-threaded runtime with a paused clock.
fn paused<T>(future: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .map_err(Error::from)?;
    runtime.block_on(future)
}
