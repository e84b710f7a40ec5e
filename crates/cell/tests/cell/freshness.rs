//! Whether a host may accept keys, by the answers that it got from the store.

use hickorychute_cell::freshness::{Answer, Freshness, Shown, Verdict};

/// Time after which a revoked key must be refused, in milliseconds.
const REVOKE_MS: u64 = 5_000;

fn listed(sent_ms: u64, version: u64, revision: u64) -> Answer {
    Answer {
        sent_ms,
        as_of: revision + 10,
        is_complete: true,
        shown: Shown::Config { version, revision },
    }
}

fn unchanged(sent_ms: u64, as_of: u64) -> Answer {
    Answer {
        sent_ms,
        as_of,
        is_complete: true,
        shown: Shown::NoChange,
    }
}

fn unreadable(sent_ms: u64) -> Answer {
    Answer {
        shown: Shown::Unreadable,
        ..unchanged(sent_ms, 500)
    }
}

struct Case {
    name: &'static str,
    answers: Vec<Answer>,
    /// When the call behind the last proof was sent; `None` if there is no proof.
    expected_proof_ms: Option<u64>,
}

fn proof_cases() -> Vec<Case> {
    vec![
        Case {
            name: "no answer yet",
            answers: vec![],
            expected_proof_ms: None,
        },
        Case {
            name: "watches without a configuration",
            answers: vec![unchanged(1_000, 10)],
            expected_proof_ms: None,
        },
        Case {
            name: "cut off just before a revocation",
            answers: vec![listed(1_000, 3, 100), unchanged(2_100, 110)],
            expected_proof_ms: Some(2_100),
        },
        Case {
            name: "a watch sent before a suspension and answered after it",
            answers: vec![listed(1_000, 3, 100), unchanged(2_100, 900)],
            expected_proof_ms: Some(2_100),
        },
        Case {
            name: "an older call answered after a newer one",
            answers: vec![listed(3_000, 3, 100), unchanged(2_000, 110)],
            expected_proof_ms: Some(3_000),
        },
        Case {
            name: "history lost, then listed",
            answers: vec![listed(1_000, 3, 100), listed(6_000, 3, 100)],
            expected_proof_ms: Some(6_000),
        },
        Case {
            name: "history lost, and a newer version listed",
            answers: vec![listed(1_000, 3, 100), listed(6_000, 8, 400)],
            expected_proof_ms: Some(6_000),
        },
        Case {
            name: "an older version listed",
            answers: vec![listed(1_000, 3, 100), listed(6_000, 2, 90)],
            expected_proof_ms: Some(1_000),
        },
        Case {
            name: "answers of a copy of the store that lags behind",
            answers: vec![
                listed(1_000, 3, 100),
                listed(6_000, 2, 50),
                unchanged(7_100, 60),
            ],
            expected_proof_ms: Some(1_000),
        },
        Case {
            name: "an older version written last, and no change since",
            answers: vec![
                listed(1_000, 3, 100),
                listed(6_000, 2, 120),
                unchanged(7_100, 130),
            ],
            expected_proof_ms: Some(7_100),
        },
        Case {
            name: "the same version written again",
            answers: vec![listed(1_000, 3, 100), listed(6_000, 3, 140)],
            expected_proof_ms: Some(6_000),
        },
        Case {
            name: "a watch that may have been cut short",
            answers: vec![
                listed(1_000, 3, 100),
                Answer {
                    is_complete: false,
                    ..listed(2_000, 4, 150)
                },
            ],
            expected_proof_ms: Some(1_000),
        },
        Case {
            name: "a configuration that cannot be read, and no change since",
            answers: vec![
                listed(1_000, 3, 100),
                unreadable(2_000),
                unchanged(3_000, 500),
            ],
            expected_proof_ms: Some(1_000),
        },
        Case {
            name: "a readable configuration after an unreadable one",
            answers: vec![
                listed(1_000, 3, 100),
                unreadable(2_000),
                listed(3_000, 4, 510),
            ],
            expected_proof_ms: Some(3_000),
        },
    ]
}

/// Guards against a host that accepts keys after they may have been revoked for too long, and against
/// one that refuses them although the store answers it.
#[test]
fn proofs_count_from_when_their_calls_were_sent() {
    for case in proof_cases() {
        let mut freshness = Freshness::default();
        for answer in case.answers {
            freshness.record(answer);
        }
        let Some(proof_ms) = case.expected_proof_ms else {
            assert_eq!(
                freshness.verdict(0, REVOKE_MS),
                Verdict::Stale,
                "{}",
                case.name
            );
            continue;
        };
        let fresh = Verdict::Fresh {
            answer_by_ms: proof_ms + REVOKE_MS,
        };
        // Four fifths of the revocation time.
        let checks = [
            (proof_ms, fresh),
            (proof_ms + 3_999, fresh),
            (proof_ms + 4_000, Verdict::Stale),
        ];
        for (now_ms, expected) in checks {
            let verdict = freshness.verdict(now_ms, REVOKE_MS);
            assert_eq!(verdict, expected, "{} at {now_ms}", case.name);
        }
    }
}

/// Guards against success after the revocation time: hosts that the store answers at different times,
/// or not at all, each refuse a key in time after any revocation.
#[test]
fn no_pattern_of_answers_keeps_a_revoked_key_valid() {
    /// Time between two watches.
    const WATCH_MS: u64 = 1_100;
    for lost_from_ms in (0..12_000).step_by(370) {
        for revoked_ms in (1_000..12_000).step_by(510) {
            for lasts_ms in [500, 3_000, 60_000] {
                let mut freshness = Freshness::default();
                let mut version = 0;
                for now_ms in (0..25_000).step_by(100) {
                    let is_away = (lost_from_ms..lost_from_ms + lasts_ms).contains(&now_ms);
                    if now_ms % WATCH_MS == 0 && !is_away {
                        let stored = if now_ms >= revoked_ms { 2 } else { 1 };
                        version = version.max(stored);
                        freshness.record(listed(now_ms, stored, stored));
                    }
                    let verdict = freshness.verdict(now_ms, REVOKE_MS);
                    let is_accepted = version == 1 && verdict != Verdict::Stale;
                    assert!(
                        !is_accepted || now_ms < revoked_ms + REVOKE_MS,
                        "lost {lost_from_ms} for {lasts_ms}, revoked {revoked_ms}, now {now_ms}"
                    );
                    let answers_again_ms = lost_from_ms + lasts_ms + WATCH_MS;
                    if version > 0 && (now_ms < lost_from_ms || now_ms > answers_again_ms) {
                        assert_ne!(verdict, Verdict::Stale, "the store answers at {now_ms}");
                    }
                }
            }
        }
    }
}
