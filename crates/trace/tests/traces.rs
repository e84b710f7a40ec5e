//! Recorded traces decide the same again, and their stated outcomes hold.

use std::fs::File;
use std::io::BufReader;
use std::path::Path;

use hickorychute_trace as trace;

fn decides_the_same(path: &Path) -> datatest_stable::Result<()> {
    let replay = trace::replay(BufReader::new(File::open(path)?))?;
    let compared = replay.decisions > 0 && replay.skipped == 0 && !replay.outcomes.is_empty();
    if compared && replay.has_passed() {
        return Ok(());
    }
    Err(replay.to_string().into())
}

datatest_stable::harness! {
    { test = decides_the_same, root = "tests/traces", pattern = r"\.jsonl$" },
}
