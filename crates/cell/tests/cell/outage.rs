//! Store health, and the handling of requests during an outage of the store.

use hickorychute_cell::outage::{self, Health, RequestDecision, StoreHealth};

/// The health of a store that has responded to ten calls in 4 ms each, the last at 1,000 ms.
fn healthy_store() -> StoreHealth {
    let mut store = StoreHealth::default();
    for _ in 0..10 {
        let call = store.call_started(996);
        store.call_succeeded(call, 1_000);
    }
    store
}

#[test]
fn store_is_stalled_when_a_call_is_overdue_and_away_when_calls_fail() {
    struct Case {
        name: &'static str,
        setup: fn(&mut StoreHealth),
        at_ms: u64,
        health: Health,
    }
    let cases = [
        Case {
            name: "no calls since",
            setup: |_| {},
            at_ms: 9_000,
            health: Health::Serving,
        },
        Case {
            name: "a call in flight",
            setup: |store| {
                let _under_way = store.call_started(1_010);
            },
            at_ms: 1_100,
            health: Health::Serving,
        },
        Case {
            name: "overdue call",
            setup: |store| {
                let _under_way = store.call_started(1_010);
            },
            at_ms: 1_200,
            health: Health::Stalled,
        },
        Case {
            name: "overdue call, but a later one succeeded",
            setup: |store| {
                let _late = store.call_started(1_010);
                let call = store.call_started(1_150);
                store.call_succeeded(call, 1_154);
            },
            at_ms: 1_200,
            health: Health::Serving,
        },
        Case {
            name: "abandoned call",
            setup: |store| {
                let call = store.call_started(1_010);
                store.call_abandoned(call);
            },
            at_ms: 1_200,
            health: Health::Serving,
        },
        Case {
            name: "one failed call",
            setup: |store| store.record_failure(1_010),
            at_ms: 1_400,
            health: Health::Stalled,
        },
        Case {
            name: "two failed calls, shortly before",
            setup: |store| {
                store.record_failure(1_010);
                store.record_failure(1_011);
            },
            at_ms: 1_100,
            health: Health::Stalled,
        },
        Case {
            name: "two failed calls, 290 ms before",
            setup: |store| {
                store.record_failure(1_010);
                store.record_failure(1_011);
            },
            at_ms: 1_300,
            health: Health::Unavailable,
        },
        Case {
            name: "successful probe after two failed calls",
            setup: |store| {
                store.record_failure(1_010);
                store.record_failure(1_011);
                store.record_success(1_290);
            },
            at_ms: 1_300,
            health: Health::Serving,
        },
    ];
    for case in cases {
        let mut store = healthy_store();
        (case.setup)(&mut store);
        assert_eq!(store.health(case.at_ms), case.health, "{}", case.name);
    }
}

/// The latency of the store increases from 4 ms to 240 ms. Writes pause until the first response
/// and continue afterwards.
#[test]
fn writes_continue_to_a_slow_store() {
    let mut store = healthy_store();
    let mut stalled_ms = 0;
    let mut now_ms = 1_000;
    for _ in 0..20 {
        let call = store.call_started(now_ms);
        for _ in 0..24 {
            now_ms += 10;
            stalled_ms += u64::from(store.health(now_ms) != Health::Serving) * 10;
        }
        store.call_succeeded(call, now_ms);
    }
    assert!(stalled_ms <= 600, "writes paused for {stalled_ms} ms");
    let _call = store.call_started(now_ms);
    assert_eq!(store.health(now_ms + 240), Health::Serving);
}

#[test]
fn callers_with_time_to_retry_are_told_when_and_others_wait_briefly() {
    struct Case {
        name: &'static str,
        health: Health,
        waited_ms: u64,
        left_ms: u64,
        decision: RequestDecision,
    }
    let retry = RequestDecision::RetryAfter { after_ms: 1_000 };
    let cases = [
        Case {
            name: "first attempt",
            health: Health::Unavailable,
            waited_ms: 0,
            left_ms: 2_850,
            decision: retry,
        },
        Case {
            name: "second attempt",
            health: Health::Unavailable,
            waited_ms: 0,
            left_ms: 1_800,
            decision: retry,
        },
        Case {
            name: "too late for a named delay",
            health: Health::Unavailable,
            waited_ms: 0,
            left_ms: 800,
            decision: RequestDecision::Wait,
        },
        Case {
            name: "too late for a named delay, has waited",
            health: Health::Unavailable,
            waited_ms: 250,
            left_ms: 550,
            decision: RequestDecision::Reject,
        },
        Case {
            name: "no time left",
            health: Health::Unavailable,
            waited_ms: 0,
            left_ms: 0,
            decision: RequestDecision::Reject,
        },
        Case {
            name: "store stalled",
            health: Health::Stalled,
            waited_ms: 400,
            left_ms: 2_450,
            decision: RequestDecision::Wait,
        },
        Case {
            name: "store works",
            health: Health::Serving,
            waited_ms: 400,
            left_ms: 2_450,
            decision: RequestDecision::Wait,
        },
    ];
    for case in cases {
        let decision = outage::decide_request(case.health, case.waited_ms, case.left_ms);
        assert_eq!(decision, case.decision, "{}", case.name);
    }
}

/// The store is unavailable for 3 s while callers arrive that wait for up to 3 s each, and that
/// retry at their own pace if no delay is named. Every caller whose deadline is after the recovery
/// must have a request pending or retried by then, and no request may be held for long in vain.
#[test]
fn every_caller_with_time_left_is_served_after_an_outage() {
    const OUTAGE_MS: u64 = 3_000;
    const CALLER_TIMEOUT_MS: u64 = 2_850;
    const NETWORK_DELAY_MS: u64 = 20;
    const OWN_PAUSES_MS: [u64; 4] = [50, 100, 200, 400];
    const MAX_HELD_MS: u64 = 260;
    for first_ms in (0..OUTAGE_MS).step_by(10) {
        let mut at_ms = first_ms;
        let deadline_ms = first_ms + CALLER_TIMEOUT_MS;
        let mut attempts = 1;
        let mut waiting_since_ms = at_ms;
        let mut own_pauses_ms = OWN_PAUSES_MS.into_iter();
        let served = loop {
            if at_ms >= OUTAGE_MS || at_ms >= deadline_ms {
                break at_ms < deadline_ms;
            }
            let waited_ms = at_ms - waiting_since_ms;
            let left_ms = deadline_ms - at_ms;
            let pause_ms = match outage::decide_request(Health::Unavailable, waited_ms, left_ms) {
                RequestDecision::Wait => {
                    at_ms += 10;
                    continue;
                }
                RequestDecision::RetryAfter { after_ms } => after_ms,
                RequestDecision::Reject => {
                    own_pauses_ms.next().expect("a caller has five attempts")
                }
            };
            assert!(waited_ms <= MAX_HELD_MS, "held for {waited_ms} ms");
            at_ms += pause_ms + NETWORK_DELAY_MS;
            waiting_since_ms = at_ms;
            attempts += 1;
        };
        assert!(attempts <= 5, "a caller has five attempts");
        assert_eq!(
            served,
            deadline_ms > OUTAGE_MS,
            "first attempt after {first_ms} ms"
        );
    }
}
