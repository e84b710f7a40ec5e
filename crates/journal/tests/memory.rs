//! Memory and CPU time of a shard's state, measured on the whole process.
//!
//! This file contains a single test, so that no other test runs in its process.

use std::fs;
use std::time::Instant;

use hickorychute_journal as journal;
use journal::measure;

/// Target: memory of a node that is reserved for control.
const MAX_NODE_BYTES: u64 = 64 * 1024 * 1024;

fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS"))
        .unwrap();
    let kib: u64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kib * 1024
}

#[test]
fn a_full_shard_fits_into_a_node() {
    let jobs = journal::Limits::default().open_jobs as u64;
    let mut kept = Vec::new();
    for (jobs, tasks) in [(jobs, 1), (jobs, 1_000), (1, 10_000_000)] {
        let before = resident_bytes();
        let state = measure::state_of(jobs, tasks).unwrap();
        let grown = resident_bytes().saturating_sub(before);
        let started = Instant::now();
        let snapshot = state.snapshot().unwrap().len();
        let encoded = started.elapsed();
        println!(
            "{jobs} jobs of {tasks} tasks: {grown} bytes resident, snapshot {snapshot} bytes in {encoded:?}"
        );
        assert!(grown < MAX_NODE_BYTES, "{grown} bytes");
        kept.push(state);
    }
    drop(kept);
    let processing = measure::processing(200_000, 100).unwrap();
    println!("CPU time per record: {processing:.0?}");
}
