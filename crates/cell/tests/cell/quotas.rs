//! Limits of tenants. The model asserts at every start that no tenant exceeds its limit.

use hickorychute_cell::{
    admission::{Submitter, Verdict},
    config::Tenant,
    jobs::{JobRecord, JobState, StepSpec},
    workers::Resources,
};

use crate::support::{self, Model};

/// Number of the first job of the small tenants.
const SMALL_JOBS: u64 = 10_000;

/// Guards against a tenant that takes the whole cell: its flood stays within its limit, makes use of
/// it, and leaves the jobs of small tenants to start at once.
#[test]
fn a_flood_stays_within_its_limit_beside_small_tenants() {
    struct Case {
        name: &'static str,
        queue: &'static str,
        step: StepSpec,
        advised: bool,
    }
    let checkpointing = |step: StepSpec| StepSpec {
        checkpointing: true,
        ..step
    };
    let cases = [
        Case {
            name: "many small urgent tasks",
            queue: "urgent",
            step: support::step(3, 1_000, 300),
            advised: false,
        },
        Case {
            name: "wide batches",
            queue: "batch",
            step: checkpointing(support::step(60, 1_500, 800)),
            advised: false,
        },
        Case {
            name: "gangs that nearly fill the limit",
            queue: "gang",
            step: support::gang(10, 3_000, 700),
            advised: false,
        },
        Case {
            name: "single tasks of half the limit",
            queue: "urgent",
            step: support::step(1, 16_000, 500),
            advised: false,
        },
        Case {
            name: "tasks until their job is cancelled",
            queue: "batch",
            step: support::long_running(support::step(4, 2_000, 500)),
            advised: false,
        },
        Case {
            name: "tasks that need tickets",
            queue: "urgent",
            step: support::step(5, 2_000, 400),
            advised: true,
        },
    ];
    for case in cases {
        let base = if case.advised {
            support::advised_config()
        } else {
            support::config()
        };
        let tenants = [
            support::tenant("flood", 0.0, 32_000),
            support::tenant("small-a", 0.0, 16_000),
            support::tenant("small-b", 0.0, 0),
        ];
        let mut model = Model::new(support::with_tenants(&base, tenants), 8);
        model.run_ms(500);
        let mut peak = 0;
        let mut started = 0;
        for round in 0..100 {
            for number in 0..3 {
                let id = round * 3 + number;
                let record = support::job(id, case.queue, vec![case.step.clone()]);
                model.submit(support::of_tenant("flood", record));
            }
            if round % 10 == 0 {
                for (number, tenant) in ["small-a", "small-b"].into_iter().enumerate() {
                    let id = SMALL_JOBS + round * 2 + number as u64;
                    let record = support::job(id, "batch", vec![support::step(4, 1_000, 200)]);
                    model.submit(support::of_tenant(tenant, record));
                    started += 1;
                }
            }
            model.run_ms(50);
            peak = model.used_by("flood").cpu_millicores.max(peak);
        }
        model.run_ms(2_000);
        let done = (SMALL_JOBS..SMALL_JOBS + 200)
            .filter(|&id| model.state(id) == Some(JobState::Completed))
            .count();
        assert_eq!(done, started, "{}", case.name);
        assert!(
            peak >= 24_000,
            "{}: only {peak} of 32000 were used",
            case.name
        );
    }
}

/// Guards against a gang of which some members start within the limit and wait for the others in vain.
#[test]
fn a_gang_waits_whole_for_room_within_the_limit() {
    let tenants = [support::tenant("a", 0.0, 8_000)];
    let mut model = Model::new(support::with_tenants(&support::config(), tenants), 4);
    model.run_ms(500);
    let ahead = support::job(1, "urgent", vec![support::step(3, 2_000, 1_500)]);
    model.submit(support::of_tenant("a", ahead));
    model.run_ms(200);
    assert_eq!(model.used_by("a").cpu_millicores, 6_000);
    let gang = support::job(2, "urgent", vec![support::gang(4, 2_000, 500)]);
    model.submit(support::of_tenant("a", gang));
    model.run_ms(800);
    assert_eq!(model.used_by("a").cpu_millicores, 6_000, "no member runs");
    assert_eq!(model.coordinator.quota().held_steps().gangs, 1);
    model.run_ms(3_000);
    assert_eq!(model.state(2), Some(JobState::Completed));
    assert_eq!(model.gang_timeouts, 0);
}

/// Guards against a wide step that its own tenant's small tasks starve: they take whatever becomes free
/// within the limit.
#[test]
fn small_tasks_leave_room_for_a_wide_step_of_their_tenant() {
    struct Case {
        name: &'static str,
        step: StepSpec,
    }
    let cases = [
        Case {
            name: "a gang as wide as the limit",
            step: support::gang(8, 1_000, 300),
        },
        Case {
            name: "a task as large as the limit",
            step: support::step(1, 8_000, 300),
        },
    ];
    for case in cases {
        let tenants = [support::tenant("a", 0.0, 8_000)];
        let mut model = Model::new(support::with_tenants(&support::config(), tenants), 4);
        model.run_ms(500);
        for round in 0..200 {
            for number in 0..3 {
                let id = 100 + round * 3 + number;
                let record = support::job(id, "batch", vec![support::step(2, 1_000, 200)]);
                model.submit(support::of_tenant("a", record));
            }
            if round == 10 {
                let record = support::job(1, "batch", vec![case.step.clone()]);
                model.submit(support::of_tenant("a", record));
            }
            model.run_ms(50);
        }
        assert_eq!(model.state(1), Some(JobState::Completed), "{}", case.name);
    }
}

/// Guards against runs that a reduced limit stops, and against a later start above it.
#[test]
fn a_reduced_limit_stops_nothing_and_a_raised_one_is_used_in_the_next_pass() {
    let config = |cpu_millicores, version: u64| {
        let base = hickorychute_cell::config::Config {
            version,
            ..(*support::config()).clone()
        };
        support::with_tenants(&base, [support::tenant("a", 0.0, cpu_millicores)])
    };
    let mut model = Model::new(config(8_000, 1), 4);
    model.run_ms(500);
    let record = support::job(1, "batch", vec![support::step(40, 1_000, 1_000)]);
    model.submit(support::of_tenant("a", record));
    model.run_ms(100);
    assert_eq!(model.used_by("a").cpu_millicores, 8_000);
    let starts = model.starts;
    model.apply_config(config(2_000, 2));
    model.run_ms(300);
    assert_eq!(model.used_by("a").cpu_millicores, 8_000, "nothing stops");
    assert_eq!(model.starts, starts, "nothing starts");
    model.run_ms(1_500);
    assert_eq!(model.used_by("a").cpu_millicores, 2_000);
    model.apply_config(config(12_000, 3));
    model.run_ms(10);
    assert_eq!(model.used_by("a").cpu_millicores, 12_000, "the next pass");
}

/// Guards against a step that a reduced limit keeps from ever starting and that keeps room all the same,
/// so that nothing of its tenant runs any more.
#[test]
fn a_step_above_a_reduced_limit_keeps_no_room_from_others() {
    let config = |cpu_millicores, version: u64| {
        let base = hickorychute_cell::config::Config {
            version,
            ..(*support::config()).clone()
        };
        support::with_tenants(&base, [support::tenant("a", 0.0, cpu_millicores)])
    };
    let cases = [
        ("a gang", support::gang(8, 1_000, 8_000)),
        ("a task", support::step(1, 8_000, 8_000)),
    ];
    for (name, step) in cases {
        let mut model = Model::new(config(8_000, 1), 4);
        model.run_ms(500);
        let ahead = support::job(1, "urgent", vec![support::step(4, 2_000, 500)]);
        model.submit(support::of_tenant("a", ahead));
        model.run_ms(100);
        let wide = support::job(2, "urgent", vec![step]);
        model.submit(support::of_tenant("a", wide));
        model.apply_config(config(4_000, 2));
        for number in 0..80 {
            let record = support::job(100 + number, "batch", vec![support::step(2, 1_000, 200)]);
            model.submit(support::of_tenant("a", record));
            model.run_ms(250);
        }
        model.run_ms(1_000);
        let done = (100..180).filter(|&id| model.state(id) == Some(JobState::Completed));
        assert_eq!(done.count(), 80, "{name}: small jobs wait");
        assert_ne!(model.state(2), Some(JobState::Completed), "{name}");
        model.apply_config(config(8_000, 3));
        model.run_ms(12_000);
        assert_eq!(model.state(2), Some(JobState::Completed), "{name}");
    }
}

/// Guards against a task that is moved off a slow or draining worker, and may not start again anywhere
/// because the limit was reduced meanwhile.
#[test]
fn no_task_is_moved_while_its_tenant_exceeds_its_limit() {
    let config = |cpu_millicores, version: u64| {
        let base = hickorychute_cell::config::Config {
            version,
            ..(*support::config()).clone()
        };
        support::with_tenants(&base, [support::tenant("a", 0.0, cpu_millicores)])
    };
    let mut model = Model::new(config(8_000, 1), 2);
    model.run_ms(500);
    let steps = vec![support::long_running(support::step(4, 2_000, 500))];
    model.submit(support::of_tenant("a", support::job(1, "batch", steps)));
    model.run_ms(200);
    let busy = usize::from(model.tasks_on(0).is_empty());
    assert_eq!(model.tasks_on(busy).len(), 4);
    model.apply_config(config(4_000, 2));
    model.run_ms(50);
    model.drain_worker(busy);
    model.run_ms(2_000);
    assert_eq!(model.tasks_on(busy).len(), 4, "nothing stops");
    model.apply_config(config(8_000, 3));
    model.run_ms(2_000);
    assert_eq!(
        model.tasks_on(1 - busy).len(),
        4,
        "they move within the limit"
    );
}

/// Guards against counting best-effort CPU, which no worker reserves, and against leaving out memory.
#[test]
fn every_reserved_resource_counts() {
    struct Case {
        name: &'static str,
        limit: Resources,
        step: StepSpec,
        running: usize,
    }
    let best_effort = StepSpec {
        best_effort: true,
        ..support::step(6, 1_000, 1_000)
    };
    let none = Resources::default();
    let cases = [
        Case {
            name: "memory",
            limit: Resources {
                memory_mb: 350,
                ..none
            },
            step: support::step(6, 1_000, 1_000),
            running: 3,
        },
        Case {
            name: "CPU",
            limit: Resources {
                cpu_millicores: 2_500,
                ..none
            },
            step: support::step(6, 1_000, 1_000),
            running: 2,
        },
        Case {
            name: "the CPU of best-effort tasks is not reserved",
            limit: Resources {
                cpu_millicores: 2_500,
                ..none
            },
            step: best_effort,
            running: 6,
        },
        Case {
            name: "no limit",
            limit: none,
            step: support::step(6, 1_000, 1_000),
            running: 6,
        },
    ];
    for case in cases {
        let tenant = Tenant {
            limit: case.limit,
            ..support::tenant("a", 0.0, 0)
        };
        let mut model = Model::new(support::with_tenants(&support::config(), [tenant]), 4);
        model.run_ms(500);
        let record = support::job(1, "batch", vec![case.step]);
        model.submit(support::of_tenant("a", record));
        model.run_ms(200);
        let running: usize = (0..4).map(|number| model.tasks_on(number).len()).sum();
        assert_eq!(running, case.running, "{}", case.name);
    }
}

/// Guards against a job that is accepted and can never run, and against a refusal that does not say why.
#[test]
fn work_above_the_limit_is_refused_with_its_reason() {
    struct Case {
        name: &'static str,
        steps: Vec<StepSpec>,
        reason: Option<&'static str>,
    }
    let cases = [
        Case {
            name: "a task as large as the limit",
            steps: vec![support::step(20, 4_000, 100)],
            reason: None,
        },
        Case {
            name: "a larger task",
            steps: vec![support::step(1, 100, 100), support::step(1, 4_001, 100)],
            reason: Some(
                "a task of step 1 needs 4001 millicores of CPU, above the tenant's limit of 4000",
            ),
        },
        Case {
            name: "a gang as wide as the limit",
            steps: vec![support::gang(4, 1_000, 100)],
            reason: None,
        },
        Case {
            name: "a wider gang",
            steps: vec![support::gang(5, 1_000, 100)],
            reason: Some(
                "the gang of step 0 needs 5000 millicores of CPU, above the tenant's limit of 4000",
            ),
        },
        Case {
            name: "tasks until cancelled that are too large",
            steps: vec![support::long_running(support::step(1, 5_000, 100))],
            reason: Some(
                "a task of step 0 needs 5000 millicores of CPU, above the tenant's limit of 4000",
            ),
        },
    ];
    let tenant = support::tenant("a", 0.0, 4_000);
    let config = support::with_tenants(&support::config(), [tenant.clone()]);
    let model = Model::new(config, 2);
    for case in cases {
        let record = support::job(1, "batch", case.steps);
        let verdict = admit(&model, &tenant, &record, false);
        let reason = match verdict {
            Verdict::ExceedsLimit(excess) => Some(excess.to_string()),
            Verdict::Accept => None,
            _ => panic!("{}: {verdict:?}", case.name),
        };
        assert_eq!(reason.as_deref(), case.reason, "{}", case.name);
    }
}

/// Guards against promises that a tenant's limit breaks: its own waiting work delays a job although the
/// cell is idle.
#[test]
fn the_work_of_a_tenant_within_its_limit_delays_its_jobs_only() {
    let tight = support::tenant("tight", 0.0, 2_000);
    let wide = support::tenant("wide", 0.0, 0);
    let config = support::with_tenants(&support::config(), [tight.clone(), wide.clone()]);
    let mut model = Model::new(config, 8);
    for number in 0..10 {
        let record = support::job(100 + number, "batch", vec![support::step(20, 1_000, 1_000)]);
        model.submit(support::of_tenant("tight", record));
    }
    let record = support::job(1, "batch", vec![support::step(1, 1_000, 500)]);
    let verdict = admit(&model, &tight, &record, false);
    let Verdict::RefuseTenant { retry_after_ms, .. } = verdict else {
        panic!("{verdict:?}");
    };
    // 200 core-seconds in 2 cores take 100 s, of which the job may wait 15 s.
    assert_eq!(retry_after_ms, 30_000);
    assert_eq!(admit(&model, &wide, &record, false), Verdict::Accept);
}

/// Guards against jobs that count as late because their step needs several waves within the limit.
#[test]
fn the_objective_counts_the_waves_of_a_wide_step() {
    struct Case {
        name: &'static str,
        limit: u64,
        step: StepSpec,
        allowed_ms: u64,
    }
    let cases = [
        Case {
            name: "no limit",
            limit: 0,
            step: support::step(10, 1_000, 1_000),
            allowed_ms: 4_000 + 3_000,
        },
        Case {
            name: "as wide as the limit",
            limit: 10_000,
            step: support::step(10, 1_000, 1_000),
            allowed_ms: 4_000 + 3_000,
        },
        Case {
            name: "four waves",
            limit: 3_000,
            step: support::step(10, 1_000, 1_000),
            allowed_ms: 16_000 + 3_000,
        },
        Case {
            name: "a gang starts at once",
            limit: 10_000,
            step: support::gang(10, 1_000, 1_000),
            allowed_ms: 4_000 + 3_000,
        },
    ];
    for case in cases {
        let tenants = [support::tenant("a", 0.0, case.limit)];
        let mut model = Model::new(support::with_tenants(&support::config(), tenants), 1);
        let record = support::job(1, "batch", vec![case.step]);
        model.submit(support::of_tenant("a", record));
        let job = model
            .coordinator
            .open_jobs()
            .next()
            .expect("the job is open");
        assert_eq!(job.allowed_ms(), case.allowed_ms, "{}", case.name);
    }
}

/// Guards against costs and delays in a cell without tenants.
#[test]
fn a_cell_without_tenants_counts_nothing() {
    let mut model = Model::new(support::config(), 2);
    model.run_ms(500);
    let record = JobRecord {
        over_share: true,
        ..support::job(1, "batch", vec![support::step(10, 1_000, 500)])
    };
    model.submit(support::of_tenant("former", record));
    model.run_ms(200);
    assert!(!model.coordinator.quota().is_active());
    let running: usize = (0..2).map(|number| model.tasks_on(number).len()).sum();
    assert_eq!(running, 10);
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
