//! What changes while a host runs on: its settings, and records that have served their time.

use std::time::{Duration, Instant};

use rustix::process::Signal;
use tokio::time;

use crate::support::{self, World};

/// Settings must be in force within this time after the file has changed.
const SETTINGS_BOUND: Duration = Duration::from_secs(3);

#[tokio::test]
async fn records_of_ended_jobs_go_once_clients_may_no_longer_ask() {
    let world = World::start_with(2, 2, false, "bounds.status_s=1\n").await;
    let kept = support::path("batch", 2);
    for number in 0..2 {
        let path = support::path("batch", number);
        assert_eq!(world.submit(0, &path, 2, "run=50").await.status, 200);
        world.wait_for_state(0, &path, "completed").await;
    }
    assert_eq!(world.submit(0, &kept, 1, "run=60000").await.status, 200);
    // For as long as clients may ask, every host answers.
    for host in 0..2 {
        let reply = world
            .call(host, "GET", &support::path("batch", 0), None)
            .await;
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    let records = |world: &World| world.platform.store.keys("hc/j/");
    world
        .wait_until("removal of both records", |world| records(world).len() == 1)
        .await;
    assert!(records(&world)[0].ends_with('2'), "{:?}", records(&world));
    for host in 0..2 {
        let path = support::path("batch", 0);
        assert_eq!(world.call(host, "GET", &path, None).await.status, 410);
        assert_eq!(world.call(host, "GET", &kept, None).await.status, 200);
    }
    world.assert_sound();
}

#[tokio::test]
async fn changed_settings_take_force_with_and_without_a_signal() {
    struct Case {
        name: &'static str,
        line: &'static str,
        signal: bool,
        logged: &'static str,
    }
    let world = World::start(1, 1, false).await;
    let cases = [
        Case {
            name: "a bound, without a signal",
            line: "bounds.gang_timeout_ms=2000",
            signal: false,
            logged: "changed=true waits_for_restart=false",
        },
        Case {
            name: "another bound, with one",
            line: "bounds.hold_max_ms=5500",
            signal: true,
            logged: "changed=true waits_for_restart=false",
        },
        Case {
            name: "a field that is not known",
            line: "even.later=1",
            signal: true,
            logged: "changed=false",
        },
        Case {
            name: "an address that is listened on",
            line: "listen.front=127.0.0.1:1",
            signal: false,
            logged: "changed=false waits_for_restart=true",
        },
        Case {
            name: "a value that cannot be read",
            line: "bounds.grace_s=soon",
            signal: false,
            logged: "entry-reload-failed",
        },
    ];
    for case in cases {
        let before = world.hosts[0].log().len();
        world.hosts[0].add_setting(case.line);
        if case.signal {
            world.hosts[0].signal(Signal::HUP);
        }
        let changed = Instant::now();
        while !world.hosts[0].log()[before..].contains(case.logged) {
            assert!(
                changed.elapsed() < SETTINGS_BOUND,
                "{}: {}",
                case.name,
                &world.hosts[0].log()[before..]
            );
            time::sleep(Duration::from_millis(20)).await;
        }
    }
}

#[tokio::test]
async fn a_host_follows_the_store_to_another_address() {
    let mut world = World::start(1, 1, false).await;
    let address = world.platform.open_second_store_address().await;
    world.hosts[0].add_setting(&format!("platform.address={address}"));
    world
        .wait_until("calls at the other address", |world| {
            world.hosts[0].log().contains("changed=true")
        })
        .await;
    let first = world.platform.store_address;
    world.platform.close_store_address(first);
    let path = support::path("batch", 1);
    assert_eq!(world.submit(0, &path, 1, "run=50").await.status, 200);
    world.wait_for_state(0, &path, "completed").await;
}
