//! Retries by error kind, budget and deadline.

use hickorychute_calls as calls;
use kernel::errors::ErrorKind;

struct KindCase {
    kind: ErrorKind,
    idempotent: bool,
    otherwise: bool,
}

const fn case(kind: ErrorKind, idempotent: bool, otherwise: bool) -> KindCase {
    KindCase {
        kind,
        idempotent,
        otherwise,
    }
}

/// Whether a request is repeated if it is idempotent, and otherwise.
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

fn request(kind: ErrorKind, idempotent: bool) -> calls::RetryRequest {
    calls::RetryRequest {
        kind,
        idempotent,
        attempts: 1,
        time_left_ms: 10_000,
    }
}

#[test]
fn every_error_kind() {
    let covered: Vec<ErrorKind> = KINDS.iter().map(|case| case.kind).collect();
    assert_eq!(covered, ErrorKind::ALL);
    for case in KINDS {
        for (idempotent, expected) in [(true, case.idempotent), (false, case.otherwise)] {
            let mut policy = calls::RetryPolicy::new(calls::RetryConfig::default(), 1);
            let decision = policy.decide(&request(case.kind, idempotent));
            let retried = matches!(decision, calls::RetryDecision::RetryAfter { .. });
            assert_eq!(retried, expected, "{} idempotent {idempotent}", case.kind);
        }
    }
}

#[test]
fn attempts_and_deadline_bound_retries() {
    let config = calls::RetryConfig::default();
    let mut policy = calls::RetryPolicy::new(config, 1);
    let used_up = calls::RetryRequest {
        attempts: config.max_attempts,
        ..request(ErrorKind::NoUpstream, true)
    };
    assert_eq!(
        policy.decide(&used_up),
        calls::RetryDecision::AttemptsUsedUp
    );
    let late = calls::RetryRequest {
        time_left_ms: config.attempt_reserve_ms,
        ..request(ErrorKind::NoUpstream, true)
    };
    assert_eq!(policy.decide(&late), calls::RetryDecision::NoTimeLeft);
}

#[test]
fn retries_stay_within_a_tenth_of_the_requests() {
    const REQUESTS: u32 = 10_000;
    let config = calls::RetryConfig::default();
    let mut policy = calls::RetryPolicy::new(config, 1);
    let mut retries = 0.0;
    for _ in 0..REQUESTS {
        policy.record_request();
        let decision = policy.decide(&request(ErrorKind::NoUpstream, true));
        if let calls::RetryDecision::RetryAfter { after_ms } = decision {
            assert!(after_ms <= config.backoff_limit_ms);
            retries += 1.0;
        }
    }
    assert!(retries <= f64::from(REQUESTS) * 0.1 + config.budget_burst);
}
