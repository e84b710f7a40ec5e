//! The durable list of workers that may have been given work.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use adapter::{http::ConnectionPool, store::Store};
use hickorychute_entry::{
    records::{ROSTER_KEY, Roster},
    store::GuardedStore,
};
use prost::Message;
use rustix::process::Signal;
use tokio::{
    io::{self, AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp},
    sync::Notify,
    task::LocalSet,
    time,
};

use crate::support::{self, TestCell};

/// A link to the store that can hold one write of the roster back.
#[derive(Debug, Default)]
struct HoldingLink {
    /// Holds the next write of the roster back.
    armed: AtomicBool,
    /// Whether a write is held back or was.
    holds: AtomicBool,
    /// Passes it on.
    release: Notify,
}

impl HoldingLink {
    async fn start(target: SocketAddr) -> (SocketAddr, Arc<Self>) {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("loopback has a free port");
        let address = listener.local_addr().expect("the listener has an address");
        let link = Arc::new(Self::default());
        let serving = Arc::clone(&link);
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let Ok(far) = TcpStream::connect(target).await else {
                    continue;
                };
                let (near_read, near_write) = near.into_split();
                let (far_read, far_write) = far.into_split();
                tokio::spawn(Arc::clone(&serving).pass_requests(near_read, far_write));
                tokio::spawn(pass_responses(far_read, near_write));
            }
        });
        (address, link)
    }

    async fn pass_requests(
        self: Arc<Self>,
        mut from: tcp::OwnedReadHalf,
        mut to: tcp::OwnedWriteHalf,
    ) {
        let mut chunk = vec![0; 64 << 10];
        while let Ok(length @ 1..) = from.read(&mut chunk).await {
            let text = String::from_utf8_lossy(&chunk[..length]);
            let writes_roster = text.contains("\"put\"") && text.contains(ROSTER_KEY);
            if writes_roster && self.armed.swap(false, Ordering::Relaxed) {
                self.holds.store(true, Ordering::Relaxed);
                self.release.notified().await;
            }
            if to.write_all(&chunk[..length]).await.is_err() {
                return;
            }
        }
        // Keeps the connection open for a request that was held back.
        time::sleep(Duration::from_secs(1)).await;
    }
}

async fn pass_responses(mut from: tcp::OwnedReadHalf, mut to: tcp::OwnedWriteHalf) {
    // Either end of the connection may be gone.
    let _copied = io::copy(&mut from, &mut to).await;
}

/// Guards against TWICE: a write of the roster that was not answered was executed late, after a newer
/// one. A worker that had been given work was missing from it, and a successor did not wait for its
/// runs.
#[tokio::test]
async fn a_late_write_of_the_roster_removes_no_worker() {
    /// Time after which no call to the former address of the store is open.
    const MAX_WATCH: Duration = Duration::from_millis(2_500);
    LocalSet::new()
        .run_until(async {
            let mut test_cell = TestCell::start(3, 1, false).await;
            let leader = test_cell.leader();
            let store_address = test_cell.platform.store_address;
            let (address, link) = HoldingLink::start(store_address).await;
            test_cell.hosts[leader].add_setting(&format!("platform.address={address}"));
            test_cell
                .wait_until("the new address of the store", |test_cell| {
                    test_cell.hosts[leader].log().contains("entry-reloaded")
                })
                .await;
            time::sleep(MAX_WATCH).await;
            link.armed.store(true, Ordering::Relaxed);
            let heard = |test_cell: &TestCell| {
                test_cell.hosts[leader]
                    .log()
                    .matches("worker-heard")
                    .count()
            };
            test_cell.platform.add_worker(1).await;
            test_cell
                .wait_until("the write that is held back", |_| {
                    link.holds.load(Ordering::Relaxed)
                })
                .await;
            test_cell.platform.add_worker(2).await;
            test_cell
                .wait_until("all workers", |test_cell| heard(test_cell) == 3)
                .await;
            // Fills all three workers.
            let path = support::path("batch", 1);
            let text = "run=4000";
            assert_eq!(test_cell.submit(leader, &path, 48, text).await.status, 200);
            test_cell
                .wait_until("all tasks", |test_cell| {
                    test_cell.platform.cell.starts_of("0000000000000001") == 48
                })
                .await;
            link.release.notify_one();
            time::sleep(Duration::from_millis(300)).await;
            let store = GuardedStore::new(Store::new(ConnectionPool::default(), store_address));
            let item = store.get(ROSTER_KEY).await.expect("the store answers");
            let value = item.expect("the roster exists").value;
            let roster = Roster::decode(value.as_slice()).expect("the roster decodes");
            let mut workers: Vec<String> = roster.workers.into_iter().map(|w| w.id).collect();
            workers.sort();
            // The worker is silent to the successor, and its runs go on.
            test_cell.platform.workers[2].set_unresponsive(true);
            test_cell.hosts[leader].signal(Signal::KILL);
            test_cell.hosts[leader].wait();
            time::sleep(Duration::from_secs(5)).await;
            test_cell.platform.workers[2].set_unresponsive(false);
            test_cell.assert_no_faults();
            assert_eq!(workers, ["i-0", "i-1", "i-2"]);
        })
        .await;
}
