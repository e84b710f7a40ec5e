//! Message, byte and store-call rates of in-process cells, idle and at the peak load.

use std::time;

use indexmap::IndexMap;

use crate::cell::{Cell, CellSize};
use crate::counting::{Traffic, TrafficTotals};
use crate::error::Result;
use crate::figure::Unit;
use crate::report::Report;
use crate::scale::Scale;
use crate::workload;

/// Entry hosts of one firm in current deployments.
const DEFAULT_HOSTS: usize = 7;
const DEFAULT_ZONES: usize = 2;
/// Workers of the cells in which the number of hosts or zones is varied.
const DEFAULT_WORKERS: u32 = 100;
/// Time that a cell is given to start its services or batch tasks before it is measured.
const SETTLE_TIME_MS: u64 = 30_000;

/// Measures cells over varying numbers of workers, then of hosts, then of zones.
pub(crate) fn measure(scale: &Scale, report: &mut Report) -> Result<()> {
    for &workers in &scale.workers {
        let size = CellSize {
            workers,
            hosts: DEFAULT_HOSTS,
            zones: DEFAULT_ZONES,
        };
        crate::paused(measure_cell(
            size,
            scale,
            report,
            "workers",
            u64::from(workers),
        ))?;
    }
    let workers = DEFAULT_WORKERS.min(
        scale
            .workers
            .iter()
            .copied()
            .max()
            .unwrap_or(DEFAULT_WORKERS),
    );
    for &hosts in &scale.hosts {
        let size = CellSize {
            workers,
            hosts,
            zones: DEFAULT_ZONES.min(hosts),
        };
        crate::paused(measure_cell(size, scale, report, "hosts", hosts as u64))?;
    }
    for &zones in &scale.zones {
        let size = CellSize {
            workers,
            hosts: DEFAULT_HOSTS.max(zones) + 1,
            zones,
        };
        crate::paused(measure_cell(size, scale, report, "zones", zones as u64))?;
    }
    Ok(())
}

async fn measure_cell(
    size: CellSize,
    scale: &Scale,
    report: &mut Report,
    dimension: &str,
    dimension_value: u64,
) -> Result<()> {
    let cell = Cell::start(size).await?;
    let note = workload::release_note(size.workers);
    cell.host_operations(0)
        .submit_release(note.as_bytes(), "operator", None)
        .await?;
    tokio::time::sleep(time::Duration::from_millis(SETTLE_TIME_MS)).await;
    cell.counters.take();
    tokio::time::sleep(time::Duration::from_millis(scale.window_ms)).await;
    let idle = cell.counters.take();
    add_traffic(
        report,
        &idle,
        size,
        scale,
        &format!("rest_by_{dimension}"),
        dimension_value,
    );
    if dimension == "zones" {
        return Ok(());
    }
    workload::submit_at_peak(&cell, SETTLE_TIME_MS, 0).await?;
    cell.counters.take();
    workload::submit_at_peak(&cell, scale.window_ms, SETTLE_TIME_MS).await?;
    let peak = cell.counters.take();
    add_traffic(
        report,
        &peak,
        size,
        scale,
        &format!("peak_by_{dimension}"),
        dimension_value,
    );
    if dimension == "workers" {
        let bytes: f64 = store_and_worker_bytes_per_s(&peak, scale);
        let per_host = 2.0 * peer_bytes_per_s(&peak, scale) + bytes;
        let value = per_host / size.hosts as f64 / 1e3;
        report.add("control_kb_per_s", dimension_value, Unit::KbPerS, value);
        add_writes_per_100_starts(report, &peak, dimension_value);
    }
    Ok(())
}

fn per_second(count: u64, scale: &Scale) -> f64 {
    count as f64 * 1e3 / scale.window_ms as f64
}

fn peer_bytes_per_s(all_totals: &IndexMap<Traffic, TrafficTotals>, scale: &Scale) -> f64 {
    let peers = all_totals
        .iter()
        .filter(|(u, _)| matches!(u, Traffic::Peer(_)));
    per_second(peers.map(|(_, totals)| totals.bytes).sum(), scale)
}

/// Bytes per second of store and worker traffic.
fn store_and_worker_bytes_per_s(
    all_totals: &IndexMap<Traffic, TrafficTotals>,
    scale: &Scale,
) -> f64 {
    let others = all_totals
        .iter()
        .filter(|(u, _)| !matches!(u, Traffic::Peer(_)));
    per_second(others.map(|(_, totals)| totals.bytes).sum(), scale)
}

/// Adds the store writes of the cell per 100 task starts, without lease renewals.
fn add_writes_per_100_starts(
    report: &mut Report,
    all_totals: &IndexMap<Traffic, TrafficTotals>,
    dimension_value: u64,
) {
    let starts = all_totals
        .get(&Traffic::Start)
        .map_or(0, |totals| totals.calls);
    let writes: u64 = all_totals
        .iter()
        .filter(|(traffic, _)| matches!(traffic, Traffic::StoreWrite(_)))
        .map(|(_, totals)| totals.calls)
        .sum();
    let value = writes as f64 * 100.0 / starts.max(1) as f64;
    report.add(
        "cell_store_writes_per_100_placements",
        dimension_value,
        Unit::Count,
        value,
    );
}

/// Adds calls and bytes per second for each kind of traffic.
///
/// Store traffic is for the whole cell, peer traffic per host (sent and received), worker syncs
/// per worker and list requests per host.
fn add_traffic(
    report: &mut Report,
    all_totals: &IndexMap<Traffic, TrafficTotals>,
    size: CellSize,
    scale: &Scale,
    suffix: &str,
    dimension_value: u64,
) {
    let hosts = size.hosts as f64;
    let workers = f64::from(size.workers);
    for (traffic, totals) in all_totals {
        let (calls, bytes) = (
            per_second(totals.calls, scale),
            per_second(totals.bytes, scale),
        );
        let (name, calls, bytes) = match traffic {
            Traffic::Peer(kind) => (
                format!("peer_{kind}_per_host"),
                calls / hosts,
                2.0 * bytes / hosts,
            ),
            Traffic::StoreRead(category) => (format!("store_read_{category}"), calls, bytes),
            Traffic::StoreWatch(category) => (format!("store_watch_{category}"), calls, bytes),
            Traffic::StoreWrite(category) => (format!("store_write_{category}"), calls, bytes),
            Traffic::StoreLease => ("store_lease".to_owned(), calls, bytes),
            Traffic::WorkerSync => (
                "worker_sync_per_worker".to_owned(),
                calls / workers,
                bytes / workers,
            ),
            Traffic::WorkerList => (
                "worker_list_per_host".to_owned(),
                calls / hosts,
                bytes / hosts,
            ),
            Traffic::Start => ("starts".to_owned(), calls, bytes),
        };
        report.add(
            format!("{name}_calls_{suffix}"),
            dimension_value,
            Unit::PerS,
            calls,
        );
        if bytes > 0.0 {
            report.add(
                format!("{name}_kb_{suffix}"),
                dimension_value,
                Unit::KbPerS,
                bytes / 1e3,
            );
        }
        if matches!(traffic, Traffic::StoreWrite(_)) {
            let name = format!("{name}_largest_{suffix}");
            report.add(
                name,
                dimension_value,
                Unit::Bytes,
                totals.largest_bytes as f64,
            );
        }
    }
}
