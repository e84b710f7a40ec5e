//! Job states reported to clients, due occurrences, and job identifiers.

use hickorychute_cell::{ids::JobId, jobs::JobState};

use crate::support::{self, Model};

#[test]
fn outcome_is_reported_only_once_it_is_durable() {
    let mut model = Model::new(support::config(), 1);
    model.submit(support::job(
        1,
        "urgent",
        vec![support::step(1, 1_000, 200)],
    ));
    model.run_ms(100);
    model.store_up = false;
    model.run_ms(2_000);
    assert_eq!(model.state(1), Some(JobState::Running));
    model.store_up = true;
    model.run_ms(200);
    assert_eq!(model.state(1), Some(JobState::Completed));
}

#[test]
fn pending_counts_jobs_without_a_first_start() {
    let mut model = Model::new(support::config(), 1);
    for number in 0..5 {
        model.submit(support::job(
            number,
            "batch",
            vec![support::step(1, 16_000, 5_000)],
        ));
    }
    model.run_ms(300);
    assert_eq!(model.coordinator.pending_job_count("batch"), 4);
    assert_eq!(model.coordinator.pending_job_count("urgent"), 0);
}

#[test]
fn occurrences_begin_when_they_are_due() {
    let mut model = Model::new(support::config(), 2);
    let mut record = support::job(1, "batch", vec![support::step(1, 1_000, 100)]);
    let spec = record.spec.as_mut().expect("the job has a spec");
    spec.occurrences = 3;
    spec.first_due_unix_ms = support::START_UNIX_MS + 1_000;
    spec.interval_ms = 500;
    model.submit(record);
    model.run_ms(900);
    assert_eq!(model.starts, 0);
    model.run_ms(300);
    assert_eq!(model.starts, 1);
    model.run_ms(1_500);
    assert_eq!(model.starts, 3);
    assert_eq!(model.state(1), Some(JobState::Completed));
}

#[test]
fn a_job_is_accepted_once() {
    let mut model = Model::new(support::config(), 1);
    let record = support::job(1, "urgent", vec![support::step(1, 1_000, 200)]);
    model.submit(record.clone());
    model.run_ms(500);
    model
        .coordinator
        .add_job(&record, false, support::START_UNIX_MS);
    model.run_ms(500);
    assert_eq!(model.starts, 1);
    assert_eq!(model.state(1), Some(JobState::Completed));
}

#[test]
fn job_ids_parse_only_in_canonical_form() {
    struct Case {
        text: &'static str,
        id: Option<u64>,
    }
    let cases = [
        Case {
            text: "5c0e7a21d94b36f8",
            id: Some(0x5c0e_7a21_d94b_36f8),
        },
        Case {
            text: "0000000000000000",
            id: Some(0),
        },
        Case {
            text: "5C0E7A21D94B36F8",
            id: None,
        },
        Case {
            text: "5c0e7a21d94b36f",
            id: None,
        },
        Case {
            text: "5c0e7a21d94b36f8a",
            id: None,
        },
        Case {
            text: "+c0e7a21d94b36f8",
            id: None,
        },
        Case { text: "", id: None },
    ];
    for case in cases {
        assert_eq!(
            case.text.parse::<JobId>().ok().map(|id| id.0),
            case.id,
            "{:?}",
            case.text
        );
    }
}
