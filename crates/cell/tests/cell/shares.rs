//! Shares of tenants.

use hickorychute_cell::{
    admission::{Submitter, TenantCause, Verdict},
    config::Tenant,
    jobs::{JobRecord, JobState},
    shares::Shares,
};

use crate::support::{self, Model};

const WINDOW_MS: u64 = 5_000;

/// Guards against a tenant that loses its share because it exceeds it, and against one that exceeds it.
#[test]
fn a_share_allows_its_rate_in_any_window() {
    struct Case {
        name: &'static str,
        jobs_per_s: f64,
        /// Time between two jobs, in milliseconds.
        interval_ms: u64,
        jobs: u64,
        within: u64,
    }
    let cases = [
        Case {
            name: "below the rate",
            jobs_per_s: 2.0,
            interval_ms: 600,
            jobs: 50,
            within: 50,
        },
        Case {
            name: "ten times the rate for 10 s",
            jobs_per_s: 2.0,
            interval_ms: 50,
            jobs: 200,
            within: 20,
        },
        Case {
            name: "less than a job a window",
            jobs_per_s: 0.1,
            interval_ms: 1_000,
            jobs: 10,
            within: 2,
        },
        Case {
            name: "no share",
            jobs_per_s: 0.0,
            interval_ms: 1,
            jobs: 100,
            within: 100,
        },
    ];
    for case in cases {
        let tenant = support::tenant("a", case.jobs_per_s, 0);
        let mut shares = Shares::default();
        let mut within = 0;
        for number in 0..case.jobs {
            let unix_ms = support::START_UNIX_MS + number * case.interval_ms;
            let id = support::id(number);
            if !shares.is_over(&tenant, id, WINDOW_MS, unix_ms) {
                within += 1;
                shares.record(&tenant, id, unix_ms, WINDOW_MS, unix_ms);
                let again = shares.is_over(&tenant, id, WINDOW_MS, unix_ms);
                assert!(!again, "{}: a retry of a counted job", case.name);
            }
        }
        assert_eq!(within, case.within, "{}", case.name);
    }
}

#[test]
fn the_share_has_room_again_once_its_oldest_job_leaves_the_window() {
    let tenant = support::tenant("a", 1.0, 0);
    let mut shares = Shares::default();
    let start = support::START_UNIX_MS;
    for number in 0..5 {
        let at_ms = start + number * 100;
        shares.record(&tenant, support::id(number), at_ms, WINDOW_MS, at_ms);
    }
    let now = start + 1_000;
    assert!(shares.is_over(&tenant, support::id(9), WINDOW_MS, now));
    assert_eq!(shares.room_in_ms(&tenant, WINDOW_MS, now), 4_000);
    assert!(!shares.is_over(&tenant, support::id(9), WINDOW_MS, now + 4_000));
    assert_eq!(shares.room_in_ms(&tenant, WINDOW_MS, now + 4_000), 0);
}

fn two_tenants() -> [Tenant; 2] {
    [
        support::tenant("flood", 1.0, 0),
        support::tenant("small", 20.0, 0),
    ]
}

fn flood(model: &mut Model, jobs: u64) {
    for number in 0..jobs {
        let record = support::job(100 + number, "urgent", vec![support::step(4, 4_000, 1_000)]);
        model.submit(support::of_tenant("flood", record));
    }
}

/// Guards against a flood that starves a tenant under its share. The flood's queue has the higher
/// priority and its jobs came first.
#[test]
fn jobs_over_their_share_come_after_jobs_within_shares() {
    // One job of the flood is within its share.
    let [_, small] = two_tenants();
    let tenants = [support::tenant("flood", 0.2, 0), small];
    let config = support::with_tenants(&support::config(), tenants);
    let mut model = Model::new(config, 2);
    model.run_ms(500);
    flood(&mut model, 60);
    model.run_ms(100);
    for number in 0..5 {
        let record = support::job(number, "batch", vec![support::step(4, 1_500, 500)]);
        model.submit(support::of_tenant("small", record));
    }
    // The flood's jobs become late after 2.1 s and would come later then in any case.
    model.run_ms(2_000);
    for number in 0..5 {
        assert_eq!(model.state(number), Some(JobState::Completed), "{number}");
    }
    let waiting = (100..160).filter(|&id| model.state(id) == Some(JobState::Queued));
    assert!(waiting.count() > 0, "the flood still waits");
}

/// Guards against capacity that stays idle because the only work exceeds its share.
#[test]
fn jobs_over_their_share_are_served_in_an_idle_cell() {
    let config = support::with_tenants(&support::config(), two_tenants());
    let mut model = Model::new(config, 4);
    model.run_ms(500);
    flood(&mut model, 8);
    assert!(
        model.record(107).over_share,
        "only 5 jobs are within the share"
    );
    model.run_ms(5_000);
    for number in 100..108 {
        assert_eq!(model.state(number), Some(JobState::Completed), "{number}");
    }
    let record = support::job(99, "urgent", vec![support::step(1, 1_000, 100)]);
    let verdict = admit(&model, &two_tenants()[0], &record, true);
    assert_eq!(verdict, Verdict::Accept);
}

/// Guards against a burst that fills the backlog of others: the tenant over its share is refused, with
/// the time at which its share has room again, while the others are accepted.
#[test]
fn jobs_over_their_share_are_refused_first() {
    let tenants = two_tenants();
    let config = support::with_tenants(&support::config(), tenants.clone());
    let mut model = Model::new(config, 2);
    model.run_ms(500);
    for number in 0..5 {
        let record = support::job(100 + number, "urgent", vec![support::step(1, 1_000, 300)]);
        model.submit(support::of_tenant("flood", record));
    }
    for number in 0..20 {
        let record = support::job(
            1_000 + number,
            "batch",
            vec![support::step(16, 1_000, 1_000)],
        );
        model.submit(support::of_tenant("small", record));
    }
    let record = support::job(1, "urgent", vec![support::step(1, 1_000, 300)]);
    let small = admit(&model, &tenants[1], &record, false);
    assert_eq!(small, Verdict::Accept);
    let refused = admit(&model, &tenants[0], &record, true);
    let Verdict::RefuseTenant {
        cause: TenantCause::OverShare,
        retry_after_ms,
    } = refused
    else {
        panic!("{refused:?}");
    };
    // The flood's five jobs within the share were accepted just now.
    assert!(
        (4_000..=5_000).contains(&retry_after_ms),
        "{retry_after_ms}"
    );
}

/// Guards against backlogs over the share that make the coordinator refuse work within shares.
#[test]
fn jobs_over_their_share_do_not_count_as_ahead_of_others() {
    let tenants = two_tenants();
    let config = support::with_tenants(&support::config(), tenants.clone());
    let mut model = Model::new(config, 2);
    flood(&mut model, 100);
    let record = support::job(1, "batch", vec![support::step(1, 1_000, 300)]);
    assert_eq!(admit(&model, &tenants[1], &record, false), Verdict::Accept);
    assert_ne!(admit(&model, &tenants[0], &record, true), Verdict::Accept);
}

/// Guards against a share that jobs evade because their hosts write them directly to the store, and
/// against a successor that forgets which jobs exceed it.
#[test]
fn directly_written_jobs_and_successors_keep_to_the_share() {
    let config = support::with_tenants(&support::config(), two_tenants());
    let mut model = Model::new(config, 1);
    model.run_ms(500);
    for number in 0..8 {
        let record = support::job(number, "batch", vec![support::step(1, 16_000, 3_000)]);
        model.submit_to_store(support::of_tenant("flood", record));
    }
    model.run_ms(100);
    let over = |model: &Model, id: u64| model.record(id).over_share;
    for number in 0..8 {
        assert_eq!(over(&model, number), number >= 5, "{number}");
    }
    model.take_over();
    let next = support::of_tenant(
        "flood",
        support::job(20, "batch", vec![support::step(1, 1_000, 100)]),
    );
    assert!(model.coordinator.is_over_share(&next, model.unix_ms()));
    let later_ms = model.unix_ms() + WINDOW_MS;
    assert!(!model.coordinator.is_over_share(&next, later_ms));
}

fn admit(model: &Model, tenant: &Tenant, record: &JobRecord, over_share: bool) -> Verdict {
    let queue = &model.coordinator.config().queues[record.queue.as_str()];
    let spec = record.spec.as_ref().expect("the job has a spec");
    let submitter = Submitter {
        tenant,
        over_share,
        unix_ms: model.unix_ms(),
    };
    model.coordinator.admit_from(queue, spec, Some(&submitter))
}
