//! Work that the tests run.

use std::time::Duration;

use super::client::{Reply, request};
use super::{Cell, wait_until};

/// The service that the tests call.
pub const SERVICE: &str = "desk";

/// Time within which a cell of a few hosts has placed the first release.
pub const SETTLE: Duration = Duration::from_secs(15);

/// A service with two instances in each zone given, and a quota that is never in the way.
pub fn note(zones: &[&str]) -> String {
    let mut note = r#"
[[added.quota]]
team = "workshop"
cpu_milli = 400000
memory_mb = 800000
"#
    .to_owned();
    for zone in zones {
        let name = service_in(zone);
        note.push_str(&service(&name, 2, zone));
    }
    note.push_str(&service(SERVICE, 2 * zones.len(), &zones.join("\", \"")));
    note
}

/// The service whose instances all run in one zone.
pub fn service_in(zone: &str) -> String {
    format!("{SERVICE}-{zone}")
}

fn service(name: &str, replicas: usize, zones: &str) -> String {
    format!(
        r#"
[[added.service]]
name = "{name}"
team = "workshop"
replicas = {replicas}
cpu_milli = 1000
memory_mb = 1024
slots = 8
connections = 64
zones = ["{zones}"]
"#
    )
}

/// A note that adds one batch run of a single task.
pub fn small_note(name: &str) -> String {
    format!(
        r#"
[[added.batch_run]]
name = "{name}"
team = "workshop"
tasks = 1
cpu_milli = 100
memory_mb = 64
run_time_ms = 100
"#
    )
}

impl Cell {
    /// Submits a job whose tasks must not run again once they may have run.
    pub fn submit_job(&self, host: usize, name: &str, tasks: u32, run_time_ms: u64) -> Reply {
        let body = format!(
            r#"{{"name": "{name}", "team": "workshop", "tasks": {tasks},
                "demand": {{"cpu_milli": 500, "memory_mb": 256, "accelerators": 0}},
                "run_time_ms": {run_time_ms}}}"#
        );
        let key = format!("submit-{name}");
        let headers = [
            ("content-type", "application/json"),
            ("idempotency-key", key.as_str()),
        ];
        let address = &self.hosts[host].http;
        request("POST", address, "/v1/jobs", &headers, body.as_bytes())
    }

    /// Puts the first note in force and waits until every host serves its services.
    pub fn settle(&self, zones: &[&str]) {
        let reply = self.submit(0, "first", &note(zones));
        assert_eq!(reply.status, 200, "{}", reply.text());
        self.wait_for_calls(SERVICE, SETTLE);
        for zone in zones {
            let service = service_in(zone);
            wait_until(&format!("{service} runs"), SETTLE, || {
                self.job(0, &service).is_some_and(|job| job.running == 2)
            });
        }
    }

    /// Waits until all tasks of a job have completed.
    pub fn wait_for_job(&self, host: usize, job: &str, tasks: u32, limit: Duration) {
        wait_until(&format!("{job} completes"), limit, || {
            self.job(host, job)
                .is_some_and(|job| job.completed == tasks)
        });
    }
}
