//! Selection of a group for a call.

use hickorychute_calls as calls;
use indexmap::IndexMap;
use kernel::errors::ErrorKind;
use kernel::ids;

const STALE_AFTER_MS: u64 = 5_000;

fn config() -> calls::RouterConfig {
    let mut regions = IndexMap::new();
    for (zone, region) in [("muc-ost", "obb"), ("ros-nord", "obb"), ("lan-sued", "nbb")] {
        regions.insert(ids::ZoneId::new(zone), ids::RegionId::new(region));
    }
    calls::RouterConfig::new(&ids::ZoneId::new("muc-ost"), regions)
}

fn group(name: &str) -> ids::GroupId {
    name.parse().unwrap()
}

fn service() -> ids::WorkId {
    ids::WorkId::new("bankbuch")
}

/// Reported load and state of a group.
struct GroupCase {
    name: &'static str,
    free_slots: u32,
    queue_delay_ms: u64,
    draining: bool,
    reachable: bool,
    failures: u32,
}

const fn free(name: &'static str) -> GroupCase {
    GroupCase {
        name,
        free_slots: 64,
        queue_delay_ms: 0,
        draining: false,
        reachable: true,
        failures: 0,
    }
}

const fn busy(name: &'static str, queue_delay_ms: u64) -> GroupCase {
    GroupCase {
        free_slots: 0,
        queue_delay_ms,
        ..free(name)
    }
}

fn router(groups: &[GroupCase]) -> calls::Router {
    let mut router = calls::Router::new(config(), 11);
    for case in groups {
        let load = calls::GroupLoad {
            instances: 8,
            free_slots: case.free_slots,
            queue_delay_ms: case.queue_delay_ms,
        };
        let group = group(case.name);
        router.observe(&group, &service(), load, 0);
        router.set_state(&group, case.draining, case.reachable);
        for _ in 0..case.failures {
            router.record_failure(&group, 0);
        }
    }
    router
}

fn pick(
    router: &mut calls::Router,
    tried: &[ids::GroupId],
    link_bytes: u64,
    now_ms: u64,
) -> Result<String, ErrorKind> {
    let service = service();
    let request = calls::RouteRequest {
        service: &service,
        link_bytes,
        tried,
    };
    let route = router.pick(&request, now_ms);
    route
        .map(|route| route.group.to_string())
        .map_err(|error| error.kind)
}

struct Case {
    name: &'static str,
    groups: Vec<GroupCase>,
    tried: Vec<&'static str>,
    now_ms: u64,
    expected: Result<&'static str, ErrorKind>,
}

fn case(
    name: &'static str,
    groups: Vec<GroupCase>,
    expected: Result<&'static str, ErrorKind>,
) -> Case {
    Case {
        name,
        groups,
        tried: Vec::new(),
        now_ms: 1,
        expected,
    }
}

#[test]
fn the_nearest_eligible_group_is_selected() {
    let all = || vec![free("muc-ost#0"), free("ros-nord#0"), free("lan-sued#0")];
    let cases = [
        case("own zone", all(), Ok("muc-ost#0")),
        Case {
            tried: vec!["muc-ost#0"],
            ..case("own region next", all(), Ok("ros-nord#0"))
        },
        Case {
            tried: vec!["muc-ost#0", "ros-nord#0"],
            ..case("then across the link", all(), Ok("lan-sued#0"))
        },
        case(
            "a short wait in the own zone is preferred to another zone",
            vec![busy("muc-ost#0", 10), free("ros-nord#0")],
            Ok("muc-ost#0"),
        ),
        case(
            "another zone is preferred to a long wait in the own zone",
            vec![
                busy("muc-ost#0", 100),
                free("ros-nord#0"),
                free("lan-sued#0"),
            ],
            Ok("ros-nord#0"),
        ),
        case(
            "an equal wait elsewhere does not cause a change of zone",
            vec![busy("muc-ost#0", 400), busy("ros-nord#0", 400)],
            Ok("muc-ost#0"),
        ),
        case(
            "the link is not crossed for a short wait",
            vec![
                busy("muc-ost#0", 700),
                busy("ros-nord#0", 300),
                free("lan-sued#0"),
            ],
            Ok("ros-nord#0"),
        ),
        case(
            "the link is crossed for a long wait",
            vec![
                busy("muc-ost#0", 900),
                busy("ros-nord#0", 900),
                free("lan-sued#0"),
            ],
            Ok("lan-sued#0"),
        ),
        case(
            "draining",
            vec![
                GroupCase {
                    draining: true,
                    ..free("muc-ost#0")
                },
                free("ros-nord#0"),
            ],
            Ok("ros-nord#0"),
        ),
        case(
            "unreachable",
            vec![GroupCase {
                reachable: false,
                ..free("muc-ost#0")
            }],
            Err(ErrorKind::NoUpstream),
        ),
        case(
            "failing",
            vec![
                GroupCase {
                    failures: 5,
                    ..free("muc-ost#0")
                },
                free("ros-nord#0"),
            ],
            Ok("ros-nord#0"),
        ),
        case(
            "failing, but no other group",
            vec![GroupCase {
                failures: 5,
                ..free("muc-ost#0")
            }],
            Ok("muc-ost#0"),
        ),
        Case {
            now_ms: STALE_AFTER_MS + 1,
            ..case("stale", all(), Err(ErrorKind::NoUpstream))
        },
    ];
    for case in cases {
        let tried: Vec<ids::GroupId> = case.tried.iter().map(|name| group(name)).collect();
        let picked = pick(&mut router(&case.groups), &tried, 1_000, case.now_ms);
        let picked = picked.as_deref().map_err(|kind| *kind);
        assert_eq!(picked, case.expected, "{}", case.name);
    }
}

#[test]
fn calls_stay_within_the_byte_budget_of_the_link() {
    const CALL_BYTES: u64 = 10_000;
    let config = config();
    let mut router = router(&[free("lan-sued#0")]);
    let mut bytes = 0;
    for now_ms in 0..4_000 {
        if pick(&mut router, &[], CALL_BYTES, now_ms).is_ok() {
            bytes += CALL_BYTES;
        }
    }
    assert!(bytes <= config.link_burst_bytes + 4 * config.link_bytes_per_s);
    let refused = pick(&mut router, &[], CALL_BYTES, 4_000);
    assert_eq!(refused, Err(ErrorKind::Overloaded));
}

#[test]
fn an_ejected_group_is_tried_again() {
    let failing = GroupCase {
        failures: 100,
        ..free("muc-ost#0")
    };
    let mut router = router(&[failing, free("ros-nord#0")]);
    assert_eq!(pick(&mut router, &[], 0, 0), Ok("ros-nord#0".to_owned()));
    let load = calls::GroupLoad {
        instances: 8,
        free_slots: 64,
        queue_delay_ms: 0,
    };
    router.observe(&group("muc-ost#0"), &service(), load, 30_000);
    router.observe(&group("ros-nord#0"), &service(), load, 30_000);
    assert_eq!(
        pick(&mut router, &[], 0, 30_000),
        Ok("muc-ost#0".to_owned())
    );
}

#[test]
fn the_same_seed_gives_the_same_choices() {
    let choices = || {
        let mut router = router(&[free("muc-ost#0"), free("muc-ost#1"), free("muc-ost#2")]);
        let mut picks = Vec::new();
        for now_ms in 0..100 {
            picks.push(pick(&mut router, &[], 0, now_ms));
        }
        picks
    };
    assert_eq!(choices(), choices());
}
