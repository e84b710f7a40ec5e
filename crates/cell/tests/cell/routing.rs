//! Which host carries calls to which worker.

use hickorychute_cell::routing::{Carrier, Routes};
use indexmap::IndexMap;

fn carrier(name: &str, zone: &str, cpu_millicores: u64) -> Carrier {
    Carrier {
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

fn chosen(routes: &Routes, worker: usize, zone: &str, away: &[&str]) -> String {
    let usable = |host: &str| !away.contains(&host);
    let carrier = routes.carrier(&format!("worker-{worker}"), zone, 0, "lead", usable);
    carrier.map_or(String::new(), |carrier| carrier.name.to_string())
}

#[test]
fn the_nearest_hosts_that_answer_carry() {
    struct Case {
        name: &'static str,
        away: &'static [&'static str],
        from: &'static [&'static str],
    }
    let routes = Routes::new(
        vec![
            carrier("lead", "north-a", 500),
            carrier("a1", "north-a", 120),
            carrier("a2", "north-a", 120),
            carrier("b1", "north-b", 120),
            carrier("s1", "south-a", 500),
        ],
        regions(),
    );
    let cases = [
        Case {
            name: "hosts of the zone, but not the one that coordinates",
            away: &[],
            from: &["a1", "a2"],
        },
        Case {
            name: "the other one of the zone",
            away: &["a1"],
            from: &["a2"],
        },
        Case {
            name: "the one that coordinates before another zone",
            away: &["a1", "a2"],
            from: &["lead"],
        },
        Case {
            name: "another zone of the region",
            away: &["a1", "a2", "lead"],
            from: &["b1"],
        },
        Case {
            name: "another region",
            away: &["a1", "a2", "lead", "b1"],
            from: &["s1"],
        },
        Case {
            name: "nobody",
            away: &["a1", "a2", "lead", "b1", "s1"],
            from: &[""],
        },
    ];
    for case in cases {
        for worker in 0..50 {
            let host = chosen(&routes, worker, "north-a", case.away);
            assert!(case.from.contains(&host.as_str()), "{}: {host}", case.name);
        }
    }
}

/// Pattern: 540 workers over the hosts of a large cell, of which one dies.
#[test]
fn workers_are_spread_by_processor_and_move_only_off_a_host_that_is_away() {
    let strong = (0..3).map(|n| carrier(&format!("strong-{n}"), "north-a", 500));
    let weak = (0..12).map(|n| carrier(&format!("weak-{n}"), "north-a", 125));
    let routes = Routes::new(strong.chain(weak).collect(), regions());
    let place = |away: &[&str]| -> Vec<String> {
        (0..540)
            .map(|worker| chosen(&routes, worker, "north-a", away))
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
fn each_detour_leads_over_another_host() {
    let hosts = (0..4).map(|n| carrier(&format!("h{n}"), "north-a", 250));
    let routes = Routes::new(hosts.collect(), regions());
    let mut ways: Vec<String> = (0..4)
        .filter_map(|detour| routes.carrier("w", "north-a", detour, "", |_| true))
        .map(|carrier| carrier.name.to_string())
        .collect();
    ways.sort();
    assert_eq!(ways, ["h0", "h1", "h2", "h3"]);
}

#[test]
fn one_host_of_a_zone_fetches_for_all() {
    let hosts = [
        carrier("a1", "north-a", 250),
        carrier("a2", "north-a", 250),
        carrier("b1", "north-b", 250),
    ];
    let one_order = Routes::new(hosts.to_vec(), regions());
    let other_order = Routes::new(hosts.iter().rev().cloned().collect(), regions());
    for job in 0..20 {
        let key = format!("job-{job}");
        let depot = one_order.depot(&key, "north-a").map(|depot| &depot.name);
        assert!(depot.is_some_and(|name| name.starts_with('a')));
        assert_eq!(depot, other_order.depot(&key, "north-a").map(|d| &d.name));
    }
    assert_eq!(one_order.depot("job", "nowhere"), None);
}
