//! Workers that stay up and leave some calls unanswered.

use hickorychute_cell::answer_loss::AnswerLoss;

#[test]
fn losses_are_expected_after_two_in_a_short_time() {
    struct Case {
        name: &'static str,
        lost_ms: &'static [u64],
        at_ms: u64,
        expected: bool,
    }
    let cases = [
        Case {
            name: "none",
            lost_ms: &[],
            at_ms: 10_000,
            expected: false,
        },
        Case {
            name: "a single one",
            lost_ms: &[10_000],
            at_ms: 10_010,
            expected: false,
        },
        Case {
            name: "two in a short time",
            lost_ms: &[10_000, 10_400],
            at_ms: 10_410,
            expected: true,
        },
        Case {
            name: "two far apart",
            lost_ms: &[10_000, 14_000],
            at_ms: 14_010,
            expected: false,
        },
        Case {
            name: "still expected",
            lost_ms: &[10_000, 10_400, 12_000],
            at_ms: 14_900,
            expected: true,
        },
        Case {
            name: "over",
            lost_ms: &[10_000, 10_400, 12_000],
            at_ms: 15_000,
            expected: false,
        },
        Case {
            name: "starting again",
            lost_ms: &[10_000, 10_400, 20_000],
            at_ms: 20_010,
            expected: false,
        },
    ];
    for case in cases {
        let mut loss = AnswerLoss::default();
        for &lost_ms in case.lost_ms {
            loss.record(lost_ms);
        }
        assert_eq!(loss.is_expected(case.at_ms), case.expected, "{}", case.name);
    }
}
