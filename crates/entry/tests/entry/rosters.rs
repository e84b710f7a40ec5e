//! The durable list of workers that may have been given work.

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use adapter::{http::ConnectionPool, store::Store};
use cell::{
    config::{AdviceCost, Config, Queue, Service},
    coordinator::{AdviceOutcome, Coordinator, Order, TakeoverState, Tuning},
    jobs::{JobRecord, JobSpec, StepSpec},
    workers::{HoldReport, Resources, WorkerEntry},
};
use hickorychute_entry::{
    records::{ROSTER_KEY, Roster, RosterWorker},
    store::GuardedStore,
};
use indexmap::IndexMap;
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

/// A coordinator with one worker and one task, whose queue has advice or none.
fn coordinator_with_a_task(advice: Option<AdviceCost>) -> Coordinator {
    let queue = Queue {
        name: "batch".into(),
        host: "jobs.example".to_owned(),
        path_prefix: "/batch/".to_owned(),
        service: "pool".into(),
        priority: 0,
        max_attempts: 2,
        critical_path_factor: 2.0,
        base_objective_ms: 1_000,
        advice,
        public: false,
    };
    let service = Service {
        name: "pool".into(),
        workers_enforce_capacity: false,
    };
    let config = Config {
        version: 1,
        queues: IndexMap::from_iter([(Rc::from("batch"), Rc::new(queue))]),
        services: IndexMap::from_iter([(Rc::from("pool"), service)]),
        ..Config::default()
    };
    let takeover = TakeoverState::default();
    let mut coordinator = Coordinator::new(Tuning::default(), Rc::new(config), takeover);
    let capacity = Resources {
        cpu_millicores: 16_000,
        memory_mb: 32_768,
        gpus: 0,
    };
    coordinator.update_worker(WorkerEntry {
        id: "w0".into(),
        service: "pool".into(),
        address: "127.0.0.1:1".into(),
        zone: "a".into(),
        labels: Vec::new(),
        capacity,
        draining: false,
        started_unix_ms: 1,
    });
    coordinator.roster_durable(&["w0".into()]);
    let report = HoldReport {
        clock_ms: 1_000,
        started_unix_ms: 1,
        ..HoldReport::default()
    };
    coordinator.hold_answered("w0", 0, 10, 0, &report);
    let step = StepSpec {
        count: 1,
        cpu_millicores: 1_000,
        estimate_ms: 500,
        ..StepSpec::default()
    };
    let spec = JobSpec {
        steps: vec![step],
        ..JobSpec::default()
    };
    let record = JobRecord {
        id: 1,
        queue: "batch".to_owned(),
        service: "pool".to_owned(),
        accepted_unix_ms: 1,
        spec: Some(spec),
        ..JobRecord::default()
    };
    coordinator.add_job(&record, false, 0);
    coordinator
}

/// Guards against TWICE over a takeover: an order without a response and without a ticket may reach a
/// later process of its worker, so that a successor has to know of it.
#[test]
fn the_roster_lists_late_orders_that_a_later_process_accepts() {
    struct Case {
        name: &'static str,
        advice: Option<AdviceCost>,
        is_listed: bool,
    }
    let cases = [
        Case {
            name: "without a ticket",
            advice: None,
            is_listed: true,
        },
        Case {
            name: "with a ticket, which holds for one process",
            advice: Some(AdviceCost {
                call_ms: 10.0,
                per_worker_ms: 1.0,
                valid_ms: 2_500,
            }),
            is_listed: false,
        },
    ];
    for case in cases {
        let mut coordinator = coordinator_with_a_task(case.advice);
        let mut orders = coordinator.schedule(20, 0);
        if let Some(query) = coordinator.next_advice_query(20, false) {
            let outcome = AdviceOutcome::Answered {
                tickets: vec![("w0".into(), "ticket".into())],
                valid_ms: 2_500,
            };
            coordinator.advice_answered(&query, &outcome, 30);
            orders = coordinator.schedule(40, 0);
        }
        let [Order::Start { task, run, .. }] = orders.as_slice() else {
            panic!("{}: expected one start, got {orders:?}", case.name);
        };
        coordinator.start_unanswered("w0", *task, *run, 400);
        let roster = Roster::of(coordinator.roster(410), 0).encode_to_vec();
        let roster = Roster::decode(roster.as_slice()).expect("a roster");
        let listed = roster.inherited().remove(0).late_orders;
        let expected = case.is_listed.then_some((*task, *run));
        assert_eq!(listed.first(), expected.as_ref(), "{}", case.name);
    }
}

/// Guards against a write to the store, which is billed, whenever a pace is learned, and against paces
/// that get lost between two terms.
#[test]
fn a_roster_is_not_written_for_paces_alone() {
    struct Case {
        name: &'static str,
        pace_percent: u32,
        draining: bool,
        settled_fence: u64,
        is_due: bool,
    }
    let cases = [
        Case {
            name: "same",
            pace_percent: 100,
            draining: false,
            settled_fence: 1,
            is_due: false,
        },
        Case {
            name: "pace learned",
            pace_percent: 195,
            draining: false,
            settled_fence: 1,
            is_due: false,
        },
        Case {
            name: "worker drains and its pace is learned",
            pace_percent: 195,
            draining: true,
            settled_fence: 1,
            is_due: true,
        },
        Case {
            name: "takeover complete",
            pace_percent: 100,
            draining: false,
            settled_fence: 2,
            is_due: true,
        },
    ];
    let roster = |pace_percent, draining, settled_fence| Roster {
        workers: vec![RosterWorker {
            id: "w0".to_owned(),
            pace_percent,
            draining,
            ..RosterWorker::default()
        }],
        settled_fence,
    };
    let durable = roster(100, false, 1);
    for case in cases {
        let new = roster(case.pace_percent, case.draining, case.settled_fence);
        assert_eq!(new.is_due(&durable), case.is_due, "{}", case.name);
        let inherited = new.inherited();
        assert_eq!(inherited[0].pace_percent, Some(case.pace_percent));
    }
    assert_eq!(roster(0, false, 1).inherited()[0].pace_percent, None);
}
