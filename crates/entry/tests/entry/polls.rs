//! Workers that are listed again just after they were removed with their expired hold.

use std::time::Duration;

use tokio::time;

use crate::support::{self, TestCell};

/// Time within which every poll loop of a worker that answers has a response.
const POLL_TIME: Duration = Duration::from_secs(4);

/// A cell whose only worker was cut off until its hold expired, with one task to be run again, and the
/// index of the coordinator. The worker's entry is missing for this long after the expiry.
async fn list_again_after(missing: Duration) -> (TestCell, usize) {
    let test_cell = TestCell::start(2, 1, false).await;
    let path = support::path("batch", 1);
    let reply = test_cell.submit(0, &path, 1, "run=20000").await;
    assert_eq!(reply.status, 200);
    test_cell.wait_for_state(0, &path, "running").await;
    let leader = test_cell.leader();
    let worker = &test_cell.platform.workers[0];
    let key = format!("servers/{}", worker.id);
    let entry = worker.entry(test_cell.worker_address(&worker.id), "ready");
    worker.set_unresponsive(true);
    test_cell.platform.store.remove(&key);
    test_cell
        .wait_until("expiry of the hold", |test_cell| {
            test_cell.hosts[leader].log().contains("holds_expired")
        })
        .await;
    time::sleep(missing).await;
    test_cell.platform.store.put(&key, &entry.to_string());
    worker.set_unresponsive(false);
    (test_cell, leader)
}

/// Guards against responses of one worker that overtake each other: if its poll loop still waits for a
/// response when the worker is listed again, two loops poll it from then on.
#[tokio::test]
async fn a_worker_that_is_listed_again_is_polled_by_one_loop() {
    for missing in [Duration::from_secs(4), Duration::ZERO] {
        let (test_cell, leader) = list_again_after(missing).await;
        time::sleep(POLL_TIME).await;
        let log = test_cell.hosts[leader].log();
        // At the start, and once it is listed again.
        let heard = log.matches("worker-heard").count();
        assert_eq!(heard, 2, "missing for {missing:?}");
    }
}

/// Guards against LOST: the roster is the same as before if the worker is listed again soon, so that it
/// was not written, and the worker did not count as one in the durable roster.
#[tokio::test]
async fn a_worker_that_is_listed_again_is_given_work() {
    for missing in [Duration::from_secs(4), Duration::ZERO] {
        let (test_cell, leader) = list_again_after(missing).await;
        let what = format!("a second run, missing for {missing:?}");
        test_cell
            .wait_until(&what, |test_cell| {
                let log = test_cell.hosts[leader].log();
                log.lines()
                    .any(|line| line.contains("run-ordered") && line.contains(" run=2 "))
            })
            .await;
    }
}
