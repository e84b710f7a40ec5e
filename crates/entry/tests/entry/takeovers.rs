//! How long inherited work waits after the coordinator's process is killed.

use std::time::Duration;

use rustix::process::Signal;
use tokio::time;

use crate::support::{self, DelayedLink, TestCell};

/// Time within which a settled coordinator writes its roster.
const ROSTER_DELAY: Duration = Duration::from_secs(1);
/// Time after which a killed host starts again.
const DOWN_TIME: Duration = Duration::from_millis(500);

/// Value of a number in the first line of a log that contains `event`.
fn logged(log: &str, event: &str, name: &str) -> Option<u64> {
    let line = log.lines().find(|line| line.contains(event))?;
    let rest = line.split(&format!(" {name}=")).nth(1)?;
    rest.split(' ').next()?.parse().ok()
}

/// Guards against TWICE: inherited work waited for the authority of a former coordinator only if its
/// address was silent. It waits whenever the end of its process is not proven, and no longer than
/// needed once another process answers for its host.
#[tokio::test]
async fn inherited_work_waits_until_the_end_of_the_former_coordinator_is_proven() {
    struct Case {
        name: &'static str,
        restarts: bool,
        /// Whether a worker does not answer the successor.
        worker_unresponsive: bool,
        /// Time after the takeover at which inherited work is scheduled, in milliseconds.
        settled_ms: std::ops::Range<u64>,
    }
    let cases = [
        Case {
            name: "all workers answer",
            restarts: false,
            worker_unresponsive: false,
            settled_ms: 0..3_000,
        },
        Case {
            name: "all workers answer, restart",
            restarts: true,
            worker_unresponsive: false,
            settled_ms: 0..3_000,
        },
        Case {
            name: "a worker is unresponsive",
            restarts: false,
            worker_unresponsive: true,
            settled_ms: 11_200..14_000,
        },
        Case {
            name: "a worker is unresponsive, restart",
            restarts: true,
            worker_unresponsive: true,
            settled_ms: 6_200..10_000,
        },
    ];
    for case in cases {
        let mut test_cell = TestCell::start(3, 3, false).await;
        let path = support::path("batch", 1);
        let reply = test_cell.submit(0, &path, 30, "run=1500").await;
        assert_eq!(reply.status, 200, "{}", case.name);
        test_cell.wait_for_state(0, &path, "running").await;
        time::sleep(ROSTER_DELAY).await;
        let leader = test_cell.leader();
        test_cell.platform.workers[0].set_unresponsive(case.worker_unresponsive);
        test_cell.hosts[leader].signal(Signal::KILL);
        test_cell.hosts[leader].wait();
        if case.restarts {
            time::sleep(DOWN_TIME).await;
            test_cell.restart(leader);
        }
        let settled_ms = |test_cell: &TestCell| {
            let mut others = (0..3).filter(|&host| host != leader);
            others.find_map(|host| logged(&test_cell.hosts[host].log(), "lead-settled", "after_ms"))
        };
        test_cell
            .wait_until("a settled successor", |test_cell| {
                settled_ms(test_cell).is_some()
            })
            .await;
        let settled_ms = settled_ms(&test_cell).unwrap_or_default();
        assert!(
            case.settled_ms.contains(&settled_ms),
            "{}: settled after {settled_ms} ms",
            case.name
        );
        test_cell.platform.workers[0].set_unresponsive(false);
        let other = (leader + 1) % 3;
        test_cell.wait_for_state(other, &path, "completed").await;
        test_cell.assert_no_faults();
    }
}

/// Guards against UNASKED: a coordinator that stood still and was replaced acted on the answers that
/// had arrived meanwhile, and started tasks of jobs that were cancelled through its successor.
#[tokio::test]
async fn a_coordinator_that_stood_still_starts_nothing_before_it_confirms_its_key() {
    const JOB: u64 = 1;
    /// Time after which no call to the former address of the store is open.
    const MAX_WATCH: Duration = Duration::from_millis(2_500);
    /// More than the time for which the coordinator stands still.
    const STORE_DELAY_MS: u64 = 6_000;
    let test_cell = TestCell::start(3, 1, false).await;
    let path = support::path("batch", JOB);
    let leader = test_cell.leader();
    let other = test_cell.follower();
    let link = DelayedLink::start(test_cell.platform.store_address).await;
    test_cell.hosts[leader].add_setting(&format!("platform.address={}", link.address));
    test_cell
        .wait_until("the new address of the store", |test_cell| {
            test_cell.hosts[leader].log().contains("entry-reloaded")
        })
        .await;
    time::sleep(MAX_WATCH).await;
    let starts = || test_cell.platform.cell.starts_of(&format!("{JOB:016x}"));
    // The worker has room for 16 tasks at a time.
    let reply = test_cell.submit(leader, &path, 64, "run=700").await;
    assert_eq!(reply.status, 200);
    test_cell
        .wait_until("the first tasks", |_| starts() == 16)
        .await;
    test_cell.hosts[leader].signal(Signal::STOP);
    // It learns from the store of its successor long after it has resumed.
    link.set_delays(STORE_DELAY_MS, STORE_DELAY_MS);
    // The ends reach the coordinator while it stands still.
    test_cell
        .wait_until("their ends", |test_cell| {
            test_cell.platform.cell.done_of(&format!("{JOB:016x}")) == 16
        })
        .await;
    let worker = &test_cell.platform.workers[0];
    worker.set_unresponsive(true);
    test_cell
        .wait_until("a successor", |test_cell| test_cell.leader() != leader)
        .await;
    test_cell
        .wait_until("the cancellation's coordinator", |test_cell| {
            test_cell.hosts[other].log().matches("lead-seen").count() > 1
        })
        .await;
    let reply = test_cell.call(other, "DELETE", &path, None).await;
    assert_eq!(reply.status, 200);
    worker.set_unresponsive(false);
    test_cell.hosts[leader].signal(Signal::CONT);
    test_cell
        .wait_until("the end of the former term", |test_cell| {
            test_cell.hosts[leader].log().contains("lead-lost")
        })
        .await;
    time::sleep(Duration::from_secs(1)).await;
    assert_eq!(starts(), 16);
    test_cell.assert_no_faults();
}
