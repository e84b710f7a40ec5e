//! Seeded random histories of jobs and faults, checked by the assertions of the model.

use hickorychute_cell::{
    config::Tenant,
    jobs::{JobRecord, JobState, StepSpec},
    workers::Resources,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::support::{self, DelayedStarts, Model, WorkerMode};

/// Number of seeds that CI runs; `HICKORY_SEEDS` sets another number.
const SEEDS: u64 = 40;
/// Number of jobs in a history.
const JOBS: u64 = 40;
/// Number of workers in a history.
const WORKERS: usize = 8;

/// Number of workers in a history of a heterogeneous cell: two racks.
const HETEROGENEOUS_WORKERS: usize = 12;

/// Tenants of a history; the last one is not configured.
const TENANTS: [&str; 4] = ["a", "b", "c", "gone"];
/// Resources of the widest gang of a history: no limit is below it.
const WIDEST: Resources = Resources {
    cpu_millicores: 36_000,
    memory_mb: 600,
    gpus: 0,
};

/// Random tenants: `a` is limited in CPU, `b` in memory, `c` only has a share.
fn tenants(random: &mut ChaCha8Rng) -> [Tenant; 3] {
    let cpu_millicores = WIDEST.cpu_millicores + random.random_range(0..20_000);
    let memory_mb = WIDEST.memory_mb + random.random_range(0..600);
    let limited = Tenant {
        limit: Resources {
            memory_mb,
            ..Resources::default()
        },
        ..support::tenant("b", 4.0, 0)
    };
    [
        support::tenant("a", 2.0, cpu_millicores),
        limited,
        support::tenant("c", 1.0, 0),
    ]
}

fn run_history(seed: u64, mut tenant_random: Option<ChaCha8Rng>) {
    let model = new_model(seed, WORKERS, tenant_random.as_mut());
    run_in(model, seed, tenant_random, |_, _| {});
}

/// The same with workers of different paces, in racks that matter.
fn run_heterogeneous_history(seed: u64) {
    let mut model = new_model(seed, HETEROGENEOUS_WORKERS, None);
    for number in (0..HETEROGENEOUS_WORKERS).step_by(3) {
        model.set_pace(number, 180);
    }
    model.tuning.cross_rack_percent = 300;
    model.coordinator.tune(model.tuning);
    for number in 0..10 {
        // The paces are known when the faults begin.
        let steps = vec![support::step(24, 8_000, 500)];
        model.submit(support::job(1_000 + number, "batch", steps));
        model.run_ms(1_000);
    }
    assert!(model.coordinator.pace_summary().is_some(), "seed {seed}");
    run_in(model, seed, None, |step, random| {
        step.same_rack = random.random_bool(0.3);
        if random.random_bool(0.3) {
            step.affinity_rack = format!("rack-{}", random.random_range(0..2));
        }
    });
}

fn new_model(seed: u64, workers: usize, tenant_random: Option<&mut ChaCha8Rng>) -> Model {
    let config = if seed.is_multiple_of(2) {
        support::config()
    } else {
        support::advised_config()
    };
    let config = match tenant_random {
        Some(random) => support::with_tenants(&config, tenants(random)),
        None => config,
    };
    let mut model = Model::new(config, workers);
    model.eligible_percent = 70;
    for number in (0..workers).step_by(2) {
        model.set_clock_rate(number, 980);
    }
    // Few, so that lists are often cut off.
    model.max_listed_ends = 2 + (seed % 10) as usize;
    model
}

fn run_in(
    mut model: Model,
    seed: u64,
    mut tenant_random: Option<ChaCha8Rng>,
    vary: fn(&mut StepSpec, &mut ChaCha8Rng),
) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    for number in 0..JOBS {
        let mut steps = Vec::new();
        for _ in 0..random.random_range(1..3) {
            let count = random.random_range(1..7);
            let cpu_millicores = random.random_range(500..6_000);
            let estimate_ms = random.random_range(200..1_500);
            let mut step = if random.random_bool(0.3) {
                support::gang(count, cpu_millicores, estimate_ms)
            } else {
                support::step(count, cpu_millicores, estimate_ms)
            };
            step.checkpointing = random.random_bool(0.5);
            step.best_effort = !step.gang && random.random_bool(0.15);
            vary(&mut step, &mut random);
            steps.push(step);
        }
        let queue = ["urgent", "gang", "batch"][random.random_range(0..3)];
        if random.random_bool(0.08) {
            model.deadly.insert(support::first_task(number));
        }
        let record = support::job(number, queue, steps);
        match &mut tenant_random {
            Some(random) => submit_of_tenant(&mut model, random, record),
            None => model.submit(record),
        }
        model.run_ms(random.random_range(1..20) * 10);
        inject_fault(&mut model, &mut random);
    }
    let workers = model.workers.len();
    for number in 0..workers {
        model.set_mode(number, WorkerMode::Healthy);
        model.cancel_drain(number);
        model.restore_entry(number);
    }
    model.store_up = true;
    // Within the limits of the tenants the same work takes longer.
    model.run_ms(if tenant_random.is_some() {
        120_000
    } else {
        60_000
    });
    for number in 0..JOBS {
        let state = model.state(number);
        let ended = [JobState::Completed, JobState::Failed, JobState::Cancelled].map(Some);
        assert!(
            ended.contains(&state),
            "seed {seed}: job {number} is {state:?}"
        );
    }
}

/// Submits a job of a random tenant, at times directly to the store, and changes the limits at times.
fn submit_of_tenant(model: &mut Model, random: &mut ChaCha8Rng, record: JobRecord) {
    if random.random_bool(0.1) {
        let config = support::with_tenants(model.coordinator.config(), tenants(random));
        model.apply_config(config);
    }
    let tenant = TENANTS[random.random_range(0..TENANTS.len())];
    let record = support::of_tenant(tenant, record);
    if random.random_bool(0.2) {
        model.submit_to_store(record);
    } else {
        model.submit(record);
    }
}

fn inject_fault(model: &mut Model, random: &mut ChaCha8Rng) {
    let worker = random.random_range(0..model.workers.len());
    match random.random_range(0..21) {
        16 => model.crash_worker(worker),
        17 | 18 => model.drain_worker(worker),
        19 => model.lapse_entry(worker),
        20 => {
            model.cancel_drain(worker);
            model.restore_entry(worker);
        }
        0 => model.set_mode(worker, WorkerMode::Unreachable),
        1 => model.set_mode(
            worker,
            WorkerMode::DelaysStarts(random.random_range(200..9_000)),
        ),
        2 => model.set_mode(worker, WorkerMode::StallsRuns),
        3 => model.set_mode(worker, WorkerMode::FailsRuns),
        4 | 5 => model.set_mode(worker, WorkerMode::Healthy),
        10 => model.set_mode(worker, WorkerMode::Slow(random.random_range(2..8))),
        6 => model.restart_worker(worker, DelayedStarts::InProcess),
        7 => model.take_over(),
        8 => model.store_up = !model.store_up,
        9 => {
            let id = support::id(random.random_range(0..JOBS));
            let _known = model.coordinator.request_cancel(id, support::START_UNIX_MS);
        }
        _ => {}
    }
}

fn seeds() -> u64 {
    let seeds = std::env::var("HICKORY_SEEDS").ok();
    seeds.and_then(|seeds| seeds.parse().ok()).unwrap_or(SEEDS)
}

#[test]
fn seeded_histories_keep_the_invariants() {
    for seed in 0..seeds() {
        run_history(seed, None);
    }
}

/// The same with tenants, whose limits the model checks at every start.
#[test]
fn seeded_histories_with_tenants_keep_the_limits() {
    for seed in 0..seeds() {
        run_history(seed, Some(ChaCha8Rng::seed_from_u64(seed)));
    }
}

/// Guards against steps that wait for a better placement for ever, while the workers fail.
#[test]
fn seeded_histories_of_heterogeneous_cells_end() {
    for seed in 0..seeds() {
        run_heterogeneous_history(seed);
    }
}
