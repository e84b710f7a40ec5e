//! How long inherited work waits after the coordinator's process is killed.

use std::time::Duration;

use rustix::process::Signal;
use tokio::time;

use crate::support::{self, TestCell};

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
