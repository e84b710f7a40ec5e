//! Cancellations that are acknowledged while the leader is busy, absent or in doubt about the job.

use std::time::Duration;

use rustix::process::Signal;
use serde_json::json;
use tokio::time;

use crate::support::{self, Reply, TestCell};

/// A cancelled job must have stopped within this time after its cancellation is durable.
const MAX_CANCEL_DELAY: Duration = Duration::from_secs(3);

/// Marks a job as cancelled, as a host does that the leader does not answer.
fn cancel_in_store(test_cell: &TestCell, job: &str) {
    test_cell
        .platform
        .store
        .put(&format!("hc/a/cancel/{job}"), "");
}

/// Submits a job whose tasks start one after another on a single worker for 12 s.
async fn submit_sequential(test_cell: &TestCell, host: usize, path: &str) -> Reply {
    let body = json!({
        "spec": "run=200 cpu=16000",
        "steps": [{"count": 60, "cpu": 16_000, "mem_mb": 10, "estimate_ms": 200}],
    });
    test_cell.call(host, "POST", path, Some(body)).await
}

/// Guards against UNASKED: a cancellation waited until the records of all jobs that had arrived
/// before it were read one after another, and tasks of the job started for seconds after it.
#[tokio::test]
async fn a_cancellation_does_not_wait_for_reads_of_earlier_arrivals() {
    struct Case {
        name: &'static str,
        arrivals: u64,
        read_delay_ms: u64,
    }
    let cases = [
        Case {
            name: "many reads",
            arrivals: 100,
            read_delay_ms: 100,
        },
        Case {
            name: "reads without a response",
            arrivals: 1,
            read_delay_ms: 20_000,
        },
    ];
    for case in cases {
        let test_cell = TestCell::start(2, 1, false).await;
        let path = support::path("batch", 1);
        let job = format!("{:016x}", 1);
        let reply = submit_sequential(&test_cell, 0, &path).await;
        assert_eq!(reply.status, 200, "{}", case.name);
        test_cell.wait_for_state(0, &path, "running").await;
        let store = &test_cell.platform.store;
        store.delay_reads("hc/j/", Duration::from_millis(case.read_delay_ms));
        for number in 0..case.arrivals {
            store.put(&format!("hc/a/new/{:016x}", 1_000 + number), "");
        }
        cancel_in_store(&test_cell, &job);
        time::sleep(MAX_CANCEL_DELAY).await;
        let starts = test_cell.platform.cell.starts_of(&job);
        time::sleep(Duration::from_secs(1)).await;
        let later = test_cell.platform.cell.starts_of(&job) - starts;
        assert_eq!(later, 0, "{}: starts of a cancelled job", case.name);
        test_cell.assert_no_faults();
    }
}

/// Guards against UNASKED: a successor began to schedule before it had read the cancellations that
/// hosts had acknowledged before its term.
#[tokio::test]
async fn a_successor_starts_no_task_of_a_job_cancelled_before_its_term() {
    let mut test_cell = TestCell::start(3, 1, false).await;
    let path = support::path("batch", 1);
    let job = format!("{:016x}", 1);
    let leader = test_cell.leader();
    let other = (leader + 1) % 3;
    let reply = submit_sequential(&test_cell, other, &path).await;
    assert_eq!(reply.status, 200);
    test_cell.wait_for_state(other, &path, "running").await;
    test_cell.hosts[leader].signal(Signal::KILL);
    test_cell.hosts[leader].wait();
    cancel_in_store(&test_cell, &job);
    // A listing gets no response in time until the delay ends.
    let store = &test_cell.platform.store;
    store.delay_reads("hc/a/", Duration::from_secs(2));
    let starts = test_cell.platform.cell.starts_of(&job);
    time::sleep(Duration::from_secs(6)).await;
    store.delay_reads("hc/a/", Duration::ZERO);
    test_cell.wait_for_state(other, &path, "cancelled").await;
    let later = test_cell.platform.cell.starts_of(&job) - starts;
    assert_eq!(later, 0, "starts of a cancelled job");
    test_cell.assert_no_faults();
}

/// Guards against UNASKED: a cancellation was answered with 410 while the write that accepts the job
/// was repeated after a lost response, and the job then ran.
#[tokio::test]
async fn a_job_cancelled_before_it_is_accepted_never_runs() {
    struct Case {
        name: &'static str,
        through_leader: bool,
    }
    let cases = [
        Case {
            name: "through the leader",
            through_leader: true,
        },
        Case {
            name: "through another host",
            through_leader: false,
        },
    ];
    for case in cases {
        let test_cell = TestCell::start(3, 2, false).await;
        let host = if case.through_leader {
            test_cell.leader()
        } else {
            test_cell.follower()
        };
        let path = support::path("batch", 1);
        let store = &test_cell.platform.store;
        store.lose_next_write("hc/j/");
        // The client disconnects without a response, and cancels its job.
        tokio::select! {
            reply = test_cell.submit(host, &path, 2, "run=300") => {
                panic!("{}: {reply:?}", case.name);
            }
            () = test_cell.wait_until("the lost write", |_| store.has_lost_write()) => {}
        }
        let reply = test_cell.call(host, "DELETE", &path, None).await;
        assert!(
            [200, 410].contains(&reply.status),
            "{}: {reply:?}",
            case.name
        );
        time::sleep(MAX_CANCEL_DELAY).await;
        let job = format!("{:016x}", 1);
        let starts = test_cell.platform.cell.starts_of(&job);
        assert_eq!(starts, 0, "{}: starts of a cancelled job", case.name);
        // A late copy of the submission is the same job.
        let reply = test_cell.submit(host, &path, 2, "run=300").await;
        assert_eq!(reply.status, 429, "{}: {reply:?}", case.name);
        for method in ["GET", "DELETE"] {
            let reply = test_cell.call(host, method, &path, None).await;
            assert_eq!(reply.status, 410, "{}: {method}", case.name);
        }
        time::sleep(Duration::from_secs(1)).await;
        assert_eq!(test_cell.platform.cell.starts_of(&job), 0, "{}", case.name);
        test_cell.assert_no_faults();
    }
}
