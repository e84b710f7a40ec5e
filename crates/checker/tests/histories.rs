//! Handwritten histories: at least one violation of each rule, and valid histories that must pass.
//!
//! A history is a `;`-separated list of events. Each event consists of a time in
//! milliseconds, a keyword for its kind, and its fields as parsed by [`event`].
//! The digest of a request is 100 times its number.

use hickorychute_checker as checker;
use kernel::errors::Outcome;
use kernel::history::{Event, Record};
use kernel::{ids, work};

fn cores(text: &str) -> work::Resources {
    let count: u64 = text.parse().unwrap();
    work::Resources::new(count * 1_000, count * 1_024, 0)
}

fn run(text: &str) -> ids::TaskAttempt {
    let (task, attempt) = text.split_once('@').unwrap();
    ids::TaskAttempt {
        task: task.parse().unwrap(),
        attempt: ids::Attempt(attempt.parse().unwrap()),
    }
}

fn key(text: &str) -> Option<ids::IdempotencyKey> {
    (text != "-").then(|| text.into())
}

fn outcome(text: &str) -> Outcome {
    let outcomes = [Outcome::Done, Outcome::NotRun, Outcome::Unknown];
    outcomes
        .into_iter()
        .find(|outcome| outcome.to_string() == text)
        .unwrap()
}

#[rustfmt::skip]
fn event(words: &[&str]) -> Event {
    let number = |text: &str| text.parse::<u64>().unwrap();
    match *words {
        ["worker", worker, capacity] =>
            Event::WorkerAdded { worker: worker.into(), capacity: cores(capacity) },
        ["lost", worker] => Event::WorkerLost { worker: worker.into() },
        ["start", worker, task, demand, epoch] => Event::TaskStarted {
            worker: worker.into(), run: run(task), demand: cores(demand), epoch: number(epoch).into(),
        },
        [end @ ("complete" | "end"), worker, task] => Event::TaskEnded {
            worker: worker.into(), run: run(task), completed: end == "complete",
        },
        ["sent", request, with] => Event::RequestSent {
            request: number(request), key: key(with), digest: number(request) * 100,
        },
        ["ran", task, request, with, open_calls] => Event::RequestRan {
            task: task.parse().unwrap(), request: number(request), key: key(with),
            open_calls: number(open_calls) as u32, slots: 8,
        },
        ["answer", request, answered, digest, whole] => Event::AnswerReceived {
            request: number(request), outcome: outcome(answered),
            digest: digest.parse().ok(), whole: whole == "whole",
        },
        ["leaving", task] => Event::UpstreamLeaving { task: task.parse().unwrap() },
        ["accepted", work, tasks] =>
            Event::WorkAccepted { work: work.into(), tasks: number(tasks) as u32 },
        ["release", version] => Event::ReleaseAccepted { version: number(version).into() },
        ["force", host, version] =>
            Event::ReleaseInForce { host: host.into(), version: number(version).into() },
        _ => panic!("not an event: {words:?}"),
    }
}

fn history(text: &str) -> Vec<Record> {
    let parts = text
        .split(';')
        .map(str::trim)
        .filter(|part| !part.is_empty());
    let records = parts.map(|part| {
        let words: Vec<&str> = part.split_whitespace().collect();
        Record {
            at_ms: words[0].parse().unwrap(),
            process: "test".to_owned(),
            event: event(&words[1..]),
        }
    });
    records.collect()
}

struct Case {
    name: &'static str,
    history: &'static str,
    /// Names of the expected violations, in order.
    expected: &'static [&'static str],
}

const fn case(
    name: &'static str,
    history: &'static str,
    expected: &'static [&'static str],
) -> Case {
    Case {
        name,
        history,
        expected,
    }
}

fn check(cases: &[Case]) {
    let expectations = checker::Expectations {
        reachable_hosts: vec!["h1".into(), "h2".into()],
        settled: Some(checker::Settled {
            known_work: ["known".into()].into_iter().collect(),
        }),
        ..checker::Expectations::default()
    };
    for case in cases {
        let found = checker::check_with(&history(case.history), &expectations);
        let names: Vec<String> = found.iter().map(|found| format!("{found:?}")).collect();
        let names: Vec<&str> = names
            .iter()
            .map(|name| name.split(' ').next().unwrap())
            .collect();
        assert_eq!(names, case.expected, "{}: {found:#?}", case.name);
        let messages = found.iter().map(ToString::to_string);
        assert!(
            messages.into_iter().all(|text| !text.contains('{')),
            "{}",
            case.name
        );
    }
}

#[rustfmt::skip]
#[test]
fn violations_are_found() {
    check(&[
        case("a task in two places",
            "0 worker a 8; 0 worker b 8; 1 start a j/0@1 1 1; 2 start b j/0@2 1 1", &["Overlap"]),
        case("a task twice on one worker",
            "0 worker a 8; 1 start a j/0@1 1 1; 2 start a j/0@2 1 1", &["Overlap"]),
        case("over capacity for an instant",
            "0 worker a 8; 1 start a j/0@1 5 1; 2 start a j/1@1 4 1; 2 end a j/1@1",
            &["OverCapacity"]),
        case("on a lost worker", "0 worker a 8; 1 lost a; 2 start a j/0@1 1 1", &["NoSuchWorker"]),
        case("a fenced owner is obeyed",
            "0 worker a 8; 1 start a j/0@1 1 5; 2 start a j/1@1 1 4", &["StaleEpochObeyed"]),
        case("completed twice",
            "0 worker a 8; 1 start a j/0@1 1 1; 2 complete a j/0@1; \
             3 start a j/0@2 1 1; 4 complete a j/0@2", &["CompletedTwice"]),
        case("accepted work is lost",
            "0 worker a 8; 0 accepted j 2; 1 start a j/0@1 1 1; 2 complete a j/0@1", &["WorkLost"]),
        case("not run, but ran before",
            "0 sent 1 -; 1 ran s/0 1 - 1; 2 answer 1 not_run - whole", &["NotRunButRan"]),
        case("not run, but ran afterwards",
            "0 sent 1 -; 2 answer 1 not_run - whole; 9 ran s/0 1 - 1", &["NotRunButRan"]),
        case("a key runs twice through different requests",
            "0 sent 1 k; 1 ran s/0 1 k 1; 2 answer 1 unknown - whole; \
             3 sent 2 k; 4 ran s/1 2 k 1; 5 answer 2 done 200 whole", &["RanTwice"]),
        case("crossed answers",
            "0 sent 1 -; 0 sent 2 -; 1 answer 1 done 200 whole; 1 answer 2 done 100 whole",
            &["CrossedAnswer", "CrossedAnswer"]),
        case("cut answer", "0 sent 1 -; 1 answer 1 done 100 cut", &["CutAnswer"]),
        case("two answers",
            "0 sent 1 -; 1 answer 1 done 100 whole; 2 answer 1 done 100 whole", &["AnsweredTwice"]),
        case("no answer", "0 sent 1 -", &["Unanswered"]),
        case("more calls than slots", "1 ran s/0 1 - 9", &["OverSlots"]),
        case("new work after three seconds of leaving",
            "1000 leaving s/0; 3000 leaving s/0; 4001 ran s/0 1 - 1", &["WorkToLeaving"]),
        case("a release reverts, also over a restart of the host",
            "0 release 1; 1 release 2; 1 force h1 2; 1 force h2 2; 9 force h1 1",
            &["ReleaseReverted"]),
        case("a release is late on one host and never on another",
            "1000 release 1; 4001 force h1 1", &["ReleaseLate", "ReleaseLate"]),
        case("two operators get the same number",
            "5 release 1; 5 release 1; 6 force h1 1; 6 force h2 1", &["ReleaseAcceptedTwice"]),
    ]);
}

#[rustfmt::skip]
#[test]
fn valid_histories_pass() {
    check(&[
        case("nothing happened", "", &[]),
        case("a task moves after its worker is lost, and another follows it",
            "0 worker a 8; 0 worker b 8; 0 accepted j 1; 1 start a j/0@1 8 3; 2 lost a; \
             3 start b j/0@2 8 1; 4 complete b j/0@2; 4 start b j/1@1 8 1", &[]),
        case("accepted work that waits is known", "0 accepted known 5", &[]),
        case("retries of an idempotent request, and a duplicate with the first answer",
            "0 sent 1 -; 1 ran s/0 1 - 8; 2 ran s/1 1 - 1; 3 answer 1 done 100 whole; \
             4 sent 2 k; 4 sent 3 k; 5 ran s/0 2 k 1; 6 answer 2 done 200 whole; \
             6 answer 3 done - whole", &[]),
        case("a leaving upstream works for three seconds; its next run works on",
            "0 worker a 8; 0 start a s/0@1 1 1; 1000 leaving s/0; 4000 ran s/0 1 - 1; \
             5000 end a s/0@1; 6000 start a s/0@2 1 1; 9000 ran s/0 2 - 1", &[]),
        case("a release is skipped for a later one, and the last is not due yet",
            "0 release 1; 1000 release 2; 2000 force h1 1; 3000 force h1 2; 3000 force h2 2; \
             8000 release 3; 9000 force h3 3", &[]),
    ]);
}
