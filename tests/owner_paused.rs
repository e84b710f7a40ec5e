//! An entry host is paused beyond its lease and wakes with orders in its hands.

mod support;

use std::sync::LazyLock;
use std::time::Duration;

use kernel::history::Event;
use kernel::lifecycle;
use support::work::{SERVICE, SETTLE};
use support::{Cell, faults, history, load, wait_until};

const ZONES: [&str; 2] = ["muc-ost", "ros-nord"];
const HOSTS: [&str; 4] = ["muc-ost", "muc-ost", "ros-nord", "ros-nord"];

/// Longer than the lease in the store, the takeover and the task lease together.
const PAUSE: Duration = Duration::from_secs(8);

const CALL_DEADLINE_MS: u64 = 8_000;
const TASKS: u32 = 8;

/// What callers were answered in one run, which both tests judge.
static ANSWERS: LazyLock<Vec<load::Answered>> = LazyLock::new(|| {
    let cell = Cell::start(
        &HOSTS,
        &[
            "--task-lease-ms",
            "4000",
            "--worker-sync-interval-ms",
            "500",
        ],
    );
    cell.settle(&ZONES);
    wait_until("the first host owns a group", SETTLE, || {
        cell.view_of(1, 0)
            .is_some_and(|view| !view.groups.is_empty())
    });

    let callers = history::Callers::default();
    let others: Vec<String> = cell.hosts[1..]
        .iter()
        .map(|host| host.http.clone())
        .collect();
    let load = load::Load::start(&callers, &others, SERVICE, true, CALL_DEADLINE_MS);
    // Jobs that are on their way to the workers when the owner stops.
    for (number, host) in (1..HOSTS.len()).enumerate() {
        let accepted = cell.submit_job(host, &format!("audit-{number}"), TASKS, 1_000);
        assert_eq!(accepted.status, 202, "{}", accepted.text());
    }
    let before = refused_orders(&cell);
    cell.hosts[0].process.signal("STOP");
    // The pause itself is the fault, so there is no event to wait for.
    std::thread::sleep(PAUSE);
    cell.hosts[0].process.signal("CONT");

    wait_until("an order of the woken owner is refused", SETTLE, || {
        refused_orders(&cell) > before
    });
    let rejoined = faults::time_until("the woken host serves again", SETTLE, || {
        cell.get(0, "/ready").status == 200
            && cell.view_of(1, 0).is_some_and(|view| {
                view.phase == lifecycle::Phase::Serving && view.heard_ms_ago < 2_000
            })
    });
    println!("rejoined {} ms after it was refused", rejoined.as_millis());
    let answers = load.finish();
    load::assert_first_answers(&callers, &cell.hosts[0].http, SERVICE, &answers);
    history::assert_promises_held(&cell.store, &callers);
    answers
});

#[test]
fn a_paused_owner_is_refused_when_it_wakes() {
    // The run itself fails if no order was refused or a promise was broken.
    assert!(!ANSWERS.is_empty(), "calls were answered");
}

#[test]
fn lookups_are_answered_while_an_owner_is_paused() {
    load::assert_lookups_done(&ANSWERS);
}

/// Orders that a worker refused because their epoch was older than one it had seen.
fn refused_orders(cell: &Cell) -> usize {
    let records = history::platform_records(&cell.store);
    let refused = records
        .iter()
        .filter(|record| matches!(record.event, Event::OrderRefused { .. }));
    refused.count()
}
