//! Admission control.

use hickorychute_cell::{admission::Verdict, jobs::JobRecord};

use crate::support::{self, Model};

fn verdict(model: &Model, record: &JobRecord) -> Verdict {
    let queue = &model.coordinator.config().queues[record.queue.as_str()];
    model
        .coordinator
        .admit(queue, record.spec.as_ref().expect("the job has a spec"))
}

#[test]
fn a_job_is_refused_when_its_backlog_exceeds_the_lateness_limit() {
    struct Case {
        name: &'static str,
        ahead: u64,
        queue: &'static str,
        cpu_millicores: u64,
        accepted: bool,
    }
    let cases = [
        Case {
            name: "empty",
            ahead: 0,
            queue: "batch",
            cpu_millicores: 1_000,
            accepted: true,
        },
        Case {
            name: "busy",
            ahead: 2,
            queue: "batch",
            cpu_millicores: 1_000,
            accepted: true,
        },
        Case {
            name: "late, but within the lateness limit",
            ahead: 8,
            queue: "batch",
            cpu_millicores: 1_000,
            accepted: true,
        },
        Case {
            name: "overloaded",
            ahead: 60,
            queue: "batch",
            cpu_millicores: 1_000,
            accepted: false,
        },
        Case {
            name: "overloaded with jobs of lower priority",
            ahead: 60,
            queue: "urgent",
            cpu_millicores: 1_000,
            accepted: true,
        },
        Case {
            name: "never fits",
            ahead: 0,
            queue: "batch",
            cpu_millicores: 17_000,
            accepted: false,
        },
    ];
    for case in cases {
        let mut model = Model::new(support::config(), 2);
        for number in 0..case.ahead {
            model.submit(support::job(
                1_000 + number,
                "batch",
                vec![support::step(16, 1_000, 2_000)],
            ));
        }
        let record = support::job(
            1,
            case.queue,
            vec![support::step(1, case.cpu_millicores, 500)],
        );
        let verdict = verdict(&model, &record);
        assert_eq!(
            verdict == Verdict::Accept,
            case.accepted,
            "{}: {verdict:?}",
            case.name
        );
    }
}

#[test]
fn retry_delay_grows_with_the_backlog() {
    let mut waits = Vec::new();
    for ahead in [20, 30, 60] {
        let mut model = Model::new(support::config(), 2);
        for number in 0..ahead {
            model.submit(support::job(
                1_000 + number,
                "batch",
                vec![support::step(16, 1_000, 2_000)],
            ));
        }
        let record = support::job(1, "batch", vec![support::step(1, 1_000, 500)]);
        if let Verdict::Refuse { retry_after_ms } = verdict(&model, &record) {
            waits.push(retry_after_ms);
        }
    }
    assert!(!waits.is_empty() && waits.is_sorted(), "{waits:?}");
}
