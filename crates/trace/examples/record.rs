//! Regenerates the traces under `tests/traces`.
//!
//! Usage: `cargo run -p hickorychute-trace --example record DIR`.

use std::fs::OpenOptions;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use hickorychute_trace::{Expectation, Line, Recorder, RecorderConfig, TracedGroup};
use kernel::{errors, ids, work};
use placement::{Decision, GroupConfig, WorkerSpec};
use platform::workers;

const MAX_DECISIONS: usize = 1_000;
const TASK_RUN_TIME_MS: u64 = 1_000;

/// A traced group with a simulated clock and its running task attempts.
struct Scenario {
    group: TracedGroup,
    now_ms: u64,
    running: Vec<ids::TaskAttempt>,
}

impl Scenario {
    fn new(recorder: &Recorder, racks: u16, workers_per_rack: u16) -> errors::Result<Self> {
        let zone = ids::ZoneId::new("north");
        let config = GroupConfig::new(ids::GroupId::new(&zone, 0));
        let mut group = TracedGroup::new(config, 7, Some(recorder))?;
        for rack in 0..racks {
            for worker in 0..workers_per_rack {
                let spec = WorkerSpec {
                    id: ids::WorkerId::new(format!("worker-{rack}-{worker}")),
                    zone: zone.clone(),
                    rack: ids::RackId::new(format!("rack-{rack}")),
                    capacity: resources(4),
                };
                group.set_worker(&spec, 0);
            }
        }
        Ok(Self {
            group,
            now_ms: 0,
            running: Vec::new(),
        })
    }

    fn submit(&mut self, work: work::Work) {
        let runs: Vec<(u32, ids::Attempt)> = (0..work.tasks)
            .map(|index| (index, ids::Attempt::from(1)))
            .collect();
        let work = Arc::new(work);
        let shard = Some(ids::ShardId::from(0));
        self.group.submit(&work, &runs, shard, self.now_ms);
    }

    /// Advances the clock by `elapsed_ms` and carries out the decisions of the group: starts are
    /// confirmed, stopped runs end, and runs on `failing_worker` fail immediately.
    fn advance(&mut self, elapsed_ms: u64, failing_worker: Option<&str>) {
        self.now_ms += elapsed_ms;
        for decision in self.group.decide(self.now_ms, MAX_DECISIONS) {
            match decision {
                Decision::Start { worker, order } => {
                    self.group.started(&order.run);
                    if failing_worker == Some(worker.as_str()) {
                        self.end(&order.run, workers::RunEnd::Failed);
                    } else {
                        self.running.push(order.run);
                    }
                }
                Decision::Stop { run, .. } => {
                    self.running.retain(|running| *running != run);
                    self.end(&run, workers::RunEnd::Stopped);
                }
                Decision::HandBack { .. } => {}
            }
        }
    }

    fn end(&mut self, run: &ids::TaskAttempt, end: workers::RunEnd) {
        self.group.ended(run, end, TASK_RUN_TIME_MS, self.now_ms);
    }

    fn complete_oldest(&mut self, count: usize) {
        let count = count.min(self.running.len());
        for run in self.running.drain(..count).collect::<Vec<_>>() {
            self.end(&run, workers::RunEnd::Completed);
        }
    }
}

fn resources(units: u64) -> work::Resources {
    work::Resources {
        cpu_milli: units * 1_000,
        memory_mb: units * 1_024,
        ..work::Resources::default()
    }
}

fn batch(id: &str, tasks: u32, units: u64) -> work::Work {
    work::Work {
        id: ids::WorkId::new(id),
        team: ids::TeamId::new("team"),
        kind: work::WorkKind::BatchRun,
        tasks,
        demand: resources(units),
        urgency: work::Urgency::Normal,
        policy: work::Policy::QuickStart,
        run_time_ms: Some(TASK_RUN_TIME_MS),
        max_attempts: 5,
        zones: Vec::new(),
        idempotent: true,
        slots: 0,
        connections: 0,
        since: ids::ReleaseVersion::default(),
        revision: ids::ReleaseVersion::default(),
    }
}

type RecordScenario = fn(&Recorder) -> errors::Result<Vec<Expectation>>;

fn urgent_displacement(recorder: &Recorder) -> errors::Result<Vec<Expectation>> {
    let mut scenario = Scenario::new(recorder, 2, 2)?;
    let mut filler = batch("filler", 16, 1);
    filler.urgency = work::Urgency::Deferrable;
    scenario.submit(filler);
    scenario.advance(10, None);
    let mut alarm = batch("alarm", 2, 2);
    alarm.urgency = work::Urgency::Urgent;
    scenario.submit(alarm);
    for _ in 0..10 {
        scenario.advance(100, None);
    }
    Ok(vec![
        Expectation::Stopped {
            work: ids::WorkId::new("filler"),
        },
        Expectation::AllStarted {
            work: ids::WorkId::new("alarm"),
        },
    ])
}

fn gang_behind_backfill(recorder: &Recorder) -> errors::Result<Vec<Expectation>> {
    let mut scenario = Scenario::new(recorder, 2, 2)?;
    scenario.submit(batch("backfill", 24, 1));
    scenario.advance(10, None);
    let mut gang = batch("gang", 4, 3);
    gang.kind = work::WorkKind::GangJob;
    scenario.submit(gang);
    for _ in 0..30 {
        scenario.advance(200, None);
        scenario.complete_oldest(2);
    }
    let gang = ids::WorkId::new("gang");
    Ok(vec![Expectation::StartedTogether { gang }])
}

fn failing_worker(recorder: &Recorder) -> errors::Result<Vec<Expectation>> {
    const FAILING_WORKER: &str = "worker-0-1";
    let mut scenario = Scenario::new(recorder, 2, 2)?;
    scenario.submit(batch("first", 40, 1));
    scenario.submit(batch("second", 40, 1));
    for _ in 0..30 {
        scenario.advance(200, Some(FAILING_WORKER));
        scenario.complete_oldest(6);
    }
    Ok(vec![
        Expectation::AllStarted {
            work: ids::WorkId::new("first"),
        },
        Expectation::StartsAtMost {
            worker: ids::WorkerId::new(FAILING_WORKER),
            starts: 20,
        },
    ])
}

fn cancel_wave(recorder: &Recorder) -> errors::Result<Vec<Expectation>> {
    let mut scenario = Scenario::new(recorder, 1, 2)?;
    let names: Vec<String> = (0..6).map(|index| format!("job-{index}")).collect();
    for name in &names {
        scenario.submit(batch(name, 4, 1));
    }
    scenario.advance(10, None);
    let cancelled: Vec<ids::WorkId> = names.iter().skip(1).map(ids::WorkId::new).collect();
    for work in &cancelled {
        scenario.group.cancel(work, scenario.now_ms);
    }
    for _ in 0..10 {
        scenario.advance(100, None);
        scenario.complete_oldest(2);
    }
    let expectation = |work| Expectation::CancelledNeverStarted { work };
    Ok(cancelled.into_iter().map(expectation).collect())
}

fn leaving_worker(recorder: &Recorder) -> errors::Result<Vec<Expectation>> {
    let mut scenario = Scenario::new(recorder, 2, 2)?;
    let mut service = batch("service", 4, 1);
    service.kind = work::WorkKind::Service;
    service.policy = work::Policy::Spread;
    service.run_time_ms = None;
    service.slots = 4;
    service.connections = 4;
    scenario.submit(service);
    scenario.advance(10, None);
    let worker = ids::WorkerId::new("worker-1-0");
    scenario
        .group
        .set_worker_state(&worker, true, scenario.now_ms);
    for _ in 0..10 {
        scenario.advance(100, None);
    }
    Ok(vec![Expectation::LeavingNotUsed { worker }])
}

fn no_room(recorder: &Recorder) -> errors::Result<Vec<Expectation>> {
    let mut scenario = Scenario::new(recorder, 1, 1)?;
    scenario.submit(batch("first", 4, 1));
    scenario.advance(10, None);
    scenario.submit(batch("late", 2, 1));
    for _ in 0..12 {
        scenario.advance(500, None);
    }
    Ok(vec![
        Expectation::HandedBack {
            work: ids::WorkId::new("late"),
        },
        Expectation::StartedOnRack {
            task: ids::TaskId::new(&ids::WorkId::new("first"), 0),
            rack: ids::RackId::new("rack-0"),
        },
    ])
}

fn record(path: &Path, scenario: RecordScenario) -> Result<(), Box<dyn std::error::Error>> {
    let recorder = Recorder::create(path, RecorderConfig::default())?;
    let mut expectations = scenario(&recorder)?;
    expectations.push(Expectation::NeverOverCapacity);
    // The file is complete once the last recorder clone is dropped.
    drop(recorder);
    let mut file = OpenOptions::new().append(true).open(path)?;
    for expect in expectations {
        let line = Line::Expect { expect };
        writeln!(file, "{}", serde_json::to_string(&line)?)?;
    }
    Ok(())
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let directory = PathBuf::from(std::env::args().nth(1).ok_or("usage: record DIR")?);
    let scenarios: [(&str, RecordScenario); 6] = [
        ("urgent-displacement", urgent_displacement),
        ("gang-behind-backfill", gang_behind_backfill),
        ("failing-worker", failing_worker),
        ("cancel-wave", cancel_wave),
        ("leaving-worker", leaving_worker),
        ("no-room", no_room),
    ];
    for (name, scenario) in scenarios {
        record(&directory.join(format!("{name}.jsonl")), scenario)?;
    }
    Ok(())
}
