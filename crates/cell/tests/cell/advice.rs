//! Advice as a planned resource.

use std::rc::Rc;

use hickorychute_cell::{
    coordinator::{AdviceOutcome, Question},
    jobs::JobState,
};

use crate::support::{self, Model};

#[test]
fn work_runs_only_where_advice_allows() {
    for good_percent in [20, 50, 100] {
        let mut model = Model::new(support::advised_config(), 16);
        model.good_percent = good_percent;
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
                "{good_percent} {number}"
            );
        }
    }
}

/// Pattern: a burst of urgent jobs behind slow questions of heavy ones.
#[test]
fn urgent_questions_come_first_and_heavy_ones_can_be_held_back() {
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
    // Workers take part once they were heard.
    model.good_percent = 0;
    model.run_ms(60);
    model.submit(support::job(3, "batch", vec![support::step(1, 1_000, 400)]));
    model.submit(support::job(
        4,
        "urgent",
        vec![support::step(1, 1_000, 400)],
    ));
    let now_ms = model.now_ms;
    let _orders = model.coordinator.schedule(now_ms, support::START_UNIX_MS);
    let asked: Vec<u64> = std::iter::from_fn(|| model.coordinator.next_question(now_ms, false))
        .map(|question: Question| question.step.job.0)
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
    assert_eq!(model.coordinator.next_question(now_ms, false), None);
}

#[test]
fn a_question_without_an_answer_is_asked_again_a_little_later() {
    let mut model = Model::new(support::advised_config(), 2);
    model.run_ms(60);
    model.submit(support::job(1, "batch", vec![support::step(1, 1_000, 400)]));
    let now_ms = model.now_ms;
    let _orders = model.coordinator.schedule(now_ms, support::START_UNIX_MS);
    let question = model
        .coordinator
        .next_question(now_ms, false)
        .expect("the step asks");
    assert_eq!(question.workers.len(), 2);
    model
        .coordinator
        .advice_answered(&question, &AdviceOutcome::Failed, now_ms);
    assert_eq!(model.coordinator.next_question(now_ms, false), None);
    let again = model
        .coordinator
        .next_question(now_ms + 200, false)
        .expect("it asks again");
    let rows = vec![(Rc::clone(&again.workers[0]), Rc::from("ticket"))];
    let outcome = AdviceOutcome::Good {
        rows,
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
