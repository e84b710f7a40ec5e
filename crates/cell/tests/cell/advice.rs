//! Queries to the advice service, and the use of its tickets.

use std::rc::Rc;

use hickorychute_cell::{
    coordinator::{AdviceOutcome, AdviceQuery},
    jobs::JobState,
};

use crate::support::{self, Model};

#[test]
fn jobs_complete_with_any_share_of_eligible_workers() {
    for eligible_percent in [20, 50, 100] {
        let mut model = Model::new(support::advised_config(), 16);
        model.eligible_percent = eligible_percent;
        for number in 0..10 {
            model.submit(support::job(
                number,
                "batch",
                vec![support::step(4, 1_000, 400)],
            ));
        }
        model.run_ms(9_000);
        for number in 0..10 {
            assert_eq!(
                model.state(number),
                Some(JobState::Completed),
                "{eligible_percent} {number}"
            );
        }
    }
}

/// A burst of urgent jobs arrives while slow queries about heavy tasks wait.
#[test]
fn urgent_questions_come_first() {
    let mut model = Model::new(support::advised_config(), 8);
    model.submit(support::job(1, "batch", vec![support::step(1, 1_000, 400)]));
    model.submit(support::job(
        2,
        "urgent",
        vec![support::step(1, 1_000, 400)],
    ));
    let now_ms = model.now_ms;
    let orders = model.coordinator.schedule(now_ms, support::START_UNIX_MS);
    assert!(orders.is_empty(), "nothing starts without a ticket");
    // Workers become schedulable after their first report.
    model.eligible_percent = 0;
    model.run_ms(60);
    model.submit(support::job(3, "batch", vec![support::step(1, 1_000, 400)]));
    model.submit(support::job(
        4,
        "urgent",
        vec![support::step(1, 1_000, 400)],
    ));
    let now_ms = model.now_ms;
    let _orders = model.coordinator.schedule(now_ms, support::START_UNIX_MS);
    let asked: Vec<u64> = std::iter::from_fn(|| model.coordinator.next_advice_query(now_ms, false))
        .map(|query: AdviceQuery| query.step.job.0)
        .collect();
    assert_eq!(asked, [4, 3]);
}

#[test]
fn tickets_are_renewed_only_where_there_is_room() {
    let mut model = Model::new(support::advised_config(), 1);
    model.submit(support::job(
        1,
        "batch",
        vec![support::step(1, 16_000, 20_000)],
    ));
    model.run_ms(300);
    model.submit(support::job(
        2,
        "batch",
        vec![support::step(1, 16_000, 400)],
    ));
    model.run_ms(300);
    let now_ms = model.now_ms + 5_000;
    let _orders = model.coordinator.schedule(now_ms, support::START_UNIX_MS);
    assert_eq!(model.coordinator.next_advice_query(now_ms, false), None);
}

#[test]
fn a_failed_question_is_repeated_after_a_delay() {
    let mut model = Model::new(support::advised_config(), 2);
    model.run_ms(60);
    model.submit(support::job(1, "batch", vec![support::step(1, 1_000, 400)]));
    let now_ms = model.now_ms;
    let _orders = model.coordinator.schedule(now_ms, support::START_UNIX_MS);
    let query = model
        .coordinator
        .next_advice_query(now_ms, false)
        .expect("the step asks");
    assert_eq!(query.workers.len(), 2);
    model
        .coordinator
        .advice_answered(&query, &AdviceOutcome::Failed, now_ms);
    assert_eq!(model.coordinator.next_advice_query(now_ms, false), None);
    let again = model
        .coordinator
        .next_advice_query(now_ms + 200, false)
        .expect("a second query");
    let tickets = vec![(Rc::clone(&again.workers[0]), Rc::from("ticket"))];
    let outcome = AdviceOutcome::Answered {
        tickets,
        valid_ms: 2_500,
    };
    model
        .coordinator
        .advice_answered(&again, &outcome, now_ms + 200);
    let orders = model
        .coordinator
        .schedule(now_ms + 210, support::START_UNIX_MS);
    assert_eq!(orders.len(), 1);
}

/// A stream of small steps next to a wide gang, in a cell of hundreds of workers. Each worker named
/// in a query costs time of the service and bytes on the network.
#[test]
fn a_question_names_as_many_workers_as_its_tasks_are_likely_to_need() {
    struct Case {
        name: &'static str,
        tasks: u32,
        named: usize,
    }
    let cases = [
        Case {
            name: "one task",
            tasks: 1,
            named: 24,
        },
        Case {
            name: "a small step",
            tasks: 5,
            named: 40,
        },
        Case {
            name: "a wide step: as many as the service accepts",
            tasks: 40,
            named: 100,
        },
    ];
    for case in cases {
        let mut model = Model::new(support::advised_config(), 300);
        model.run_ms(60);
        let steps = vec![support::step(case.tasks, 1_000, 400)];
        model.submit(support::job(1, "batch", steps));
        let now_ms = model.now_ms;
        let _orders = model.coordinator.schedule(now_ms, support::START_UNIX_MS);
        let first = model.coordinator.next_advice_query(now_ms, false);
        let first = first.expect("the step asks");
        assert_eq!(first.workers.len(), case.named, "{}", case.name);
        let none = AdviceOutcome::Answered {
            tickets: Vec::new(),
            valid_ms: 2_500,
        };
        model.coordinator.advice_answered(&first, &none, now_ms);
        let second = model.coordinator.next_advice_query(now_ms, false);
        let second = second.expect("a query about other workers");
        let twice = |worker| first.workers.contains(worker);
        assert!(!second.workers.iter().any(twice), "{}", case.name);
    }
}

/// A thousand steps wait for room, and examining a step for a query iterates over all workers.
#[test]
fn a_step_that_needs_no_question_is_not_reexamined_immediately() {
    let mut model = Model::new(support::advised_config(), 1);
    model.submit(support::job(
        1,
        "batch",
        vec![support::step(1, 16_000, 20_000)],
    ));
    model.run_ms(300);
    model.submit(support::job(
        2,
        "batch",
        vec![support::step(1, 16_000, 400)],
    ));
    model.run_ms(300);
    let now_ms = model.now_ms;
    let _orders = model.coordinator.schedule(now_ms, support::START_UNIX_MS);
    assert_eq!(model.coordinator.next_advice_query(now_ms, false), None);
    let waiting = model.coordinator.open_jobs().find(|job| job.id.0 == 2);
    let step = waiting.and_then(|job| job.occurrences.get(&0)?.steps.first());
    let next_examination_ms = step.map(|step| step.advice.not_before_ms);
    assert!(next_examination_ms.is_some_and(|at_ms| at_ms > now_ms));
}

/// A third of all hosts is killed at once, with the queries that they were sending.
#[test]
fn a_question_whose_host_is_gone_is_asked_again_at_once() {
    struct Case {
        name: &'static str,
        outcome: AdviceOutcome,
        is_repeated: bool,
    }
    let cases = [
        Case {
            name: "host gone",
            outcome: AdviceOutcome::NotSent,
            is_repeated: true,
        },
        Case {
            name: "service overloaded",
            outcome: AdviceOutcome::Failed,
            is_repeated: false,
        },
    ];
    for case in cases {
        let mut model = Model::new(support::advised_config(), 2);
        model.run_ms(60);
        model.submit(support::job(1, "batch", vec![support::step(1, 1_000, 400)]));
        let now_ms = model.now_ms;
        let _orders = model.coordinator.schedule(now_ms, support::START_UNIX_MS);
        let query = model.coordinator.next_advice_query(now_ms, false);
        let query = query.expect("the step asks");
        model
            .coordinator
            .advice_answered(&query, &case.outcome, now_ms);
        let again = model.coordinator.next_advice_query(now_ms, false).is_some();
        assert_eq!(again, case.is_repeated, "{}", case.name);
    }
}
