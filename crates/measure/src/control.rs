//! Messages, bytes and store calls of whole cells, at rest and at the peak.

use std::time;

use indexmap::IndexMap;

use crate::cell::{Cell, Size};
use crate::counting::{Tally, Use};
use crate::error::Result;
use crate::figure::Unit;
use crate::report::Report;
use crate::scale::Scale;
use crate::workload;

/// Entry hosts of one firm today.
const HOSTS: usize = 7;
const ZONES: usize = 2;
/// Workers of the cells whose hosts or zones are varied.
const WORKERS: u32 = 100;
/// Time after which a cell has settled, its services and batch tasks running.
const SETTLE_MS: u64 = 30_000;

/// Varies workers, then hosts, then zones.
pub(crate) fn measure(scale: &Scale, report: &mut Report) -> Result<()> {
    for &workers in &scale.workers {
        let size = Size {
            workers,
            hosts: HOSTS,
            zones: ZONES,
        };
        crate::paused(count(size, scale, report, "workers", u64::from(workers)))?;
    }
    let workers = WORKERS.min(scale.workers.iter().copied().max().unwrap_or(WORKERS));
    for &hosts in &scale.hosts {
        let size = Size {
            workers,
            hosts,
            zones: ZONES.min(hosts),
        };
        crate::paused(count(size, scale, report, "hosts", hosts as u64))?;
    }
    for &zones in &scale.zones {
        let size = Size {
            workers,
            hosts: HOSTS.max(zones) + 1,
            zones,
        };
        crate::paused(count(size, scale, report, "zones", zones as u64))?;
    }
    Ok(())
}

async fn count(
    size: Size,
    scale: &Scale,
    report: &mut Report,
    varied: &str,
    at: u64,
) -> Result<()> {
    let cell = Cell::start(size).await?;
    let note = workload::services(size.workers);
    cell.any(0)
        .submit_release(note.as_bytes(), "operator", None)
        .await?;
    tokio::time::sleep(time::Duration::from_millis(SETTLE_MS)).await;
    cell.counts.take();
    tokio::time::sleep(time::Duration::from_millis(scale.window_ms)).await;
    let rest = cell.counts.take();
    add(report, &rest, size, scale, &format!("rest_by_{varied}"), at);
    if varied == "zones" {
        return Ok(());
    }
    workload::submit_at_peak(&cell, SETTLE_MS, 0).await?;
    cell.counts.take();
    workload::submit_at_peak(&cell, scale.window_ms, SETTLE_MS).await?;
    let peak = cell.counts.take();
    add(report, &peak, size, scale, &format!("peak_by_{varied}"), at);
    if varied == "workers" {
        let bytes: f64 = bytes_per_s(&peak, scale);
        let per_host = 2.0 * peer_bytes_per_s(&peak, scale) + bytes;
        let value = per_host / size.hosts as f64 / 1e3;
        report.add("control_kb_per_s", at, Unit::KbPerS, value);
        writes_per_100(report, &peak, at);
    }
    Ok(())
}

fn per_s(count: u64, scale: &Scale) -> f64 {
    count as f64 * 1e3 / scale.window_ms as f64
}

fn peer_bytes_per_s(tallies: &IndexMap<Use, Tally>, scale: &Scale) -> f64 {
    let peers = tallies.iter().filter(|(u, _)| matches!(u, Use::Peer(_)));
    per_s(peers.map(|(_, tally)| tally.bytes).sum(), scale)
}

/// Bytes a second of the store and the workers.
fn bytes_per_s(tallies: &IndexMap<Use, Tally>, scale: &Scale) -> f64 {
    let others = tallies.iter().filter(|(u, _)| !matches!(u, Use::Peer(_)));
    per_s(others.map(|(_, tally)| tally.bytes).sum(), scale)
}

/// All writes of the cell in the store for each 100 starts, lease renewals left out.
fn writes_per_100(report: &mut Report, tallies: &IndexMap<Use, Tally>, at: u64) {
    let starts = tallies.get(&Use::Start).map_or(0, |tally| tally.calls);
    let writes: u64 = tallies
        .iter()
        .filter(|(purpose, _)| matches!(purpose, Use::StoreWrite(_)))
        .map(|(_, tally)| tally.calls)
        .sum();
    let value = writes as f64 * 100.0 / starts.max(1) as f64;
    report.add(
        "cell_store_writes_per_100_placements",
        at,
        Unit::Count,
        value,
    );
}

/// Adds calls and bytes a second of each use: of the store in the whole cell, of peers for each
/// host (sent and received), of workers for each worker.
fn add(
    report: &mut Report,
    tallies: &IndexMap<Use, Tally>,
    size: Size,
    scale: &Scale,
    suffix: &str,
    at: u64,
) {
    let hosts = size.hosts as f64;
    let workers = f64::from(size.workers);
    for (purpose, tally) in tallies {
        let (calls, bytes) = (per_s(tally.calls, scale), per_s(tally.bytes, scale));
        let (name, calls, bytes) = match purpose {
            Use::Peer(kind) => (
                format!("peer_{kind}_per_host"),
                calls / hosts,
                2.0 * bytes / hosts,
            ),
            Use::StoreRead(of) => (format!("store_read_{of}"), calls, bytes),
            Use::StoreWatch(of) => (format!("store_watch_{of}"), calls, bytes),
            Use::StoreWrite(of) => (format!("store_write_{of}"), calls, bytes),
            Use::StoreLease => ("store_lease".to_owned(), calls, bytes),
            Use::WorkerSync => (
                "worker_sync_per_worker".to_owned(),
                calls / workers,
                bytes / workers,
            ),
            Use::WorkerList => (
                "worker_list_per_host".to_owned(),
                calls / hosts,
                bytes / hosts,
            ),
            Use::Start => ("starts".to_owned(), calls, bytes),
        };
        report.add(format!("{name}_calls_{suffix}"), at, Unit::PerS, calls);
        if bytes > 0.0 {
            report.add(format!("{name}_kb_{suffix}"), at, Unit::KbPerS, bytes / 1e3);
        }
        if matches!(purpose, Use::StoreWrite(_)) {
            let name = format!("{name}_largest_{suffix}");
            report.add(name, at, Unit::Bytes, tally.largest_bytes as f64);
        }
    }
}
