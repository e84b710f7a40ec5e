//! `hickoryd replay`: a recorded trace, decided again.

use std::fs::File;
use std::io::BufReader;
use std::path;

use clap::Args;
use kernel::errors;

/// Settings of `hickoryd replay`.
#[derive(Clone, Debug, Args)]
pub(super) struct ReplaySettings {
    /// Trace that `hickoryd serve --record` wrote.
    file: path::PathBuf,
}

/// Prints what the replay found; fails on a difference or an outcome that does not hold.
pub(super) fn run(settings: &ReplaySettings) -> errors::Result<()> {
    let file = File::open(&settings.file).map_err(|source| {
        let detail = format!("cannot read {}", settings.file.display());
        errors::Error::with_source(errors::ErrorKind::Usage, detail, source)
    })?;
    let replay = trace::replay(BufReader::new(file))?;
    println!("{replay}");
    if replay.has_passed() {
        return Ok(());
    }
    let detail = "the trace does not decide the same again, or a stated outcome does not hold";
    Err(errors::Error::new(errors::ErrorKind::Failed, detail))
}
