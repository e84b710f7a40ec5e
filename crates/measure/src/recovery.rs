//! Time until a release is in force everywhere, and until a dead host's racks have an owner.

use crate::cell::{Cell, Size};
use crate::error::Result;
use crate::figure::Unit;
use crate::report::Report;
use crate::scale::Scale;
use crate::workload;

const HOSTS: usize = 7;
const ZONES: usize = 2;
const PEAK_MS: u64 = 4_000;

/// Measures both in cells of the scale's numbers of workers, under their clock.
pub(crate) fn measure(scale: &Scale, report: &mut Report) -> Result<()> {
    for &workers in &scale.workers {
        crate::paused(measure_cell(workers, report))?;
    }
    Ok(())
}

async fn measure_cell(workers: u32, report: &mut Report) -> Result<()> {
    let size = Size {
        workers,
        hosts: HOSTS,
        zones: ZONES,
    };
    let mut cell = Cell::start(size).await?;
    let at = u64::from(workers);
    let started = tokio::time::Instant::now();
    let note = workload::services(workers);
    let accepted = cell
        .any(0)
        .submit_release(note.as_bytes(), "operator", None)
        .await?;
    let in_force = |cell: &Cell| {
        cell.operations()
            .all(|operations| operations.shared().releases.version() >= accepted.version)
    };
    cell.wait_for("the release is in force", in_force).await?;
    let value = started.elapsed().as_secs_f64();
    report.add("release_in_force_s", at, Unit::S, value);
    workload::submit_at_peak(&cell, PEAK_MS, 0).await?;
    takeover(&mut cell, at, report).await
}

/// Ends a host and waits for its lease to lapse, then for new owners.
async fn takeover(cell: &mut Cell, at: u64, report: &mut Report) -> Result<()> {
    let Some((host, zone)) = cell.kill_last() else {
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
    let lapsed = started.elapsed().as_secs_f64();
    cell.wait_for("a dead host's groups have owners", Cell::is_owned)
        .await?;
    let owned = started.elapsed().as_secs_f64();
    report.add("lease_lapse_after_kill_s", at, Unit::S, lapsed);
    report.add("takeover_s", at, Unit::S, owned - lapsed);
    report.add("takeover_after_kill_s", at, Unit::S, owned);
    Ok(())
}
