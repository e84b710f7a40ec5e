//! A worker is about to leave while calls go on.

mod support;

use std::sync::LazyLock;
use std::time::Duration;

use kernel::history::{Event, Record};
use kernel::ids;
use support::work::SERVICE;
use support::{Cell, history, load};

const ZONES: [&str; 2] = ["muc-ost", "ros-nord"];
const HOSTS: [&str; 4] = ["muc-ost", "muc-ost", "ros-nord", "ros-nord"];

/// Calls go on for longer than a leaving upstream may get new ones (3 s).
const WATCHED: Duration = Duration::from_secs(6);
const CALL_DEADLINE_MS: u64 = 5_000;

/// What callers and the platform saw.
struct Seen {
    answers: Vec<load::Answered>,
    records: Vec<Record>,
}

/// One run, which both tests judge.
static SEEN: LazyLock<Seen> = LazyLock::new(|| {
    let mut cell = Cell::start_platform(&["--list-lag-ms", "1000"]);
    let store = cell.store.clone();
    let settings = ["--worker-sync-interval-ms", "500"];
    cell.start_hosts(&HOSTS, |_| store.clone(), &settings);
    cell.settle(&ZONES);
    let callers = history::Callers::default();
    let addresses: Vec<String> = cell.hosts.iter().map(|host| host.http.clone()).collect();
    let load = load::Load::start(&callers, &addresses, SERVICE, true, CALL_DEADLINE_MS);
    let worker = worker_of(&history::platform_records(&cell.store));
    cell.leave(worker.as_str());
    // Calls go on for a given time, so there is no event to wait for.
    std::thread::sleep(WATCHED);
    Seen {
        answers: load.finish(),
        records: history::assert_promises_held(&cell.store, &callers),
    }
});

/// The worker on which the first instance was started.
fn worker_of(records: &[Record]) -> ids::WorkerId {
    let worker = records.iter().find_map(|record| match &record.event {
        Event::TaskStarted { worker, run, .. } if run.task.work.as_str() == SERVICE => {
            Some(worker.clone())
        }
        _ => None,
    });
    worker.expect("an instance runs")
}

#[test]
fn a_leaving_upstream_gets_no_new_call() {
    let mut records = SEEN.records.iter();
    let left = records.any(|record| matches!(record.event, Event::UpstreamLeaving { .. }));
    assert!(left, "an instance was told to leave");
}

#[test]
fn lookups_are_answered_while_an_upstream_leaves() {
    load::assert_lookups_done(&SEEN.answers);
}
