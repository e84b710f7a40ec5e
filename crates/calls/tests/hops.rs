//! Deadlines, matching of responses and admission limits of a hop.

use std::net;

use calls::Distance;
use hickorychute_calls as calls;
use kernel::errors::ErrorKind;
use kernel::ids;

struct HopCase {
    remaining_ms: u64,
    elapsed_ms: u64,
    distance: Distance,
    expected: Result<u64, ErrorKind>,
}

#[test]
fn every_hop_reserves_the_round_trip_time() {
    let late = Err(ErrorKind::DeadlineBeforeStart);
    let case = |remaining_ms, elapsed_ms, distance, expected| HopCase {
        remaining_ms,
        elapsed_ms,
        distance,
        expected,
    };
    let cases = [
        case(100, 0, Distance::SameZone, Ok(98)),
        case(100, 10, Distance::SameRegion, Ok(85)),
        case(100, 10, Distance::OtherRegion, Ok(20)),
        case(70, 0, Distance::OtherRegion, late),
        case(100, 100, Distance::SameZone, late),
        case(0, 0, Distance::SameZone, late),
        case(u64::MAX, 0, Distance::SameZone, Ok(u64::MAX - 1_000 - 2)),
    ];
    for case in cases {
        let deadline = calls::Deadline::new(case.remaining_ms, 1_000);
        let left = deadline.next_hop_ms(case.distance, 1_000 + case.elapsed_ms);
        assert_eq!(left.map_err(|error| error.kind), case.expected);
    }
}

#[test]
fn a_passed_deadline_tells_whether_the_call_may_have_run() {
    let late = calls::Deadline::new(10, 0).start(10).unwrap_err();
    assert_eq!(late.kind, ErrorKind::DeadlineBeforeStart);
    let started = calls::Deadline::new(10, 0).start(9).unwrap();
    assert!(started.check(9).is_ok());
    let late = started.check(10).unwrap_err();
    assert_eq!(late.kind, ErrorKind::DeadlineAfterStart);
}

#[test]
fn late_and_crossed_responses_are_dropped_and_counted() {
    let mut table = calls::AttemptTable::new(1_000);
    let first = table.open("a", 1);
    let second = table.open("a", 2);
    assert_eq!(table.accept(first, &"b"), None, "crossed");
    assert_eq!(table.accept(second, &"a"), Some(2));
    assert_eq!(table.accept(second, &"a"), None, "repeated");
    assert_eq!(table.close(first), Some(1));
    assert_eq!(table.accept(first, &"a"), None, "late");
    let counts = calls::AttemptCounts {
        matched: 1,
        late: 2,
        crossed: 1,
    };
    assert_eq!(table.counts(), counts);
    assert!(table.is_empty());
}

#[test]
fn a_broken_connection_closes_only_its_own_attempts() {
    let mut table = calls::AttemptTable::new(1_000);
    table.open("a", 1);
    let other = table.open("b", 2);
    let closed: Vec<i32> = table
        .close_peer(&"a")
        .iter()
        .map(|(_, value)| *value)
        .collect();
    assert_eq!(closed, [1]);
    assert_eq!(table.accept(other, &"b"), Some(2));
}

#[test]
fn attempt_ids_of_a_later_incarnation_are_above_all_earlier_ones() {
    let mut before = calls::AttemptTable::new(1_700_000_000_000);
    let mut after = calls::AttemptTable::new(1_700_000_000_001);
    let first = after.open("a", ());
    for _ in 0..10_000 {
        assert!(before.open("a", ()) < first);
    }
}

#[test]
fn bodies_in_flight_are_bounded() {
    let config = calls::HostLimitsConfig {
        max_requests: 2,
        max_bytes: 100,
    };
    let mut limits = calls::HostLimits::new(config);
    let kind = |result: kernel::errors::Result<()>| result.map_err(|error| error.kind);
    assert_eq!(kind(limits.open(101)), Err(ErrorKind::TooLarge));
    assert_eq!(kind(limits.open(60)), Ok(()));
    assert_eq!(kind(limits.open(60)), Err(ErrorKind::Overloaded));
    assert_eq!(kind(limits.open(0)), Ok(()));
    assert_eq!(kind(limits.grow(41)), Err(ErrorKind::Overloaded));
    assert_eq!(kind(limits.grow(40)), Ok(()));
    assert_eq!(kind(limits.open(0)), Err(ErrorKind::Overloaded));
    limits.close(60);
    limits.close(40);
    assert_eq!((limits.requests(), limits.bytes()), (0, 0));
}

#[test]
fn connections_are_bounded_in_total_and_per_peer() {
    let peer = |last| net::IpAddr::from([127, 0, 0, last]);
    let mut limits = calls::ConnectionLimits::new(3, 2);
    assert!(limits.open(peer(1)).is_ok());
    assert!(limits.open(peer(1)).is_ok());
    assert!(limits.open(peer(1)).is_err());
    assert!(limits.open(peer(2)).is_ok());
    assert!(limits.open(peer(3)).is_err());
    limits.close(peer(1));
    limits.close(peer(4));
    assert!(limits.open(peer(3)).is_ok());
    assert_eq!(limits.len(), 3);
}

#[test]
fn a_team_gets_its_rate_share_while_another_floods() {
    let config = calls::TeamRatesConfig {
        requests_per_s: 1_000.0,
        burst_s: 0.1,
    };
    let (quiet, flood) = (ids::TeamId::new("quiet"), ids::TeamId::new("flood"));
    let mut rates = calls::TeamRates::new(config);
    rates.set_weights([(&quiet, 1), (&flood, 1)]);
    let (mut quiet_admitted, mut flood_admitted) = (0, 0);
    for now_ms in 0..10_000 {
        for _ in 0..10 {
            flood_admitted += u32::from(rates.admit(&flood, now_ms).is_ok());
        }
        // Two teams and the bucket of unweighted teams have weight 1 each, so a share is a third.
        if now_ms % 3 == 0 {
            quiet_admitted += u32::from(rates.admit(&quiet, now_ms).is_ok());
        }
    }
    assert!(quiet_admitted >= 3_334 * 95 / 100, "{quiet_admitted}");
    assert!(
        flood_admitted + quiet_admitted <= 10_000 + 200,
        "{flood_admitted}"
    );
    assert!(
        flood_admitted >= 6_000,
        "unused capacity goes to the flooding team: {flood_admitted}"
    );
}
