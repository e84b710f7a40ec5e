//! Jobs from submission to completion without failures, and the status codes of requests.

use serde_json::json;

use crate::support::{self, TestCell};

#[tokio::test]
async fn a_job_is_accepted_run_and_shown_as_completed_through_any_host() {
    let test_cell = TestCell::start(3, 4, false).await;
    let path = support::path("batch", 1);
    assert_eq!(test_cell.submit(0, &path, 5, "run=200").await.status, 200);
    test_cell.wait_for_state(1, &path, "completed").await;
    test_cell.wait_for_state(2, &path, "completed").await;
    assert_eq!(test_cell.platform.cell.done_of("0000000000000001"), 5);
    test_cell.assert_no_faults();
}

#[tokio::test]
async fn step_order_gangs_and_advice_are_respected() {
    let test_cell = TestCell::start(3, 6, true).await;
    let path = support::path("urgent", 2);
    let body = json!({"spec": "run=300 gang=0", "steps": [
        {"count": 2, "cpu": 1000, "mem_mb": 10, "estimate_ms": 300},
        {"count": 4, "cpu": 1000, "mem_mb": 10, "estimate_ms": 300, "after": [0]},
    ]});
    assert_eq!(
        test_cell.call(0, "POST", &path, Some(body)).await.status,
        200
    );
    test_cell.wait_for_state(1, &path, "completed").await;
    let gang = support::path("urgent", 3);
    let body = json!({"spec": "run=300 gang=6", "steps": [
        {"count": 6, "cpu": 1000, "mem_mb": 10, "estimate_ms": 300, "gang": true},
    ]});
    assert_eq!(
        test_cell.call(1, "POST", &gang, Some(body)).await.status,
        200
    );
    test_cell.wait_for_state(2, &gang, "completed").await;
    test_cell.assert_no_faults();
}

#[tokio::test]
async fn requests_are_answered_with_the_documented_status() {
    struct Case {
        name: &'static str,
        method: &'static str,
        path: String,
        body: Option<serde_json::Value>,
        status: u16,
    }
    let test_cell = TestCell::start(3, 2, false).await;
    let step = json!({"count": 1, "cpu": 100, "mem_mb": 1, "estimate_ms": 10});
    let job = json!({"spec": "run=10", "steps": [step]});
    let huge = json!({"spec": "", "steps": [{"count": 1, "cpu": 99_000, "mem_mb": 1}]});
    let backwards =
        json!({"spec": "", "steps": [{"count": 1, "cpu": 1, "mem_mb": 1, "after": [0]}]});
    let batch = |number| support::path("batch", number);
    let cases = [
        Case {
            name: "no such queue",
            method: "POST",
            path: support::path("none", 1),
            body: Some(job.clone()),
            status: 404,
        },
        Case {
            name: "no such job",
            method: "GET",
            path: batch(77),
            body: None,
            status: 410,
        },
        Case {
            name: "cancel of an unknown job",
            method: "DELETE",
            path: batch(77),
            body: None,
            status: 410,
        },
        Case {
            name: "an invalid job ID",
            method: "GET",
            path: "/batch/zz".to_owned(),
            body: None,
            status: 400,
        },
        Case {
            name: "an invalid job",
            method: "POST",
            path: batch(1),
            body: Some(json!([1])),
            status: 400,
        },
        Case {
            name: "a step that depends on itself",
            method: "POST",
            path: batch(1),
            body: Some(backwards),
            status: 400,
        },
        Case {
            name: "larger than any worker",
            method: "POST",
            path: batch(1),
            body: Some(huge),
            status: 429,
        },
        Case {
            name: "a job",
            method: "POST",
            path: batch(2),
            body: Some(job.clone()),
            status: 200,
        },
        Case {
            name: "the same job again",
            method: "POST",
            path: batch(2),
            body: Some(job),
            status: 200,
        },
        Case {
            name: "number of waiting jobs",
            method: "GET",
            path: "/batch/".to_owned(),
            body: None,
            status: 200,
        },
    ];
    for case in cases {
        for host in 0..3 {
            let reply = test_cell
                .call(host, case.method, &case.path, case.body.clone())
                .await;
            assert_eq!(
                reply.status, case.status,
                "{} at host {host}: {reply:?}",
                case.name
            );
        }
    }
    test_cell.wait_for_state(0, &batch(2), "completed").await;
    assert_eq!(test_cell.platform.cell.starts_of("0000000000000002"), 1);
}

#[tokio::test]
async fn a_cancelled_job_stops_and_stays_cancelled() {
    let test_cell = TestCell::start(3, 2, false).await;
    let path = support::path("batch", 5);
    assert_eq!(test_cell.submit(0, &path, 3, "run=30000").await.status, 200);
    test_cell.wait_for_state(1, &path, "running").await;
    assert_eq!(test_cell.call(1, "DELETE", &path, None).await.status, 200);
    test_cell.wait_for_state(2, &path, "cancelled").await;
    assert_eq!(test_cell.platform.cell.done_of("0000000000000005"), 0);
}

#[tokio::test]
async fn a_job_fails_after_its_last_attempt() {
    let test_cell = TestCell::start(3, 4, false).await;
    let path = support::path("batch", 6);
    assert_eq!(
        test_cell.submit(0, &path, 1, "run=100 fail=1").await.status,
        200
    );
    test_cell.wait_for_state(1, &path, "failed").await;
    assert_eq!(test_cell.platform.cell.starts_of("0000000000000006"), 2);
}

#[tokio::test]
async fn malformed_store_entries_are_ignored() {
    let test_cell = TestCell::start(3, 2, false).await;
    let broken = [
        ("servers/a", "not json"),
        (
            "servers/b",
            r#"{"service":5,"address":"127.0.0.1:1","zone":"a","state":"ready"}"#,
        ),
        (
            "servers/c",
            r#"{"service":"pool","address":"nowhere","zone":"a","state":"ready"}"#,
        ),
        (
            "servers/d",
            r#"{"service":"pool","address":"127.0.0.1:1","zone":"a","state":"odd"}"#,
        ),
        ("servers/", "{}"),
    ];
    for (key, value) in broken {
        test_cell.platform.store.put(key, value);
    }
    test_cell.platform.store.put("op/config", "[]");
    let path = support::path("batch", 7);
    assert_eq!(test_cell.submit(0, &path, 4, "run=100").await.status, 200);
    test_cell.wait_for_state(1, &path, "completed").await;
    test_cell.assert_no_faults();
}

/// Best-effort tasks run beside a latency-sensitive task and must keep its tail latency below the
/// target.
#[tokio::test]
async fn best_effort_tasks_yield_to_a_latency_sensitive_task() {
    let test_cell = TestCell::start(2, 1, false).await;
    let latency_sensitive = json!({"spec": "run=60000 tail=40", "steps": [
        {"count": 1, "cpu": 2000, "mem_mb": 10, "long_running": true, "target_ms": 100},
    ]});
    let path = support::path("urgent", 1);
    assert_eq!(
        test_cell
            .call(0, "POST", &path, Some(latency_sensitive))
            .await
            .status,
        200
    );
    test_cell.wait_for_state(0, &path, "running").await;
    let best_effort = json!({"spec": "run=60000 fills=1", "steps": [
        {"count": 5, "cpu": 2000, "mem_mb": 10, "estimate_ms": 60000, "fills": true},
    ]});
    let path = support::path("batch", 2);
    assert_eq!(
        test_cell
            .call(1, "POST", &path, Some(best_effort))
            .await
            .status,
        200
    );
    let worker = &test_cell.platform.workers[0];
    test_cell
        .wait_until("start of all best-effort tasks", |_| {
            worker.best_effort_task_count() == 5
        })
        .await;
    // Five best-effort tasks at full share would bring the tail latency to 190 ms.
    test_cell
        .wait_until("a tail latency below the target", |_| {
            worker.max_tail_latency_ms() <= 100
        })
        .await;
    assert_eq!(
        worker.best_effort_task_count(),
        5,
        "best-effort tasks keep running"
    );
    test_cell.assert_no_faults();
}
