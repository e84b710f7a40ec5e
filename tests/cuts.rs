//! Zones lose the store, or everything outside of them.

mod support;

use std::time::Duration;

use support::faults::Proxy;
use support::work::{SERVICE, SETTLE, service_in};
use support::{Cell, Host, faults, history, load, start_host};

const ZONES: [&str; 2] = ["muc-ost", "lan-sued"];
const HOSTS: [&str; 4] = ["muc-ost", "muc-ost", "lan-sued", "lan-sued"];
const CUT_OFF: &str = "lan-sued";
const SETTINGS: [&str; 4] = [
    "--task-lease-ms",
    "4000",
    "--worker-sync-interval-ms",
    "500",
];

/// Longer than the lease in the store and the task lease.
const CUT: Duration = Duration::from_secs(5);
const CALL_DEADLINE_MS: u64 = 5_000;

/// Starts a cell; the hosts of one zone reach the store through a forwarder.
fn start() -> (Cell, Proxy) {
    let mut cell = Cell::start_platform(&[]);
    let proxy = Proxy::start(&cell.store);
    let (direct, forwarded) = (cell.store.clone(), proxy.address.clone());
    let of_zone = |zone: &str| if zone == CUT_OFF { &forwarded } else { &direct }.clone();
    cell.start_hosts(&HOSTS, of_zone, &SETTINGS);
    cell.settle(&ZONES);
    (cell, proxy)
}

fn resumed(cell: &Cell, callers: &history::Callers, prefix: &str) {
    for (number, host) in cell.hosts.iter().enumerate() {
        let key = format!("{prefix}-{number}");
        let took = faults::time_until("keyed calls are answered again", SETTLE, || {
            callers.call(&host.http, SERVICE, Some(&key), 1_000).outcome == "done"
        });
        println!(
            "host {number} answers keyed calls after {} ms",
            took.as_millis()
        );
    }
    let accepted = cell.submit_job(HOSTS.len() - 1, "after", 4, 200);
    assert_eq!(accepted.status, 202, "{}", accepted.text());
    cell.wait_for_job(0, "after", 4, SETTLE);
}

#[test]
fn a_zone_without_the_store_serves_through_its_peers() {
    let (cell, proxy) = start();
    let callers = history::Callers::default();
    let addresses: Vec<String> = cell.hosts.iter().map(|host| host.http.clone()).collect();
    let load = load::Load::start(&callers, &addresses, SERVICE, true, CALL_DEADLINE_MS);
    proxy.set("cut");
    // The cut itself is the fault, so there is no event to wait for.
    std::thread::sleep(CUT);
    let answers = load.finish();
    load::assert_lookups_done(&answers);
    proxy.set("heal");
    resumed(&cell, &callers, "healed");
    load::assert_first_answers(&callers, &addresses[0], SERVICE, &answers);
    history::assert_promises_held(&cell.store, &callers);
}

#[test]
fn a_zone_cut_off_from_everything_answers_lookups_and_refuses_the_rest() {
    let (mut cell, proxy) = start();
    let callers = history::Callers::default();
    let inside: Vec<usize> = (0..HOSTS.len())
        .filter(|host| HOSTS[*host] == CUT_OFF)
        .collect();
    let outside: Vec<usize> = (0..HOSTS.len())
        .filter(|host| HOSTS[*host] != CUT_OFF)
        .collect();
    proxy.set("cut");
    // Seen from the zone, hosts that refuse connections are hosts beyond a cut.
    for host in &outside {
        cell.hosts[*host].process.signal("KILL");
    }
    let addresses: Vec<String> = inside
        .iter()
        .map(|host| cell.hosts[*host].http.clone())
        .collect();
    let local = service_in(CUT_OFF);
    let load = load::Load::start(&callers, &addresses, &local, false, CALL_DEADLINE_MS);
    std::thread::sleep(CUT);
    for host in &inside {
        let key = format!("cut-off-{host}");
        let address = &cell.hosts[*host].http;
        let refused = callers.call(address, &local, Some(&key), 1_000);
        assert_eq!(refused.outcome, "not_run", "{}", refused.text());
        let job = cell.submit_job(*host, &format!("cut-off-{host}"), 1, 100);
        assert_eq!(job.outcome, "not_run", "{}", job.text());
    }
    let answers = load.finish();
    load::assert_lookups_done(&answers);
    proxy.set("heal");
    for host in outside {
        let process = start_host(&cell.store, HOSTS.len() + host, HOSTS[host], &SETTINGS);
        cell.hosts[host] = Host::when_ready(process);
    }
    resumed(&cell, &callers, "joined");
    history::assert_promises_held(&cell.store, &callers);
}
