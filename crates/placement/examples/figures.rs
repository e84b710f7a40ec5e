//! Prints the time of decisions by number of workers and the packing of each mix.

use hickorychute_placement as placement;
use placement::measure;

fn main() {
    const TASK_COUNT: u32 = 97_000;
    const FIRST_SEED: u64 = 1;
    const LAST_SEED: u64 = 5;
    const WAITING_JOBS: u32 = 66_000;
    for workers in [48, 660, 6_600, 66_000] {
        let figures = measure::decisions(workers, TASK_COUNT, FIRST_SEED);
        println!("{workers} workers: {figures:?}");
    }
    let figures = measure::measure_saturated_decisions(6_600, TASK_COUNT, WAITING_JOBS, FIRST_SEED);
    println!("6600 workers, full, {WAITING_JOBS} jobs waiting: {figures:?}");
    for mix in measure::Mix::ALL {
        for seed in FIRST_SEED..=LAST_SEED {
            println!("{mix}, seed {seed}: {:?}", measure::packing(mix, seed));
        }
    }
}
