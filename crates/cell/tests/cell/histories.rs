//! Seeded histories: random work and random trouble, with the model's checks on all the while.

use hickorychute_cell::jobs::JobState;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::support::{self, Fate, HeldUp, Model};

/// Seeds that CI plays; `HICKORY_SEEDS` plays more by hand.
const SEEDS: u64 = 40;
/// Jobs of one history.
const JOBS: u64 = 40;
/// Workers of one history.
const WORKERS: usize = 8;

fn play(seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let config = if seed.is_multiple_of(2) {
        support::config()
    } else {
        support::advised_config()
    };
    let mut model = Model::new(config, WORKERS);
    model.good_percent = 70;
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
            step.fills = !step.gang && random.random_bool(0.15);
            steps.push(step);
        }
        let queue = ["urgent", "gang", "batch"][random.random_range(0..3)];
        model.submit(support::job(number, queue, steps));
        model.run_ms(random.random_range(1..20) * 10);
        trouble(&mut model, &mut random);
    }
    for number in 0..WORKERS {
        model.set_fate(number, Fate::Sound);
    }
    model.store_up = true;
    model.run_ms(60_000);
    for number in 0..JOBS {
        let state = model.state(number);
        let ended = [JobState::Completed, JobState::Failed, JobState::Cancelled].map(Some);
        assert!(
            ended.contains(&state),
            "seed {seed}: job {number} is {state:?}"
        );
    }
}

fn trouble(model: &mut Model, random: &mut ChaCha8Rng) {
    let worker = random.random_range(0..WORKERS);
    match random.random_range(0..16) {
        0 => model.set_fate(worker, Fate::CutOff),
        1 => model.set_fate(worker, Fate::Late(random.random_range(200..9_000))),
        2 => model.set_fate(worker, Fate::Stalls),
        3 => model.set_fate(worker, Fate::Fails),
        4 | 5 => model.set_fate(worker, Fate::Sound),
        10 => model.set_fate(worker, Fate::Slow(random.random_range(2..8))),
        6 => model.restart_worker(worker, HeldUp::InProcess),
        7 => model.take_over(),
        8 => model.store_up = !model.store_up,
        9 => {
            let id = support::id(random.random_range(0..JOBS));
            let _known = model.coordinator.request_cancel(id, support::START_UNIX_MS);
        }
        _ => {}
    }
}

#[test]
fn no_history_breaks_a_promise() {
    let seeds = std::env::var("HICKORY_SEEDS")
        .ok()
        .and_then(|seeds| seeds.parse().ok());
    for seed in 0..seeds.unwrap_or(SEEDS) {
        play(seed);
    }
}
