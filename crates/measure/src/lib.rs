//! What control costs at small sizes, and straight lines through it.
//!
//! `docs/design/capacity-hickoryd.md` argues about a cell far larger than one machine can run. Its
//! slopes come from here: [`run`] measures decisions, the journal, whole cells in
//! one process under a paused clock, and one real process, each at several sizes.
//! Under the paused clock messages, bytes and calls are counted, so that a busy
//! machine does not change them; only decisions and the real process are timed.
//!
//! A [`Report`] is a list of [`Figure`]s and of the lines that were fitted to them,
//! each with its residual: a line that does not fit shows by a large one.

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
pub use figure::{Figure, Unit};
pub use fit::Line;
pub use report::{Fitted, Report};
pub use scale::Scale;

/// Measures everything at the sizes of a scale.
///
/// The processes of `programs` are measured if it is given: the folder that holds
/// `hickoryd` and `hickory-standin`.
///
/// # Errors
///
/// [`Error`] if a cell or a process does not come up, or refuses its work.
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

/// Runs a future to its end under a paused clock.
fn paused<T>(future: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .map_err(Error::from)?;
    runtime.block_on(future)
}
