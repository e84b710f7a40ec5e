//! Test harness: fake workers that carry out decisions and check each of them.

use std::sync::Arc;

use hickorychute_placement as placement;
use indexmap::{IndexMap, IndexSet};
use kernel::ids;
use kernel::work;
use placement::Decision;
use platform::workers;

/// A run on a fake worker.
#[derive(Clone, Debug)]
pub struct FakeRun {
    pub worker: ids::WorkerId,
    pub order: workers::StartOrder,
    pub stop: Option<workers::StopMode>,
}

/// A group with fake workers.
#[derive(Debug)]
pub struct Harness {
    pub group: placement::Group,
    pub now_ms: u64,
    pub workers: IndexMap<ids::WorkerId, placement::WorkerSpec>,
    pub runs: IndexMap<ids::TaskAttempt, FakeRun>,
    pub works: IndexMap<ids::WorkId, Arc<work::Work>>,
    pub cancelled: IndexSet<ids::WorkId>,
    /// Tasks that ended for good or were handed back.
    pub finished: IndexSet<ids::TaskId>,
    pub completed: IndexMap<ids::TaskId, u32>,
    pub last_attempts: IndexMap<ids::TaskId, ids::Attempt>,
}

pub fn config() -> placement::GroupConfig {
    let id = ids::GroupId::new(&ids::ZoneId::new("muc-ost"), 0);
    placement::GroupConfig::new(id).hand_back_after_ms(None)
}

pub fn job(id: &str, kind: work::WorkKind, tasks: u32, demand: work::Resources) -> work::Work {
    work::Work {
        id: ids::WorkId::new(id),
        team: ids::TeamId::new("huber"),
        kind,
        tasks,
        demand,
        urgency: work::Urgency::Normal,
        policy: work::Policy::TightPacking,
        run_time_ms: (kind != work::WorkKind::Service).then_some(10_000),
        max_attempts: 1_000,
        zones: Vec::new(),
        idempotent: true,
        slots: 0,
        connections: 0,
        since: ids::ReleaseVersion::default(),
        revision: ids::ReleaseVersion::default(),
    }
}

impl Harness {
    pub fn new(workers: u32, capacity: work::Resources, config: placement::GroupConfig) -> Self {
        let mut harness = Self {
            group: placement::Group::new(config, 7).unwrap(),
            now_ms: 0,
            workers: IndexMap::new(),
            runs: IndexMap::new(),
            works: IndexMap::new(),
            cancelled: IndexSet::new(),
            finished: IndexSet::new(),
            completed: IndexMap::new(),
            last_attempts: IndexMap::new(),
        };
        for number in 0..workers {
            let spec = placement::WorkerSpec {
                id: ids::WorkerId::new(format!("w{number}")),
                zone: ids::ZoneId::new("muc-ost"),
                rack: ids::RackId::new(format!("r{}", number / 2)),
                capacity,
            };
            harness.group.set_worker(&spec, 0);
            harness.workers.insert(spec.id.clone(), spec);
        }
        harness
    }

    pub fn submit(&mut self, work: work::Work) {
        let runs: Vec<_> = (0..work.tasks)
            .map(|index| (index, ids::Attempt(1)))
            .collect();
        let work = Arc::new(work);
        self.group.submit(&work, &runs, None, self.now_ms);
        self.works.insert(work.id.clone(), work);
    }

    pub fn decide(&mut self) -> Vec<Decision> {
        let decisions = self.group.decide(self.now_ms, 1_000);
        self.apply(&decisions);
        decisions
    }

    /// Carries out decisions and checks them.
    pub fn apply(&mut self, decisions: &[Decision]) {
        let mut gangs = IndexMap::<ids::WorkId, u32>::new();
        for decision in decisions {
            match decision {
                Decision::Start { worker, order } => {
                    if order.kind == work::WorkKind::GangJob {
                        *gangs.entry(order.run.task.work.clone()).or_default() += 1;
                    }
                    self.start(worker, order);
                }
                Decision::Stop { worker, run, mode } => {
                    let fake_run = self
                        .runs
                        .get_mut(run)
                        .expect("a stop names a run that exists");
                    assert_eq!(fake_run.worker, *worker);
                    if *mode != workers::StopMode::Throttle {
                        fake_run.stop = Some(*mode);
                    }
                }
                Decision::HandBack { run, .. } => {
                    self.finished.insert(run.task.clone());
                }
            }
        }
        for (gang, started) in gangs {
            let tasks = self.works[&gang].tasks;
            let done = self
                .completed
                .keys()
                .filter(|task| task.work == gang)
                .count();
            assert_eq!(started + done as u32, tasks, "{gang} did not start whole");
        }
        self.check();
    }

    fn start(&mut self, worker: &ids::WorkerId, order: &workers::StartOrder) {
        let task = &order.run.task;
        assert!(!self.cancelled.contains(&task.work), "{task} was cancelled");
        // The index of a replica is reused when its replacement is replaced in turn.
        let reusable = order.kind == work::WorkKind::Service;
        assert!(
            reusable || !self.finished.contains(task),
            "{task} had ended"
        );
        assert!(
            self.runs.keys().all(|run| run.task != *task),
            "{task} runs already"
        );
        let before = self.last_attempts.insert(task.clone(), order.run.attempt);
        assert!(before < Some(order.run.attempt), "{task} reuses an attempt");
        let fake_run = FakeRun {
            worker: worker.clone(),
            order: order.clone(),
            stop: None,
        };
        self.runs.insert(order.run.clone(), fake_run);
    }

    /// Checks that no worker exceeds its capacity, by the group's accounting and by the
    /// runs on it.
    pub fn check(&self) {
        let mut sums = IndexMap::<&ids::WorkerId, work::Resources>::new();
        for fake_run in self.runs.values() {
            *sums.entry(&fake_run.worker).or_default() += fake_run.order.demand;
        }
        for (worker, sum) in sums {
            assert!(
                sum.fits_in(self.workers[worker].capacity),
                "{worker} holds {sum:?}"
            );
        }
        for view in self.group.snapshot().workers {
            assert!(view.assigned.fits_in(view.capacity), "{view:?}");
        }
    }

    pub fn end(&mut self, run: &ids::TaskAttempt, end: workers::RunEnd) -> placement::EndEffect {
        self.runs
            .swap_remove(run)
            .expect("only a run that exists ends");
        let effect = self.group.ended(run, end, 100, self.now_ms);
        if end == workers::RunEnd::Completed && effect == placement::EndEffect::Finished {
            *self.completed.entry(run.task.clone()).or_default() += 1;
        }
        if matches!(
            effect,
            placement::EndEffect::Finished
                | placement::EndEffect::Failed
                | placement::EndEffect::Unresolved
        ) {
            self.finished.insert(run.task.clone());
        }
        effect
    }

    pub fn cancel(&mut self, work: &ids::WorkId) -> usize {
        self.cancelled.insert(work.clone());
        self.group.cancel(work, self.now_ms).len()
    }

    /// Replaces the group by that of a new owner, which adopts the runs and gets all
    /// assignments again.
    pub fn take_over(&mut self, config: placement::GroupConfig) {
        self.group = placement::Group::new(config, 8).unwrap();
        for spec in self.workers.values() {
            self.group.set_worker(spec, self.now_ms);
            self.group.fence_pending(&spec.id, u64::MAX);
        }
        assert!(self.decide().is_empty());
        for work in &self.cancelled {
            self.group.cancel(work, self.now_ms);
        }
        for fake_run in self.runs.values_mut() {
            self.group
                .adopt(&fake_run.worker, &fake_run.order, self.now_ms);
            fake_run.stop = None;
        }
        for work in self.works.values() {
            // A withdrawn service is not in the release, while an assignment of a
            // cancelled job may still arrive.
            if work.kind == work::WorkKind::Service && self.cancelled.contains(&work.id) {
                continue;
            }
            let is_service = work.kind == work::WorkKind::Service;
            let open = work
                .task_ids()
                .filter(|task| is_service || !self.finished.contains(task));
            let runs: Vec<_> = open
                .map(|task| (task.index, self.next_attempt(&task)))
                .collect();
            self.group.submit(work, &runs, None, self.now_ms);
            let completed = self.completed.keys().filter(|task| task.work == work.id);
            self.group
                .gang_completed(&work.id, completed.count() as u32);
        }
        for worker in self.workers.keys() {
            self.group.worker_confirmed(worker);
        }
    }

    /// Returns an attempt higher than any of the task and of its alternate.
    fn next_attempt(&self, task: &ids::TaskId) -> ids::Attempt {
        let alternate = ids::TaskId::new(&task.work, task.index ^ placement::ALTERNATE_INDEX_BIT);
        let last = self
            .last_attempts
            .get(task)
            .max(self.last_attempts.get(&alternate));
        last.map_or(ids::Attempt(1), |attempt| attempt.next())
    }
}
