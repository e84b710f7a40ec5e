//! The in-memory platform: latencies, partitions, outages and link bandwidth.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hickorychute_standin as standin;
use kernel::history::{Event, MemorySink};
use kernel::ids;
use platform::store::{Condition, Revision, StoreError};
use platform::upstreams::{UpstreamAddress, UpstreamError};
use platform::workers::{WorkerError, WorkerInfo};
use standin::{Config, Fault, Firm, LostAnswers, MemoryPlatform};
use tokio::time;

use crate::support;

fn platform() -> (MemoryPlatform, MemorySink) {
    let history = MemorySink::default();
    let config = Config::preset(Firm::Huber);
    let platform = MemoryPlatform::new(&config, 1, Arc::new(history.clone()));
    (platform, history)
}

fn zone(name: &str) -> ids::ZoneId {
    ids::ZoneId::new(name)
}

async fn first_worker(platform: &MemoryPlatform, name: &str) -> WorkerInfo {
    let workers = platform.connect(&zone(name)).workers;
    workers.list(&zone(name)).await.unwrap().remove(0)
}

struct LatencyCase {
    from: &'static str,
    round_trip_ms: u64,
}

// The store is in muc-ost and takes 2 ms to process a call.
const LATENCY_CASES: [LatencyCase; 3] = [
    LatencyCase {
        from: "muc-ost",
        round_trip_ms: 2,
    },
    LatencyCase {
        from: "ros-nord",
        round_trip_ms: 2 + 2,
    },
    LatencyCase {
        from: "lan-sued",
        round_trip_ms: 2 + 60,
    },
];

#[tokio::test(start_paused = true)]
async fn calls_take_the_round_trip_time_between_zones() {
    for case in LATENCY_CASES {
        let (platform, _) = platform();
        let store = platform.connect(&zone(case.from)).store;
        let start = time::Instant::now();
        store.get("key").await.unwrap();
        let expected = Duration::from_millis(case.round_trip_ms);
        assert_eq!(start.elapsed(), expected, "{}", case.from);
    }
}

#[tokio::test(start_paused = true)]
async fn the_link_sends_at_its_rate_and_is_counted() {
    let (platform, _) = platform();
    let store = platform.connect(&zone("lan-sued")).store;
    let value = Bytes::from(vec![0; 375_000]);
    let start = time::Instant::now();
    let put = |key: &'static str| store.put(key, value.clone(), Condition::Any, None);
    let (first, second) = tokio::join!(put("a"), put("b"));
    assert!(first.is_ok() && second.is_ok());
    // Each value occupies the 30 Mbit/s link for 100 ms.
    let elapsed = start.elapsed();
    assert!((262..264).contains(&elapsed.as_millis()), "{elapsed:?}");
    let links = platform.counters().link_bytes;
    let to_store = links
        .iter()
        .find(|link| link.from.as_str() == "nbb")
        .unwrap();
    assert!((750_000..751_000).contains(&to_store.bytes), "{links:?}");
}

#[tokio::test(start_paused = true)]
async fn an_outage_is_distinguished_from_a_lost_answer() {
    let (platform, _) = platform();
    let store = platform.connect(&zone("muc-ost")).store;
    let put = |key: &'static str| store.put(key, Bytes::new(), Condition::Absent, None);
    platform.apply(Fault::StoreDown { down: true });
    assert!(matches!(
        put("a").await,
        Err(StoreError::Unavailable { .. })
    ));
    platform.apply(Fault::HealAll);
    assert!(store.get("a").await.unwrap().is_none());

    platform.apply(Fault::LoseStoreAnswers(LostAnswers {
        prefix: "b".to_owned(),
        count: Some(1),
        probability: None,
    }));
    assert!(put("a").await.is_ok(), "another prefix");
    assert!(matches!(put("b").await, Err(StoreError::AnswerLost { .. })));
    assert!(matches!(put("b").await, Err(StoreError::Conflict { .. })));

    // The outage begins while the call is in flight, before the store has processed it.
    let in_flight = put("c");
    let outage = async {
        time::sleep(Duration::from_millis(1)).await;
        platform.apply(Fault::StoreDown { down: true });
    };
    let (result, ()) = tokio::join!(in_flight, outage);
    assert!(
        matches!(result, Err(StoreError::Unavailable { .. })),
        "{result:?}"
    );
    platform.apply(Fault::HealAll);
    assert!(store.get("c").await.unwrap().is_none());
}

#[tokio::test(start_paused = true)]
async fn a_watch_wakes_on_a_change_and_on_an_expired_lease() {
    let (platform, _) = platform();
    let store = platform.connect(&zone("muc-ost")).store;
    let start = time::Instant::now();
    let unchanged = store.watch("a/", Revision(0), 50).await.unwrap();
    assert!(unchanged.changes.is_empty());
    assert_eq!(start.elapsed(), Duration::from_millis(52));

    let lease = store.grant_lease(100).await.unwrap();
    let watch = store.watch("a/", unchanged.revision, 60_000);
    let put = store.put("a/1", Bytes::new(), Condition::Any, Some(lease));
    let (seen, put) = tokio::join!(watch, put);
    assert_eq!(
        (seen.as_ref().unwrap().changes.len(), put.is_ok()),
        (1, true)
    );
    let start = time::Instant::now();
    let seen = store
        .watch("a/", seen.unwrap().revision, 60_000)
        .await
        .unwrap();
    assert_eq!(seen.changes.len(), 1);
    assert!(
        start.elapsed() < Duration::from_millis(110),
        "{:?}",
        start.elapsed()
    );
    assert_eq!(platform.counters().store.watches, 3);
}

#[tokio::test(start_paused = true)]
async fn an_outage_breaks_a_waiting_watch() {
    let (platform, _) = platform();
    let store = platform.connect(&zone("muc-ost")).store;
    let start = time::Instant::now();
    let watch = store.watch("a/", Revision(0), 60_000);
    let outage = async {
        time::sleep(Duration::from_millis(100)).await;
        platform.apply(Fault::StoreDown { down: true });
    };
    let (watched, ()) = tokio::join!(watch, outage);
    assert!(
        matches!(watched, Err(StoreError::AnswerLost { .. })),
        "{watched:?}"
    );
    assert_eq!(start.elapsed(), Duration::from_millis(100));
}

#[tokio::test(start_paused = true)]
async fn a_delayed_request_arrives_after_its_sender_timed_out() {
    let (platform, _) = platform();
    let worker = first_worker(&platform, "muc-ost").await;
    let workers = platform.connect(&zone("muc-ost")).workers;
    let delay = |delay_ms| Fault::WorkerDelay {
        worker: worker.id.clone(),
        delay_ms,
    };
    platform.apply(delay(500));
    let timeout = Duration::from_millis(100);
    let late = support::starts(1, vec![support::batch("report", 1, 60_000)]);
    assert!(
        time::timeout(timeout, workers.sync(&worker, &late))
            .await
            .is_err()
    );
    time::sleep(Duration::from_millis(500)).await;
    assert_eq!(platform.counters().running_tasks, 1);

    let later = support::next(&support::starts(
        1,
        vec![support::batch("audit", 1, 60_000)],
    ));
    assert!(
        time::timeout(timeout, workers.sync(&worker, &later))
            .await
            .is_err()
    );
    platform.apply(delay(0));
    let newer = support::next(&support::next(&support::starts(1, Vec::new())));
    workers.sync(&worker, &newer).await.unwrap();
    time::sleep(Duration::from_millis(500)).await;
    assert_eq!(
        platform.counters().running_tasks,
        1,
        "a newer request overtook the start"
    );
}

#[tokio::test(start_paused = true)]
async fn a_partitioned_zone_reaches_its_own_workers() {
    let (platform, _) = platform();
    let worker = first_worker(&platform, "lan-sued").await;
    let cut = |a: &str, b: &str| Fault::CutZones {
        a: zone(a),
        b: zone(b),
    };
    platform.apply(cut("muc-ost", "lan-sued"));
    platform.apply(Fault::CutPlatform {
        zone: zone("lan-sued"),
    });
    let inside = platform.connect(&zone("lan-sued"));
    let outside = platform.connect(&zone("muc-ost"));
    let request = support::starts(1, Vec::new());
    assert!(inside.workers.sync(&worker, &request).await.is_ok());
    let refused = outside
        .workers
        .sync(&worker, &support::next(&request))
        .await;
    assert!(
        matches!(refused, Err(WorkerError::Unreachable { .. })),
        "{refused:?}"
    );
    assert!(inside.store.get("key").await.is_err());
    assert!(inside.workers.list(&zone("lan-sued")).await.is_err());
    assert!(outside.store.get("key").await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_call_completes_when_its_answer_is_lost_or_its_caller_times_out() {
    let (platform, history) = platform();
    let worker = first_worker(&platform, "muc-ost").await;
    let connection = platform.connect(&zone("muc-ost"));
    let order = support::service("bankbuch", 1);
    let request = support::starts(1, vec![order.clone()]);
    connection.workers.sync(&worker, &request).await.unwrap();
    let target = UpstreamAddress {
        address: worker.address.clone(),
        run: order.run,
    };
    let upstreams = &connection.upstreams;

    platform.apply(Fault::LoseUpstreamAnswers(LostAnswers {
        count: Some(1),
        ..LostAnswers::default()
    }));
    let lost = upstreams.call(&target, &support::call(1, "/", b"")).await;
    assert!(
        matches!(lost, Err(UpstreamError::AnswerLost { .. })),
        "{lost:?}"
    );

    let call = support::call(2, "/sleep/500", b"");
    let gone = time::timeout(Duration::from_millis(100), upstreams.call(&target, &call)).await;
    assert!(gone.is_err());
    let open = |open_calls| {
        let records = history.records();
        let mut ran = records.iter().filter_map(|record| match record.event {
            Event::RequestRan { open_calls, .. } => Some(open_calls),
            _ => None,
        });
        assert_eq!(ran.next_back(), Some(open_calls));
    };
    upstreams
        .call(&target, &support::call(3, "/", b""))
        .await
        .unwrap();
    open(2);
    time::sleep(Duration::from_millis(500)).await;
    let sized = upstreams
        .call(&target, &support::call(4, "/size/100", b""))
        .await;
    assert_eq!(sized.unwrap().body.len(), 100);
    open(1);
}

#[tokio::test(start_paused = true)]
async fn leases_expire_on_time_without_any_call() {
    let (platform, history) = platform();
    let worker = first_worker(&platform, "muc-ost").await;
    let workers = platform.connect(&zone("muc-ost")).workers;
    let request = support::starts(1, vec![support::service("bankbuch", 1)]);
    workers.sync(&worker, &request).await.unwrap();
    let started_ms = platform.clock().now_ms();
    time::sleep(Duration::from_millis(support::LEASE_MS + 1)).await;
    let last = history.records().pop().unwrap();
    assert!(matches!(last.event, Event::TaskEnded { .. }), "{last:?}");
    assert_eq!(last.at_ms, started_ms + support::LEASE_MS);
}
