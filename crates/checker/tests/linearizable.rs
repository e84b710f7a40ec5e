//! Linearizability of release acceptance and of claims on handwritten histories.

use checker::linearizable::{
    ClaimOperation, Operation, ReleaseOperation, are_releases_linearizable, is_claim,
};
use hickorychute_checker as checker;

fn operation<O>(called_ms: u64, responded_ms: u64, content: O) -> Operation<O> {
    Operation {
        called_ms,
        responded_ms: (responded_ms != 0).then_some(responded_ms),
        content,
    }
}

struct Case<O> {
    name: &'static str,
    history: Vec<Operation<O>>,
    is_linearizable: bool,
}

#[test]
fn acceptance_of_releases() {
    use ReleaseOperation::{Accepted, Read, Refused, Unanswered};
    let cases = [
        Case {
            name: "empty",
            history: vec![],
            is_linearizable: true,
        },
        Case {
            name: "of two concurrent submissions one is refused",
            history: vec![
                operation(0, 5, Accepted { base: 0 }),
                operation(1, 6, Refused { base: 0 }),
                operation(7, 8, Read { version: 1 }),
            ],
            is_linearizable: true,
        },
        Case {
            name: "two submissions are accepted on the same base",
            history: vec![
                operation(0, 5, Accepted { base: 0 }),
                operation(1, 6, Accepted { base: 0 }),
            ],
            is_linearizable: false,
        },
        Case {
            name: "a submission without an answer takes effect late",
            history: vec![
                operation(0, 0, Unanswered { base: 0 }),
                operation(1, 2, Read { version: 0 }),
                operation(90, 91, Read { version: 1 }),
                operation(92, 93, Accepted { base: 1 }),
            ],
            is_linearizable: true,
        },
        Case {
            name: "a read returns an older version",
            history: vec![
                operation(0, 1, Accepted { base: 0 }),
                operation(2, 3, Read { version: 1 }),
                operation(4, 5, Read { version: 0 }),
            ],
            is_linearizable: false,
        },
        Case {
            name: "refused although the base is the latest version",
            history: vec![
                operation(0, 1, Refused { base: 0 }),
                operation(2, 3, Accepted { base: 0 }),
            ],
            is_linearizable: false,
        },
    ];
    for case in cases {
        assert_eq!(
            are_releases_linearizable(&case.history),
            case.is_linearizable,
            "{}",
            case.name
        );
    }
}

#[test]
fn claims_of_a_key() {
    use ClaimOperation::{Lost, Unanswered, Won};
    let cases = [
        Case {
            name: "one attempt wins and is reported to the others",
            history: vec![
                operation(0, 5, Won { attempt_id: 1 }),
                operation(0, 3, Lost { holder: 1 }),
                operation(6, 7, Lost { holder: 1 }),
            ],
            is_linearizable: true,
        },
        Case {
            name: "two attempts win",
            history: vec![
                operation(0, 5, Won { attempt_id: 1 }),
                operation(6, 7, Won { attempt_id: 2 }),
            ],
            is_linearizable: false,
        },
        Case {
            name: "the reported holder made its claim later",
            history: vec![
                operation(0, 1, Lost { holder: 1 }),
                operation(2, 3, Won { attempt_id: 1 }),
            ],
            is_linearizable: false,
        },
        Case {
            name: "a claim without an answer took effect",
            history: vec![
                operation(0, 0, Unanswered { attempt_id: 1 }),
                operation(2, 3, Lost { holder: 1 }),
            ],
            is_linearizable: true,
        },
        Case {
            name: "a claim without an answer never took effect",
            history: vec![
                operation(0, 0, Unanswered { attempt_id: 1 }),
                operation(2, 3, Won { attempt_id: 2 }),
            ],
            is_linearizable: true,
        },
    ];
    for case in cases {
        assert_eq!(
            is_claim(&case.history),
            case.is_linearizable,
            "{}",
            case.name
        );
    }
}
