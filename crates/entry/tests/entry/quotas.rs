//! Limits of tenants at the leader. The jobs come over the port for hosts, with their tenant set.

use std::time::Duration;

use cell::{
    credentials::KeyDigest,
    jobs::{JobRecord, JobSpec, JobState, StepSpec},
};
use hickorychute_entry::peers::{self, Body, Peers, SubmitCall, SubmitReply};
use platform_standin::Platform;
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::{task::LocalSet, time::Instant};

use crate::support::{self, TestCell};

const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Tasks of a second in four cores, two at a time.
const MAX_RUN_TIME: Duration = Duration::from_secs(20);

fn job(id: u64, count: u32, cpu_millicores: u64) -> JobRecord {
    let step = StepSpec {
        count,
        cpu_millicores,
        memory_mb: 10,
        estimate_ms: 1_200,
        ..StepSpec::default()
    };
    JobRecord {
        id,
        queue: "batch".to_owned(),
        service: "pool".to_owned(),
        accepted_unix_ms: 1_800_000_000_000,
        spec: Some(JobSpec {
            payload: format!("run=1200 cpu={cpu_millicores}"),
            steps: vec![step],
            ..JobSpec::default()
        }),
        tenant: "a".to_owned(),
        ..JobRecord::default()
    }
}

async fn submit(calls: &Peers, test_cell: &TestCell, record: JobRecord) -> SubmitReply {
    let call = SubmitCall {
        record: Some(record),
        client_timeout_ms: CALL_TIMEOUT.as_millis() as u64,
        ..SubmitCall::default()
    };
    let address = test_cell.hosts[test_cell.leader()].peer_address();
    match calls.call(address, Body::Submit(call), CALL_TIMEOUT).await {
        Ok(Body::SubmitReply(reply)) => reply,
        other => panic!("{other:?}"),
    }
}

/// Guards against a limit that only the decisions know: the leader refuses work above it with the reason,
/// starts no more than it allows, and says for whom tasks wait.
#[tokio::test]
async fn the_leader_keeps_a_tenant_within_its_limit() {
    let platform = Platform::start(2).await;
    let config = json!({
        "version": 1,
        "routes": [{"name": "batch", "host": "jobs.example", "prefix": "/batch/", "service": "pool",
            "target_duration_ms": 20_000, "attempts": 2, "stretch": 2.0}],
        "services": [{"name": "pool"}],
        "tenants": [{"name": "a", "api_keys": ["k"], "weight": 10,
            "max_count": {"cpu": 4_000, "mem_mb": 0, "gpu": 0}}],
    });
    platform.store.put("op/config", &config.to_string());
    let test_cell = TestCell::start_on(platform, 2, "").await;
    LocalSet::new()
        .run_until(async {
            let calls = Peers::default();
            let refused = submit(&calls, &test_cell, job(1, 1, 5_000)).await;
            let reason =
                "a task of step 0 needs 5000 millicores of CPU, above the tenant's limit of 4000";
            let expected = SubmitReply {
                reason: reason.to_owned(),
                ..SubmitReply::default()
            };
            assert_eq!(refused, expected);
            let accepted = submit(&calls, &test_cell, job(2, 6, 2_000)).await;
            assert!(accepted.accepted, "{accepted:?}");
            let leader = &test_cell.hosts[test_cell.leader()];
            let address = leader.peer_address();
            let completed = peers::encode_state(JobState::Completed);
            let began = Instant::now();
            loop {
                assert!(began.elapsed() < MAX_RUN_TIME, "{}", leader.log());
                let state = calls.call(address, Body::State(2), CALL_TIMEOUT).await;
                if matches!(state, Ok(Body::StateReply(reply)) if reply.state == completed) {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            // Three waves of two tasks each.
            assert!(began.elapsed() >= Duration::from_millis(3 * 1_200));
            let log = leader.log();
            for expected in [
                "E8106 tenant-refused: job=0000000000000001 queue=batch tenant=a",
                "E8107 tenant-at-limit: tenant=a held_tasks=",
                "used_millicores=4000",
            ] {
                assert!(log.contains(expected), "{expected}: {log}");
            }
        })
        .await;
    test_cell.assert_no_faults();
}

/// A configuration in which the tenant `a` with the key `k` has a limit.
fn limited(version: u64, cpu_millicores: u64) -> Value {
    let mut config = Platform::config(version, &["batch"], false);
    config["tenants"] = json!([{
        "name": "a", "api_keys": ["k"], "weight": 10,
        "max_count": {"cpu": cpu_millicores, "mem_mb": 0, "gpu": 0},
    }]);
    config
}

/// Starts a cell in which that tenant may use four cores.
async fn start_limited(hosts: usize) -> TestCell {
    let platform = Platform::start(2).await;
    platform.write_config(&limited(1, 4_000));
    TestCell::start_on(platform, hosts, "").await
}

/// Guards against work that its tenant could never run, and that a host accepts all the same because
/// the leader has not answered: it would wait for ever.
#[tokio::test]
async fn a_host_in_doubt_accepts_no_work_above_the_limit() {
    let test_cell = start_limited(2).await;
    let (leader, host) = (test_cell.leader(), test_cell.follower());
    let submit = |host: usize, number, cpu| {
        let body = json!({
            "spec": "run=50",
            "steps": [{"count": 1, "cpu": cpu, "mem_mb": 10, "estimate_ms": 50}],
        });
        let path = support::path("batch", number);
        let test_cell = &test_cell;
        async move {
            let reply = test_cell.call_with_key(host, "Token k", "POST", &path, Some(body));
            reply.await.status
        }
    };
    test_cell.hosts[leader].signal(Signal::STOP);
    // The leader does not answer either of them.
    let (above, within) = tokio::join!(submit(host, 1, 5_000), submit(host, 2, 1_000));
    test_cell.hosts[leader].signal(Signal::CONT);
    assert_eq!((above, within), (504, 200));
    let jobs = test_cell.platform.store.keys("hc/j/");
    let of_first = jobs.iter().filter(|key| key.ends_with("0000000000000001"));
    assert_eq!(of_first.count(), 0, "{jobs:?}");
    let path = support::path("batch", 2);
    let until = Instant::now() + MAX_RUN_TIME;
    while test_cell
        .platform
        .cell
        .done_of(path.rsplit('/').next().unwrap_or_default())
        == 0
    {
        assert!(Instant::now() < until, "{}", test_cell.hosts[host].log());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // A host that is in no doubt refuses it for good.
    while submit(leader, 3, 5_000).await != 429 {
        assert!(Instant::now() < until, "{}", test_cell.hosts[leader].log());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    test_cell.assert_no_faults();
}

/// Guards against a refusal of a job that was accepted before its tenant's limit was reduced: the client
/// would take it for lost while it runs.
#[tokio::test]
async fn a_retry_of_a_job_above_a_reduced_limit_is_no_refusal() {
    let test_cell = start_limited(2).await;
    let (leader, host) = (test_cell.leader(), test_cell.follower());
    let path = support::path("batch", 1);
    let submit = || {
        let body = json!({
            "spec": "run=50 cpu=4000",
            "steps": [{"count": 1, "cpu": 4_000, "mem_mb": 10, "estimate_ms": 50}],
        });
        test_cell.call_with_key(host, "Token k", "POST", &path, Some(body))
    };
    assert_eq!(submit().await.status, 200);
    test_cell.platform.write_config(&limited(2, 2_000));
    let is_applied = |cell: &TestCell| cell.hosts[host].log().contains("config-applied: version=2");
    test_cell.wait_until("the reduced limit", is_applied).await;
    // While it is stopped it leaves the host in doubt; once it is killed, nothing reaches it.
    for signal in [Signal::STOP, Signal::KILL] {
        test_cell.hosts[leader].signal(signal);
        assert_eq!(submit().await.status, 200, "{signal:?}");
        assert_eq!(submit().await.status, 200, "{signal:?}");
    }
}

/// Guards against tasks that a new tenant starts without a limit, because the leader does not know it
/// yet while the host does.
#[tokio::test]
async fn the_leader_accepts_no_job_of_a_tenant_that_it_does_not_know() {
    let test_cell = start_limited(1).await;
    LocalSet::new()
        .run_until(async {
            let calls = Peers::default();
            let address = test_cell.hosts[0].peer_address();
            let submit = |number, tenant: &str, key: &str, config_version| {
                let call = SubmitCall {
                    record: Some(JobRecord {
                        tenant: tenant.to_owned(),
                        ..job(number, 1, 1_000)
                    }),
                    client_timeout_ms: CALL_TIMEOUT.as_millis() as u64,
                    key_digest: KeyDigest::of(key).as_bytes().to_vec(),
                    config_version,
                    ..SubmitCall::default()
                };
                let calls = &calls;
                async move {
                    match calls.call(address, Body::Submit(call), CALL_TIMEOUT).await {
                        Ok(Body::SubmitReply(reply)) => reply,
                        other => panic!("{other:?}"),
                    }
                }
            };
            let later = submit(1, "b", "k-b", 2).await;
            assert!(!later.accepted && !later.unauthorised, "{later:?}");
            assert_eq!(later.retry_after_ms, 1_000);
            // A new key of a tenant whose limit is known is accepted.
            assert!(submit(2, "a", "k-new", 2).await.accepted);
        })
        .await;
    test_cell.assert_no_faults();
}
