//! Limits of tenants at the leader. The jobs come over the port for hosts, with their tenant set.

use std::time::Duration;

use cell::jobs::{JobRecord, JobSpec, JobState, StepSpec};
use hickorychute_entry::peers::{self, Body, Peers, SubmitCall, SubmitReply};
use platform_standin::Platform;
use serde_json::json;
use tokio::{task::LocalSet, time::Instant};

use crate::support::TestCell;

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
