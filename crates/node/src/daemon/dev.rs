//! `hickoryd dev`: one entry host in each zone and a stand-in platform, in one process.
//!
//! Rack groups are owned by hosts of their zone, so every zone needs a host. The host of the
//! first zone also serves HTTP.

use std::path;
use std::sync::Arc;
use std::time;

use clap::Args;
use indexmap::IndexMap;
use kernel::errors;
use kernel::history;
use kernel::ids;
use kernel::lifecycle;
use kernel::work;
use standin::Embedded;
use tabled::Tabled;
use tabled::settings::Style;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::{
    Node, Operations, clock, config, entry, local, operators, shared, telemetry, topology,
};

/// Interval of the check whether the work has settled.
const SETTLE_POLL_INTERVAL_MS: u64 = 50;
const SETTLE_TIMEOUT_MS: u64 = 60_000;
const GROUPS_PER_ZONE: u16 = 2;
const SHARDS: u16 = 4;
const SUBMITTER: &str = "hickoryd-dev";

/// Settings of `hickoryd dev`.
#[derive(Clone, Debug, Args)]
pub(super) struct DevSettings {
    /// Release note to submit.
    #[arg(long, env = "HICKORY_NOTE")]
    note: path::PathBuf,

    /// Firm whose zones and workers the platform simulates; by default the first whose cell
    /// can hold the release note.
    #[arg(long, env = "HICKORY_FIRM", value_enum)]
    firm: Option<standin::Firm>,

    /// Address for callers and operators (HTTP), as IP:PORT.
    #[arg(long, env = "HICKORY_LISTEN", default_value = "127.0.0.1:0")]
    listen: String,

    /// Exit once all batch work has ended and all services run.
    #[arg(long)]
    exit_when_settled: bool,
}

/// Runs until the note's work has settled, or until SIGINT.
pub(super) async fn run(settings: &DevSettings) -> errors::Result<()> {
    let started = tokio::time::Instant::now();
    let note = std::fs::read(&settings.note).map_err(|source| {
        errors::Error::with_source(
            errors::ErrorKind::Usage,
            format!("--note: cannot read {}", settings.note.display()),
            source,
        )
    })?;
    let metrics = telemetry::MetricsExporter::install()?;
    let firm = match settings.firm {
        Some(firm) => firm,
        None => select_firm(&note)?,
    };
    let platform = Embedded::start(firm, Arc::new(history::NullSink));
    let nodes = start_nodes(&platform).await;
    let Some(first) = nodes.first() else {
        return Err(errors::Error::new(
            errors::ErrorKind::Internal,
            "the platform has no zones",
        ));
    };
    let shared = Arc::clone(first.shared());
    let address = listen(settings, &shared, metrics).await?;
    println!(
        "{firm} cell: http={address}, zones {}",
        zone_names(&platform)
    );

    let operations = Operations::new(Arc::clone(&shared));
    let accepted = operations.submit_release(&note, SUBMITTER, None).await?;
    println!("release {} accepted", accepted.version);
    if !settings.exit_when_settled {
        tokio::signal::ctrl_c().await.map_err(|source| {
            errors::Error::with_source(
                errors::ErrorKind::Internal,
                "cannot listen for signals",
                source,
            )
        })?;
        return Ok(());
    }
    let limit = time::Duration::from_millis(SETTLE_TIMEOUT_MS);
    let settled = tokio::time::timeout(limit, wait_until_settled(&operations)).await;
    print_outcome(&shared).await;
    println!("{} ms", started.elapsed().as_millis());
    settled.map_err(|_| {
        errors::Error::new(
            errors::ErrorKind::Overloaded,
            "the work did not settle within the time limit",
        )
    })
}

/// The first firm whose cell can hold the note.
fn select_firm(note: &[u8]) -> errors::Result<standin::Firm> {
    let note = release::note::parse(note)?;
    let base = work::Release::default();
    let next = release::apply(&base, &note)?;
    let mut first_error = None;
    for firm in [standin::Firm::Huber, standin::Firm::Association] {
        let config = standin::Config::preset(firm);
        let capacity = config.capacity;
        let zones: Vec<&ids::ZoneId> = config.topology.zones.keys().collect();
        let workers = zones.iter().flat_map(|zone| {
            let per_zone = config.workers as usize / zones.len();
            std::iter::repeat_n((*zone, capacity), per_zone)
        });
        let limits = release::CellLimits::from_workers(zones.iter().copied(), workers);
        match release::check(&note, &next, &limits) {
            Ok(()) => return Ok(firm),
            Err(error) => first_error = first_error.or(Some(error)),
        }
    }
    Err(first_error.map_or_else(
        || errors::Error::new(errors::ErrorKind::Internal, "no firm is configured"),
        errors::Error::from,
    ))
}

fn zone_names(platform: &Embedded) -> String {
    let names: Vec<&str> = platform.zones().map(ids::ZoneId::as_str).collect();
    names.join(", ")
}

async fn start_nodes(platform: &Embedded) -> Vec<Node<lifecycle::Serving>> {
    let network = local::LocalNetwork::new(Arc::new(local::PerfectLink));
    let joining: Vec<Node<lifecycle::Joining>> = platform
        .zones()
        .enumerate()
        .map(|(index, zone)| {
            let config = node_config(platform, zone, index);
            let address = config.peer_address.clone();
            let node = Node::start(
                config,
                platform.connect(zone),
                Arc::new(network.connect(&address)),
                Arc::new(history::NullSink),
            );
            network.attach(&address, node.peer_handler());
            node
        })
        .collect();
    futures::future::join_all(joining.into_iter().map(Node::serve)).await
}

fn node_config(platform: &Embedded, zone: &ids::ZoneId, index: usize) -> config::NodeConfig {
    let topology = &platform.config().topology;
    config::NodeConfig {
        host: ids::HostId::new(format!("dev-{zone}")),
        zone: zone.clone(),
        incarnation_ms: clock::unix_time_ms(),
        http_address: "127.0.0.1:0".to_owned(),
        peer_address: format!("local:{index}"),
        seeds: Vec::new(),
        topology: topology::Topology {
            zones: topology.zones.clone(),
            groups_per_zone: GROUPS_PER_ZONE,
            shards: SHARDS,
            store_region: topology.zones.get(&topology.store_zone).cloned(),
        },
        task_lease_ms: 15_000,
        worker_sync_interval_ms: 500,
        worker_list_interval_ms: 1_000,
        default_deadline_ms: 10_000,
        max_deadline_ms: 600_000,
        drain_timeout_ms: 5_000,
        seed: index as u64 + 1,
        recorder: None,
    }
}

async fn listen(
    settings: &DevSettings,
    shared: &Arc<shared::Shared>,
    metrics: telemetry::MetricsExporter,
) -> errors::Result<String> {
    let cannot_listen = |source: std::io::Error| {
        errors::Error::with_source(
            errors::ErrorKind::Usage,
            format!("--listen: cannot listen at {}", settings.listen),
            source,
        )
    };
    let listener = TcpListener::bind(&settings.listen)
        .await
        .map_err(cannot_listen)?;
    let address = listener.local_addr().map_err(cannot_listen)?.to_string();
    let config = entry::HttpConfig::default();
    let routes = entry::Entry::new(Arc::clone(shared), Some(metrics), config).routes();
    let server = entry::HttpServer::new(listener, routes, config, shared.metrics.clone());
    tokio::spawn(server.run(CancellationToken::new(), time::Duration::ZERO));
    Ok(address)
}

async fn wait_until_settled(operations: &Operations) {
    while !operations.is_settled().await {
        tokio::time::sleep(time::Duration::from_millis(SETTLE_POLL_INTERVAL_MS)).await;
    }
}

#[derive(Debug, Tabled)]
struct JobRow {
    work: String,
    kind: String,
    team: String,
    running: u32,
    completed: u32,
    failed: u32,
    waiting: u32,
}

#[derive(Debug, Tabled)]
struct PlacementRow {
    work: String,
    zone: String,
    racks: usize,
    workers: usize,
    tasks: usize,
}

async fn print_outcome(shared: &Arc<shared::Shared>) {
    let release = shared.releases.current();
    let jobs = operators::jobs(shared).await;
    let rows = jobs.iter().map(|job| {
        let work = release.work.get(&job.work);
        JobRow {
            work: job.work.to_string(),
            kind: work.map(|work| work.kind.to_string()).unwrap_or_default(),
            team: work.map(|work| work.team.to_string()).unwrap_or_default(),
            running: job.running,
            completed: job.completed,
            failed: job.failed,
            waiting: job.waiting + job.assigned,
        }
    });
    println!("{}", tabled::Table::new(rows).with(Style::sharp()));
    println!(
        "{}",
        tabled::Table::new(placement_rows(shared).await).with(Style::sharp())
    );
}

/// Numbers of racks, workers and tasks, by work and zone.
async fn placement_rows(shared: &Arc<shared::Shared>) -> Vec<PlacementRow> {
    let mut by_work_and_zone: IndexMap<(String, String), Vec<api::Placement>> = IndexMap::new();
    for placement in operators::placements(shared).await {
        let key = (
            placement.run.task.work.to_string(),
            placement.zone.to_string(),
        );
        by_work_and_zone.entry(key).or_default().push(placement);
    }
    by_work_and_zone.sort_keys();
    by_work_and_zone
        .into_iter()
        .map(|((work, zone), placements)| {
            let count = |name: fn(&api::Placement) -> &str| {
                placements
                    .iter()
                    .map(name)
                    .collect::<indexmap::IndexSet<&str>>()
                    .len()
            };
            PlacementRow {
                work,
                zone,
                racks: count(|placement| placement.rack.as_str()),
                workers: count(|placement| placement.worker.as_str()),
                tasks: placements.len(),
            }
        })
        .collect()
}
