//! Prints the time of decisions by number of workers and the packing of each mix.

use hickorychute_placement as placement;
use placement::measure;

fn main() {
    const TASKS: u32 = 97_000;
    const SEED: u64 = 1;
    const SEEDS: u64 = 5;
    const WAITING: u32 = 66_000;
    for workers in [48, 660, 6_600, 66_000] {
        let figures = measure::decisions(workers, TASKS, SEED);
        println!("{workers} workers: {figures:?}");
    }
    let figures = measure::saturated_decisions(6_600, TASKS, WAITING, SEED);
    println!("6600 workers, full, {WAITING} jobs waiting: {figures:?}");
    for mix in measure::Mix::ALL {
        for seed in SEED..=SEEDS {
            println!("{mix}, seed {seed}: {:?}", measure::packing(mix, seed));
        }
    }
}
