//! Workers that some of the relaying hosts cannot reach.

use std::{
    cell::Cell,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use tokio::{
    io::{self, AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use crate::support::{self, Host, TestCell};

/// A cancelled job must have stopped within this time after its cancellation is durable.
const MAX_CANCEL_DELAY: Duration = Duration::from_secs(3);

/// A link to a worker that tells its callers apart.
#[derive(Clone, Debug)]
struct WorkerLink {
    /// Address at which the link accepts connections.
    address: SocketAddr,
    worker: SocketAddr,
    connections: Arc<Mutex<Connections>>,
}

/// Connections to a link, by the addresses that they come from.
#[derive(Debug, Default)]
struct Connections {
    /// The connection on which the last poll came.
    polling: Option<SocketAddr>,
    /// Process whose data the link drops.
    blocked_process: Option<u32>,
}

impl WorkerLink {
    async fn start(worker: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("loopback has a free port");
        let link = Self {
            address: listener.local_addr().expect("the listener has an address"),
            worker,
            connections: Arc::default(),
        };
        let serving = link.clone();
        tokio::spawn(async move {
            while let Ok((caller, from)) = listener.accept().await {
                tokio::spawn(serving.clone().pass_on(caller, from));
            }
        });
        link
    }

    fn connections(&self) -> MutexGuard<'_, Connections> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes a connection's data on, except what a blocked process sends.
    async fn pass_on(self, caller: TcpStream, from: SocketAddr) -> Option<()> {
        let server = TcpStream::connect(self.worker).await.ok()?;
        let (mut requests, mut to_caller) = caller.into_split();
        let (mut responses, mut to_server) = server.into_split();
        tokio::spawn(async move { io::copy(&mut responses, &mut to_caller).await });
        let mut buffer = vec![0; 64 << 10];
        loop {
            let length = requests.read(&mut buffer).await.ok().filter(|&n| n > 0)?;
            let request = &buffer[..length];
            let blocked_process = {
                let mut connections = self.connections();
                if request.starts_with(b"POST /hickorychute/hold") {
                    connections.polling = Some(from);
                }
                connections.blocked_process
            };
            if !blocked_process.is_some_and(|process| self.is_from(process, from)) {
                to_server.write_all(request).await.ok()?;
            }
        }
    }

    fn is_from(&self, process: u32, from: SocketAddr) -> bool {
        support::has_connection(process, from, self.address)
    }

    /// Whether a host sent the last poll.
    fn was_polled_by(&self, host: &Host) -> bool {
        let polling = self.connections().polling;
        polling.is_some_and(|from| self.is_from(host.process_id(), from))
    }

    /// Drops from now on what a host sends.
    fn block(&self, host: &Host) {
        self.connections().blocked_process = Some(host.process_id());
    }
}

/// Guards against UNASKED: while one host cannot reach a worker, its runs were extended through
/// another one, but stops were sent through the first one for as long as the runs went on.
#[tokio::test]
async fn a_cancelled_run_is_stopped_through_the_host_that_extends_it() {
    let test_cell = TestCell::start(3, 1, false).await;
    let leader = test_cell.leader();
    let worker = &test_cell.platform.workers[0];
    let link = WorkerLink::start(test_cell.worker_address(&worker.id)).await;
    let entry = worker.entry(link.address, "ready").to_string();
    let key = format!("servers/{}", worker.id);
    test_cell.platform.store.put(&key, &entry);
    let path = support::path("batch", 1);
    let reply = test_cell.submit(leader, &path, 1, "run=60000").await;
    assert_eq!(reply.status, 200);
    test_cell.wait_for_state(leader, &path, "running").await;

    let relaying = Cell::new(None);
    test_cell
        .wait_until("a poll through a follower", |test_cell| {
            let mut followers = (0..3).filter(|host| *host != leader);
            relaying.set(followers.find(|host| link.was_polled_by(&test_cell.hosts[*host])));
            relaying.get().is_some()
        })
        .await;
    let relaying = relaying.get().expect("a follower polls");
    link.block(&test_cell.hosts[relaying]);
    let count = |text: &str| test_cell.hosts[leader].log().matches(text).count();
    test_cell
        .wait_until("a poll through another host", |_| {
            count("worker-heard") == 2
        })
        .await;
    assert_eq!(count("run-ended"), 0, "the run has been extended");
    let began = Instant::now();
    let reply = test_cell.call(leader, "DELETE", &path, None).await;
    assert_eq!(reply.status, 200);
    test_cell
        .wait_until("the end of the run", |_| count("how=Stopped") == 1)
        .await;
    let took = began.elapsed();
    assert!(took < MAX_CANCEL_DELAY, "stopped after {took:?}");
    test_cell.assert_no_faults();
}
