//! The cell of the model: a coordinator, its workers, and the checks on them.

use std::rc::Rc;

use hickorychute_cell::{
    config::Config,
    coordinator::{AdviceOutcome, Coordinator, Inheritance, Order, StartAnswer, Tuning},
    ids::{JobId, StepId, TaskId},
    jobs::{JobRecord, JobState, StepSpec},
    workers::{EndKind, HoldReport, Room, ShownRun, WorkerEntry},
};
use indexmap::{IndexMap, IndexSet};

use super::{
    START_UNIX_MS,
    worker::{Fate, HeldUp, LateStart, ModelWorker, Present},
};

/// The simulated time moves by this much, in milliseconds.
const STEP_MS: u64 = 10;
/// Time between holds of a worker, in milliseconds.
const HOLD_EVERY_MS: u64 = 50;
/// How long a gang's members wait for one another, in milliseconds.
const GANG_TIMEOUT_MS: u64 = 3_000;
/// How long an order of a coordinator that died may still hold a worker, in milliseconds.
const PREDECESSOR_LAPSE_MS: u64 = 11_200;

/// The cell: a coordinator, its workers, and what has been seen.
#[derive(Debug)]
pub struct Model {
    /// The coordinator.
    pub coordinator: Coordinator,
    /// The workers, by name.
    pub workers: IndexMap<Rc<str>, ModelWorker>,
    /// The simulated time, in milliseconds.
    pub now_ms: u64,
    /// The store answers.
    pub store_up: bool,
    /// Part of a hundred of all workers that advice calls good for a step.
    pub good_percent: u64,
    /// Starts that workers carried out.
    pub starts: u64,
    /// When each task started first.
    pub first_starts_ms: IndexMap<TaskId, u64>,
    /// Runs that ended because their gang was not complete.
    pub alone: u64,
    config: Rc<Config>,
    records: IndexMap<JobId, JobRecord>,
    done: IndexMap<TaskId, u64>,
    /// Tasks that have ended as done, whether or not the end counts.
    ever_done: IndexSet<TaskId>,
    failed: IndexMap<TaskId, Vec<u64>>,
    terms: u64,
}

impl Model {
    /// A cell of `workers` sound workers.
    pub fn new(config: Rc<Config>, workers: usize) -> Self {
        let mut model = Self {
            coordinator: super::coordinator(Rc::clone(&config)),
            workers: IndexMap::new(),
            now_ms: 100_000,
            store_up: true,
            good_percent: 100,
            starts: 0,
            first_starts_ms: IndexMap::new(),
            alone: 0,
            config,
            records: IndexMap::new(),
            done: IndexMap::new(),
            ever_done: IndexSet::new(),
            failed: IndexMap::new(),
            terms: 0,
        };
        for number in 0..workers {
            let entry = super::entry(number);
            let worker = ModelWorker::new(entry.clone(), model.now_ms);
            model.workers.insert(Rc::clone(&entry.id), worker);
        }
        model.list_workers();
        model
    }

    fn unix_ms(&self) -> u64 {
        START_UNIX_MS + self.now_ms - 100_000
    }

    fn list_workers(&mut self) {
        let names: Vec<Rc<str>> = self.workers.keys().cloned().collect();
        for worker in self.workers.values() {
            if worker.fate != Fate::Down {
                self.coordinator.list_worker(worker.entry.clone());
            }
        }
        self.coordinator.roster_durable(&names);
    }

    /// Hands a job in.
    pub fn submit(&mut self, mut record: JobRecord) {
        record.accepted_unix_ms = self.unix_ms();
        self.records.insert(JobId(record.id), record.clone());
        self.coordinator.accept(&record, false, self.unix_ms());
    }

    /// The state that a client of the job is told.
    pub fn state(&self, id: u64) -> Option<JobState> {
        self.coordinator.state(JobId(id))
    }

    /// How often a task's runs were seen to fail.
    pub fn failures(&self, task: TaskId) -> usize {
        self.failed.get(&task).map_or(0, Vec::len)
    }

    /// Runs the cell for a while.
    pub fn run_ms(&mut self, span_ms: u64) {
        let until_ms = self.now_ms + span_ms;
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            self.advance_workers();
            self.deliver_late_starts();
            let orders = self.coordinator.schedule(self.now_ms, self.unix_ms());
            for order in orders {
                self.carry_out(order);
            }
            self.answer_questions();
            if self.now_ms.is_multiple_of(HOLD_EVERY_MS) {
                self.hold_all();
                self.commit();
            }
        }
    }

    fn commit(&mut self) {
        if !self.store_up {
            return;
        }
        let changes = self.coordinator.take_changes();
        for record in &changes.records {
            self.records.insert(JobId(record.id), record.clone());
        }
        self.coordinator.changes_durable(&changes);
    }

    /// The coordinator dies; another one takes over from what is durable.
    pub fn take_over(&mut self) {
        self.terms += 1;
        let inheritance = Inheritance {
            roster: self
                .workers
                .values()
                .map(|worker| worker.entry.clone())
                .collect(),
            lapsed_ms: self.now_ms + PREDECESSOR_LAPSE_MS,
            run_floor: self.terms * 1_000,
        };
        self.coordinator =
            Coordinator::new(Tuning::default(), Rc::clone(&self.config), inheritance);
        for record in self.records.values() {
            self.coordinator
                .accept(record, true, START_UNIX_MS + self.now_ms - 100_000);
        }
        self.list_workers();
    }

    /// A worker starts anew under its name and knows nothing of before. Orders that it had not
    /// carried out yet go with the process, unless they were held up on their way.
    pub fn restart_worker(&mut self, number: usize, held_up: HeldUp) {
        let now_ms = self.now_ms;
        let born_unix_ms = self.unix_ms();
        let (_, worker) = self
            .workers
            .get_index_mut(number)
            .expect("the worker is there");
        let entry = WorkerEntry {
            born_unix_ms,
            ..worker.entry.clone()
        };
        let mut late = std::mem::take(&mut worker.late);
        if held_up == HeldUp::InProcess {
            late.clear();
        }
        let name = Rc::clone(&entry.id);
        self.void_unacknowledged(&name);
        self.workers[&name] = ModelWorker {
            late,
            ..ModelWorker::new(entry.clone(), now_ms)
        };
        self.coordinator.list_worker(entry);
    }

    /// A worker says that it leaves.
    pub fn drain_worker(&mut self, number: usize) {
        let (_, worker) = self
            .workers
            .get_index_mut(number)
            .expect("the worker is there");
        worker.entry.draining = true;
        let entry = worker.entry.clone();
        self.coordinator.list_worker(entry);
    }

    /// Tasks that are present at a worker.
    pub fn tasks_on(&self, number: usize) -> Vec<TaskId> {
        let (_, worker) = self.workers.get_index(number).expect("the worker is there");
        worker.present.keys().copied().collect()
    }

    /// Sets what becomes of a worker's runs.
    pub fn set_fate(&mut self, number: usize, fate: Fate) {
        let (_, worker) = self
            .workers
            .get_index_mut(number)
            .expect("the worker is there");
        worker.fate = fate;
    }

    fn advance_workers(&mut self) {
        let now_ms = self.now_ms;
        for id in self.workers.keys().cloned().collect::<Vec<_>>() {
            let worker = &mut self.workers[&id];
            if worker.fate == Fate::Down {
                worker.present.clear();
                self.void_unacknowledged(&id);
                continue;
            }
            worker.work(now_ms, STEP_MS);
            if worker.clock_ms(now_ms) >= worker.held_until_ms {
                for task in worker.present.keys().copied().collect::<Vec<_>>() {
                    worker.end(task, EndKind::Lapsed);
                }
                self.void_unacknowledged(&id);
            }
        }
        self.begin_gangs();
        let mut ripe: Vec<(Rc<str>, TaskId, u64, bool, bool)> = Vec::new();
        for (id, worker) in &self.workers {
            for (&task, present) in &worker.present {
                let half_ms = present.spec.estimate_ms / 2;
                let fails = worker.fate == Fate::Fails && present.left_ms <= half_ms;
                let done = worker.fate != Fate::Stalls
                    && !present.spec.long_running
                    && present.left_ms == 0;
                if present.begun && (fails || done) {
                    ripe.push((Rc::clone(id), task, present.run, present.spec.gang, fails));
                }
            }
        }
        for (id, task, run, gang, fails) in ripe {
            if !self.workers[&id].present.contains_key(&task) {
                continue; // It ended with another member of its gang.
            }
            if fails {
                self.workers[&id].end(task, EndKind::Failed);
                self.failed.entry(task).or_default().push(run);
            } else if !gang || self.gang_is_ripe(task, run) {
                self.workers[&id].end(task, EndKind::Done);
                self.done.insert(task, run);
                self.ever_done.insert(task);
            } else {
                continue;
            }
            if gang {
                self.end_gang(
                    task,
                    run,
                    if fails {
                        EndKind::Broken
                    } else {
                        EndKind::Done
                    },
                );
            }
        }
    }

    /// Ends that were not acknowledged before a lapse or a crash do not count.
    fn void_unacknowledged(&mut self, id: &Rc<str>) {
        for end in &self.workers[id].ends {
            if self.done.get(&end.task) == Some(&end.run) {
                self.done.swap_remove(&end.task);
            }
            if let Some(runs) = self.failed.get_mut(&end.task) {
                runs.retain(|run| *run != end.run);
            }
        }
    }

    fn members(&self, task: TaskId, run: u64) -> Vec<(Rc<str>, TaskId)> {
        let of_gang =
            |found: &TaskId, present: &Present| found.step == task.step && present.run == run;
        self.workers
            .iter()
            .flat_map(|(id, worker)| worker.present.iter().map(move |present| (id, present)))
            .filter(|(_, (found, present))| of_gang(found, present))
            .map(|(id, (found, _))| (Rc::clone(id), *found))
            .collect()
    }

    fn gang_is_ripe(&self, task: TaskId, run: u64) -> bool {
        self.members(task, run).iter().all(|(id, member)| {
            let worker = &self.workers[id];
            worker.fate != Fate::Stalls && worker.present[member].left_ms == 0
        })
    }

    fn end_gang(&mut self, task: TaskId, run: u64, kind: EndKind) {
        for (id, member) in self.members(task, run) {
            self.workers[&id].end(member, kind);
            if kind == EndKind::Done {
                self.done.insert(member, run);
                self.ever_done.insert(member);
            }
        }
    }

    /// Gangs work from the moment at which all members of one run are present; a gang of which
    /// a member went away breaks.
    fn begin_gangs(&mut self) {
        let now_ms = self.now_ms;
        let mut gangs: IndexMap<(StepId, u64), (TaskId, u32, bool, u64)> = IndexMap::new();
        for worker in self.workers.values() {
            for (&task, present) in &worker.present {
                if present.spec.gang {
                    let gang = gangs.entry((task.step, present.run));
                    let (_, count, begun, since_ms) =
                        gang.or_insert((task, 0, false, present.since_ms));
                    *count += 1;
                    *begun |= present.begun;
                    *since_ms = present.since_ms.min(*since_ms);
                }
            }
        }
        for ((_, run), (task, count, begun, since_ms)) in gangs {
            let wanted = self.step_spec(task).map_or(0, |spec| spec.count);
            if count == wanted && !begun {
                for (id, member) in self.members(task, run) {
                    let present = &mut self.workers[&id].present[&member];
                    present.begun = true;
                }
            } else if count < wanted && begun {
                self.end_gang(task, run, EndKind::Broken);
            } else if !begun && now_ms >= since_ms + GANG_TIMEOUT_MS {
                self.alone += 1;
                self.end_gang(task, run, EndKind::Alone);
            }
        }
    }

    fn step_spec(&self, task: TaskId) -> Option<StepSpec> {
        let record = self.records.get(&task.step.job)?;
        record
            .spec
            .as_ref()?
            .steps
            .get(task.step.step as usize)
            .cloned()
    }

    fn carry_out(&mut self, order: Order) {
        match order {
            Order::Start {
                worker,
                task,
                run,
                spec: job,
                until_worker_ms,
                checkpoint,
                ..
            } => {
                let spec = job.steps[task.step.step as usize].clone();
                let fate = self.workers[&worker].fate;
                let answer = match fate {
                    Fate::CutOff | Fate::Down => StartAnswer::Unknown,
                    Fate::Late(by_ms) => {
                        let due_ms = self.now_ms + by_ms;
                        let term = self.terms;
                        let late = LateStart {
                            due_ms,
                            term,
                            task,
                            run,
                            spec,
                            until_worker_ms,
                            checkpoint,
                        };
                        self.workers[&worker].late.push(late);
                        StartAnswer::Unknown
                    }
                    _ => self.start(&worker, task, run, spec, until_worker_ms, &checkpoint),
                };
                self.coordinator
                    .start_answered(&worker, task, run, answer, self.now_ms);
            }
            Order::Pace {
                worker,
                task,
                run,
                percent,
            } => {
                let model = &mut self.workers[&worker];
                if matches!(model.fate, Fate::CutOff | Fate::Down) {
                    return;
                }
                if let Some(present) = model.present.get_mut(&task) {
                    present.pace_percent = percent;
                }
                self.coordinator.paced(&worker, task, run, percent);
            }
            Order::Stop {
                worker, task, run, ..
            } => {
                let model = &mut self.workers[&worker];
                if matches!(model.fate, Fate::CutOff | Fate::Down) {
                    return;
                }
                let highest = model.stopped.entry(task).or_default();
                *highest = run.max(*highest);
                if model
                    .present
                    .get(&task)
                    .is_some_and(|present| present.run <= run)
                {
                    model.end(task, EndKind::Stopped);
                }
                self.coordinator
                    .stop_confirmed(&worker, task, run, self.now_ms);
            }
        }
    }

    fn deliver_late_starts(&mut self) {
        let now_ms = self.now_ms;
        let mut due = Vec::new();
        for (id, worker) in &mut self.workers {
            let (now, later): (Vec<_>, Vec<_>) = worker
                .late
                .drain(..)
                .partition(|late| late.due_ms <= now_ms);
            worker.late = later;
            // A worker does nothing for a fence lower than one that it has seen.
            let fence = worker.fence;
            let obeyed = now.into_iter().filter(|late| late.term >= fence);
            due.extend(obeyed.map(|late| (Rc::clone(id), late)));
        }
        for (id, late) in due {
            let until_worker_ms = late.until_worker_ms;
            let _answer_is_lost = self.start(
                &id,
                late.task,
                late.run,
                late.spec,
                until_worker_ms,
                &late.checkpoint,
            );
        }
    }

    fn start(
        &mut self,
        id: &Rc<str>,
        task: TaskId,
        run: u64,
        spec: StepSpec,
        until_worker_ms: u64,
        checkpoint: &str,
    ) -> StartAnswer {
        let now_ms = self.now_ms;
        let worker = &self.workers[id];
        let clock_ms = worker.clock_ms(now_ms);
        if until_worker_ms <= clock_ms {
            return StartAnswer::TooLate;
        }
        if worker
            .stopped
            .get(&task)
            .is_some_and(|&stopped| run <= stopped)
        {
            return StartAnswer::OldRun;
        }
        self.check_start(id, task, &spec);
        let worker = &mut self.workers[id];
        worker.held_until_ms = worker
            .held_until_ms
            .max(until_worker_ms.min(clock_ms + 6_000));
        let saved_percent = checkpoint.parse().unwrap_or(0);
        let left_ms = spec.estimate_ms * 100_u64.saturating_sub(saved_percent) / 100;
        let begun = !spec.gang;
        let present = Present {
            run,
            spec,
            since_ms: now_ms,
            begun,
            left_ms,
            pace_percent: 100,
        };
        worker.present.insert(task, present);
        self.starts += 1;
        self.first_starts_ms.entry(task).or_insert(now_ms);
        StartAnswer::Started
    }

    /// What must hold at every start.
    fn check_start(&self, id: &Rc<str>, task: TaskId, spec: &StepSpec) {
        let worker = &self.workers[id];
        let demand = Room {
            cpu_millicores: spec.counted_millicores(),
            memory_mb: spec.memory_mb,
            gpus: spec.gpus,
        };
        assert!(
            worker.entry.capacity.fits(&worker.used(), &demand),
            "{task} does not fit on {id}: {:?} is taken",
            worker.used()
        );
        for (other, elsewhere) in &self.workers {
            assert!(
                !elsewhere.present.contains_key(&task),
                "{task} runs on {other} and on {id}"
            );
        }
        if !spec.gang {
            assert!(
                !self.done.contains_key(&task),
                "{task} starts after it was done"
            );
        }
        if let Some(limit) = self.attempts_of(task).filter(|_| !spec.long_running) {
            assert!(
                self.failures(task) < limit,
                "{task} starts after {limit} failed runs"
            );
        }
        let steps = self
            .records
            .get(&task.step.job)
            .and_then(|record| record.spec.as_ref());
        for &before in &spec.after {
            let count = steps.map_or(0, |spec| spec.steps[before as usize].count);
            let mut step = task.step;
            step.step = before;
            let done = (0..count).all(|index| self.ever_done.contains(&TaskId { step, index }));
            assert!(done, "{task} starts before step {before} is done");
        }
    }

    fn attempts_of(&self, task: TaskId) -> Option<usize> {
        let record = self.records.get(&task.step.job)?;
        Some(self.config.queues.get(record.queue.as_str())?.max_attempts as usize)
    }

    fn hold_all(&mut self) {
        for position in 0..self.workers.len() {
            let id = Rc::clone(self.workers.get_index(position).expect("in range").0);
            let now_ms = self.now_ms;
            let unix_ms = self.unix_ms();
            let worker = &mut self.workers[&id];
            if matches!(worker.fate, Fate::CutOff | Fate::Down) {
                self.coordinator.hold_failed(&id, now_ms);
                continue;
            }
            let Some(terms) = self.coordinator.begin_hold(&id, true, now_ms) else {
                continue;
            };
            worker.fence = worker.fence.max(self.terms);
            let clock_ms = worker.clock_ms(now_ms);
            if let Some(until) = terms.until_worker_ms {
                worker.held_until_ms = worker.held_until_ms.max(until.min(clock_ms + 6_000));
            }
            worker
                .ends
                .retain(|end| end.number > terms.acknowledged_end);
            let report = HoldReport {
                clock_ms,
                born_unix_ms: worker.entry.born_unix_ms,
                running: worker
                    .present
                    .iter()
                    .map(|(&task, present)| ShownRun {
                        task,
                        run: present.run,
                        checkpoint: String::new(),
                        percent: present.percent(),
                        figure: if present.spec.target_ms > 0 {
                            worker.tail_ms()
                        } else {
                            present.spec.cpu_millicores
                        },
                    })
                    .collect(),
                ended: worker.ends.clone(),
            };
            self.coordinator
                .hold_answered(&id, now_ms, now_ms, unix_ms, &report);
        }
    }

    fn answer_questions(&mut self) {
        while let Some(question) = self.coordinator.next_question(self.now_ms, false) {
            let good_percent = self.good_percent;
            let step = question.step;
            let good = |worker: &Rc<str>| {
                // The same workers each time, others for each step; three are good for every step,
                // so that no step is impossible.
                if ["w0", "w1", "w2"].contains(&&**worker) {
                    return true;
                }
                let seed = step.job.0 * 31 + u64::from(step.step);
                let mix = |sum: u64, byte: u8| {
                    (sum ^ u64::from(byte))
                        .wrapping_mul(0x9e37_79b9_7f4a_7c15)
                        .rotate_left(23)
                };
                let mixed = worker.bytes().chain(*b"mix").fold(seed, mix);
                (mixed >> 33) % 100 < good_percent
            };
            let rows = question.workers.iter().filter(|worker| good(worker));
            let outcome = AdviceOutcome::Good {
                rows: rows
                    .map(|worker| (Rc::clone(worker), "ticket".into()))
                    .collect(),
                valid_ms: 2_500,
            };
            self.coordinator
                .advice_answered(&question, &outcome, self.now_ms);
        }
    }
}
