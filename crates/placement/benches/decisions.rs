//! Time of one decision by number of workers, compared with baseline algorithms.

use std::hint;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use hickorychute_placement as placement;
use placement::measure;

const WORKERS: [u32; 4] = [48, 660, 6_600, 66_000];
const TASKS: u32 = 97_000;
const SEED: u64 = 1;

fn decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision");
    for workers in WORKERS {
        let mut cell = measure::Cell::new(workers, TASKS, SEED);
        group.bench_function(BenchmarkId::new("group", workers), |bencher| {
            bencher.iter(|| {
                cell.replace_one();
                let start = cell.decide_one();
                cell.accept(start);
            });
        });
        let mut baseline = measure::Baseline::new(workers, TASKS, SEED);
        group.bench_function(BenchmarkId::new("first_fit_scan", workers), |bencher| {
            bencher.iter(|| {
                let demand = baseline.end_one();
                let worker = baseline.first_fit(hint::black_box(demand));
                baseline.place(worker.unwrap_or(0), demand);
            });
        });
        group.bench_function(BenchmarkId::new("random_choice", workers), |bencher| {
            bencher.iter(|| {
                let demand = baseline.end_one();
                let worker = baseline.random_choice(hint::black_box(demand));
                baseline.place(worker.unwrap_or(0), demand);
            });
        });
        group.bench_function(BenchmarkId::new("two_choices", workers), |bencher| {
            bencher.iter(|| {
                let demand = baseline.end_one();
                let worker = baseline.two_choices(hint::black_box(demand));
                baseline.place(worker.unwrap_or(0), demand);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
