//! Selection of the hosts that relay calls to workers.

use hickorychute_cell::routing::{Relay, RoutingTable};
use indexmap::IndexMap;

fn relay(name: &str, zone: &str, cpu_millicores: u64) -> Relay {
    Relay {
        name: name.into(),
        zone: zone.into(),
        cpu_millicores,
    }
}

fn regions() -> IndexMap<String, String> {
    [
        ("north-a", "north"),
        ("north-b", "north"),
        ("south-a", "south"),
    ]
    .map(|(zone, region)| (zone.to_owned(), region.to_owned()))
    .into()
}

fn selected_host(routes: &RoutingTable, worker: usize, zone: &str, unavailable: &[&str]) -> String {
    let usable = |host: &str| !unavailable.contains(&host);
    let relay = routes.select_relay(&format!("worker-{worker}"), zone, 0, "lead", usable);
    relay.map_or(String::new(), |relay| relay.name.to_string())
}

#[test]
fn nearest_reachable_hosts_relay() {
    struct Case {
        name: &'static str,
        unavailable: &'static [&'static str],
        expected: &'static [&'static str],
    }
    let routes = RoutingTable::new(
        vec![
            relay("lead", "north-a", 500),
            relay("a1", "north-a", 120),
            relay("a2", "north-a", 120),
            relay("b1", "north-b", 120),
            relay("s1", "south-a", 500),
        ],
        regions(),
    );
    let cases = [
        Case {
            name: "hosts of the zone other than the coordinator",
            unavailable: &[],
            expected: &["a1", "a2"],
        },
        Case {
            name: "remaining host of the zone",
            unavailable: &["a1"],
            expected: &["a2"],
        },
        Case {
            name: "coordinator before another zone",
            unavailable: &["a1", "a2"],
            expected: &["lead"],
        },
        Case {
            name: "other zone of the region",
            unavailable: &["a1", "a2", "lead"],
            expected: &["b1"],
        },
        Case {
            name: "other region",
            unavailable: &["a1", "a2", "lead", "b1"],
            expected: &["s1"],
        },
        Case {
            name: "no host",
            unavailable: &["a1", "a2", "lead", "b1", "s1"],
            expected: &[""],
        },
    ];
    for case in cases {
        for worker in 0..50 {
            let host = selected_host(&routes, worker, "north-a", case.unavailable);
            assert!(
                case.expected.contains(&host.as_str()),
                "{}: {host}",
                case.name
            );
        }
    }
}

/// 540 workers are distributed over the hosts of a large cell, of which one fails.
#[test]
fn workers_are_spread_by_cpu_and_move_only_off_an_unavailable_host() {
    let strong = (0..3).map(|n| relay(&format!("strong-{n}"), "north-a", 500));
    let weak = (0..12).map(|n| relay(&format!("weak-{n}"), "north-a", 125));
    let routes = RoutingTable::new(strong.chain(weak).collect(), regions());
    let place = |unavailable: &[&str]| -> Vec<String> {
        (0..540)
            .map(|worker| selected_host(&routes, worker, "north-a", unavailable))
            .collect()
    };
    let before = place(&[]);
    let on = |host: &str| before.iter().filter(|name| *name == host).count();
    for n in 0..3 {
        let share = on(&format!("strong-{n}"));
        assert!((60..=120).contains(&share), "strong-{n} carries {share}");
    }
    for n in 0..12 {
        let share = on(&format!("weak-{n}"));
        assert!((8..=40).contains(&share), "weak-{n} carries {share}");
    }
    let after = place(&["strong-1"]);
    for (worker, (before, after)) in before.iter().zip(&after).enumerate() {
        let stays = before == after;
        assert_eq!(
            stays,
            before != "strong-1",
            "worker-{worker}: {before} to {after}"
        );
    }
}

#[test]
fn each_detour_selects_another_host() {
    let hosts = (0..4).map(|n| relay(&format!("h{n}"), "north-a", 250));
    let routes = RoutingTable::new(hosts.collect(), regions());
    let mut selected: Vec<String> = (0..4)
        .filter_map(|attempt| routes.select_relay("w", "north-a", attempt, "", |_| true))
        .map(|relay| relay.name.to_string())
        .collect();
    selected.sort();
    assert_eq!(selected, ["h0", "h1", "h2", "h3"]);
}

#[test]
fn one_host_of_a_zone_fetches_for_all() {
    let hosts = [
        relay("a1", "north-a", 250),
        relay("a2", "north-a", 250),
        relay("b1", "north-b", 250),
    ];
    let one_order = RoutingTable::new(hosts.to_vec(), regions());
    let other_order = RoutingTable::new(hosts.iter().rev().cloned().collect(), regions());
    for job in 0..20 {
        let key = format!("job-{job}");
        let fetcher = one_order
            .select_fetcher(&key, "north-a")
            .map(|fetcher| &fetcher.name);
        assert!(fetcher.is_some_and(|name| name.starts_with('a')));
        assert_eq!(
            fetcher,
            other_order.select_fetcher(&key, "north-a").map(|d| &d.name)
        );
    }
    assert_eq!(one_order.select_fetcher("job", "nowhere"), None);
}
