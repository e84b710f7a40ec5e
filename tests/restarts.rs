//! All entry hosts are restarted, at once and one after another.

mod support;

use std::process::Command;
use std::sync::LazyLock;
use std::time::Duration;

use kernel::history::Event;
use support::work::{SERVICE, SETTLE};
use support::{Cell, Host, history, start_host_at, wait_until};

const ZONES: [&str; 2] = ["muc-ost", "ros-nord"];
const HOSTS: [&str; 4] = ["muc-ost", "muc-ost", "ros-nord", "ros-nord"];
const SETTINGS: [&str; 2] = ["--worker-sync-interval-ms", "500"];

const JOBS: usize = 6;
const TASKS: u32 = 4;
const DRAIN: Duration = Duration::from_secs(10);

#[test]
fn jobs_accepted_before_a_restart_of_everything_complete_once() {
    let mut cell = Cell::start(&HOSTS, &SETTINGS);
    cell.settle(&ZONES);
    for number in 0..JOBS {
        let host = number % HOSTS.len();
        let accepted = cell.submit_job(host, &format!("audit-{number}"), TASKS, 3_000);
        assert_eq!(accepted.status, 202, "{}", accepted.text());
    }
    for host in &cell.hosts {
        host.process.signal("KILL");
    }
    cell.hosts.clear();
    let store = cell.store.clone();
    cell.start_hosts(&HOSTS, |_| store.clone(), &SETTINGS);

    for number in 0..JOBS {
        let job = format!("audit-{number}");
        cell.wait_for_job(0, &job, TASKS, SETTLE + SETTLE);
    }
    cell.wait_for_calls(SERVICE, SETTLE);
    let records = history::assert_promises_held(&cell.store, &history::Callers::default());
    let completed = records.iter().filter(|record| {
        matches!(&record.event, Event::TaskEnded { run, completed: true, .. }
            if run.task.work.as_str().starts_with("audit-"))
    });
    assert_eq!(completed.count(), JOBS * TASKS as usize);
}

/// The report of the load while all hosts are replaced one after another.
static REPORT: LazyLock<serde_json::Value> = LazyLock::new(|| {
    let mut cell = Cell::start(&HOSTS, &SETTINGS);
    cell.settle(&ZONES);
    let backends: Vec<String> = cell.hosts.iter().map(|host| host.http.clone()).collect();
    let standin = env!("CARGO_BIN_EXE_hickory-standin");
    let mut balancer =
        support::Process::start(standin, &["balancer", "--backends", &backends.join(",")]);
    let target = support::field(&balancer.wait_for_line("ready "), "balancer");
    let ready = |path: &str| support::request("GET", &target, path, &[], b"").status == 200;
    wait_until("the balancer forwards", SETTLE, || ready("/ready"));

    let arguments = [
        "load",
        "--target",
        &target,
        "--service",
        SERVICE,
        "--rate",
        "50",
        "--seconds",
        "16",
        "--deadline-ms",
        "8000",
        "--key-percent",
        "20",
        "--output",
        "json",
    ];
    let load = std::thread::spawn({
        let mut command = Command::new(standin);
        command.args(arguments);
        move || command.output().expect("the load runs")
    });
    for (index, zone) in HOSTS.iter().enumerate() {
        let host = &mut cell.hosts[index];
        host.process.signal("TERM");
        let status = host.process.wait(DRAIN);
        assert!(status.success(), "a drained host ends with {status}");
        // In the place and at the address of the one before, as the balancer knows it.
        let (http, number) = (host.http.clone(), HOSTS.len() + index);
        let process = start_host_at(&http, &cell.store, number, zone, &SETTINGS);
        cell.hosts[index] = Host::when_ready(process);
    }
    assert!(
        !load.is_finished(),
        "the load lasted through all replacements"
    );
    let output = load.join().expect("the load does not panic");
    history::assert_promises_held(&cell.store, &history::Callers::default());
    serde_json::from_slice(&output.stdout).expect("the load prints a report")
});

#[test]
fn no_request_is_cut_while_all_hosts_are_replaced() {
    let outcomes = REPORT["outcomes"].as_object().expect("counts by outcome");
    for cut in ["cut", "lost", "crossed", "timeout", "unknown"] {
        let found = outcomes.keys().find(|kind| kind.starts_with(cut));
        assert_eq!(found, None, "{}", *REPORT);
    }
}

#[test]
fn no_request_is_refused_while_all_hosts_are_replaced() {
    let report = &*REPORT;
    assert_eq!(report["outcomes"]["done"], report["requests"], "{report}");
}
