//! Hosts that relay the leader's calls to workers, cache job payloads, and write jobs directly to
//! the store.

use std::time::{Duration, Instant};

use platform_standin::store::ResponseMode;
use rustix::process::Signal;
use tokio::time;

use crate::support::{self, TestCell};

/// A payload of about 2,500 bytes, a typical size.
fn long_payload(run_ms: u64) -> String {
    format!("run={run_ms} {}", "x".repeat(2_500))
}

async fn submit_all(test_cell: &TestCell, host: usize, jobs: u64, run_ms: u64) {
    for number in 0..jobs {
        let path = support::path("batch", number);
        let reply = test_cell
            .submit(host, &path, 3, &long_payload(run_ms))
            .await;
        assert_eq!(reply.status, 200, "job {number}");
    }
}

async fn assert_all_completed_once(test_cell: &TestCell, host: usize, jobs: u64) {
    for number in 0..jobs {
        let path = support::path("batch", number);
        test_cell.wait_for_state(host, &path, "completed").await;
        let job = format!("{number:016x}");
        assert_eq!(test_cell.platform.cell.done_of(&job), 3, "job {number}");
    }
    test_cell.assert_no_faults();
}

#[tokio::test]
async fn tasks_run_once_when_a_relaying_host_stops() {
    struct Case {
        name: &'static str,
        signal: Signal,
    }
    let cases = [
        Case {
            name: "killed",
            signal: Signal::KILL,
        },
        Case {
            name: "terminated",
            signal: Signal::TERM,
        },
        Case {
            name: "paused",
            signal: Signal::STOP,
        },
    ];
    for case in cases {
        let test_cell = TestCell::start(4, 6, false).await;
        let leader = test_cell.leader();
        submit_all(&test_cell, leader, 6, 900).await;
        time::sleep(Duration::from_millis(300)).await;
        test_cell.hosts[(leader + 1) % 4].signal(case.signal);
        let began = Instant::now();
        assert_all_completed_once(&test_cell, leader, 6).await;
        let took = began.elapsed();
        // Another host extends the runs well before their hold of 5 s lapses.
        assert!(took < Duration::from_secs(5), "{}: {took:?}", case.name);
        let lapsed = test_cell.hosts[leader].log().matches("how=Lapsed").count();
        assert_eq!(lapsed, 0, "{}", case.name);
    }
}

#[tokio::test]
async fn payloads_are_read_from_the_store_after_the_accepting_host_dies() {
    let mut test_cell = TestCell::start(3, 1, false).await;
    let leader = test_cell.leader();
    let accepting_host = (leader + 1) % 3;
    // The first job occupies the worker; the others wait for room, and their payloads are not
    // fetched yet.
    let busy = support::path("batch", 100);
    let body = serde_json::json!({
        "spec": "run=1500 cpu=16000",
        "steps": [{"count": 1, "cpu": 16000, "mem_mb": 10, "estimate_ms": 1500}],
    });
    let reply = test_cell.call(leader, "POST", &busy, Some(body)).await;
    assert_eq!(reply.status, 200);
    test_cell.wait_for_state(leader, &busy, "running").await;
    submit_all(&test_cell, accepting_host, 3, 100).await;
    test_cell.hosts[accepting_host].signal(Signal::KILL);
    test_cell.hosts[accepting_host].wait();
    assert_all_completed_once(&test_cell, leader, 3).await;
}

#[tokio::test]
async fn payloads_are_deleted_from_the_store_when_their_jobs_end() {
    let test_cell = TestCell::start(3, 2, false).await;
    submit_all(&test_cell, 0, 2, 100).await;
    assert_all_completed_once(&test_cell, 1, 2).await;
    test_cell
        .wait_until("removal of the payloads", |test_cell| {
            test_cell.platform.store.keys("hc/p/").is_empty()
        })
        .await;
}

#[tokio::test]
async fn hosts_write_jobs_directly_while_the_coordinator_link_is_saturated() {
    // With this limit the link always counts as saturated.
    let test_cell = TestCell::start_with(3, 4, false, "limits.link_mbps=0.001\n").await;
    let leader = test_cell.leader();
    let follower = test_cell.follower();
    submit_all(&test_cell, follower, 4, 200).await;
    submit_all(&test_cell, leader, 4, 200).await; // Retries.
    assert_all_completed_once(&test_cell, leader, 4).await;
    assert_eq!(test_cell.platform.cell.starts_of("0000000000000000"), 3);
    let markers = |test_cell: &TestCell| test_cell.platform.store.keys("hc/a/new/").is_empty();
    test_cell
        .wait_until("removal of the markers", markers)
        .await;
}

#[tokio::test]
async fn an_unresponsive_store_leaves_few_jobs_in_doubt_and_callers_with_time_left_are_served() {
    let test_cell = TestCell::start(3, 4, false).await;
    let follower = test_cell.follower();
    submit_all(&test_cell, follower, 1, 50).await;
    test_cell
        .platform
        .store
        .set_response_mode(ResponseMode::WithholdAllResponses);
    // This job is sent to the store before the outage is detected.
    let unanswered = test_cell.submit_with_deadline(follower, 7, 3_000).await;
    assert_eq!(unanswered.status, 504);
    // These jobs are not sent to the store.
    for number in 10..14 {
        let path = support::path("urgent", number);
        let began = Instant::now();
        let reply = test_cell.submit(follower, &path, 1, "run=50").await;
        assert_eq!(reply.status, 503, "job {number}");
        assert_eq!(reply.retry_after_s, Some(1), "job {number}");
        let took = began.elapsed();
        assert!(took < Duration::from_millis(800), "job {number}: {took:?}");
    }
    // A caller without time for a named delay is held briefly and retries at its own pace.
    let deadline = Instant::now() + Duration::from_millis(1_200);
    let left_ms = || {
        deadline
            .saturating_duration_since(Instant::now())
            .as_millis() as u64
    };
    let reply = test_cell
        .submit_with_deadline(follower, 20, left_ms())
        .await;
    assert_eq!((reply.status, reply.retry_after_s), (503, None));
    let held_ms = 1_200 - left_ms();
    assert!((250..600).contains(&held_ms), "held for {held_ms} ms");
    test_cell
        .platform
        .store
        .set_response_mode(ResponseMode::Normal);
    let mut served = false;
    for _ in 0..4 {
        let reply = test_cell
            .submit_with_deadline(follower, 20, left_ms())
            .await;
        served = reply.status == 200;
        if served {
            break;
        }
        time::sleep(Duration::from_millis(50)).await;
    }
    assert!(served, "served within the caller's time");
    assert!(left_ms() > 0, "served within the caller's time");
    test_cell
        .wait_for_state(follower, &support::path("urgent", 20), "completed")
        .await;
    for number in 10..14 {
        let job = format!("{number:016x}");
        assert_eq!(test_cell.platform.cell.starts_of(&job), 0, "job {number}");
    }
    test_cell.assert_no_faults();
}
