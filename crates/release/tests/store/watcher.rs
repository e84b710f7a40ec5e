//! Distribution of releases through the store, and through peers during an outage.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures::future;
use hickorychute_release as release;
use kernel::errors;
use kernel::ids;
use platform::store;

use crate::support;

/// The users' requirement for the time until a release is in force on a reachable host.
const MAX_IN_FORCE_DELAY_MS: u64 = 3_000;

#[derive(Debug, Default)]
struct FakePeers {
    is_watcher: AtomicBool,
    offered: std::sync::Mutex<Option<release::AcceptedRelease>>,
}

impl release::Peers for FakePeers {
    fn is_watcher(&self) -> bool {
        self.is_watcher.load(Ordering::Relaxed)
    }

    fn fetch(
        &self,
        _at_least: ids::ReleaseVersion,
    ) -> future::BoxFuture<'_, errors::Result<Option<release::AcceptedRelease>>> {
        let offered = self.offered.lock().unwrap().clone();
        Box::pin(async move { Ok(offered) })
    }
}

struct Fixture {
    store: Arc<support::FakeStore>,
    peers: Arc<FakePeers>,
    shared: Arc<release::SharedRelease>,
}

impl Fixture {
    /// Starts a host that has release 1 in force.
    async fn start(is_watcher: bool) -> Self {
        let store = support::store_with_quota().await;
        let peers = Arc::new(FakePeers::default());
        peers.is_watcher.store(is_watcher, Ordering::Relaxed);
        let shared = Arc::new(release::SharedRelease::default());
        let watcher = release::ReleaseWatcher::new(
            Arc::clone(&store) as Arc<dyn store::Store>,
            Arc::clone(&peers) as Arc<dyn release::Peers>,
            Arc::clone(&shared),
            7,
        );
        tokio::spawn(watcher.run());
        let fixture = Self {
            store,
            peers,
            shared,
        };
        fixture.expect_in_force(1).await;
        fixture
    }

    async fn submit(&self, name: &str) -> release::Accepted {
        let note = support::batch_run_note(name);
        let acceptor = support::acceptor(&self.store);
        acceptor.submit(note.as_bytes(), name, None).await.unwrap()
    }

    /// Waits until the version is in force; fails after [`MAX_IN_FORCE_DELAY_MS`].
    async fn expect_in_force(&self, version: u64) {
        let mut in_force = self.shared.subscribe();
        let is_reached = in_force.wait_for(|current| {
            let current = current.as_ref();
            current.is_some_and(|current| current.version().0 >= version)
        });
        let limit = Duration::from_millis(MAX_IN_FORCE_DELAY_MS);
        tokio::time::timeout(limit, is_reached)
            .await
            .expect("in force in time")
            .unwrap();
    }
}

#[tokio::test(start_paused = true)]
async fn a_watching_host_gets_releases_from_the_store() {
    let host = Fixture::start(true).await;
    for number in 2..6 {
        host.submit(&format!("run-{number}")).await;
        host.expect_in_force(number).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_host_recovers_from_a_compacted_watch() {
    let host = Fixture::start(true).await;
    // The watch resumes from the revision of release 1, which is compacted by then.
    host.store.set_down(true);
    tokio::time::sleep(Duration::from_millis(10)).await;
    host.store.insert("other/key", "value".into());
    host.store.insert("other/key", "value".into());
    host.store.compact();
    host.store.set_down(false);
    tokio::time::sleep(Duration::from_secs(1)).await;
    host.submit("run-2").await;
    host.expect_in_force(2).await;
    host.submit("run-3").await;
    host.expect_in_force(3).await;
}

#[tokio::test(start_paused = true)]
async fn an_announced_release_is_fetched_from_a_peer() {
    let host = Fixture::start(false).await;
    let accepted = host.submit("run-2").await;
    host.store.set_down(true);
    *host.peers.offered.lock().unwrap() = Some(accepted.newest.as_ref().clone());
    host.shared.hear(accepted.version);
    assert!(host.shared.is_behind());
    host.expect_in_force(2).await;
    assert!(!host.shared.is_behind());
}

#[tokio::test(start_paused = true)]
async fn an_announced_release_is_read_from_the_store_if_no_peer_has_it() {
    let host = Fixture::start(false).await;
    let accepted = host.submit("run-2").await;
    host.shared.hear(accepted.version);
    host.expect_in_force(2).await;
}

#[tokio::test(start_paused = true)]
async fn a_watch_resumes_after_an_outage() {
    let host = Fixture::start(true).await;
    host.store.set_down(true);
    tokio::time::sleep(Duration::from_hours(1)).await;
    host.store.set_down(false);
    host.submit("run-2").await;
    // The delay between retries adds to the time until the release is in force.
    tokio::time::sleep(Duration::from_secs(3)).await;
    host.expect_in_force(2).await;
}

#[tokio::test(start_paused = true)]
async fn an_unreadable_value_changes_nothing() {
    let host = Fixture::start(true).await;
    let key = release::accepted::key(ids::ReleaseVersion(2));
    host.store.insert(&key, "garbage".into());
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(host.shared.version().0, 1);
}

#[tokio::test(start_paused = true)]
async fn a_starting_host_puts_the_newest_release_in_force_first() {
    let host = Fixture::start(true).await;
    for number in 2..14 {
        host.submit(&format!("run-{number}")).await;
    }
    // With latency, an older release would be observed in force if it were offered.
    host.store.inject_random_faults(1);
    let shared = Arc::new(release::SharedRelease::default());
    let mut in_force = shared.subscribe();
    let watcher = release::ReleaseWatcher::new(
        Arc::clone(&host.store) as Arc<dyn store::Store>,
        Arc::clone(&host.peers) as Arc<dyn release::Peers>,
        shared,
        8,
    );
    tokio::spawn(watcher.run());
    in_force.changed().await.unwrap();
    let first = in_force.borrow().clone().unwrap();
    assert_eq!(first.version().0, 13);
}
