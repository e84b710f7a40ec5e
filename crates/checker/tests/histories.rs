//! Histories written by hand: for each promise one that breaks it, and ones that must pass.

use hickorychute_checker as checker;
use kernel::errors::Outcome;
use kernel::history::{Event, Record};
use kernel::{ids, work};

fn at(at_ms: u64, event: Event) -> Record {
    Record {
        at_ms,
        process: "test".to_owned(),
        event,
    }
}

fn run(task: &str, attempt: u32) -> ids::TaskAttempt {
    ids::TaskAttempt {
        task: task.parse().unwrap(),
        attempt: ids::Attempt(attempt),
    }
}

fn cores(count: u64) -> work::Resources {
    work::Resources::new(count * 1_000, count * 1_024, 0)
}

fn worker(at_ms: u64, id: &str, capacity: u64) -> Record {
    at(
        at_ms,
        Event::WorkerAdded {
            worker: id.into(),
            capacity: cores(capacity),
        },
    )
}

fn lost(at_ms: u64, id: &str) -> Record {
    at(at_ms, Event::WorkerLost { worker: id.into() })
}

fn start(at_ms: u64, id: &str, task: &str, attempt: u32, demand: u64, epoch: u64) -> Record {
    let (run, demand) = (run(task, attempt), cores(demand));
    let epoch = ids::Epoch(epoch);
    at(
        at_ms,
        Event::TaskStarted {
            worker: id.into(),
            run,
            demand,
            epoch,
        },
    )
}

fn end(at_ms: u64, id: &str, task: &str, attempt: u32, completed: bool) -> Record {
    let run = run(task, attempt);
    at(
        at_ms,
        Event::TaskEnded {
            worker: id.into(),
            run,
            completed,
        },
    )
}

fn sent(at_ms: u64, request: u64, key: Option<&str>) -> Record {
    let key = key.map(ids::IdempotencyKey::from);
    at(
        at_ms,
        Event::RequestSent {
            request,
            key,
            digest: request * 100,
        },
    )
}

fn ran(at_ms: u64, task: &str, request: u64, key: Option<&str>, open_calls: u32) -> Record {
    let (task, key) = (task.parse().unwrap(), key.map(ids::IdempotencyKey::from));
    at(
        at_ms,
        Event::RequestRan {
            task,
            request,
            key,
            open_calls,
            slots: 8,
        },
    )
}

fn answer(at_ms: u64, request: u64, outcome: Outcome, digest: u64, whole: bool) -> Record {
    let digest = (digest != 0).then_some(digest);
    at(
        at_ms,
        Event::AnswerReceived {
            request,
            outcome,
            digest,
            whole,
        },
    )
}

fn leaving(at_ms: u64, task: &str) -> Record {
    at(
        at_ms,
        Event::UpstreamLeaving {
            task: task.parse().unwrap(),
        },
    )
}

fn work_accepted(at_ms: u64, work: &str, tasks: u32) -> Record {
    at(
        at_ms,
        Event::WorkAccepted {
            work: work.into(),
            tasks,
        },
    )
}

fn release(at_ms: u64, version: u64) -> Record {
    at(
        at_ms,
        Event::ReleaseAccepted {
            version: ids::ReleaseVersion(version),
        },
    )
}

fn in_force(at_ms: u64, host: &str, version: u64) -> Record {
    let version = ids::ReleaseVersion(version);
    at(
        at_ms,
        Event::ReleaseInForce {
            host: host.into(),
            version,
        },
    )
}

struct Case {
    name: &'static str,
    history: Vec<Record>,
    /// Start of the names of the expected violations, in order.
    expected: &'static [&'static str],
}

fn check(cases: Vec<Case>) {
    let expectations = checker::Expectations {
        reachable_hosts: vec!["h1".into(), "h2".into()],
        settled: Some(checker::Settled {
            known_work: ["known".into()].into_iter().collect(),
        }),
    };
    for case in cases {
        let found = checker::check_with(&case.history, &expectations);
        let names: Vec<String> = found.iter().map(|found| format!("{found:?}")).collect();
        let same = names.len() == case.expected.len()
            && names
                .iter()
                .zip(case.expected)
                .all(|(name, start)| name.starts_with(start));
        assert!(
            same,
            "{}: {names:#?}, expected {:?}",
            case.name, case.expected
        );
        let told = found.iter().map(ToString::to_string);
        assert!(
            told.into_iter().all(|text| !text.contains('{')),
            "{}",
            case.name
        );
    }
}

#[test]
fn broken_promises_about_tasks_are_found() {
    check(vec![
        Case {
            name: "in two places",
            history: vec![
                worker(0, "a", 8),
                worker(0, "b", 8),
                start(1, "a", "j/0", 1, 1, 1),
                start(2, "b", "j/0", 2, 1, 1),
            ],
            expected: &["Overlap"],
        },
        Case {
            name: "twice on one worker",
            history: vec![
                worker(0, "a", 8),
                start(1, "a", "j/0", 1, 1, 1),
                start(2, "a", "j/0", 2, 1, 1),
            ],
            expected: &["Overlap"],
        },
        Case {
            name: "over capacity for an instant",
            history: vec![
                worker(0, "a", 8),
                start(1, "a", "j/0", 1, 5, 1),
                start(2, "a", "j/1", 1, 4, 1),
                end(2, "a", "j/1", 1, false),
            ],
            expected: &["OverCapacity"],
        },
        Case {
            name: "on a lost worker",
            history: vec![
                worker(0, "a", 8),
                lost(1, "a"),
                start(2, "a", "j/0", 1, 1, 1),
            ],
            expected: &["NoSuchWorker"],
        },
        Case {
            name: "a fenced owner is obeyed",
            history: vec![
                worker(0, "a", 8),
                start(1, "a", "j/0", 1, 1, 5),
                start(2, "a", "j/1", 1, 1, 4),
            ],
            expected: &["StaleEpochObeyed"],
        },
        Case {
            name: "completed twice",
            history: vec![
                worker(0, "a", 8),
                start(1, "a", "j/0", 1, 1, 1),
                end(2, "a", "j/0", 1, true),
                start(3, "a", "j/0", 2, 1, 1),
                end(4, "a", "j/0", 2, true),
            ],
            expected: &["CompletedTwice"],
        },
        Case {
            name: "accepted work is lost",
            history: vec![
                worker(0, "a", 8),
                work_accepted(0, "j", 2),
                start(1, "a", "j/0", 1, 1, 1),
                end(2, "a", "j/0", 1, true),
            ],
            expected: &["WorkLost"],
        },
    ]);
}

#[test]
fn broken_promises_about_calls_are_found() {
    check(vec![
        Case {
            name: "not run, but ran before",
            history: vec![
                sent(0, 1, None),
                ran(1, "s/0", 1, None, 1),
                answer(2, 1, Outcome::NotRun, 0, true),
            ],
            expected: &["NotRunButRan"],
        },
        Case {
            name: "not run, but ran afterwards",
            history: vec![
                sent(0, 1, None),
                answer(2, 1, Outcome::NotRun, 0, true),
                ran(9, "s/0", 1, None, 1),
            ],
            expected: &["NotRunButRan"],
        },
        Case {
            name: "a key runs twice through different requests",
            history: vec![
                sent(0, 1, Some("k")),
                ran(1, "s/0", 1, Some("k"), 1),
                answer(2, 1, Outcome::Unknown, 0, true),
                sent(3, 2, Some("k")),
                ran(4, "s/1", 2, Some("k"), 1),
                answer(5, 2, Outcome::Done, 200, true),
            ],
            expected: &["RanTwice"],
        },
        Case {
            name: "crossed answers",
            history: vec![
                sent(0, 1, None),
                sent(0, 2, None),
                answer(1, 1, Outcome::Done, 200, true),
                answer(1, 2, Outcome::Done, 100, true),
            ],
            expected: &["CrossedAnswer", "CrossedAnswer"],
        },
        Case {
            name: "cut answer",
            history: vec![sent(0, 1, None), answer(1, 1, Outcome::Done, 100, false)],
            expected: &["CutAnswer"],
        },
        Case {
            name: "two answers",
            history: vec![
                sent(0, 1, None),
                answer(1, 1, Outcome::Done, 100, true),
                answer(2, 1, Outcome::Done, 100, true),
            ],
            expected: &["AnsweredTwice"],
        },
        Case {
            name: "no answer",
            history: vec![sent(0, 1, None)],
            expected: &["Unanswered"],
        },
        Case {
            name: "slots",
            history: vec![ran(1, "s/0", 1, None, 9)],
            expected: &["OverSlots"],
        },
        Case {
            name: "new work after three seconds of leaving",
            history: vec![
                leaving(1_000, "s/0"),
                leaving(3_000, "s/0"),
                ran(4_001, "s/0", 1, None, 1),
            ],
            expected: &["WorkToLeaving"],
        },
    ]);
}

#[test]
fn broken_promises_about_releases_are_found() {
    check(vec![
        Case {
            name: "reverted, also over a restart of the host",
            history: vec![
                release(0, 1),
                release(1, 2),
                in_force(1, "h1", 2),
                in_force(1, "h2", 2),
                in_force(9, "h1", 1),
            ],
            expected: &["ReleaseReverted"],
        },
        Case {
            name: "late on one host and never on another",
            history: vec![release(1_000, 1), in_force(4_001, "h1", 1)],
            expected: &["ReleaseLate", "ReleaseLate"],
        },
        Case {
            name: "two operators get the same number",
            history: vec![
                release(5, 1),
                release(5, 1),
                in_force(6, "h1", 1),
                in_force(6, "h2", 1),
            ],
            expected: &["ReleaseAcceptedTwice"],
        },
    ]);
}

#[test]
fn kept_promises_pass() {
    check(vec![
        Case {
            name: "nothing happened",
            history: vec![],
            expected: &[],
        },
        Case {
            name: "a task moves after its worker is lost and fills the next one",
            history: vec![
                worker(0, "a", 8),
                worker(0, "b", 8),
                work_accepted(0, "j", 1),
                start(1, "a", "j/0", 1, 8, 3),
                lost(2, "a"),
                start(3, "b", "j/0", 2, 8, 1),
                end(4, "b", "j/0", 2, true),
                start(4, "b", "j/1", 1, 8, 1),
            ],
            expected: &[],
        },
        Case {
            name: "accepted work that waits is known",
            history: vec![work_accepted(0, "known", 5)],
            expected: &[],
        },
        Case {
            name: "retries of an idempotent request, and a duplicate with the first answer",
            history: vec![
                sent(0, 1, None),
                ran(1, "s/0", 1, None, 8),
                ran(2, "s/1", 1, None, 1),
                answer(3, 1, Outcome::Done, 100, true),
                sent(4, 2, Some("k")),
                sent(4, 3, Some("k")),
                ran(5, "s/0", 2, Some("k"), 1),
                answer(6, 2, Outcome::Done, 200, true),
                answer(6, 3, Outcome::Done, 0, true),
            ],
            expected: &[],
        },
        Case {
            name: "a leaving upstream works for three seconds; its next run may work on",
            history: vec![
                worker(0, "a", 8),
                start(0, "a", "s/0", 1, 1, 1),
                leaving(1_000, "s/0"),
                ran(4_000, "s/0", 1, None, 1),
                end(5_000, "a", "s/0", 1, false),
                start(6_000, "a", "s/0", 2, 1, 1),
                ran(9_000, "s/0", 2, None, 1),
            ],
            expected: &[],
        },
        Case {
            name: "a release is skipped for a later one, and the last is not due yet",
            history: vec![
                release(0, 1),
                release(1_000, 2),
                in_force(2_000, "h1", 1),
                in_force(3_000, "h1", 2),
                in_force(3_000, "h2", 2),
                release(8_000, 3),
                in_force(9_000, "h3", 3),
            ],
            expected: &[],
        },
    ]);
}
