//! An in-memory cell on a simulated clock, with workers that behave as specified by the platform.
//!
//! The model asserts the invariants that must hold at all times: no worker exceeds its capacity, no
//! task runs twice at the same time, no task starts after an acknowledged completion, and no step
//! starts before its dependencies are complete.

mod model;
mod worker;

use std::rc::Rc;

use hickorychute_cell::{
    config::{AdviceCost, Config, Queue, Service, Tenant},
    coordinator::{Coordinator, TakeoverState, Tuning},
    ids::{JobId, StepId, TaskId},
    jobs::{JobRecord, JobSpec, StepSpec},
    workers::{Resources, WorkerEntry},
};
use indexmap::IndexMap;

pub use model::Model;
pub use worker::{DelayedStarts, ModelWorker, Rebirth, WorkerMode};

/// Unix time at the start of every simulation, in milliseconds.
pub const START_UNIX_MS: u64 = 1_800_000_000_000;

/// A configuration of one service with three queues: `urgent`, `gang` and `batch`.
pub fn config() -> Rc<Config> {
    queues(None)
}

/// The same configuration, with queues that require tickets from the advice service.
pub fn advised_config() -> Rc<Config> {
    queues(Some(AdviceCost {
        call_ms: 100.0,
        per_worker_ms: 1.0,
        valid_ms: 2_500,
    }))
}

fn queues(advice: Option<AdviceCost>) -> Rc<Config> {
    let queue = |name: &str, priority, max_attempts, critical_path_factor, base_objective_ms| {
        let queue = Queue {
            name: name.into(),
            host: "jobs.example".to_owned(),
            path_prefix: format!("/{name}/"),
            service: "pool".into(),
            priority,
            max_attempts,
            critical_path_factor,
            base_objective_ms,
            advice,
            public: false,
        };
        (Rc::from(name), Rc::new(queue))
    };
    let service = Service {
        name: "pool".into(),
        workers_enforce_capacity: false,
    };
    Rc::new(Config {
        version: 1,
        queues: IndexMap::from_iter([
            queue("urgent", 0, 2, 1.5, 600),
            queue("gang", 1, 2, 2.2, 1_200),
            queue("batch", 2, 4, 4.0, 3_000),
        ]),
        services: IndexMap::from_iter([(Rc::from("pool"), service)]),
        ..Config::default()
    })
}

/// A tenant with a share in jobs a second and a limit in millicores; 0 for none.
pub fn tenant(name: &str, jobs_per_s: f64, cpu_millicores: u64) -> Tenant {
    Tenant {
        name: name.into(),
        key_digests: Vec::new(),
        jobs_per_s,
        limit: Resources {
            cpu_millicores,
            ..Resources::default()
        },
    }
}

/// The same configuration in a later version, with these tenants.
pub fn with_tenants(config: &Config, tenants: impl IntoIterator<Item = Tenant>) -> Rc<Config> {
    let by_name = |tenant: Tenant| (Rc::clone(&tenant.name), Rc::new(tenant));
    Rc::new(Config {
        version: config.version + 1,
        tenants: Some(tenants.into_iter().map(by_name).collect()),
        ..config.clone()
    })
}

/// The same job, submitted by a tenant.
pub fn of_tenant(tenant: &str, record: JobRecord) -> JobRecord {
    JobRecord {
        tenant: tenant.to_owned(),
        ..record
    }
}

/// A worker with 16 cores and 32 GB of memory; each rack has eight workers.
pub fn entry(number: usize) -> WorkerEntry {
    WorkerEntry {
        id: format!("w{number}").into(),
        service: "pool".into(),
        address: format!("10.0.0.{number}:1").into(),
        zone: "a".into(),
        labels: vec!["kind-a".into(), format!("rack-{}", number / 8).into()],
        capacity: Resources {
            cpu_millicores: 16_000,
            memory_mb: 32_768,
            gpus: 0,
        },
        draining: false,
        started_unix_ms: START_UNIX_MS,
    }
}

/// A step of `count` independent tasks.
pub fn step(count: u32, cpu_millicores: u64, estimate_ms: u64) -> StepSpec {
    StepSpec {
        count,
        cpu_millicores,
        memory_mb: 100,
        estimate_ms,
        ..StepSpec::default()
    }
}

/// Label that [`labelled`] steps require.
pub const LABEL: &str = "special";

/// The same step for workers with [`LABEL`] only.
pub fn labelled(step: StepSpec) -> StepSpec {
    StepSpec {
        required_label: LABEL.to_owned(),
        ..step
    }
}

/// The same step with tasks that run until their job is cancelled.
pub fn long_running(step: StepSpec) -> StepSpec {
    StepSpec {
        long_running: true,
        ..step
    }
}

/// A gang of `count` tasks.
pub fn gang(count: u32, cpu_millicores: u64, estimate_ms: u64) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, cpu_millicores, estimate_ms)
    }
}

/// A job whose steps each depend on the previous one.
pub fn job(id: u64, queue: &str, mut steps: Vec<StepSpec>) -> JobRecord {
    for (number, step) in steps.iter_mut().enumerate().skip(1) {
        step.after = vec![number as u32 - 1];
    }
    JobRecord {
        id,
        queue: queue.to_owned(),
        service: "pool".to_owned(),
        accepted_unix_ms: START_UNIX_MS,
        spec: Some(JobSpec {
            payload: "text".to_owned(),
            steps,
            ..JobSpec::default()
        }),
        ..JobRecord::default()
    }
}

/// The identifier of a job.
pub fn id(number: u64) -> JobId {
    JobId(number)
}

/// A coordinator without a predecessor and without workers.
pub fn coordinator(config: Rc<Config>) -> Coordinator {
    Coordinator::new(Tuning::default(), config, TakeoverState::default())
}

/// The first task of a job that runs once.
pub fn first_task(job: u64) -> TaskId {
    TaskId {
        step: StepId {
            job: id(job),
            occurrence: 0,
            step: 0,
        },
        index: 0,
    }
}
