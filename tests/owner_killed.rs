//! An entry host that owns a rack group and journal shards dies under load.

mod support;

use std::time::Duration;

use support::work::{SERVICE, SETTLE};
use support::{Cell, faults, history, load, wait_until};

const ZONES: [&str; 2] = ["muc-ost", "ros-nord"];
const HOSTS: [&str; 4] = ["muc-ost", "muc-ost", "ros-nord", "ros-nord"];

/// The lease in the store lapses at most this long after its holder's death.
const STORE_LEASE: Duration = Duration::from_secs(3);
/// Target: a dead host's units are taken over this long after its lease has lapsed.
const TAKEOVER: Duration = Duration::from_secs(3);

const CALL_DEADLINE_MS: u64 = 8_000;
const TASKS: u32 = 12;

#[test]
fn a_killed_owner_is_replaced_and_no_key_runs_twice() {
    let cell = Cell::start(
        &HOSTS,
        &[
            "--task-lease-ms",
            "15000",
            "--worker-sync-interval-ms",
            "500",
        ],
    );
    cell.settle(&ZONES);
    wait_until("the first host owns a group and a shard", SETTLE, || {
        cell.view_of(1, 0)
            .is_some_and(|view| !view.groups.is_empty() && !view.shards.is_empty())
    });
    let accepted = cell.submit_job(1, "audit", TASKS, 3_000);
    assert_eq!(accepted.status, 202, "{}", accepted.text());

    let callers = history::Callers::default();
    let survivors: Vec<String> = cell.hosts[1..]
        .iter()
        .map(|host| host.http.clone())
        .collect();
    let load = load::Load::start(&callers, &survivors, SERVICE, true, CALL_DEADLINE_MS);
    wait_until("calls run", SETTLE, || {
        history::platform_records(&cell.store).len() > 50
    });
    let lost = cell.view_of(1, 0).expect("the first host is known");
    cell.hosts[0].process.signal("KILL");
    let elapsed = faults::time_until(
        "others own the dead host's groups and shards",
        STORE_LEASE + TAKEOVER,
        || {
            let address = &cell.hosts[0].http;
            let mut views = cell.views(1);
            views.retain(|view| &view.address != address);
            lost.groups.iter().all(|lost| {
                views.iter().flat_map(|view| &view.groups).any(|group| {
                    (&group.zone, group.index) == (&lost.zone, lost.index)
                        && group.epoch > lost.epoch
                })
            }) && lost.shards.iter().all(|lost| {
                views
                    .iter()
                    .flat_map(|view| &view.shards)
                    .any(|shard| shard.shard == lost.shard && shard.epoch > lost.epoch)
            })
        },
    );
    println!("taken over {} ms after the kill", elapsed.as_millis());
    cell.wait_for_job(1, "audit", TASKS, SETTLE);
    let answers = load.finish();
    load::assert_lookups_done(&answers);
    load::assert_first_answers(&callers, &survivors[0], SERVICE, &answers);
    history::assert_promises_held(&cell.store, &callers);
}
