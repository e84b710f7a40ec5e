//! Store traffic and CPU time of the journal.

use std::sync::Arc;

use kernel::history;
use kernel::ids;
use platform::store::Store;
use standin::MemoryPlatform;

use crate::error::Result;
use crate::figure::Unit;
use crate::report::Report;
use crate::scale::Scale;

/// Task starts per second at the peak load of the capacity target.
const PEAK_STARTS_PER_S: u32 = 2_900;
/// Workers of the capacity target.
const TARGET_WORKERS: u64 = 6_600;
/// Limit on the store calls of all journals of a host.
const STORE_BUDGET_CALLS_PER_S: u32 = 100;
const STORE_BUDGET_BURST_CALLS: u32 = 50;
/// Simulated latency of a store call.
const STORE_LATENCY_MS: u64 = 4;
const SNAPSHOT_ENTRIES: u64 = 32;
const JOBS_PER_ENTRY: u64 = 100;
const RECOVERED_ENTRIES: [u64; 3] = [64, 128, 256];
const SNAPSHOT_JOBS: [u64; 3] = [1_000, 2_000, 4_000];

/// Measures the store traffic of placements at the peak load, the reads of a recovery, the size
/// of snapshots and the CPU time per journal record.
pub(crate) fn measure(scale: &Scale, report: &mut Report) -> Result<()> {
    crate::paused(measure_traffic(scale, report))?;
    for entries in RECOVERED_ENTRIES {
        crate::paused(measure_recovery(entries, report))?;
    }
    for jobs in SNAPSHOT_JOBS {
        let bytes = journal::measure::snapshot_bytes(jobs, 1)? as f64;
        report.add("snapshot_bytes_by_open_jobs", jobs, Unit::Bytes, bytes);
    }
    let costs = journal::measure::processing(scale.journal_jobs, JOBS_PER_ENTRY)?;
    let jobs = scale.journal_jobs;
    for (name, ns) in [
        ("journal_encode_us_per_record", costs.encode_ns),
        ("journal_decode_us_per_record", costs.decode_ns),
        ("journal_apply_us_per_record", costs.apply_ns),
    ] {
        report.add(name, jobs, Unit::Us, ns / 1e3);
    }
    Ok(())
}

async fn measure_traffic(scale: &Scale, report: &mut Report) -> Result<()> {
    let load = journal::measure::Load {
        per_s: PEAK_STARTS_PER_S,
        operations: scale.journal_jobs,
        round_trip_ms: 0,
    };
    let cost = journal::measure::placements_in_journal(store(), config(), &load).await?;
    let writes = cost.puts_per_100 + cost.deletes_per_100;
    let name = "store_writes_per_100_placements";
    report.add(name, TARGET_WORKERS, Unit::Count, writes);
    let rows = [
        (
            "journal_puts_per_100_placements",
            Unit::Count,
            cost.puts_per_100,
        ),
        (
            "journal_deletes_per_100_placements",
            Unit::Count,
            cost.deletes_per_100,
        ),
        (
            "journal_bytes_per_100_placements",
            Unit::Bytes,
            cost.bytes_per_100,
        ),
        ("journal_wait_ms_p99", Unit::Ms, cost.wait_p99_ms),
    ];
    for (name, unit, value) in rows {
        report.add(name, TARGET_WORKERS, unit, value);
    }
    Ok(())
}

async fn measure_recovery(entries: u64, report: &mut Report) -> Result<()> {
    const TASKS_PER_ENTRY: u64 = 20;
    let cost = journal::measure::recovery(store(), config(), entries, TASKS_PER_ENTRY, 0).await?;
    let calls = cost.calls;
    let rows = [
        ("recovery_reads_by_entries", Unit::Count, calls.reads as f64),
        (
            "recovery_bytes_by_entries",
            Unit::Bytes,
            calls.read_bytes as f64,
        ),
        ("recovery_ms_by_entries", Unit::Ms, cost.elapsed_ms),
    ];
    for (name, unit, value) in rows {
        report.add(name, entries, unit, value);
    }
    Ok(())
}

fn store() -> Arc<dyn Store> {
    let mut config = standin::Config::new(standin::Topology::new(&[("zone-0", "region-0")]));
    config.workers = 0;
    config.store_latency_ms = STORE_LATENCY_MS;
    let platform = MemoryPlatform::new(&config, 1, Arc::new(history::NullSink));
    Arc::new(platform.store(&ids::ZoneId::new("zone-0")))
}

fn config() -> journal::Config {
    let budget = journal::StoreBudget::new(STORE_BUDGET_CALLS_PER_S, STORE_BUDGET_BURST_CALLS);
    let mut config = journal::Config::new(budget, 1);
    config.snapshot_entries = SNAPSHOT_ENTRIES;
    config
}
