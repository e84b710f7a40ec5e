//! Hosts that die, pause or drain, unresponsive workers, and store outages.

use std::time::{Duration, Instant};

use platform_standin::store::ResponseMode;
use rustix::process::Signal;
use tokio::time;

use crate::support::{self, TestCell};

/// A configuration must take effect on every host within this time.
const MAX_CONFIG_DELAY: Duration = Duration::from_secs(3);

#[tokio::test]
async fn accepted_jobs_run_once_when_the_coordinator_is_killed() {
    let mut test_cell = TestCell::start(3, 4, false).await;
    for number in 0..8 {
        let path = support::path("batch", number);
        assert_eq!(
            test_cell
                .submit(number as usize % 3, &path, 4, "run=900")
                .await
                .status,
            200
        );
    }
    time::sleep(Duration::from_millis(300)).await;
    let leader = test_cell.leader();
    test_cell.hosts[leader].signal(Signal::KILL);
    test_cell.hosts[leader].wait();
    let other = (leader + 1) % 3;
    for number in 0..8 {
        test_cell
            .wait_for_state(other, &support::path("batch", number), "completed")
            .await;
        assert_eq!(
            test_cell.platform.cell.done_of(&format!("{number:016x}")),
            4,
            "job {number}"
        );
    }
    test_cell.assert_no_faults();
}

#[tokio::test]
async fn a_draining_host_completes_every_request() {
    let mut test_cell = TestCell::start(3, 2, false).await;
    let path = support::path("batch", 1);
    assert_eq!(test_cell.submit(0, &path, 1, "run=100").await.status, 200);
    test_cell.wait_for_state(0, &path, "completed").await;
    let leader = test_cell.leader();
    let readiness = test_cell.hosts[leader].readiness;
    test_cell.hosts[leader].signal(Signal::TERM);
    let signalled_at = Instant::now();
    let mut answered = 0;
    // The platform sends requests here until it has seen the host not ready twice.
    while signalled_at.elapsed() < Duration::from_secs(2) {
        let reply = test_cell.call(leader, "GET", &path, None).await;
        assert_eq!(reply.status, 200, "after {:?}", signalled_at.elapsed());
        answered += 1;
        time::sleep(Duration::from_millis(20)).await;
    }
    assert!(answered > 20, "{answered}");
    let reply = test_cell
        .call_address(readiness, "GET", "/hickorychute/ready", None)
        .await;
    assert_eq!(reply.status, 503);
    test_cell.hosts[leader].wait();
    assert!(
        signalled_at.elapsed() < Duration::from_secs(6),
        "{:?}",
        signalled_at.elapsed()
    );
    assert!(test_cell.hosts[leader].log().contains("entry-stopped"));
}

#[tokio::test]
async fn a_paused_coordinator_is_replaced_and_is_fenced_after_it_resumes() {
    let test_cell = TestCell::start(3, 4, false).await;
    for number in 0..6 {
        let path = support::path("batch", number);
        assert_eq!(test_cell.submit(0, &path, 3, "run=700").await.status, 200);
    }
    let leader = test_cell.leader();
    test_cell.hosts[leader].signal(Signal::STOP);
    let other = (leader + 1) % 3;
    let began = Instant::now();
    let path = support::path("urgent", 100);
    let reply = test_cell.submit(other, &path, 1, "run=50").await;
    // An unresponsive host must not use up the caller's time.
    assert_eq!(reply.status, 200);
    assert!(
        began.elapsed() < Duration::from_millis(2_500),
        "{:?}",
        began.elapsed()
    );
    test_cell.wait_for_state(other, &path, "completed").await;
    test_cell.hosts[leader].signal(Signal::CONT);
    for number in 0..6 {
        test_cell
            .wait_for_state(other, &support::path("batch", number), "completed")
            .await;
    }
    test_cell.assert_no_faults();
}

/// Workers leave starts unanswered and execute them late. Each start is repeated under its run
/// number, so the jobs complete well before the late executions, and no task runs twice.
#[tokio::test]
async fn starts_without_an_answer_are_repeated() {
    let test_cell = TestCell::start(1, 3, false).await;
    for worker in &test_cell.platform.workers {
        worker.delay_starts(2);
    }
    let began = Instant::now();
    let path = support::path("batch", 1);
    let text = "run=100 cpu=1000";
    assert_eq!(test_cell.submit(0, &path, 9, text).await.status, 200);
    test_cell.wait_for_state(0, &path, "completed").await;
    assert!(
        began.elapsed() < Duration::from_millis(1_500),
        "{:?}",
        began.elapsed()
    );
    time::sleep(Duration::from_millis(1_500)).await;
    test_cell.assert_no_faults();
}

/// A leader that is told to stop leads until its successor has the key, so that work goes on.
#[tokio::test]
async fn a_stopped_coordinator_leads_until_it_is_replaced() {
    let test_cell = TestCell::start(3, 4, false).await;
    for number in 0..6 {
        let path = support::path("batch", number);
        assert_eq!(test_cell.submit(0, &path, 3, "run=700").await.status, 200);
    }
    let leader = test_cell.leader();
    let other = test_cell.follower();
    test_cell.hosts[leader].signal(Signal::TERM);
    for number in 0..6 {
        test_cell
            .wait_for_state(other, &support::path("batch", number), "completed")
            .await;
    }
    test_cell
        .wait_until("the term ends", |cell| {
            cell.hosts[leader].log().contains("lead-lost")
        })
        .await;
    let log = test_cell.hosts[leader].log();
    assert!(!log.contains("reason=resigned"), "{log}");
    test_cell.assert_no_faults();
}

#[tokio::test]
async fn tasks_keep_running_during_a_store_outage_and_submissions_get_retry_after() {
    let test_cell = TestCell::start(3, 4, false).await;
    let before = support::path("batch", 1);
    assert_eq!(
        test_cell.submit(0, &before, 4, "run=1500").await.status,
        200
    );
    test_cell.wait_for_state(0, &before, "running").await;
    test_cell
        .platform
        .store
        .set_response_mode(ResponseMode::Unavailable);
    time::sleep(Duration::from_millis(1_500)).await;
    let began = Instant::now();
    let reply = test_cell
        .submit(
            test_cell.follower(),
            &support::path("batch", 2),
            1,
            "run=50",
        )
        .await;
    assert_eq!(reply.status, 503);
    assert!(reply.retry_after_s.is_some());
    assert!(
        began.elapsed() < Duration::from_millis(500),
        "{:?}",
        began.elapsed()
    );
    time::sleep(Duration::from_millis(1_500)).await;
    test_cell
        .platform
        .store
        .set_response_mode(ResponseMode::Normal);
    test_cell.wait_for_state(1, &before, "completed").await;
    assert_eq!(test_cell.platform.cell.starts_of("0000000000000001"), 4);
    let again = support::path("batch", 3);
    let reply = test_cell.submit(0, &again, 1, "run=50").await;
    assert_eq!(reply.status, 200);
    test_cell.wait_for_state(1, &again, "completed").await;
    test_cell.assert_no_faults();
}

#[tokio::test]
async fn an_unanswered_write_is_neither_lost_nor_applied_twice() {
    let test_cell = TestCell::start(3, 4, false).await;
    test_cell
        .platform
        .store
        .set_response_mode(ResponseMode::WithholdWriteResponses);
    let path = support::path("batch", 1);
    let reply = test_cell.submit(0, &path, 2, "run=100").await;
    // Accepted or in doubt, but never refused, because the job is in the store.
    assert!([200, 504].contains(&reply.status), "{reply:?}");
    test_cell
        .platform
        .store
        .set_response_mode(ResponseMode::Normal);
    let reply = test_cell.submit(1, &path, 2, "run=100").await;
    assert_eq!(reply.status, 200);
    test_cell.wait_for_state(2, &path, "completed").await;
    assert_eq!(test_cell.platform.cell.done_of("0000000000000001"), 2);
    test_cell.assert_no_faults();
}

/// Guards against refusing a retry while the write of its job is unanswered: that write may still
/// take effect.
#[tokio::test]
async fn a_retry_of_an_in_doubt_job_is_not_refused() {
    let test_cell = TestCell::start(3, 4, false).await;
    let leader = test_cell.leader();
    test_cell
        .platform
        .store
        .set_response_mode(ResponseMode::WithholdAllResponses);
    let path = support::path("batch", 1);
    for attempt in 0..2 {
        let reply = test_cell.submit(leader, &path, 2, "run=100").await;
        assert_eq!(reply.status, 504, "attempt {attempt}: {reply:?}");
    }
    test_cell
        .platform
        .store
        .set_response_mode(ResponseMode::Normal);
    test_cell
        .wait_for_state(test_cell.follower(), &path, "completed")
        .await;
    assert_eq!(test_cell.submit(0, &path, 2, "run=100").await.status, 200);
    assert_eq!(test_cell.platform.cell.done_of("0000000000000001"), 2);
    test_cell.assert_no_faults();
}

/// While the store is away, ends cannot be acknowledged, and workers list 500 of them. Guards
/// against starting tasks again whose ends lie beyond, also by a coordinator that takes over.
#[tokio::test]
async fn tasks_with_more_ends_than_workers_list_run_once() {
    struct Case {
        name: &'static str,
        kills_leader: bool,
    }
    let cases = [
        Case {
            name: "same coordinator",
            kills_leader: false,
        },
        Case {
            name: "takeover",
            kills_leader: true,
        },
    ];
    for case in cases {
        let mut test_cell = TestCell::start(3, 1, false).await;
        let path = support::path("batch", 1);
        let body = serde_json::json!({
            "spec": "run=200 cpu=100",
            "steps": [{"count": 1_500, "cpu": 100, "mem_mb": 1, "estimate_ms": 200}],
        });
        assert_eq!(
            test_cell.call(0, "POST", &path, Some(body)).await.status,
            200
        );
        test_cell.wait_for_state(0, &path, "running").await;
        let store = &test_cell.platform.store;
        store.set_response_mode(ResponseMode::Unavailable);
        test_cell
            .wait_until("more ends than a worker lists", |test_cell| {
                test_cell.platform.cell.done_of("0000000000000001") > 1_000
            })
            .await;
        let leader = test_cell.leader();
        if case.kills_leader {
            test_cell.hosts[leader].signal(Signal::KILL);
            test_cell.hosts[leader].wait();
        }
        test_cell
            .platform
            .store
            .set_response_mode(ResponseMode::Normal);
        let other = (leader + 1) % 3;
        test_cell.wait_for_state(other, &path, "completed").await;
        let starts = test_cell.platform.cell.starts_of("0000000000000001");
        assert_eq!(starts, 1_500, "{}", case.name);
        test_cell.assert_no_faults();
    }
}

#[tokio::test]
async fn tasks_of_an_unresponsive_worker_restart_only_after_their_runs_lapsed() {
    let test_cell = TestCell::start(3, 3, false).await;
    let path = support::path("batch", 1);
    assert_eq!(
        test_cell
            .submit(0, &path, 30, "run=2000 cpu=1000")
            .await
            .status,
        200
    );
    test_cell.wait_for_state(1, &path, "running").await;
    test_cell.platform.workers[1].set_unresponsive(true);
    // The stand-in records a fault if a task starts while another run of it is active.
    test_cell.wait_for_state(1, &path, "completed").await;
    test_cell.assert_no_faults();
}

#[tokio::test]
async fn a_configuration_takes_effect_on_every_host_in_time_and_never_reverts() {
    let test_cell = TestCell::start(3, 2, false).await;
    let path = support::path("later", 1);
    assert_eq!(test_cell.submit(0, &path, 1, "run=50").await.status, 404);
    test_cell.platform.store.compact();
    test_cell
        .platform
        .configure(5, &["urgent", "batch", "later"], false);
    let written = Instant::now();
    for host in 0..3 {
        while test_cell.call(host, "GET", "/later/", None).await.status != 200 {
            assert!(written.elapsed() < MAX_CONFIG_DELAY, "host {host}");
            time::sleep(Duration::from_millis(20)).await;
        }
    }
    test_cell.platform.configure(3, &["urgent"], false);
    time::sleep(Duration::from_millis(500)).await;
    for host in 0..3 {
        assert_eq!(
            test_cell.call(host, "GET", "/later/", None).await.status,
            200,
            "host {host}"
        );
    }
}

/// Guards against a busy loop after the store compacts its history: hosts watched from the revision
/// of the configuration, which was older than the history, and retried without a delay.
#[tokio::test]
async fn a_compacted_history_causes_few_store_calls() {
    /// Upper limit for three idle hosts, far above what they need.
    const MAX_CALLS_PER_S: u64 = 60;
    let test_cell = TestCell::start(3, 2, false).await;
    test_cell
        .platform
        .store
        .put("elsewhere", "moves the revision on");
    test_cell.platform.store.compact();
    time::sleep(Duration::from_millis(1_500)).await;
    let before = test_cell.platform.store.calls();
    time::sleep(Duration::from_secs(2)).await;
    let calls = test_cell.platform.store.calls() - before;
    assert!(calls <= 2 * MAX_CALLS_PER_S, "{calls} calls in 2 s");
}

/// Guards against BUDGET: a task that crashes each worker that starts it was started again without
/// end.
#[tokio::test]
async fn a_task_that_crashes_its_workers_fails_its_job() {
    let mut test_cell = TestCell::start(3, 6, false).await;
    let deadly = support::path("batch", 1);
    let innocent = support::path("batch", 2);
    let text = "run=400 crash=1";
    assert_eq!(test_cell.submit(0, &deadly, 1, text).await.status, 200);
    assert_eq!(
        test_cell.submit(1, &innocent, 4, "run=400").await.status,
        200
    );
    time::sleep(Duration::from_millis(800)).await;
    // What is known of the task outlives its coordinator.
    let leader = test_cell.leader();
    test_cell.hosts[leader].signal(Signal::KILL);
    test_cell.hosts[leader].wait();
    let other = (leader + 1) % 3;
    test_cell.wait_for_state(other, &deadly, "failed").await;
    test_cell
        .wait_for_state(other, &innocent, "completed")
        .await;
    let starts = test_cell.platform.cell.starts_of(&format!("{:016x}", 1));
    assert!((2..=5).contains(&starts), "{starts} starts");
    test_cell.assert_no_faults();
}
