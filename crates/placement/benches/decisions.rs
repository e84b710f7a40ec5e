//! Time of one decision by number of workers, compared with baseline algorithms.

use std::hint;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use hickorychute_placement as placement;
use placement::measure;

const WORKER_COUNTS: [u32; 4] = [48, 660, 6_600, 66_000];
const TASK_COUNT: u32 = 97_000;
const SEED: u64 = 1;

fn decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision");
    for workers in WORKER_COUNTS {
        let mut loaded = measure::LoadedGroup::new(workers, TASK_COUNT, SEED);
        group.bench_function(BenchmarkId::new("group", workers), |bencher| {
            bencher.iter(|| {
                loaded.replace_random_task();
                let start = loaded.decide_start();
                loaded.confirm(start);
            });
        });
        let mut baseline = measure::Baseline::new(workers, TASK_COUNT, SEED);
        group.bench_function(BenchmarkId::new("first_fit_scan", workers), |bencher| {
            bencher.iter(|| {
                let demand = baseline.end_random_task();
                let worker = baseline.first_fit(hint::black_box(demand));
                baseline.place(worker.unwrap_or(0), demand);
            });
        });
        group.bench_function(BenchmarkId::new("random_choice", workers), |bencher| {
            bencher.iter(|| {
                let demand = baseline.end_random_task();
                let worker = baseline.random_choice(hint::black_box(demand));
                baseline.place(worker.unwrap_or(0), demand);
            });
        });
        group.bench_function(BenchmarkId::new("two_choices", workers), |bencher| {
            bencher.iter(|| {
                let demand = baseline.end_random_task();
                let worker = baseline.two_choices(hint::black_box(demand));
                baseline.place(worker.unwrap_or(0), demand);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
