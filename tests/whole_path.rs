//! The whole path as separate processes: a release note, its work, a call, a shutdown.

mod support;

use std::time::Duration;

use support::{Cell, HUBER_HOSTS, request, wait_until};

const SETTLE: Duration = Duration::from_secs(30);

const NOTE: &str = r#"
[[added.quota]]
team = "workshop"
cpu_milli = 700000
memory_mb = 1400000

[[added.service]]
name = "bankbuch"
team = "workshop"
replicas = 48
cpu_milli = 4000
memory_mb = 4096
slots = 8
connections = 64

[[added.batch_run]]
name = "nightly"
team = "workshop"
tasks = 60
cpu_milli = 1000
memory_mb = 1024
run_time_ms = 500

[[added.gang_job]]
name = "plan"
team = "workshop"
tasks = 8
cpu_milli = 2000
memory_mb = 1024
run_time_ms = 500
"#;

#[test]
fn a_note_is_placed_a_call_is_answered_and_a_host_drains() {
    let mut cell = Cell::start(&HUBER_HOSTS, &[]);
    let reply = cell.submit(0, "first", NOTE);
    assert_eq!(reply.status, 200, "{}", reply.text());

    wait_until("every replica of the service runs", SETTLE, || {
        cell.job(1, "bankbuch").is_some_and(|job| job.running == 48)
    });
    for (job, tasks) in [("nightly", 60), ("plan", 8)] {
        wait_until(&format!("{job} completes"), SETTLE, || {
            cell.job(3, job).is_some_and(|job| job.completed == tasks)
        });
    }

    for (index, host) in cell.hosts.iter().enumerate() {
        let body = format!("request {index}");
        let path = "/v1/call/bankbuch/benches";
        let reply = request("POST", &host.http, path, &[], body.as_bytes());
        assert_eq!(
            (reply.status, reply.outcome.as_str()),
            (200, "done"),
            "{}",
            reply.text()
        );

        let key = format!("charge-{index}");
        let headers = [("idempotency-key", key.as_str())];
        let first = request("POST", &host.http, path, &headers, body.as_bytes());
        assert_eq!(
            (first.status, first.outcome.as_str()),
            (200, "done"),
            "{}",
            first.text()
        );
        let other = &cell.hosts[(index + 1) % cell.hosts.len()];
        let repeated = request("POST", &other.http, path, &headers, body.as_bytes());
        assert_eq!(
            repeated.body, first.body,
            "a repeated key gets the first answer"
        );
    }

    let host = &mut cell.hosts[0];
    host.process.signal("TERM");
    let status = host.process.wait(SETTLE);
    assert!(status.success(), "a drained host ends with {status}");
    let reply = request(
        "POST",
        &cell.hosts[1].http,
        "/v1/call/bankbuch/benches",
        &[],
        b"after",
    );
    assert_eq!(reply.status, 200, "{}", reply.text());
}
