//! Processes under test: the stand-in platform, entry hosts, and requests to them.

#![expect(dead_code, reason = "each test binary uses its own part")]

pub mod client;
pub mod collector;
pub mod faults;
pub mod history;
pub mod load;
pub mod process;
pub mod work;

pub use client::{Reply, request};
pub use process::Process;

use std::time::{Duration, Instant};

/// Zones with their regions as the daemons' `--zones` takes them.
pub const HUBER_ZONES: &str = "muc-ost=obb,ros-nord=obb,lan-sued=nbb";

/// The zone of each of the seven entry hosts.
pub const HUBER_HOSTS: [&str; 7] = [
    "muc-ost", "muc-ost", "muc-ost", "ros-nord", "ros-nord", "lan-sued", "lan-sued",
];

/// The stand-in platform and the entry hosts of one firm.
#[derive(Debug)]
pub struct Cell {
    /// The stand-in platform.
    pub platform: Process,
    /// Address of the store, the list of workers and the administration.
    pub store: String,
    /// The entry hosts, in the order of the zones given.
    pub hosts: Vec<Host>,
}

/// One entry host.
#[derive(Debug)]
pub struct Host {
    /// The process.
    pub process: Process,
    /// Address of its HTTP port.
    pub http: String,
    /// Address of its port for peers.
    pub peers: String,
}

impl Cell {
    /// Starts the platform and one entry host for each zone given, and waits until all serve.
    pub fn start(zones: &[&str], extra: &[&str]) -> Self {
        let mut cell = Self::start_platform(&[]);
        let store = cell.store.clone();
        cell.start_hosts(zones, |_| store.clone(), extra);
        cell
    }

    /// Starts the platform alone.
    pub fn start_platform(extra: &[&str]) -> Self {
        let mut arguments = vec!["platform", "--listen", "127.0.0.1:0", "--firm", "huber"];
        arguments.extend(extra);
        let mut platform = Process::start(env!("CARGO_BIN_EXE_hickory-standin"), &arguments);
        let line = platform.wait_for_line("ready ");
        Self {
            platform,
            store: field(&line, "store"),
            hosts: Vec::new(),
        }
    }

    /// Starts one more entry host for each zone given, and waits until all serve.
    ///
    /// `store` gives the address at which the hosts of a zone reach the store.
    pub fn start_hosts(&mut self, zones: &[&str], store: impl Fn(&str) -> String, extra: &[&str]) {
        let first = self.hosts.len();
        let processes: Vec<Process> = zones
            .iter()
            .enumerate()
            .map(|(index, zone)| start_host(&store(zone), first + index, zone, extra))
            .collect();
        let hosts = processes.into_iter().map(Host::when_ready);
        self.hosts.extend(hosts);
    }

    /// Submits a release note through a host.
    pub fn submit(&self, host: usize, submitter: &str, note: &str) -> Reply {
        submit_note(&self.hosts[host].http, submitter, note)
    }

    /// Status of a job, if it is known.
    pub fn job(&self, host: usize, job: &str) -> Option<api::JobStatus> {
        let reply = request(
            "GET",
            &self.hosts[host].http,
            &format!("/v1/jobs/{job}"),
            &[],
            b"",
        );
        serde_json::from_slice(&reply.body).ok()
    }
}

impl Host {
    /// Waits until a host serves.
    pub fn when_ready(mut process: Process) -> Self {
        let line = process.wait_for_line("ready ");
        Self {
            http: field(&line, "http"),
            peers: field(&line, "peers"),
            process,
        }
    }
}

/// Submits a release note through the host at an address.
pub fn submit_note(http: &str, submitter: &str, note: &str) -> Reply {
    let headers = [("x-submitter-id", submitter)];
    request("POST", http, "/v1/releases", &headers, note.as_bytes())
}

/// Starts one entry host that connects to a store.
pub fn start_host(store: &str, index: usize, zone: &str, extra: &[&str]) -> Process {
    start_host_at("127.0.0.1:0", store, index, zone, extra)
}

/// Starts one entry host that serves callers at an address.
pub fn start_host_at(
    listen: &str,
    store: &str,
    index: usize,
    zone: &str,
    extra: &[&str],
) -> Process {
    let name = format!("h{index}");
    let mut arguments = vec![
        "serve",
        "--name",
        &name,
        "--zone",
        zone,
        "--zones",
        HUBER_ZONES,
        "--listen",
        listen,
        "--peer-listen",
        "127.0.0.1:0",
        "--platform-address",
        store,
        "--store-region",
        "obb",
    ];
    arguments.extend(extra);
    Process::start(env!("CARGO_BIN_EXE_hickoryd"), &arguments)
}

/// The value of `NAME=VALUE` in a line.
pub fn field(line: &str, name: &str) -> String {
    let prefix = format!("{name}=");
    line.split_whitespace()
        .find_map(|part| part.strip_prefix(prefix.as_str()))
        .unwrap_or_else(|| panic!("no {name} in {line:?}"))
        .to_owned()
}

/// Waits until a condition holds; fails the test with what was waited for if it never does.
pub fn wait_until(what: &str, limit: Duration, mut holds: impl FnMut() -> bool) {
    const POLL: Duration = Duration::from_millis(20);
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < limit, "timed out: {what}");
        std::thread::sleep(POLL);
    }
}
