//! Entries among those of the workers that another writer put there.

use serde_json::json;

use crate::support::{self, TestCell};

/// A value that no decoder should follow to its end.
fn deeply_nested(prefix: &str, suffix: &str) -> String {
    const DEPTH: usize = 200_000;
    format!("{prefix}{}{}{suffix}", "[".repeat(DEPTH), "]".repeat(DEPTH))
}

/// An entry like that of a worker, with the given address and capacity.
fn entry(address: &str, cpu: &str, memory_mb: &str, born: &str) -> String {
    format!(
        r#"{{"service":"pool","address":"{address}","zone":"a","version":"v1","slots":8,"state":"ready",
        "cold_left_ms":0,"seq":1,"born":{born},"labels":["kind-a","rack-0"],
        "capacity":{{"cpu":{cpu},"mem_mb":{memory_mb},"gpu":0}}}}"#
    )
}

/// Guards against an entry that ends the hosts that read it, stops them from following the list, or
/// counts as capacity that is not there.
#[tokio::test]
async fn odd_entries_name_no_worker_and_hold_up_nothing() {
    struct Case {
        name: &'static str,
        value: String,
    }
    let unused = "127.0.0.1:9";
    let cases = [
        Case {
            name: "nested",
            value: deeply_nested("", ""),
        },
        Case {
            name: "nested field",
            value: deeply_nested(r#"{"state":"ready","labels":"#, "}"),
        },
        Case {
            name: "port-out-of-range",
            value: entry("127.0.0.1:99999", "16000", "32768", "1"),
        },
        Case {
            name: "port-zero",
            value: entry("127.0.0.1:0", "16000", "32768", "1"),
        },
        Case {
            name: "huge-cpu",
            value: entry(unused, "18446744073709551615", "18446744073709551615", "1"),
        },
        Case {
            name: "half-of-huge",
            value: entry(unused, "9223372036854775808", "9223372036854775808", "1"),
        },
        Case {
            name: "beyond-integers",
            value: entry(unused, "1e300", "1e300", "1e300"),
        },
        Case {
            name: "digits",
            value: entry(unused, &"9".repeat(5_000), "1", "1"),
        },
        Case {
            name: "line\nbreak",
            value: entry(unused, "16000", "32768", "1"),
        },
    ];
    let mut test_cell = TestCell::start(2, 1, false).await;
    for case in &cases {
        let key = format!("servers/{}", case.name);
        test_cell.platform.store.put(&key, &case.value);
    }
    // The list is still followed: a worker that joins now receives tasks.
    test_cell.platform.add_worker(1).await;
    test_cell
        .wait_until("answers of the worker that joined", |test_cell| {
            let heard = |host: &support::Host| host.log().contains("worker-heard: worker=i-1");
            test_cell.hosts.iter().any(heard)
        })
        .await;
    // Takes both workers, and no entry counts as a third one.
    let path = support::path("batch", 1);
    let reply = test_cell.submit(0, &path, 32, "run=300").await;
    assert_eq!(reply.status, 200);
    test_cell.wait_for_state(1, &path, "completed").await;
    let too_large = json!({
        "spec": "run=50",
        "steps": [{"count": 1, "cpu": 17_000, "mem_mb": 10, "estimate_ms": 50}],
    });
    let path = support::path("batch", 2);
    let reply = test_cell.call(0, "POST", &path, Some(too_large)).await;
    assert_eq!(reply.status, 429, "no worker can run it: {reply:?}");
    for case in &cases {
        let named = format!("worker={} listed=true", case.name);
        for host in &test_cell.hosts {
            assert!(!host.log().contains(&named), "{} is used", case.name);
        }
    }
    // A host that starts now reads them with the whole list.
    test_cell.kill_and_restart(0).await;
    let path = support::path("batch", 3);
    let reply = test_cell.submit(0, &path, 4, "run=100").await;
    assert_eq!(reply.status, 200);
    test_cell.wait_for_state(1, &path, "completed").await;
    test_cell.assert_no_faults();
}
