//! Benchmark of one admission and one finish, by number of instances and queue length.

use std::hint;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use hickorychute_calls as calls;
use kernel::ids;
use kernel::work::Urgency;

const SLOTS: u32 = 8;
const TEAMS: u64 = 62;
const DEADLINE_MS: u64 = 1 << 40;

fn request(id: u64, teams: &[ids::TeamId]) -> calls::CallTicket {
    calls::CallTicket {
        id: calls::CallId(id),
        team: teams[(id % TEAMS) as usize].clone(),
        urgency: Urgency::Normal,
        deadline_at_ms: DEADLINE_MS,
        body_bytes: 1,
    }
}

/// A dispatcher with all slots in use and `queued` waiting calls, and the next call ID.
fn saturated(instances: u32, queued: u64, teams: &[ids::TeamId]) -> (calls::Dispatcher, u64) {
    let config = calls::DispatcherConfig {
        max_queued_calls: 1 << 20,
        ..calls::DispatcherConfig::default()
    };
    let mut dispatcher = calls::Dispatcher::new(config, 1);
    for index in 0..instances {
        let run = ids::TaskAttempt {
            task: ids::TaskId::new(&ids::WorkId::new("s"), index),
            attempt: ids::Attempt(1),
        };
        dispatcher.set_instance(&run, "127.0.0.1:1", SLOTS, 64, 0);
    }
    let calls = u64::from(instances * SLOTS) + queued;
    for id in 0..calls {
        dispatcher.admit(request(id, teams), 0);
    }
    (dispatcher, calls)
}

fn admit_and_finish(criterion: &mut Criterion) {
    let teams: Vec<ids::TeamId> = (0..TEAMS)
        .map(|id| ids::TeamId::new(id.to_string()))
        .collect();
    let mut group = criterion.benchmark_group("admit_and_finish");
    for (instances, queued) in [
        (48, 0),
        (48, 100),
        (48, 1_000),
        (48, 10_000),
        (8, 1_000),
        (480, 1_000),
    ] {
        let (mut dispatcher, mut next_id) = saturated(instances, queued, &teams);
        let mut open: std::collections::VecDeque<calls::CallId> = (0..u64::from(instances * SLOTS))
            .map(calls::CallId)
            .collect();
        let name = BenchmarkId::new(format!("{instances}_instances"), queued);
        group.bench_function(name, |bencher| {
            bencher.iter(|| {
                let admission = dispatcher.admit(request(next_id, &teams), 1);
                next_id += 1;
                hint::black_box(&admission);
                let Some(ended) = open.pop_front() else {
                    return;
                };
                let ready = dispatcher.finish(ended, 1);
                open.extend(ready.iter().map(|dispatch| dispatch.id));
            });
        });
    }
    group.finish();
}

criterion_group!(benches, admit_and_finish);
criterion_main!(benches);
