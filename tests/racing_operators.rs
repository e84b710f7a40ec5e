//! Operators submit release notes through two hosts at the same moment.

mod support;

use std::time::Duration;

use checker::Expectations;
use kernel::history::{Event, Record};
use kernel::ids;
use support::work::small_note;
use support::{Cell, history, submit_note};

const ZONES: [&str; 2] = ["muc-ost", "ros-nord"];
const HOSTS: [&str; 4] = ["muc-ost", "muc-ost", "ros-nord", "lan-sued"];
const ROUNDS: usize = 6;
const POLL: Duration = Duration::from_millis(20);

#[test]
fn racing_notes_are_in_force_everywhere_or_refused() {
    let cell = Cell::start(&HOSTS, &[]);
    cell.settle(&ZONES);
    let mut records = Vec::new();
    let mut accepted = Vec::new();
    for round in 0..ROUNDS {
        let names = ["a", "b"].map(|operator| format!("extra-{round}-{operator}"));
        let replies = std::thread::scope(|scope| {
            let submits = names.each_ref().map(|name| {
                let host = usize::from(name.ends_with('b')) * 2;
                let http = cell.hosts[host].http.as_str();
                scope.spawn(move || {
                    (
                        submit_note(http, name, &small_note(name)),
                        history::now_ms(),
                    )
                })
            });
            submits.map(|submit| submit.join().expect("an operator does not panic"))
        });
        assert!(
            replies.iter().any(|(reply, _)| reply.status == 200),
            "one operator wins"
        );
        for (name, (reply, at_ms)) in names.into_iter().zip(replies) {
            let outcome = (reply.status, reply.text());
            assert!(matches!(outcome.0, 200 | 409), "{outcome:?}");
            if reply.status != 200 {
                continue;
            }
            let reply: api::SubmitReply =
                serde_json::from_slice(&reply.body).expect("a reply to a note");
            let version = reply.version;
            records.push(record(at_ms, Event::ReleaseAccepted { version }));
            accepted.push((name, version));
        }
        observe(
            &cell,
            accepted.last().expect("one was accepted").1,
            &mut records,
        );
    }
    let expectations = Expectations {
        reachable_hosts: HOSTS
            .iter()
            .enumerate()
            .map(|(index, _)| host(index))
            .collect(),
        ..Expectations::default()
    };
    let violations = checker::check_with(&records, &expectations);
    assert!(violations.is_empty(), "{violations:?}");
    for index in 0..HOSTS.len() {
        let view = current(&cell, index);
        for (name, version) in &accepted {
            assert!(view.release.version >= *version);
            let work = view.release.work.get(&ids::WorkId::new(name));
            assert!(work.is_some(), "{name} of release {version} is in force");
        }
    }
    history::assert_promises_held(&cell.store, &history::Callers::default());
}

/// Follows all hosts until each has a version in force or the time for it is over.
fn observe(cell: &Cell, version: ids::ReleaseVersion, records: &mut Vec<Record>) {
    let until_ms = history::now_ms() + checker::MAX_RELEASE_DELAY_MS + 500;
    loop {
        let mut all = true;
        for index in 0..HOSTS.len() {
            let seen = current(cell, index).release.version;
            let event = Event::ReleaseInForce {
                host: host(index),
                version: seen,
            };
            records.push(record(history::now_ms(), event));
            all &= seen >= version;
        }
        if all || history::now_ms() > until_ms {
            return;
        }
        std::thread::sleep(POLL);
    }
}

fn current(cell: &Cell, index: usize) -> api::ReleaseView {
    let reply = cell.get(index, "/v1/releases/current");
    serde_json::from_slice(&reply.body).expect("the release in force")
}

fn host(index: usize) -> ids::HostId {
    ids::HostId::new(format!("h{index}"))
}

fn record(at_ms: u64, event: Event) -> Record {
    Record {
        at_ms,
        process: "operator".to_owned(),
        event,
    }
}
