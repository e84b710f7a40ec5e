//! What a host makes of a store that stops answering, and what callers are told.

use hickorychute_cell::outage::{self, Health, StoreHealth, Turn};

/// A store that has answered ten calls in 4 ms each, at 1,000 ms.
fn in_use() -> StoreHealth {
    let mut store = StoreHealth::default();
    for _ in 0..10 {
        let call = store.began(996);
        store.answered(call, 1_000);
    }
    store
}

#[test]
fn a_store_is_stalled_once_an_answer_is_overdue_and_away_once_calls_fail() {
    struct Case {
        name: &'static str,
        happens: fn(&mut StoreHealth),
        at_ms: u64,
        health: Health,
    }
    let cases = [
        Case {
            name: "nothing happened",
            happens: |_| {},
            at_ms: 9_000,
            health: Health::Serving,
        },
        Case {
            name: "a call is under way",
            happens: |store| {
                let _under_way = store.began(1_010);
            },
            at_ms: 1_100,
            health: Health::Serving,
        },
        Case {
            name: "its answer is overdue",
            happens: |store| {
                let _under_way = store.began(1_010);
            },
            at_ms: 1_200,
            health: Health::Stalled,
        },
        Case {
            name: "its answer is late, but others are answered",
            happens: |store| {
                let _late = store.began(1_010);
                let call = store.began(1_150);
                store.answered(call, 1_154);
            },
            at_ms: 1_200,
            health: Health::Serving,
        },
        Case {
            name: "nobody waits for it any more",
            happens: |store| {
                let call = store.began(1_010);
                store.dropped(call);
            },
            at_ms: 1_200,
            health: Health::Serving,
        },
        Case {
            name: "one call has failed",
            happens: |store| store.fails(1_010),
            at_ms: 1_400,
            health: Health::Stalled,
        },
        Case {
            name: "two have, close together",
            happens: |store| {
                store.fails(1_010);
                store.fails(1_011);
            },
            at_ms: 1_100,
            health: Health::Stalled,
        },
        Case {
            name: "two have, and time has passed",
            happens: |store| {
                store.fails(1_010);
                store.fails(1_011);
            },
            at_ms: 1_300,
            health: Health::Away,
        },
        Case {
            name: "a probe was answered after that",
            happens: |store| {
                store.fails(1_010);
                store.fails(1_011);
                store.serves(1_290);
            },
            at_ms: 1_300,
            health: Health::Serving,
        },
    ];
    for case in cases {
        let mut store = in_use();
        (case.happens)(&mut store);
        assert_eq!(store.health(case.at_ms), case.health, "{}", case.name);
    }
}

/// Pattern: the store turns from 4 ms to 240 ms an answer. Writes pause until the first answer and go on then.
#[test]
fn a_slow_store_is_written_to_at_its_own_pace() {
    let mut store = in_use();
    let mut stalled_ms = 0;
    let mut now_ms = 1_000;
    for _ in 0..20 {
        let call = store.began(now_ms);
        for _ in 0..24 {
            now_ms += 10;
            stalled_ms += u64::from(store.health(now_ms) != Health::Serving) * 10;
        }
        store.answered(call, now_ms);
    }
    assert!(stalled_ms <= 600, "writes paused for {stalled_ms} ms");
    let _call = store.began(now_ms);
    assert_eq!(store.health(now_ms + 240), Health::Serving);
}

#[test]
fn callers_that_can_come_back_are_told_at_once_and_the_others_keep_their_last_chance() {
    struct Case {
        name: &'static str,
        health: Health,
        left_ms: u64,
        waits: bool,
    }
    let cases = [
        Case {
            name: "first try in an outage",
            health: Health::Away,
            left_ms: 2_850,
            waits: false,
        },
        Case {
            name: "second try",
            health: Health::Away,
            left_ms: 1_800,
            waits: false,
        },
        Case {
            name: "last try",
            health: Health::Away,
            left_ms: 800,
            waits: true,
        },
        Case {
            name: "no time left",
            health: Health::Away,
            left_ms: 0,
            waits: false,
        },
        Case {
            name: "an answer is overdue",
            health: Health::Stalled,
            left_ms: 2_850,
            waits: true,
        },
        Case {
            name: "the store answers",
            health: Health::Serving,
            left_ms: 2_850,
            waits: true,
        },
    ];
    for case in cases {
        let waits = outage::turn(case.health, case.left_ms) == Turn::Wait;
        assert_eq!(waits, case.waits, "{}", case.name);
    }
}

/// Pattern: the store is away for 3 s while callers with 3 s each keep coming.
#[test]
fn every_caller_whose_time_ends_after_the_return_is_there_at_the_return() {
    const AWAY_MS: u64 = 3_000;
    const PATIENCE_MS: u64 = 2_850;
    const WAY_MS: u64 = 20;
    for first_ms in (0..AWAY_MS).step_by(10) {
        let mut at_ms = first_ms;
        let leaves_ms = first_ms + PATIENCE_MS;
        let mut tries = 1;
        let there = loop {
            if at_ms >= AWAY_MS {
                break at_ms < leaves_ms;
            }
            match outage::turn(Health::Away, leaves_ms.saturating_sub(at_ms)) {
                Turn::Wait => break leaves_ms > AWAY_MS,
                Turn::ComeBack { after_ms } => {
                    at_ms += after_ms + WAY_MS;
                    tries += 1;
                }
            }
        };
        assert!(tries <= 5, "a caller has five tries");
        assert_eq!(there, leaves_ms > AWAY_MS, "first try after {first_ms} ms");
    }
}
