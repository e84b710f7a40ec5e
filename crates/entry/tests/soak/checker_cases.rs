//! Histories that the checker has to accept or to reject.

use std::{collections::BTreeMap, iter};

use platform_standin::run_log::{RunEvent, TimedEvent};

use crate::{
    checker::{History, Life},
    clients::ClientJob,
};

const TASK: &str = "00000000000000aa.0.0.0";
const JOB: &str = "00000000000000aa";
const ENDED_MS: u64 = 60_000;

fn start(at_ms: u64, run: u64) -> TimedEvent {
    start_with(at_ms, run, "spec")
}

fn start_with(at_ms: u64, run: u64, spec: &str) -> TimedEvent {
    let (task, spec) = (TASK.to_owned(), spec.to_owned());
    let event = RunEvent::Started { task, run, spec };
    TimedEvent { at_ms, event }
}

fn end(at_ms: u64, run: u64, how: &str) -> TimedEvent {
    let (task, how) = (TASK.to_owned(), how.to_owned());
    let number = run;
    let event = RunEvent::Ended {
        number,
        task,
        run,
        how,
    };
    TimedEvent { at_ms, event }
}

fn acknowledge(at_ms: u64, last_seen: u64) -> TimedEvent {
    let event = RunEvent::Acknowledged { last_seen };
    TimedEvent { at_ms, event }
}

fn held(at_ms: u64, until_ms: u64) -> TimedEvent {
    let event = RunEvent::Held { until_ms };
    TimedEvent { at_ms, event }
}

fn at(at_ms: u64, event: RunEvent) -> TimedEvent {
    TimedEvent { at_ms, event }
}

/// What two workers reported and a client saw, and the rule that it breaks.
struct Case {
    name: &'static str,
    first: Vec<TimedEvent>,
    first_killed_ms: Option<u64>,
    second: Vec<TimedEvent>,
    job: Option<ClientJob>,
    fault_ms: u64,
    broken: Option<&'static str>,
}

impl Default for Case {
    fn default() -> Self {
        let job = ClientJob {
            spec: "spec".to_owned(),
            accepted: true,
            ..ClientJob::default()
        };
        Self {
            name: "",
            first: Vec::new(),
            first_killed_ms: None,
            second: Vec::new(),
            job: Some(job),
            fault_ms: 0,
            broken: None,
        }
    }
}

impl Case {
    /// The job's cancellation was acknowledged at 10 s.
    fn cancelled(self) -> Self {
        let job = self.job.map(|job| ClientJob {
            cancelled_ms: Some(10_000),
            ..job
        });
        Self { job, ..self }
    }

    fn violations(&self) -> Vec<String> {
        let life = |name: &str, events: &[TimedEvent], killed_ms| Life {
            name: name.to_owned(),
            events: events.to_vec(),
            killed_ms,
        };
        let lives = vec![
            life("first", &self.first, self.first_killed_ms),
            life("second", &self.second, None),
        ];
        let jobs = self.job.iter().map(|job| (JOB.to_owned(), job.clone()));
        let history = History {
            lives,
            jobs: jobs.collect::<BTreeMap<_, _>>(),
            faults: iter::once(self.fault_ms..self.fault_ms).collect(),
            ended_ms: ENDED_MS,
        };
        history.violations()
    }
}

fn twice_cases() -> Vec<Case> {
    let done = || vec![start(10_000, 1), end(11_000, 1, "done")];
    let with = |mut events: Vec<TimedEvent>, more: TimedEvent| {
        events.push(more);
        events
    };
    vec![
        Case {
            name: "two runs at once",
            first: vec![start(10_000, 1), end(15_000, 1, "lapsed")],
            second: vec![start(14_999, 2)],
            broken: Some("TWICE at once"),
            ..Case::default()
        },
        Case {
            name: "one run after the other",
            first: vec![start(10_000, 1), end(15_000, 1, "lapsed")],
            second: vec![start(15_000, 2)],
            ..Case::default()
        },
        Case {
            name: "a run of a process that never reported its end",
            first: vec![start(10_000, 1)],
            second: vec![start(14_000, 2)],
            broken: Some("TWICE at once"),
            ..Case::default()
        },
        Case {
            name: "the first process was killed",
            first: vec![start(10_000, 1)],
            first_killed_ms: Some(13_000),
            second: vec![start(14_000, 2)],
            ..Case::default()
        },
        Case {
            name: "killed while stopped, after its hold expired",
            first: vec![held(9_000, 13_000), start(10_000, 1)],
            first_killed_ms: Some(20_000),
            second: vec![start(14_000, 2)],
            ..Case::default()
        },
        Case {
            name: "the first process left",
            first: vec![start(10_000, 1), at(13_000, RunEvent::Left)],
            second: vec![start(14_000, 2)],
            ..Case::default()
        },
        Case {
            name: "a start after an acknowledged end",
            first: with(done(), acknowledge(11_100, 1)),
            second: vec![start(12_000, 2)],
            broken: Some("TWICE after its end"),
            ..Case::default()
        },
        Case {
            name: "a start before the end is acknowledged",
            first: with(done(), acknowledge(12_500, 1)),
            second: vec![start(12_000, 2)],
            broken: Some("TWICE after its end"),
            ..Case::default()
        },
        Case {
            name: "an end that lapsed before it was acknowledged",
            first: with(
                with(done(), at(11_500, RunEvent::Lapsed)),
                acknowledge(11_600, 1),
            ),
            second: vec![start(12_000, 2)],
            ..Case::default()
        },
    ]
}

fn unasked_cases() -> Vec<Case> {
    let run = |from_ms, to_ms| vec![start(from_ms, 1), end(to_ms, 1, "stopped")];
    let refused = ClientJob {
        spec: "spec".to_owned(),
        ..ClientJob::default()
    };
    vec![
        Case {
            name: "of no client",
            first: run(10_000, 11_000),
            job: None,
            broken: Some("UNASKED of no client"),
            ..Case::default()
        },
        Case {
            name: "another spec",
            first: vec![start_with(10_000, 1, "other")],
            broken: Some("UNASKED other spec"),
            ..Case::default()
        },
        Case {
            name: "of a refused job",
            first: run(10_000, 11_000),
            job: Some(refused),
            broken: Some("UNASKED of a refused job"),
            ..Case::default()
        },
        Case {
            name: "a late start",
            first: run(13_001, 13_100),
            broken: Some("UNASKED started"),
            ..Case::default()
        }
        .cancelled(),
        Case {
            name: "a late start beside a fault",
            first: run(13_001, 13_100),
            fault_ms: 10_000,
            ..Case::default()
        }
        .cancelled(),
        Case {
            name: "a run that is stopped in time",
            first: run(9_000, 13_100),
            ..Case::default()
        }
        .cancelled(),
        Case {
            name: "a run that goes on",
            first: run(9_000, 13_300),
            broken: Some("UNASKED goes on"),
            ..Case::default()
        }
        .cancelled(),
        Case {
            name: "a run that goes on beside a fault, and ends with it",
            first: run(9_000, 16_000),
            fault_ms: 12_000,
            ..Case::default()
        }
        .cancelled(),
        Case {
            name: "a run that goes on after a fault",
            first: run(9_000, 16_002),
            fault_ms: 12_000,
            broken: Some("UNASKED goes on"),
            ..Case::default()
        }
        .cancelled(),
    ]
}

#[test]
fn the_checker_finds_what_breaks_a_rule_and_nothing_else() {
    for case in twice_cases().into_iter().chain(unasked_cases()) {
        let violations = case.violations();
        match case.broken {
            None => assert_eq!(violations, Vec::<String>::new(), "{}", case.name),
            Some(broken) => {
                assert_eq!(violations.len(), 1, "{}: {violations:?}", case.name);
                assert!(
                    violations[0].starts_with(broken),
                    "{}: {violations:?}",
                    case.name
                );
            }
        }
    }
}
