//! A group under constant load: for each task that ends another one arrives.

use std::sync::Arc;

use kernel::ids;
use kernel::random;
use kernel::work;
use platform::workers;
use rand::Rng;

use crate::config;
use crate::decision;
use crate::group;
use crate::worker;

/// Capacity of each worker.
pub(super) const WORKER_CAPACITY: work::Resources = work::Resources::new(64_000, 256_000, 0);
/// Number of workers in a rack.
const WORKERS_PER_RACK: u32 = 8;
/// Share of the capacity that the running tasks take, in percent.
const LOAD_PERCENT: u64 = 80;
const TEAM_COUNT: u64 = 62;
/// Number of works among which the running tasks are divided.
const WORK_COUNT: u32 = 400;

/// A loaded group whose running tasks are replaced one by one.
#[derive(Debug)]
pub struct LoadedGroup {
    group: group::Group,
    random: random::Random,
    running: Vec<ids::TaskAttempt>,
    templates: Vec<work::Work>,
    next_job: u64,
    now_ms: u64,
}

/// Creates a group of identical workers without tasks.
pub(super) fn empty_group(workers: u32, seed: u64, config: config::GroupConfig) -> group::Group {
    let zone = ids::ZoneId::new("measure");
    let mut group = group::Group::new(config, seed).expect("the settings of a measurement agree");
    for number in 0..workers {
        let spec = worker::WorkerSpec {
            id: ids::WorkerId::new(format!("worker-{number}")),
            zone: zone.clone(),
            rack: ids::RackId::new(format!("rack-{}", number / WORKERS_PER_RACK)),
            capacity: WORKER_CAPACITY,
        };
        group.set_worker(&spec, 0);
    }
    group
}

/// Returns the settings of a measured group; tasks are never handed back for lack of room.
pub(super) fn config() -> config::GroupConfig {
    let id = ids::GroupId::new(&ids::ZoneId::new("measure"), 0);
    config::GroupConfig::new(id).hand_back_after_ms(None)
}

/// Returns an idempotent batch run of 60 s with tight packing.
pub(super) fn batch_run(id: &str, team: u64, tasks: u32, demand: work::Resources) -> work::Work {
    work::Work {
        id: ids::WorkId::new(id),
        team: ids::TeamId::new(format!("team-{team}")),
        kind: work::WorkKind::BatchRun,
        tasks,
        demand,
        urgency: work::Urgency::Normal,
        policy: work::Policy::TightPacking,
        run_time_ms: Some(60_000),
        max_attempts: 3,
        zones: Vec::new(),
        idempotent: true,
        slots: 0,
        connections: 0,
        since: ids::ReleaseVersion::default(),
        revision: ids::ReleaseVersion::default(),
    }
}

/// Returns the runs of all tasks of a work under their first attempts.
pub(super) fn first_runs(tasks: u32) -> Vec<(u32, ids::Attempt)> {
    (0..tasks).map(|index| (index, ids::Attempt(1))).collect()
}

impl LoadedGroup {
    /// Creates a group and fills it with running tasks.
    ///
    /// # Panics
    ///
    /// If a task finds no room, which is a bug.
    pub fn new(workers: u32, tasks: u32, seed: u64) -> Self {
        let mut loaded = Self {
            group: empty_group(workers, seed, config()),
            random: random::from_seed(seed),
            running: Vec::with_capacity(tasks as usize),
            templates: Vec::new(),
            next_job: 0,
            now_ms: 0,
        };
        let per_task = |capacity: u64| {
            let total = capacity * u64::from(workers) * LOAD_PERCENT / 100;
            (total / u64::from(tasks)).max(2)
        };
        let cpu_milli = per_task(WORKER_CAPACITY.cpu_milli).min(WORKER_CAPACITY.cpu_milli / 2);
        let memory_mb = per_task(WORKER_CAPACITY.memory_mb).min(WORKER_CAPACITY.memory_mb / 2);
        let works = WORK_COUNT.min(tasks);
        for number in 0..works {
            let count = tasks / works + u32::from(number < tasks % works);
            let demand = work::Resources::new(loaded.vary(cpu_milli), loaded.vary(memory_mb), 0);
            let team = u64::from(number) % TEAM_COUNT;
            let mut run = batch_run(&format!("work-{number}"), team, count, demand);
            if number % 2 == 0 {
                run.policy = work::Policy::QuickStart;
            }
            loaded.templates.push(run.clone());
            loaded
                .group
                .submit(&Arc::new(run), &first_runs(count), None, 0);
        }
        let starts = loaded.group.decide(0, usize::MAX);
        assert_eq!(starts.len(), tasks as usize, "all tasks find room");
        for start in starts {
            loaded.confirm(start);
        }
        loaded
    }

    /// Returns a random number between half and one and a half of `middle`.
    fn vary(&mut self, mean: u64) -> u64 {
        (mean / 2 + self.random.next_u64() % mean.max(1)).max(1)
    }

    /// Ends a random task and submits another one.
    ///
    /// # Panics
    ///
    /// If no task runs.
    pub fn replace_random_task(&mut self) {
        self.now_ms += 1;
        let index = self.random.next_u64() as usize % self.running.len();
        let run = self.running.swap_remove(index);
        let end = workers::RunEnd::Completed;
        self.group.ended(&run, end, 1_000, self.now_ms);
        self.submit_job();
    }

    fn submit_job(&mut self) {
        let index = self.random.next_u64() as usize % self.templates.len();
        let mut job = self.templates[index].clone();
        job.id = ids::WorkId::new(format!("job-{}", self.next_job));
        job.tasks = 1;
        self.next_job += 1;
        self.group
            .submit(&Arc::new(job), &first_runs(1), None, self.now_ms);
    }

    /// Fills the group and leaves `jobs` jobs of one task each in the queue.
    pub fn fill_queue(&mut self, jobs: u32) {
        for _ in 0..jobs {
            self.submit_job();
        }
        loop {
            let starts = self.group.decide(self.now_ms, usize::MAX);
            if starts.is_empty() {
                return;
            }
            for start in starts {
                self.confirm(start);
                self.submit_job();
            }
        }
    }

    /// Runs one cycle with the usual limit. A full group may find nothing that fits.
    pub fn decide(&mut self) -> Vec<decision::Decision> {
        const MAX_DECISIONS: usize = 1_000;
        self.group.decide(self.now_ms, MAX_DECISIONS)
    }

    /// Runs one cycle that has to start the waiting task.
    ///
    /// # Panics
    ///
    /// If the task is not started, which is a bug.
    pub fn decide_start(&mut self) -> decision::Decision {
        let mut decisions = self.group.decide(self.now_ms, 1);
        decisions.pop().expect("the waiting task finds room")
    }

    /// Confirms a decided start. Other decisions are ignored.
    pub fn confirm(&mut self, decision: decision::Decision) {
        if let decision::Decision::Start { order, .. } = decision {
            self.group.started(&order.run);
            self.running.push(order.run);
        }
    }
}
