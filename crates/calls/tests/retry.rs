//! Retries by error kind, budget and deadline.

use hickorychute_calls as calls;
use kernel::errors::ErrorKind;
use kernel::ids;

struct KindCase {
    kind: ErrorKind,
    retried_if_idempotent: bool,
    retried_otherwise: bool,
}

const fn case(kind: ErrorKind, retried_if_idempotent: bool, retried_otherwise: bool) -> KindCase {
    KindCase {
        kind,
        retried_if_idempotent,
        retried_otherwise,
    }
}

/// Whether a request is retried if it is idempotent, and if it is not.
const KINDS: [KindCase; 17] = [
    case(ErrorKind::BadRequest, false, false),
    case(ErrorKind::Usage, false, false),
    case(ErrorKind::NotFound, false, false),
    case(ErrorKind::Conflict, false, false),
    case(ErrorKind::TooLarge, false, false),
    case(ErrorKind::QuotaExceeded, true, true),
    case(ErrorKind::Overloaded, true, true),
    case(ErrorKind::Draining, true, true),
    case(ErrorKind::NoUpstream, true, true),
    case(ErrorKind::OwnerUnreachable, true, true),
    case(ErrorKind::StoreUnavailable, true, true),
    case(ErrorKind::StaleEpoch, true, true),
    case(ErrorKind::DeadlineBeforeStart, false, false),
    case(ErrorKind::DeadlineAfterStart, false, false),
    case(ErrorKind::AnswerLost, true, false),
    case(ErrorKind::Failed, false, false),
    case(ErrorKind::Internal, false, false),
];

fn request(team: &ids::TeamId, kind: ErrorKind, idempotent: bool) -> calls::RetryRequest<'_> {
    calls::RetryRequest {
        team,
        kind,
        idempotent,
        attempts: 1,
        time_left_ms: 10_000,
    }
}

#[test]
fn error_kinds_are_retried_only_if_safe() {
    let team = ids::TeamId::new("team");
    let covered: Vec<ErrorKind> = KINDS.iter().map(|case| case.kind).collect();
    assert_eq!(covered, ErrorKind::ALL);
    for case in KINDS {
        for (idempotent, expected) in [
            (true, case.retried_if_idempotent),
            (false, case.retried_otherwise),
        ] {
            let mut policy = calls::RetryPolicy::new(calls::RetryConfig::default(), 1);
            let decision = policy.decide(&request(&team, case.kind, idempotent));
            let retried = matches!(decision, calls::RetryDecision::RetryAfter { .. });
            assert_eq!(retried, expected, "{} idempotent {idempotent}", case.kind);
        }
    }
}

#[test]
fn attempts_and_deadline_bound_retries() {
    let team = ids::TeamId::new("team");
    let config = calls::RetryConfig::default();
    let mut policy = calls::RetryPolicy::new(config, 1);
    let used_up = calls::RetryRequest {
        attempts: config.max_attempts,
        ..request(&team, ErrorKind::NoUpstream, true)
    };
    assert_eq!(
        policy.decide(&used_up),
        calls::RetryDecision::AttemptsUsedUp
    );
    let late = calls::RetryRequest {
        time_left_ms: config.attempt_reserve_ms,
        ..request(&team, ErrorKind::NoUpstream, true)
    };
    assert_eq!(policy.decide(&late), calls::RetryDecision::NoTimeLeft);
}

#[test]
fn retries_stay_within_a_tenth_of_the_requests() {
    const REQUESTS: u32 = 10_000;
    let team = ids::TeamId::new("team");
    let config = calls::RetryConfig::default();
    let mut policy = calls::RetryPolicy::new(config, 1);
    let mut retries = 0.0;
    for _ in 0..REQUESTS {
        policy.record_request(&team);
        let decision = policy.decide(&request(&team, ErrorKind::NoUpstream, true));
        if let calls::RetryDecision::RetryAfter { after_ms } = decision {
            assert!(after_ms <= config.max_backoff_ms);
            retries += 1.0;
        }
    }
    assert!(retries <= f64::from(REQUESTS) * 0.1 + config.host_burst);
}

#[test]
fn a_flooding_team_exhausts_only_its_own_budget() {
    let (flood, quiet) = (ids::TeamId::new("flood"), ids::TeamId::new("quiet"));
    let mut policy = calls::RetryPolicy::new(calls::RetryConfig::default(), 1);
    for _ in 0..1_000 {
        policy.record_request(&flood);
        policy.decide(&request(&flood, ErrorKind::Overloaded, true));
    }
    policy.record_request(&quiet);
    let decision = policy.decide(&request(&quiet, ErrorKind::Overloaded, true));
    assert!(matches!(decision, calls::RetryDecision::RetryAfter { .. }));
}

#[test]
fn many_new_teams_together_stay_within_the_budget_of_the_host() {
    const REQUESTS: u32 = 10_000;
    let config = calls::RetryConfig::default();
    let mut policy = calls::RetryPolicy::new(config, 1);
    let mut retries = 0.0;
    for number in 0..REQUESTS {
        let team = ids::TeamId::new(number.to_string());
        policy.record_request(&team);
        let decision = policy.decide(&request(&team, ErrorKind::Overloaded, true));
        if matches!(decision, calls::RetryDecision::RetryAfter { .. }) {
            retries += 1.0;
        }
    }
    assert!(retries <= f64::from(REQUESTS) * 0.1 + config.host_burst);
}
