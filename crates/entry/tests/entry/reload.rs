//! Changes at run time: settings reload, a new store address, and removal of expired records.

use std::time::{Duration, Instant};

use rustix::process::Signal;
use tokio::time;

use crate::support::{self, TestCell};

/// Changed settings must take effect within this time.
const MAX_SETTINGS_DELAY: Duration = Duration::from_secs(3);

#[tokio::test]
async fn records_of_ended_jobs_are_removed_after_the_retention_period() {
    let test_cell = TestCell::start_with(2, 2, false, "bounds.status_s=1\n").await;
    let kept = support::path("batch", 2);
    for number in 0..2 {
        let path = support::path("batch", number);
        assert_eq!(test_cell.submit(0, &path, 2, "run=50").await.status, 200);
        test_cell.wait_for_state(0, &path, "completed").await;
    }
    assert_eq!(test_cell.submit(0, &kept, 1, "run=60000").await.status, 200);
    // During the retention period every host answers.
    for host in 0..2 {
        let reply = test_cell
            .call(host, "GET", &support::path("batch", 0), None)
            .await;
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    let records = |test_cell: &TestCell| test_cell.platform.store.keys("hc/j/");
    test_cell
        .wait_until("removal of both records", |test_cell| {
            records(test_cell).len() == 1
        })
        .await;
    assert!(
        records(&test_cell)[0].ends_with('2'),
        "{:?}",
        records(&test_cell)
    );
    for host in 0..2 {
        let path = support::path("batch", 0);
        assert_eq!(test_cell.call(host, "GET", &path, None).await.status, 410);
        assert_eq!(test_cell.call(host, "GET", &kept, None).await.status, 200);
    }
    test_cell.assert_no_faults();
}

#[tokio::test]
async fn changed_settings_take_effect_with_and_without_sighup() {
    struct Case {
        name: &'static str,
        line: &'static str,
        signal: bool,
        logged: &'static str,
    }
    let test_cell = TestCell::start(1, 1, false).await;
    let cases = [
        Case {
            name: "a limit, without SIGHUP",
            line: "bounds.gang_timeout_ms=2000",
            signal: false,
            logged: "changed=true waits_for_restart=false",
        },
        Case {
            name: "a limit, with SIGHUP",
            line: "bounds.hold_max_ms=5500",
            signal: true,
            logged: "changed=true waits_for_restart=false",
        },
        Case {
            name: "an unknown field",
            line: "even.later=1",
            signal: true,
            logged: "changed=false",
        },
        Case {
            name: "a listen address",
            line: "listen.front=127.0.0.1:1",
            signal: false,
            logged: "changed=false waits_for_restart=true",
        },
        Case {
            name: "an invalid value",
            line: "bounds.grace_s=soon",
            signal: false,
            logged: "entry-reload-failed",
        },
    ];
    for case in cases {
        let before = test_cell.hosts[0].log().len();
        test_cell.hosts[0].add_setting(case.line);
        if case.signal {
            test_cell.hosts[0].signal(Signal::HUP);
        }
        let changed = Instant::now();
        while !test_cell.hosts[0].log()[before..].contains(case.logged) {
            assert!(
                changed.elapsed() < MAX_SETTINGS_DELAY,
                "{}: {}",
                case.name,
                &test_cell.hosts[0].log()[before..]
            );
            time::sleep(Duration::from_millis(20)).await;
        }
    }
}

#[tokio::test]
async fn a_host_switches_to_a_new_store_address() {
    let mut test_cell = TestCell::start(1, 1, false).await;
    let address = test_cell.platform.open_second_store_address().await;
    test_cell.hosts[0].add_setting(&format!("platform.address={address}"));
    test_cell
        .wait_until("reload of the store address", |test_cell| {
            test_cell.hosts[0].log().contains("changed=true")
        })
        .await;
    let first = test_cell.platform.store_address;
    test_cell.platform.close_store_address(first);
    let path = support::path("batch", 1);
    assert_eq!(test_cell.submit(0, &path, 1, "run=50").await.status, 200);
    test_cell.wait_for_state(0, &path, "completed").await;
}
