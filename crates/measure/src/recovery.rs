//! Time until a release is in force on all hosts, and until the groups and shards of a killed host
//! have new owners.

use crate::cell::{Cell, CellSize};
use crate::error::Result;
use crate::figure::Unit;
use crate::report::Report;
use crate::scale::Scale;
use crate::workload;

const HOSTS: usize = 7;
const ZONES: usize = 2;
const PEAK_DURATION_MS: u64 = 4_000;

/// Measures both for each number of workers, in paused-clock time.
pub(crate) fn measure(scale: &Scale, report: &mut Report) -> Result<()> {
    for &workers in &scale.workers {
        crate::paused(measure_cell(workers, report))?;
    }
    Ok(())
}

async fn measure_cell(workers: u32, report: &mut Report) -> Result<()> {
    let size = CellSize {
        workers,
        hosts: HOSTS,
        zones: ZONES,
    };
    let mut cell = Cell::start(size).await?;
    let at = u64::from(workers);
    let started = tokio::time::Instant::now();
    let note = workload::release_note(workers);
    let accepted = cell
        .host_operations(0)
        .submit_release(note.as_bytes(), "operator", None)
        .await?;
    let in_force = |cell: &Cell| {
        cell.operations()
            .all(|operations| operations.shared().releases.version() >= accepted.version)
    };
    cell.wait_for("the release is in force on all hosts", in_force)
        .await?;
    let in_force_s = started.elapsed().as_secs_f64();
    report.add("release_in_force_s", at, Unit::S, in_force_s);
    workload::submit_at_peak(&cell, PEAK_DURATION_MS, 0).await?;
    measure_takeover(&mut cell, at, report).await
}

/// Kills a host, waits for its membership lease to expire, then for new owners.
async fn measure_takeover(cell: &mut Cell, at: u64, report: &mut Report) -> Result<()> {
    let Some((host, zone)) = cell.kill_last_host() else {
        return Ok(());
    };
    let started = tokio::time::Instant::now();
    let key = format!("{}{zone}/{host}", ownership::members_prefix());
    let store = cell.platform.store(&zone);
    while platform::store::Store::get(&store, &key)
        .await
        .map_err(kernel::errors::Error::from)?
        .is_some()
    {
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    let lapsed_s = started.elapsed().as_secs_f64();
    cell.wait_for(
        "the groups and shards of the killed host have new owners",
        Cell::is_fully_owned,
    )
    .await?;
    let owned_s = started.elapsed().as_secs_f64();
    report.add("lease_lapse_after_kill_s", at, Unit::S, lapsed_s);
    report.add("takeover_s", at, Unit::S, owned_s - lapsed_s);
    report.add("takeover_after_kill_s", at, Unit::S, owned_s);
    Ok(())
}
