//! Faults and views of the cell under test.

use std::time::{Duration, Instant};

use super::client::request;
use super::process::Process;
use super::{Cell, field, wait_until};

/// A TCP forwarder that can be cut.
#[derive(Debug)]
pub struct Proxy {
    process: Process,
    /// Where connections are accepted.
    pub address: String,
    control: String,
}

impl Proxy {
    /// Starts a forwarder to an address.
    pub fn start(to: &str) -> Self {
        let mut process = Process::start(
            env!("CARGO_BIN_EXE_hickory-standin"),
            &["proxy", "--to", to],
        );
        let line = process.wait_for_line("ready ");
        Self {
            process,
            address: field(&line, "proxy"),
            control: field(&line, "control"),
        }
    }

    /// Sets a mode: `cut`, `freeze` or `heal`.
    pub fn set(&self, mode: &str) {
        let path = format!("/{mode}");
        let reply = request("POST", &self.control, &path, &[], b"");
        assert_eq!(reply.status, 204, "the forwarder takes {path}");
    }
}

impl Cell {
    /// Applies a fault of the stand-in, as JSON.
    pub fn fault(&self, fault: &str) {
        let headers = [("content-type", "application/json")];
        let reply = request(
            "POST",
            &self.store,
            "/admin/faults",
            &headers,
            fault.as_bytes(),
        );
        assert_eq!(reply.status, 200, "{}", reply.text());
    }

    /// Tells a worker to leave.
    pub fn leave(&self, worker: &str) {
        let path = format!("/admin/workers/{worker}/leave");
        let reply = request("POST", &self.store, &path, &[], b"");
        assert_eq!(reply.status, 200, "{}", reply.text());
    }

    /// The hosts as one of them sees them.
    pub fn views(&self, host: usize) -> Vec<api::HostView> {
        let reply = request("GET", &self.hosts[host].http, "/v1/hosts", &[], b"");
        serde_json::from_slice(&reply.body).unwrap_or_default()
    }

    /// The view that `asked` has of the host with an index.
    pub fn view_of(&self, asked: usize, index: usize) -> Option<api::HostView> {
        let address = &self.hosts[index].http;
        let views = self.views(asked);
        views.into_iter().find(|view| &view.address == address)
    }

    /// Waits until every host serves a service.
    pub fn wait_for_calls(&self, service: &str, limit: Duration) {
        for host in &self.hosts {
            wait_until(&format!("{} serves {service}", host.http), limit, || {
                let path = format!("/v1/call/{service}/ready");
                request("POST", &host.http, &path, &[], b"ready").outcome == "done"
            });
        }
    }

    /// The status of the first answer that a host gives to `GET` on a path.
    pub fn get(&self, host: usize, path: &str) -> super::Reply {
        request("GET", &self.hosts[host].http, path, &[], b"")
    }
}

/// Time that a condition takes to hold; fails the test if that is longer than the limit.
pub fn time_until(what: &str, limit: Duration, holds: impl FnMut() -> bool) -> Duration {
    let started = Instant::now();
    wait_until(what, limit, holds);
    started.elapsed()
}
