//! The store is away for longer than every lease.

mod support;

use std::sync::LazyLock;
use std::time::Duration;

use indexmap::IndexMap;
use kernel::history::{Event, Record};
use kernel::ids;
use support::work::{SERVICE, SETTLE};
use support::{Cell, faults, history, load, wait_until};

const ZONES: [&str; 2] = ["muc-ost", "ros-nord"];
const HOSTS: [&str; 4] = ["muc-ost", "muc-ost", "ros-nord", "ros-nord"];

/// Longer than the lease in the store (3 s) and the task lease (4 s).
const OUTAGE: Duration = Duration::from_secs(6);

const SETTINGS: [&str; 4] = [
    "--task-lease-ms",
    "4000",
    "--worker-sync-interval-ms",
    "500",
];
const KEYED_DEADLINE_MS: u64 = 1_000;
const RUN_TIME_MS: u64 = 8_000;
const CALL_DEADLINE_MS: u64 = 5_000;
const TASKS: u32 = 12;

/// What callers and the platform saw.
struct Seen {
    lookups: Vec<load::Answered>,
    /// Answers to keyed calls and to jobs during the outage.
    refusals: Vec<support::Reply>,
    records: Vec<Record>,
}

/// One run, which the tests judge.
static SEEN: LazyLock<Seen> = LazyLock::new(|| {
    let cell = Cell::start(&HOSTS, &SETTINGS);
    cell.settle(&ZONES);
    let accepted = cell.submit_job(1, "audit", TASKS, RUN_TIME_MS);
    assert_eq!(accepted.status, 202, "{}", accepted.text());
    wait_until("all tasks run", SETTLE, || {
        cell.job(0, "audit").is_some_and(|job| job.running == TASKS)
    });

    let callers = history::Callers::default();
    cell.fault(r#"{"fault": "store_down", "down": true}"#);
    let addresses: Vec<String> = cell.hosts.iter().map(|host| host.http.clone()).collect();
    let load = load::Load::start(&callers, &addresses, SERVICE, false, CALL_DEADLINE_MS);
    // The outage itself is the fault, so there is no event to wait for.
    std::thread::sleep(OUTAGE);
    let mut refusals = Vec::new();
    for (number, host) in addresses.iter().enumerate() {
        let key = format!("refused-{number}");
        refusals.push(callers.call(host, SERVICE, Some(&key), KEYED_DEADLINE_MS));
    }
    refusals.push(cell.submit_job(0, "late", 1, 100));
    let lookups = load.finish();

    cell.fault(r#"{"fault": "store_down", "down": false}"#);
    let recovered = faults::time_until("every host takes keyed calls again", SETTLE, || {
        let mut hosts = addresses.iter().enumerate();
        hosts.all(|(number, host)| {
            let key = format!("after-{number}");
            let reply = callers.call(host, SERVICE, Some(&key), KEYED_DEADLINE_MS);
            reply.outcome == "done"
        })
    });
    println!("keyed calls again after {} ms", recovered.as_millis());
    cell.wait_for_job(0, "audit", TASKS, SETTLE);
    Seen {
        lookups,
        refusals,
        records: history::assert_promises_held(&cell.store, &callers),
    }
});

#[test]
fn lookups_go_on_without_the_store() {
    load::assert_lookups_done(&SEEN.lookups);
}

#[test]
fn running_tasks_go_on_without_the_store() {
    let starts = starts_of(&SEEN.records, "audit");
    assert_eq!(starts.len(), TASKS as usize);
    for (task, starts) in starts {
        assert_eq!(starts, 1, "{task} ran on through the outage");
    }
}

#[test]
fn keyed_calls_and_jobs_are_refused_as_not_run_without_the_store() {
    for reply in &SEEN.refusals {
        assert_eq!(reply.outcome, "not_run", "{}", reply.text());
    }
}

/// How often each task of some work was started.
fn starts_of(records: &[Record], work: &str) -> IndexMap<ids::TaskId, u32> {
    let mut starts = IndexMap::new();
    for record in records {
        if let Event::TaskStarted { run, .. } = &record.event
            && run.task.work.as_str() == work
        {
            *starts.entry(run.task.clone()).or_default() += 1;
        }
    }
    starts
}
