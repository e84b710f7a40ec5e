//! Transactions that the store executes after later ones, as it may if it did not answer them.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use platform_standin::Platform;
use rustix::process::Signal;
use serde_json::json;
use tokio::{
    io::{self, AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time,
};

use crate::support::{self, TestCell};

/// Time within which the coordinator writes a changed roster.
const ROSTER_DELAY: Duration = Duration::from_millis(1_500);

/// Passes connections on to the store, and keeps the last transaction that wrote the roster.
#[derive(Clone, Debug)]
struct Recorder {
    address: SocketAddr,
    store: SocketAddr,
    roster_write: Arc<Mutex<Vec<u8>>>,
}

impl Recorder {
    async fn start(store: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("loopback has a free port");
        let recorder = Self {
            address: listener.local_addr().expect("the listener has an address"),
            store,
            roster_write: Arc::default(),
        };
        let serving = recorder.clone();
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                tokio::spawn(serving.clone().pass_on(caller));
            }
        });
        recorder
    }

    async fn pass_on(self, caller: TcpStream) -> Option<()> {
        let server = TcpStream::connect(self.store).await.ok()?;
        let (mut requests, mut to_caller) = caller.into_split();
        let (mut responses, mut to_server) = server.into_split();
        tokio::spawn(async move { io::copy(&mut responses, &mut to_caller).await });
        let mut buffer = vec![0; 64 << 10];
        loop {
            let length = requests.read(&mut buffer).await.ok().filter(|&n| n > 0)?;
            let request = &buffer[..length];
            let text = String::from_utf8_lossy(request);
            if text.starts_with("POST /hickorychute/kv-txn") && text.contains("hc/roster") {
                *self.roster_write.lock().expect("no thread has panicked") = request.to_vec();
            }
            to_server.write_all(request).await.ok()?;
        }
    }

    /// The last transaction that wrote the roster.
    fn roster_write(&self) -> Vec<u8> {
        let write = self.roster_write.lock().expect("no thread has panicked");
        write.clone()
    }

    /// Sends a transaction to the store once more.
    async fn send_late(&self, write: &[u8]) -> String {
        let mut store = TcpStream::connect(self.store)
            .await
            .expect("the store accepts connections");
        store.write_all(write).await.expect("the store reads");
        let mut answer = vec![0; 4 << 10];
        let length = store.read(&mut answer).await.expect("the store answers");
        String::from_utf8_lossy(&answer[..length]).into_owned()
    }
}

/// Guards against TWICE: the store executes a write of the roster that it has not answered after the
/// next one, so that the successor does not know all workers that may have runs.
#[tokio::test]
async fn a_late_write_of_the_roster_hides_no_worker_from_the_successor() {
    let platform = Platform::start(1).await;
    platform.configure(1, &["urgent", "batch"], false);
    let recorder = Recorder::start(platform.store_address).await;
    let store = format!("platform.address={}\n", recorder.address);
    let mut test_cell = TestCell::start_on(platform, 3, &store).await;
    time::sleep(ROSTER_DELAY).await;
    let first_write = recorder.roster_write();
    assert!(!first_write.is_empty(), "no roster was written");
    test_cell.platform.add_worker(1).await;
    time::sleep(ROSTER_DELAY).await;
    assert_ne!(recorder.roster_write(), first_write, "the roster changes");

    // Worker 0 has room for one of the tasks.
    let path = support::path("batch", 1);
    let body = json!({
        "spec": "run=12000 cpu=9000",
        "steps": [{"count": 2, "cpu": 9_000, "mem_mb": 10, "estimate_ms": 12_000}],
    });
    let reply = test_cell.call(0, "POST", &path, Some(body)).await;
    assert_eq!(reply.status, 200);
    time::sleep(Duration::from_secs(1)).await;

    let answer = recorder.send_late(&first_write).await;
    let leader = test_cell.leader();
    test_cell.platform.workers[1].set_unresponsive(true);
    test_cell.hosts[leader].signal(Signal::KILL);
    test_cell.hosts[leader].wait();
    test_cell.platform.add_worker(2).await;
    time::sleep(Duration::from_secs(10)).await;
    let status = answer.lines().next();
    assert_eq!(
        test_cell.platform.cell.faults(),
        Vec::<String>::new(),
        "answer to the late write: {status:?}"
    );
}
