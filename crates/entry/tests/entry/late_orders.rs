//! Orders to start that get no response while their coordinator ends.

use std::time::Duration;

use rustix::process::Signal;
use tokio::time;

use crate::support::{self, TestCell};

/// Value of a field in the first line of a log that contains `event`, and in all later ones.
fn logged<'a>(log: &'a str, event: &str, name: &str) -> Vec<&'a str> {
    let lines = log.lines().filter(|line| line.contains(event));
    let value = |line: &'a str| {
        let rest = line.split(&format!(" {name}=")).nth(1)?;
        rest.split(' ').next()
    };
    lines.filter_map(value).collect()
}

/// Guards against TWICE over a takeover: an order is on its way when its coordinator is killed, too early
/// for the durable roster. The host that relayed it tells the successor, which starts the task on no
/// other worker. An order with a ticket binds nothing, since no later process of its worker accepts it.
#[tokio::test]
async fn a_successor_learns_of_orders_that_were_on_their_way() {
    /// Time within which a coordinator knows the other hosts.
    const MEMBERS_DELAY: Duration = Duration::from_secs(1);
    /// Enough for all copies of an order.
    const DELAYED: u32 = 8;
    struct Case {
        name: &'static str,
        advised: bool,
    }
    let cases = [
        Case {
            name: "without a ticket",
            advised: false,
        },
        Case {
            name: "with a ticket",
            advised: true,
        },
    ];
    for case in cases {
        let test_cell = TestCell::start(3, 3, case.advised).await;
        // Until it knows the other hosts, a coordinator calls workers itself.
        time::sleep(MEMBERS_DELAY).await;
        for worker in &test_cell.platform.workers {
            worker.delay_starts(DELAYED);
        }
        let leader = test_cell.leader();
        let other = test_cell.follower();
        let path = support::path("batch", 1);
        let reply = test_cell.submit(other, &path, 1, "run=500").await;
        assert_eq!(reply.status, 200, "{}", case.name);
        let ordered = |host: usize| test_cell.hosts[host].log();
        test_cell
            .wait_until("an order", |test_cell| {
                let mut workers = test_cell.platform.workers.iter();
                workers.any(|worker| worker.delayed_starts_left() < DELAYED)
            })
            .await;
        test_cell.hosts[leader].signal(Signal::KILL);
        for worker in &test_cell.platform.workers {
            worker.delay_starts(0);
        }
        let log = ordered(leader);
        let first = logged(&log, "run-ordered", "worker");
        let successor_log = || {
            let hosts = (0..3).filter(|&host| host != leader);
            let logs = hosts.map(|host| test_cell.hosts[host].log());
            logs.filter(|log| log.contains("lead-settled"))
                .collect::<String>()
        };
        test_cell
            .wait_until("a start by the successor", |_| {
                successor_log().contains("run-ordered") || successor_log().contains("run-ended")
            })
            .await;
        let log = successor_log();
        let known = logged(&log, "late-order", "worker");
        if case.advised {
            assert!(known.is_empty(), "{}: {known:?}", case.name);
        } else {
            assert_eq!(known.first(), first.first(), "{}: {log}", case.name);
            let starts = logged(&log, "run-ordered", "worker");
            assert!(
                starts.iter().all(|on| *on == first[0]),
                "{}: {starts:?}",
                case.name
            );
        }
        test_cell.wait_for_state(other, &path, "completed").await;
        test_cell.assert_no_faults();
    }
}
