//! Keys of calls: which are refused, and which jobs they give access to.

use std::time::Duration;

use hickorychute_entry::metrics::Metrics;
use platform_standin::Platform;
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

use crate::support::{self, Reply, TestCell};

/// A configuration with the keyed queues `urgent` and `batch`, the public queue `open`, and tenants
/// with their keys.
pub fn config(version: u64, tenants: &[(&str, &[&str])]) -> Value {
    let tenants: Vec<Value> = tenants
        .iter()
        .map(|(name, keys)| json!({"name": name, "api_keys": keys, "weight": 10}))
        .collect();
    let mut config = Platform::config(version, &["urgent", "batch", "open"], false);
    config["routes"][2]["public"] = json!(true);
    config["tenants"] = json!(tenants);
    config
}

/// Starts a cell with the tenants `t-1` (keys `key-1a` and `key-1b`), `t-2` (`key-2`) and `t-3`
/// (no key).
pub async fn start(hosts: usize, lines: &str) -> TestCell {
    let platform = Platform::start(2).await;
    platform.write_config(&config(1, TENANTS));
    TestCell::start_on(platform, hosts, lines).await
}

/// The tenants of [`start`].
pub const TENANTS: &[(&str, &[&str])] = &[
    ("t-1", &["key-1a", "key-1b"]),
    ("t-2", &["key-2"]),
    ("t-3", &[]),
];

/// A job that runs for `run_ms`.
pub fn job(run_ms: u64) -> Value {
    json!({
        "spec": format!("run={run_ms}"),
        "steps": [{"count": 1, "cpu": 1000, "mem_mb": 10, "estimate_ms": run_ms}],
    })
}

/// Submits a job with a key.
pub async fn submit(test_cell: &TestCell, host: usize, key: &str, path: &str) -> Reply {
    let key = format!("Token {key}");
    test_cell
        .call_with_key(host, &key, "POST", path, Some(job(50)))
        .await
}

/// Sends a call without a body with a key.
pub async fn call(test_cell: &TestCell, host: usize, key: &str, method: &str, path: &str) -> Reply {
    let key = format!("Token {key}");
    test_cell
        .call_with_key(host, &key, method, path, None)
        .await
}

/// Guards against calls that are served without a valid key, and against keys in the log.
#[tokio::test]
async fn calls_without_a_valid_key_are_refused() {
    let test_cell = start(2, "").await;
    let path = support::path("batch", 1);
    let accepted = submit(&test_cell, 0, "key-1a", &path).await;
    assert_eq!(accepted.status, 200, "{accepted:?}");
    let calls = [
        ("POST", support::path("batch", 2)),
        ("POST", path.clone()),
        ("GET", path.clone()),
        ("DELETE", path.clone()),
        ("GET", "/batch/".to_owned()),
    ];
    let wrong = [
        "Token key-9",
        "Token",
        "Token ",
        "Basic key-1a",
        "key-1a",
        "Token key-1",
    ];
    for (method, called) in &calls {
        let body = || (*method == "POST").then(|| job(50));
        for host in 0..2 {
            let without = test_cell.call(host, method, called, body()).await;
            assert_eq!(without.status, 401, "{method} {called} without a key");
            assert_eq!(
                without.challenge.as_deref(),
                Some("Token"),
                "{method} {called}"
            );
            for value in wrong {
                let reply = test_cell
                    .call_with_key(host, value, method, called, body())
                    .await;
                assert_eq!(reply.status, 401, "{method} {called} with {value:?}");
                assert_eq!(reply.challenge.as_deref(), Some("Token"), "{value:?}");
            }
        }
    }
    assert_eq!(test_cell.platform.cell.starts_of(&format!("{:016x}", 2)), 0);
    // Every key of every tenant serves every call, through every host.
    for (host, key) in [(0, "key-1a"), (1, "key-1a"), (0, "key-1b"), (1, "key-1b")] {
        let state = call(&test_cell, host, key, "GET", &path).await;
        assert_eq!(state.status, 200, "{key} through host {host}");
        let count = call(&test_cell, host, key, "GET", "/batch/").await;
        assert_eq!(count.status, 200, "{key} through host {host}");
    }
    // A path that names no call and a host that names no queue are refused as before.
    let reply = call(&test_cell, 0, "key-1a", "PUT", &path).await;
    assert_eq!(reply.status, 400);
    let reply = call(&test_cell, 0, "key-1a", "GET", "/none/").await;
    assert_eq!(reply.status, 404);
    for host in &test_cell.hosts {
        let log = host.log();
        for key in ["key-1a", "key-1b", "key-2", "key-9"] {
            assert!(!log.contains(key), "{}: {key} in the log", host.name);
        }
    }
    test_cell.assert_no_faults();
}

/// Guards against a host that reads, and keeps in memory, the body of a call that it refuses.
#[tokio::test]
async fn a_call_without_a_key_is_refused_before_its_body_arrives() {
    let test_cell = start(1, "").await;
    let mut client = TcpStream::connect(test_cell.hosts[0].clients)
        .await
        .expect("the host accepts connections");
    let head = format!(
        "POST {} HTTP/1.1\r\nhost: jobs.example\r\ncontent-length: 200000\r\n\r\n",
        support::path("batch", 1)
    );
    client
        .write_all(head.as_bytes())
        .await
        .expect("the host reads");
    let mut answer = vec![0; 4 << 10];
    let length = time::timeout(Duration::from_secs(5), client.read(&mut answer))
        .await
        .expect("the host answers before the body")
        .expect("the connection is open");
    let answer = String::from_utf8_lossy(&answer[..length]);
    assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
}

/// Guards against a metric that does not tell the reasons for refusals apart.
#[test]
fn refusals_are_counted_by_reason() {
    let metrics = Metrics::default();
    assert!(!metrics.render().contains("key_refusals"));
    for reason in ["unauthorised", "stale", "unauthorised", "other_tenant"] {
        metrics.count_key_refusal(reason);
    }
    let text = metrics.render();
    for (reason, count) in [("unauthorised", 2), ("stale", 1), ("other_tenant", 1)] {
        let line = format!("hickory_key_refusals_total{{reason=\"{reason}\"}} {count}\n");
        assert!(text.contains(&line), "{text}");
    }
}

/// Guards against a public queue that demands a key or checks one.
#[tokio::test]
async fn a_public_queue_needs_no_key() {
    let test_cell = start(2, "").await;
    for (number, key) in [(1, None), (2, Some("key-2")), (3, Some("key-9"))] {
        let path = support::path("open", number);
        let value = key.map_or("Basic x".to_owned(), |key| format!("Token {key}"));
        let submitted = if key.is_some() {
            let submitted = test_cell.call_with_key(0, &value, "POST", &path, Some(job(50)));
            submitted.await
        } else {
            test_cell.call(0, "POST", &path, Some(job(50))).await
        };
        assert_eq!(submitted.status, 200, "{key:?}");
        test_cell.wait_for_state(1, &path, "completed").await;
        let state = test_cell.call_with_key(1, &value, "GET", &path, None).await;
        assert_eq!(state.status, 200, "{key:?}");
        let cancelled = test_cell.call(1, "DELETE", &path, None).await;
        assert_eq!(cancelled.status, 200, "{key:?}");
    }
    assert_eq!(test_cell.call(1, "GET", "/open/", None).await.status, 200);
    test_cell.assert_no_faults();
}

/// Asserts what each key gets for the job of `t-1` at `path`.
async fn assert_access(test_cell: &TestCell, host: usize, path: &str, name: &str) {
    let id = path.rsplit('/').next().expect("a path has parts");
    let public = format!("/open/{id}");
    for method in ["GET", "DELETE"] {
        let other = call(test_cell, host, "key-2", method, path).await;
        assert_eq!(
            other.status, 403,
            "{name}: {method} of another tenant: {other:?}"
        );
        let nobody = test_cell.call(host, method, &public, None).await;
        assert_eq!(
            nobody.status, 403,
            "{name}: {method} through the public queue"
        );
    }
    let own = call(test_cell, host, "key-1b", "GET", path).await;
    assert_eq!(own.status, 200, "{name}: {own:?}");
    assert_ne!(own.body["state"], "cancelled", "{name}");
    let own = call(test_cell, host, "key-1b", "DELETE", path).await;
    assert_eq!(own.status, 200, "{name}: {own:?}");
}

/// Guards against access to another tenant's job, and against a refusal of the right tenant, on the
/// ways through the coordinator, through the store and through a successor.
#[tokio::test]
async fn jobs_of_another_tenant_are_refused_on_every_path() {
    let mut test_cell = start(3, "").await;
    let (leader, follower) = (test_cell.leader(), test_cell.follower());
    for number in 1..=4 {
        let path = support::path("batch", number);
        let key = "Token key-1a";
        let submitted = test_cell
            .call_with_key(follower, key, "POST", &path, Some(job(8_000)))
            .await;
        assert_eq!(submitted.status, 200, "{submitted:?}");
    }
    assert_access(&test_cell, leader, &support::path("batch", 1), "leader").await;
    assert_access(&test_cell, follower, &support::path("batch", 2), "follower").await;
    test_cell.hosts[leader].signal(Signal::STOP);
    let path = support::path("batch", 3);
    let other = call(&test_cell, follower, "key-2", "DELETE", &path).await;
    assert_eq!(
        other.status, 403,
        "the record in the store decides: {other:?}"
    );
    assert_access(&test_cell, follower, &path, "leader paused").await;
    test_cell.hosts[leader].signal(Signal::KILL);
    test_cell.hosts[leader].wait();
    let path = support::path("batch", 4);
    let settled = |cell: &TestCell| {
        let hosts = cell.hosts.iter().enumerate();
        hosts
            .filter(|(number, _)| *number != leader)
            .any(|(_, host)| host.log().contains("lead-settled"))
    };
    test_cell.wait_until("a successor", settled).await;
    assert_access(&test_cell, follower, &path, "successor").await;
    let missing = support::path("batch", 77);
    for method in ["GET", "DELETE"] {
        let reply = call(&test_cell, follower, "key-2", method, &missing).await;
        assert_eq!(reply.status, 410, "{method} of a job that does not exist");
    }
}

/// Guards against a tenant that cannot reach its jobs after the operators have introduced tenants,
/// made its queue public or moved its key.
#[tokio::test]
async fn jobs_stay_accessible_when_the_configuration_changes() {
    let test_cell = TestCell::start_on(
        {
            let platform = Platform::start(2).await;
            platform.configure(1, &["urgent", "batch", "open"], false);
            platform
        },
        2,
        "",
    )
    .await;
    let applied = async |version: u64| {
        let line = format!("version={version} ");
        let done = |cell: &TestCell| cell.hosts.iter().all(|host| host.log().contains(&line));
        test_cell.wait_until("the configuration", done).await;
    };
    let early = support::path("batch", 1);
    let submitted = test_cell.call(0, "POST", &early, Some(job(50))).await;
    assert_eq!(submitted.status, 200);
    test_cell.platform.write_config(&config(2, TENANTS));
    applied(2).await;
    for key in ["key-1a", "key-2"] {
        let state = call(&test_cell, 1, key, "GET", &early).await;
        assert_eq!(state.status, 200, "job without a tenant, {key}");
    }
    let path = support::path("batch", 2);
    assert_eq!(submit(&test_cell, 0, "key-1a", &path).await.status, 200);
    let mut public = config(3, TENANTS);
    public["routes"][1]["public"] = json!(true);
    test_cell.platform.write_config(&public);
    applied(3).await;
    let state = call(&test_cell, 1, "key-1b", "GET", &path).await;
    assert_eq!(state.status, 200, "queue made public");
    let state = call(&test_cell, 1, "key-2", "GET", &path).await;
    assert_eq!(state.status, 403, "queue made public, another tenant");
    // The job keeps its tenant when its key moves to another one.
    let moved: &[(&str, &[&str])] = &[("t-1", &["key-1b"]), ("t-2", &["key-2", "key-1a"])];
    test_cell.platform.write_config(&config(4, moved));
    applied(4).await;
    for (key, expected) in [("key-1b", 200), ("key-1a", 403)] {
        let state = call(&test_cell, 1, key, "GET", &path).await;
        assert_eq!(state.status, expected, "key moved, {key}");
    }
    // An older version that arrives late is not applied.
    test_cell.platform.write_config(&config(2, TENANTS));
    time::sleep(Duration::from_secs(2)).await;
    let state = call(&test_cell, 1, "key-1a", "GET", &path).await;
    assert_eq!(state.status, 403, "the configuration reverted");
    test_cell.assert_no_faults();
}

/// Guards against tasks that run with the payload of another tenant, which has chosen the same
/// identifier for a job of its own.
#[tokio::test]
async fn another_tenants_submission_does_not_change_a_jobs_payload() {
    let test_cell = start(1, "").await;
    let path = support::path("batch", 1);
    let two_steps = |text: &str| {
        let step = json!({"count": 1, "cpu": 1000, "mem_mb": 10, "estimate_ms": 1_000});
        let mut second = step.clone();
        second["after"] = json!([0]);
        json!({"spec": text, "steps": [step, second]})
    };
    let submit = |key, text| {
        let body = Some(two_steps(text));
        test_cell.call_with_key(0, key, "POST", &path, body)
    };
    let accepted = submit("Token key-1a", "run=1000").await;
    assert_eq!(accepted.status, 200, "{accepted:?}");
    let id = path.rsplit('/').next().expect("a path has parts");
    let has_started = |cell: &TestCell| cell.platform.cell.starts_of(id) > 0;
    test_cell.wait_until("the first step", has_started).await;
    let _other = submit("Token key-2", "run=100 fail=1").await;
    let ended = |cell: &TestCell| cell.platform.cell.done_of(id) == 2;
    let second_started = |cell: &TestCell| cell.platform.cell.starts_of(id) > 1;
    test_cell
        .wait_until("the second step", second_started)
        .await;
    time::sleep(Duration::from_millis(1_500)).await;
    assert!(ended(&test_cell), "the second step had another payload");
    test_cell.assert_no_faults();
}
