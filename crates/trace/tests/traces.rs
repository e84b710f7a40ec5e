//! Replays the traces under `tests/traces`, so that a change in placement decisions or a violated
//! expectation is noticed.

use std::fs::File;
use std::io::BufReader;
use std::path::Path;

use hickorychute_trace as trace;

fn replays_without_divergence(path: &Path) -> datatest_stable::Result<()> {
    let replay = trace::replay(BufReader::new(File::open(path)?))?;
    let is_complete = replay.decisions > 0 && replay.skipped == 0 && !replay.outcomes.is_empty();
    if is_complete && replay.has_passed() {
        return Ok(());
    }
    Err(replay.to_string().into())
}

datatest_stable::harness! {
    { test = replays_without_divergence, root = "tests/traces", pattern = r"\.jsonl$" },
}
