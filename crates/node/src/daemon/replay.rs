//! `hickoryd replay`: replays a recorded trace.

use std::fs::File;
use std::io::BufReader;
use std::path;

use clap::Args;
use kernel::errors;

/// Settings of `hickoryd replay`.
#[derive(Clone, Debug, Args)]
pub(super) struct ReplaySettings {
    /// Trace written by `hickoryd serve --record`.
    file: path::PathBuf,
}

/// Prints the result of the replay; fails if a decision differs or a recorded outcome does not
/// hold.
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
    let detail =
        "the replay differs from the recorded decisions, or a recorded outcome does not hold";
    Err(errors::Error::new(errors::ErrorKind::Failed, detail))
}
