//! Keys that are revoked while hosts, the store or jobs are not in order.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use platform_standin::{Platform, store::ResponseMode, view::View};
use rustix::process::Signal;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

use crate::{
    keys::{self, TENANTS},
    support::{self, TestCell},
};

/// Settings of hosts with strict revocation.
const STRICT: &str = "bounds.strict_revoke=true\nbounds.revoke_ms=5000\n";
/// Time after which a revoked key must be refused everywhere.
const REVOKE_TIME: Duration = Duration::from_secs(5);
/// Time within which a configuration is in force on a host that can reach the store.
const APPLY_TIME: Duration = Duration::from_secs(4);
/// The tenants after `key-1a` was revoked.
const REVOKED: &[(&str, &[&str])] = &[("t-1", &["key-1b"]), ("t-2", &["key-2"]), ("t-3", &[])];

/// Starts a cell whose last host has a view of the store of its own. That host does not lead.
async fn start_with_view(lines: &str) -> (TestCell, View, usize) {
    let mut platform = Platform::start(2).await;
    platform.write_config(&keys::config(1, TENANTS));
    let view = View::new(Arc::clone(&platform.store));
    let address = platform.open_store_view(&view).await;
    let test_cell = TestCell::start_on(platform, 3, lines).await;
    let host = test_cell.follower();
    test_cell.hosts[host].add_setting(&format!("platform.address={address}"));
    let reloaded = |cell: &TestCell| cell.hosts[host].log().contains("entry-reloaded");
    test_cell
        .wait_until("the host's view of the store", reloaded)
        .await;
    // The calls that were sent to the former address have been answered by then.
    time::sleep(Duration::from_secs(2)).await;
    (test_cell, view, host)
}

async fn readiness(test_cell: &TestCell, host: usize) -> u16 {
    let address = test_cell.hosts[host].readiness;
    let probe = test_cell.call_address(address, "GET", "/hickorychute/ready", None);
    probe.await.status
}

/// Guards against success with a revoked key on a host that the store turns away, and against
/// refusals of that host that outlast the outage or concern public queues.
#[tokio::test]
async fn a_host_without_the_store_refuses_keys_in_time() {
    let (test_cell, view, cut) = start_with_view(STRICT).await;
    let other = (0..3).find(|host| *host != cut).expect("three hosts");
    let path = support::path("batch", 1);
    let submitted = keys::submit(&test_cell, cut, "key-1a", &path).await;
    assert_eq!(submitted.status, 200, "{submitted:?}");
    let public = support::path("open", 2);
    let submitted = test_cell
        .call(cut, "POST", &public, Some(keys::job(50)))
        .await;
    assert_eq!(submitted.status, 200, "{submitted:?}");
    assert_eq!(readiness(&test_cell, cut).await, 200);

    view.set_turns_away(true);
    test_cell.platform.write_config(&keys::config(2, REVOKED));
    let revoked = Instant::now();
    let (mut served, mut number) = (0, 10);
    while revoked.elapsed() < REVOKE_TIME + Duration::from_secs(2) {
        number += 1;
        let asked = revoked.elapsed();
        let state = keys::call(&test_cell, cut, "key-1a", "GET", &path).await;
        let new = support::path("batch", number);
        let submitted = keys::submit(&test_cell, cut, "key-1a", &new).await;
        for reply in [&state, &submitted] {
            assert!(
                [200, 401, 503].contains(&reply.status),
                "{reply:?} after {asked:?}"
            );
            assert!(
                reply.status != 200 || revoked.elapsed() < REVOKE_TIME,
                "success after {asked:?}"
            );
            if reply.status == 503 {
                assert!(reply.retry_after_s.is_some(), "{reply:?}");
            }
        }
        served += u32::from(state.status == 200);
        if asked > APPLY_TIME {
            let elsewhere = keys::call(&test_cell, other, "key-1a", "GET", &path).await;
            assert_eq!(elsewhere.status, 401, "another host after {asked:?}");
        }
        time::sleep(Duration::from_millis(100)).await;
    }
    assert!(
        served > 5,
        "the host served {served} calls with recent proof"
    );
    for key in ["key-1a", "key-1b", "key-9"] {
        let reply = keys::call(&test_cell, cut, key, "GET", &path).await;
        assert_eq!(reply.status, 503, "{key} without proof");
    }
    let without = test_cell.call(cut, "GET", &path, None).await;
    assert_eq!(without.status, 401, "no key without proof");
    assert_eq!(readiness(&test_cell, cut).await, 503);
    assert_eq!(readiness(&test_cell, other).await, 200);
    let state = test_cell.call(cut, "GET", &public, None).await;
    assert_eq!(state.status, 200, "a public queue without proof");
    assert!(test_cell.hosts[cut].log().contains("config-unproven"));

    view.set_turns_away(false);
    let proven = |cell: &TestCell| cell.hosts[cut].log().contains("version=2 ");
    test_cell.wait_until("the new configuration", proven).await;
    let reply = keys::call(&test_cell, cut, "key-1a", "GET", &path).await;
    assert_eq!(reply.status, 401, "the revoked key");
    let reply = keys::call(&test_cell, cut, "key-1b", "GET", &path).await;
    assert_eq!(reply.status, 200, "the other key of the tenant");
    assert_eq!(readiness(&test_cell, cut).await, 200);
    test_cell.assert_no_faults();
}

/// Guards against a job that is accepted with a revoked key because the host that took it does not
/// know the revocation, and against refusals without strict revocation.
#[tokio::test]
async fn the_coordinator_refuses_a_job_whose_key_was_revoked() {
    let (test_cell, view, cut) = start_with_view("").await;
    view.set_turns_away(true);
    time::sleep(Duration::from_millis(200)).await;
    test_cell.platform.write_config(&keys::config(2, REVOKED));
    let leader = test_cell.leader();
    let applied = |cell: &TestCell| cell.hosts[leader].log().contains("version=2 ");
    test_cell.wait_until("the new configuration", applied).await;
    let path = support::path("batch", 1);
    let refused = keys::submit(&test_cell, cut, "key-1a", &path).await;
    assert_eq!(refused.status, 401, "{refused:?}");
    assert_eq!(refused.challenge.as_deref(), Some("Token"));
    assert!(test_cell.hosts[leader].log().contains("key-revoked"));
    let state = keys::call(&test_cell, leader, "key-1b", "GET", &path).await;
    assert_eq!(state.status, 410, "the job was not accepted");
    // Proof of a recent configuration is demanded only with strict revocation.
    time::sleep(REVOKE_TIME).await;
    let path = support::path("batch", 2);
    let accepted = keys::submit(&test_cell, cut, "key-1b", &path).await;
    assert_eq!(accepted.status, 200, "{accepted:?}");
    assert_eq!(readiness(&test_cell, cut).await, 200);
    test_cell.assert_no_faults();
}

/// Guards against the report that a job was refused which was accepted: its first submission got no
/// answer from the store, and its key was revoked before the retry.
#[tokio::test]
async fn a_job_in_doubt_is_not_reported_as_refused_when_its_key_is_revoked() {
    for lines in ["", STRICT] {
        let test_cell = keys::start(2, lines).await;
        let host = test_cell.follower();
        let store = &test_cell.platform.store;
        let path = support::path("batch", 1);
        store.set_response_mode(ResponseMode::WithholdWriteResponses);
        let submitted = keys::submit(&test_cell, host, "key-1a", &path).await;
        assert_eq!(submitted.status, 504, "{submitted:?}");
        test_cell.platform.write_config(&keys::config(2, REVOKED));
        let applied = |cell: &TestCell| cell.hosts[host].log().contains("version=2 ");
        test_cell.wait_until("the new configuration", applied).await;
        let retried = keys::submit(&test_cell, host, "key-1a", &path).await;
        assert_eq!(retried.status, 504, "without the store: {retried:?}");
        store.set_response_mode(ResponseMode::Normal);
        let retried = keys::submit(&test_cell, host, "key-1a", &path).await;
        assert_eq!(retried.status, 504, "with the store: {retried:?}");
        let other = support::path("batch", 2);
        let refused = keys::submit(&test_cell, host, "key-1a", &other).await;
        assert_eq!(refused.status, 401, "another job: {refused:?}");
        // The job runs although its key was revoked.
        let completed = async {
            loop {
                let state = keys::call(&test_cell, host, "key-1b", "GET", &path).await;
                if state.body["state"] == "completed" {
                    return;
                }
                time::sleep(Duration::from_millis(50)).await;
            }
        };
        time::timeout(Duration::from_secs(20), completed)
            .await
            .expect("the job completes");
        let retried = keys::submit(&test_cell, host, "key-1b", &path).await;
        assert_eq!(retried.status, 200, "with the tenant's other key");
    }
}

/// Guards against a job whose key was revoked while its body was on the way.
#[tokio::test]
async fn a_key_is_checked_again_after_the_body() {
    let test_cell = keys::start(1, "").await;
    let body = keys::job(50).to_string();
    let (first, rest) = body.split_at(20);
    let path = support::path("batch", 1);
    let mut answers = Vec::new();
    for key in ["key-1a", "key-2"] {
        let mut client = TcpStream::connect(test_cell.hosts[0].clients)
            .await
            .expect("the host accepts connections");
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: jobs.example\r\nauthorization: Token {key}\r\n\
             content-length: {}\r\n\r\n{first}",
            body.len()
        );
        let sent = client.write_all(head.as_bytes()).await;
        sent.expect("the host reads");
        answers.push((key, client));
    }
    // The host reads both heads.
    time::sleep(Duration::from_millis(300)).await;
    test_cell.platform.write_config(&keys::config(2, REVOKED));
    let applied = |cell: &TestCell| cell.hosts[0].log().contains("version=2 ");
    test_cell.wait_until("the new configuration", applied).await;
    for ((key, mut client), expected) in answers.into_iter().zip([401, 200]) {
        let sent = client.write_all(rest.as_bytes()).await;
        sent.expect("the host reads");
        let mut answer = vec![0; 4 << 10];
        let length = time::timeout(Duration::from_secs(5), client.read(&mut answer))
            .await
            .expect("the host answers")
            .expect("the connection is open");
        let answer = String::from_utf8_lossy(&answer[..length]);
        let status = format!("HTTP/1.1 {expected}");
        assert!(answer.starts_with(&status), "{key}: {answer}");
    }
    test_cell.assert_no_faults();
}

/// Guards against a job that a host writes to the store itself although it has learned meanwhile that
/// the key was revoked, while it waited for the coordinator.
#[tokio::test]
async fn a_host_does_not_write_a_job_whose_key_was_revoked_meanwhile() {
    let test_cell = keys::start(3, "").await;
    let (leader, host) = (test_cell.leader(), test_cell.follower());
    test_cell.hosts[leader].signal(Signal::STOP);
    let path = support::path("batch", 1);
    let (submitted, ()) = tokio::join!(keys::submit(&test_cell, host, "key-1a", &path), async {
        // The host waits 900 ms for the coordinator.
        time::sleep(Duration::from_millis(200)).await;
        test_cell.platform.write_config(&keys::config(2, REVOKED));
    });
    // The coordinator may have accepted the job.
    assert_eq!(submitted.status, 504, "{submitted:?}");
    test_cell.hosts[leader].signal(Signal::CONT);
    time::sleep(Duration::from_secs(3)).await;
    let state = keys::call(&test_cell, host, "key-1b", "GET", &path).await;
    assert_eq!(state.status, 410, "nothing was written: {state:?}");
    let path = support::path("batch", 2);
    let accepted = keys::submit(&test_cell, host, "key-1b", &path).await;
    assert_eq!(accepted.status, 200, "{accepted:?}");
    test_cell.assert_no_faults();
}

/// Guards against success with a revoked key on a host that was suspended during the revocation:
/// time that passed meanwhile must count, and the answer to a watch that was sent before the
/// suspension is no new proof.
#[tokio::test]
async fn a_suspended_host_does_not_accept_a_revoked_key_when_it_resumes() {
    let (test_cell, view, host) = start_with_view(STRICT).await;
    let path = support::path("batch", 1);
    let submitted = keys::submit(&test_cell, host, "key-1a", &path).await;
    assert_eq!(submitted.status, 200, "{submitted:?}");
    test_cell.hosts[host].signal(Signal::STOP);
    // The watch that was sent before is answered without a change.
    time::sleep(Duration::from_millis(1_500)).await;
    view.set_turns_away(true);
    test_cell.platform.write_config(&keys::config(2, REVOKED));
    time::sleep(REVOKE_TIME + Duration::from_millis(200)).await;
    // These calls are read when the host resumes.
    let new = support::path("batch", 2);
    let (state, submitted, ()) = tokio::join!(
        keys::call(&test_cell, host, "key-1a", "GET", &path),
        keys::submit(&test_cell, host, "key-1a", &new),
        async {
            time::sleep(Duration::from_millis(300)).await;
            test_cell.hosts[host].signal(Signal::CONT);
        }
    );
    for reply in [state, submitted] {
        assert_eq!(reply.status, 503, "{reply:?}");
    }
    view.set_turns_away(false);
    let serves_again = async {
        while keys::call(&test_cell, host, "key-1b", "GET", &path)
            .await
            .status
            != 200
        {
            time::sleep(Duration::from_millis(50)).await;
        }
    };
    time::timeout(APPLY_TIME, serves_again)
        .await
        .expect("the host has proof again");
    let reply = keys::call(&test_cell, host, "key-1a", "GET", &path).await;
    assert_eq!(reply.status, 401);
    test_cell.assert_no_faults();
}

/// Guards against the loss of accepted work when its tenant loses its last key, and against refusals
/// after the history of the watch was compacted.
#[tokio::test]
async fn work_of_a_tenant_that_lost_its_last_key_goes_on() {
    let test_cell = keys::start(2, STRICT).await;
    let path = support::path("batch", 1);
    let key = "Token key-2";
    let submitted = test_cell
        .call_with_key(1, key, "POST", &path, Some(keys::job(6_000)))
        .await;
    assert_eq!(submitted.status, 200, "{submitted:?}");
    test_cell
        .platform
        .write_config(&keys::config(2, &[("t-1", &["key-1a"]), ("t-2", &[])]));
    test_cell.platform.store.compact();
    let applied = |cell: &TestCell| {
        cell.hosts
            .iter()
            .all(|host| host.log().contains("version=2 "))
    };
    test_cell.wait_until("the new configuration", applied).await;
    let reply = keys::call(&test_cell, 0, "key-2", "GET", &path).await;
    assert_eq!(reply.status, 401);
    let other = support::path("batch", 2);
    let reply = keys::submit(&test_cell, 0, "key-1a", &other).await;
    assert_eq!(reply.status, 200, "{reply:?}");
    let done = |cell: &TestCell| cell.platform.cell.done_of(&format!("{:016x}", 1)) == 1;
    test_cell.wait_until("the end of the job", done).await;
    let log = test_cell.hosts[0].log() + &test_cell.hosts[1].log();
    assert!(!log.contains("config-unproven"), "{log}");
    test_cell.assert_no_faults();
}

/// Guards against a configuration that comes into force late, or is replaced by an older one, while
/// the operators change it many times a second.
#[tokio::test]
async fn a_revocation_is_in_force_in_time_during_a_burst_of_changes() {
    /// Number of changes. After each tenth an older version arrives.
    const CHANGES: u64 = 120;
    let test_cell = keys::start(3, STRICT).await;
    let path = support::path("batch", 1);
    let submitted = keys::submit(&test_cell, 0, "key-1a", &path).await;
    assert_eq!(submitted.status, 200, "{submitted:?}");
    let mut revoked = None;
    for version in 2..2 + CHANGES {
        let is_revoked = version > CHANGES / 4;
        let tenants = if is_revoked { REVOKED } else { TENANTS };
        test_cell
            .platform
            .write_config(&keys::config(version, tenants));
        if version % 10 == 0 {
            let late = if version > 20 { version - 10 } else { 1 };
            test_cell
                .platform
                .write_config(&keys::config(late, TENANTS));
        }
        if is_revoked {
            revoked.get_or_insert_with(Instant::now);
        }
        if version % 4 == 0 {
            let host = (version / 4 % 3) as usize;
            let valid = keys::call(&test_cell, host, "key-1b", "GET", &path).await;
            assert_eq!(valid.status, 200, "version {version}: {valid:?}");
            let reply = keys::call(&test_cell, host, "key-1a", "GET", &path).await;
            let in_force = revoked.is_some_and(|at| at.elapsed() > APPLY_TIME);
            let expected: &[u16] = if in_force { &[401] } else { &[200, 401] };
            assert!(
                expected.contains(&reply.status),
                "version {version}: {reply:?}"
            );
        }
        time::sleep(Duration::from_millis(50)).await;
    }
    let last = format!("version={} ", 1 + CHANGES);
    let applied = |cell: &TestCell| cell.hosts.iter().all(|host| host.log().contains(&last));
    test_cell
        .wait_until("the last configuration", applied)
        .await;
    for host in 0..3 {
        let reply = keys::call(&test_cell, host, "key-1a", "GET", &path).await;
        assert_eq!(reply.status, 401, "host {host}: {reply:?}");
    }
}
