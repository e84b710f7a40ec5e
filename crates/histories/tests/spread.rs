//! Zone spread of a service's replicas if its note is accepted right after the cell has started.

use std::time;

use hickorychute_histories::cell;
use indexmap::IndexMap;
use kernel::history::Event;
use kernel::ids;

const SEEDS: u64 = 5;
const REPLICAS: u32 = 6;
const SETTLE_TIMEOUT: time::Duration = time::Duration::from_secs(30);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);

const NOTE: &str = r#"
[[added.quota]]
team = "workshop"
cpu_milli = 150000
memory_mb = 300000

[[added.service]]
name = "desk"
team = "workshop"
replicas = 6
cpu_milli = 4000
memory_mb = 4096
slots = 4
connections = 64
"#;

/// Number of replicas started in each zone.
async fn replicas_by_zone(seed: u64) -> IndexMap<String, u32> {
    let mut config = standin::Config::preset(standin::Firm::Huber);
    config.workers = 12;
    config.workers_per_rack = 2;
    let mut cell = cell::Cell::new(&config, seed);
    for zone in cell.zones() {
        cell.start_host(&zone).await;
    }
    let host = cell.hosts().values().next().expect("the cell has hosts");
    let operations = host.operations().clone();
    let accepted = operations
        .submit_release(NOTE.as_bytes(), "operator", None)
        .await;
    accepted.expect("the note is accepted");
    let settled = async {
        while !operations.is_settled().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(SETTLE_TIMEOUT, settled)
        .await
        .expect("all replicas run");
    let mut started = IndexMap::new();
    for record in cell.records() {
        if let Event::TaskStarted { worker, .. } = &record.event {
            let zones = cell.zones();
            let in_zone = |zone: &&ids::ZoneId| worker.as_str().starts_with(zone.as_str());
            let zone = zones.iter().find(in_zone).expect("a worker is in a zone");
            *started.entry(zone.to_string()).or_default() += 1;
        }
    }
    started
}

#[test]
fn replicas_are_spread_over_all_zones() {
    for seed in 0..SEEDS {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime without I/O can be made");
        let started = runtime.block_on(replicas_by_zone(seed));
        assert_eq!(
            started.values().sum::<u32>(),
            REPLICAS,
            "seed {seed}: {started:?}"
        );
        assert!(
            started.values().all(|count| *count == 2),
            "seed {seed}: {started:?}"
        );
        assert_eq!(started.len(), 3, "seed {seed}: {started:?}");
    }
}
