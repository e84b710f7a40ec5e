//! The scheduling pass: lapses, hung runs, urgency, and starts.

use std::rc::Rc;

use indexmap::IndexMap;

use super::{
    Coordinator, Order,
    job::{ActiveRun, Job, Step, need_of, room_of},
};
use crate::{
    admission::WORTHLESS_AFTER,
    ids::{JobId, StepId, TaskId},
    jobs::{Outcome, StepSpec},
    placement::{self, Request, Spot},
    workers::{Phase, StopReason, Worker},
};

/// Gangs that may keep workers free for themselves at a time.
const RESERVING_GANGS: usize = 2;
/// A gang keeps workers free once it has waited for this part of its objective, as a divisor: free
/// workers do nothing until all of its room is there.
const RESERVE_AFTER_PART: u64 = 4;
/// Gangs for which free workers are looked for in one pass at most: each look goes over all workers.
const RESERVING_LOOKS: usize = 8;
/// Part of all workers that gangs may keep free, as a divisor.
const RESERVED_PART: usize = 3;

/// How urgent a step is; smaller comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Urgency {
    /// False for tasks that last: they are owed from the first moment on, and are never finished.
    ends: bool,
    /// 0 while the objective can be met, 1 while a late end still counts, 2 after that.
    lateness: u8,
    priority: u32,
    not_started: bool,
    accepted_unix_ms: u64,
    step: StepId,
}

impl Coordinator {
    /// One pass: gives up what has lapsed, stops what is to end, starts what can start.
    pub fn schedule(&mut self, now_ms: u64, unix_ms: u64) -> Vec<Order> {
        self.begin_due_occurrences(unix_ms);
        self.drop_lapsed_workers(now_ms);
        self.stop_unwanted_runs();
        self.stop_incomplete_gangs(now_ms);
        let mut orders = Vec::new();
        self.start_what_fits(now_ms, unix_ms, &mut orders);
        self.due_stops(now_ms, &mut orders);
        self.due_paces(now_ms, &mut orders);
        orders
    }

    fn begin_due_occurrences(&mut self, unix_ms: u64) {
        if self.next_due_unix_ms.is_none_or(|due| unix_ms < due) {
            return;
        }
        self.next_due_unix_ms = None;
        let open: Vec<JobId> = self.open.iter().copied().collect();
        for id in open {
            let due = self
                .jobs
                .get_mut(&id)
                .and_then(|job| job.begin_due(unix_ms));
            if let Some(due) = due {
                self.note_due(due);
            }
        }
    }

    /// Frees what ran on workers that were silent until everything there had lapsed.
    fn drop_lapsed_workers(&mut self, now_ms: u64) {
        let lapsed = |worker: &&Worker| worker.silent && worker.certainly_lapsed(now_ms);
        let ids: Vec<Rc<str>> = self
            .workers
            .values()
            .filter(lapsed)
            .map(|w| Rc::clone(&w.entry.id))
            .collect();
        for id in ids {
            let tasks: Vec<TaskId> = self
                .workers
                .get(&id)
                .map(|w| w.runs.keys().copied().collect())
                .unwrap_or_default();
            for task in tasks {
                self.release(&id, task);
            }
            if self.workers.get(&id).is_some_and(|worker| !worker.listed) {
                self.unheard.swap_remove(&id);
                self.workers.swap_remove(&id);
            }
        }
        if now_ms >= self.inherited_lapse_ms {
            self.unheard.clear();
            // Predecessor's workers that were never heard nor listed hold nothing any more.
            self.workers
                .retain(|_, worker| worker.listed || worker.fenced || !worker.runs.is_empty());
        }
    }

    /// Stops runs whose jobs need them no longer, and gangs of which a start is in doubt.
    fn stop_unwanted_runs(&mut self) {
        let mut stuck = Vec::new();
        for worker in self.workers.values_mut() {
            for (&task, run) in &mut worker.runs {
                if run.stopping.is_some() {
                    continue;
                }
                let Some(job) = self.jobs.get(&task.step.job) else {
                    run.stopping = Some(StopReason::NotWanted);
                    continue;
                };
                let Some(spec) = job.step_spec(task.step.step) else {
                    // The members of a gang whose end completed the job are ending by themselves.
                    if job.outcome != Outcome::Completed {
                        run.stopping = Some(StopReason::JobEnded);
                    }
                    continue;
                };
                let in_doubt = matches!(
                    run.phase,
                    Phase::Ordered {
                        in_flight: false,
                        ..
                    }
                );
                if in_doubt && spec.gang {
                    stuck.push((task, run.run));
                }
            }
        }
        for (task, run) in stuck {
            self.stop_gang_of(task, run);
        }
    }

    fn stop_incomplete_gangs(&mut self, now_ms: u64) {
        let patience_ms = self.tuning.gang_patience_ms;
        let mut incomplete = Vec::new();
        for id in &self.open {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            for (&occurrence, state) in &mut job.occurrences {
                for (step, state) in state.steps.iter_mut().enumerate() {
                    let Some(ordered_ms) = state.gang_ordered_ms else {
                        continue;
                    };
                    if now_ms < ordered_ms + patience_ms {
                        continue;
                    }
                    state.gang_ordered_ms = None;
                    let step = StepId {
                        job: *id,
                        occurrence,
                        step: step as u32,
                    };
                    let present = |(index, task): (usize, &super::job::Task)| {
                        let Some(active) = &task.active else {
                            return task.done;
                        };
                        let task = TaskId {
                            step,
                            index: index as u32,
                        };
                        let run = self
                            .workers
                            .get(&active.worker)
                            .and_then(|w| w.runs.get(&task));
                        run.is_some_and(|run| matches!(run.phase, Phase::Present { .. }))
                    };
                    if state.tasks.iter().enumerate().all(present) {
                        continue;
                    }
                    let run = state
                        .tasks
                        .iter()
                        .find_map(|t| Some(t.active.as_ref()?.run));
                    if let Some(run) = run {
                        incomplete.push((TaskId { step, index: 0 }, run));
                    }
                }
            }
        }
        for (task, run) in incomplete {
            self.stop_gang_of(task, run);
        }
    }

    fn start_what_fits(&mut self, now_ms: u64, unix_ms: u64, orders: &mut Vec<Order>) {
        let agenda = self.ready_steps(now_ms, unix_ms);
        let open_room = OpenRoom::of(&self.workers, now_ms);
        let mut reserved: Vec<Rc<str>> = Vec::new();
        let mut reserving = 0;
        let mut looks = 0;
        for urgency in &agenda {
            let started = self.start_step(urgency.step, now_ms, &open_room, &reserved, orders);
            if !started
                && urgency.lateness == 0
                && reserving < RESERVING_GANGS
                && looks < RESERVING_LOOKS
                && self.needs_room_kept(urgency.step)
                && (!urgency.ends || self.has_waited_long(urgency.step, unix_ms))
            {
                looks += 1;
                reserving += usize::from(self.reserve_for(urgency.step, &mut reserved));
            }
        }
        self.agenda = agenda.into_iter().map(|urgency| urgency.step).collect();
    }

    /// Steps with waiting tasks whose turn has come, most urgent first.
    fn ready_steps(&self, now_ms: u64, unix_ms: u64) -> Vec<Urgency> {
        let settled = self.inheritance_settled(now_ms);
        let mut ready = Vec::new();
        for job in self.open_jobs() {
            if (job.inherited && !settled) || now_ms < job.start_not_before_ms {
                continue;
            }
            let priority = self
                .config
                .queues
                .get(&job.queue)
                .map_or(u32::MAX, |q| q.priority);
            for (&occurrence, state) in &job.occurrences {
                for (step, step_state) in state.steps.iter().enumerate() {
                    let step = step as u32;
                    if step_state.is_done()
                        || step_state.waiting().next().is_none()
                        || !job.is_ready(state, step)
                    {
                        continue;
                    }
                    let spec = job.step_spec(step);
                    let ends = !spec.is_some_and(|spec| spec.long_running);
                    let remaining_ms = spec.map_or(0, |spec| spec.estimate_ms) / 2;
                    let lateness = if ends {
                        lateness(job, occurrence, unix_ms + remaining_ms)
                    } else {
                        0
                    };
                    ready.push(Urgency {
                        ends,
                        lateness,
                        priority,
                        not_started: !job.started,
                        accepted_unix_ms: job.due_unix_ms(occurrence),
                        step: StepId {
                            job: job.id,
                            occurrence,
                            step,
                        },
                    });
                }
            }
        }
        ready.sort_unstable();
        ready
    }

    /// Orders runs of a step's waiting tasks as far as they find room; whether any was ordered.
    fn start_step(
        &mut self,
        id: StepId,
        now_ms: u64,
        open_room: &OpenRoom,
        reserved: &[Rc<str>],
        orders: &mut Vec<Order>,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return false;
        };
        let Some(job_spec) = job.spec.clone() else {
            return false;
        };
        let Some(spec) = job_spec.steps.get(id.step as usize) else {
            return false;
        };
        let service = service_of(&self.config, job);
        let home = Rc::clone(&job.home);
        let needs_ticket = self
            .config
            .queues
            .get(&job.queue)
            .is_some_and(|q| q.advice.is_some());
        let Some(step) = job.step_mut(id) else {
            return false;
        };
        let waiting: Vec<u32> = step.waiting().collect();
        if spec.gang && waiting.len() < step.tasks.len() - step.done_count as usize {
            return false;
        }
        let wanted = Wanted {
            id,
            spec,
            service: &service,
            needs_ticket,
            waiting: &waiting,
        };
        let need = need_of(spec);
        let candidates = open_room.at_least(need.room.cpu_millicores);
        let (mut spots, mut failed_spots) =
            wanted.spots(&self.workers, candidates, step, reserved, now_ms);
        let request = Request {
            need,
            count: waiting.len() as u32,
            all_or_nothing: spec.gang,
            same_rack: spec.same_rack,
            affinity_rack: &spec.affinity_rack,
        };
        // Where a task failed it runs again only if nothing else will ever do. A task that lasts may fail
        // anywhere at any time, and does not wait for room elsewhere.
        let mut placed = placement::place(&request, &mut spots);
        if placed.is_empty()
            && !failed_spots.is_empty()
            && (spec.gang
                || spec.long_running
                || !wanted.has_other_worker(&self.workers, step, reserved, now_ms))
        {
            spots.append(&mut failed_spots);
            placed = placement::place(&request, &mut spots);
        }
        if placed.is_empty() {
            return false;
        }
        let gang_run = waiting
            .iter()
            .map(|&n| step.tasks[n as usize].last_run)
            .max()
            .unwrap_or(0);
        for (&index, position) in waiting.iter().zip(placed) {
            let Some((name, worker)) = self.workers.get_index_mut(position) else {
                continue;
            };
            let Some(clock) = worker.clock else {
                continue;
            };
            let until_worker_ms = clock.estimate(now_ms) + self.tuning.start_window_ms;
            let task_id = TaskId { step: id, index };
            let task = &mut step.tasks[index as usize];
            let last = if spec.gang { gang_run } else { task.last_run };
            let run = last.max(self.run_floor) + 1;
            task.last_run = run;
            task.active = Some(ActiveRun {
                worker: Rc::clone(name),
                run,
            });
            worker.order_run(task_id, run, need, until_worker_ms, now_ms);
            let ticket = step.advice.good.get(name);
            orders.push(Order::Start {
                worker: Rc::clone(name),
                task: task_id,
                run,
                spec: Rc::clone(&job_spec),
                home: Rc::clone(&home),
                until_worker_ms,
                checkpoint: task.checkpoint.clone(),
                ticket: ticket.map(|ticket| Rc::clone(&ticket.text)),
            });
        }
        if spec.gang {
            step.gang_ordered_ms = Some(now_ms);
        }
        true
    }

    /// Whether small steps could keep a step from ever finding room.
    fn needs_room_kept(&self, id: StepId) -> bool {
        let job = self.jobs.get(&id.job);
        job.and_then(|job| job.step_spec(id.step))
            .is_some_and(|spec| spec.long_running || (spec.gang && spec.count > 1))
    }

    /// Whether a step's job has waited for a good part of its objective.
    fn has_waited_long(&self, id: StepId, unix_ms: u64) -> bool {
        self.jobs.get(&id.job).is_some_and(|job| {
            let waited_ms = unix_ms.saturating_sub(job.due_unix_ms(id.occurrence));
            waited_ms >= job.allowed_ms() / RESERVE_AFTER_PART
        })
    }

    /// Keeps workers free for a gang, or for tasks that last, that find no room among smaller steps.
    /// Returns whether any.
    fn reserve_for(&self, id: StepId, reserved: &mut Vec<Rc<str>>) -> bool {
        let Some(job) = self.jobs.get(&id.job) else {
            return false;
        };
        let Some(spec) = job.step_spec(id.step) else {
            return false;
        };
        let Some(step) = job
            .occurrences
            .get(&id.occurrence)
            .and_then(|occurrence| occurrence.steps.get(id.step as usize))
        else {
            return false;
        };
        let service = service_of(&self.config, job);
        let need = room_of(spec);
        let advised = self
            .config
            .queues
            .get(&job.queue)
            .is_some_and(|q| q.advice.is_some());
        let mut fitting: Vec<(u64, u32, &Rc<str>)> = self
            .workers
            .values()
            .filter(|worker| worker.listed && !worker.silent && !worker.entry.draining)
            .filter(|worker| worker.entry.service == service && has_label(worker, spec))
            .filter(|worker| !advised || step.advice.good.contains_key(&worker.entry.id))
            .filter(|worker| !reserved.contains(&worker.entry.id))
            .map(|worker| {
                let empty = Spot {
                    worker: 0,
                    capacity: worker.entry.capacity,
                    used: crate::workers::Room::default(),
                    filling_millicores: 0,
                    rack: "",
                    task_limit: task_limit(worker, spec, id),
                };
                (
                    worker.used.cpu_millicores,
                    empty.takes(&need, spec.count),
                    &worker.entry.id,
                )
            })
            .filter(|(_, takes, _)| *takes > 0)
            .collect();
        fitting.sort_unstable();
        let mut missing = step.waiting().count() as u32;
        let mut chosen = Vec::new();
        for (_, takes, name) in fitting {
            if missing == 0 {
                break;
            }
            missing = missing.saturating_sub(takes);
            chosen.push(Rc::clone(name));
        }
        if missing > 0 || reserved.len() + chosen.len() > self.workers.len() / RESERVED_PART {
            return false;
        }
        reserved.extend(chosen);
        true
    }
}

/// A step whose waiting tasks look for workers.
struct Wanted<'a> {
    id: StepId,
    spec: &'a StepSpec,
    service: &'a str,
    needs_ticket: bool,
    waiting: &'a [u32],
}

impl Wanted<'_> {
    /// Whether an older run of a waiting task still takes room on a worker.
    fn has_run_of_waiting(&self, worker: &Worker) -> bool {
        let waits = |task: &TaskId| task.step == self.id && self.waiting.contains(&task.index);
        worker.runs.keys().any(waits)
    }

    /// Whether a worker may run the step, room aside.
    fn may_use(&self, worker: &Worker, step: &Step, reserved: &[Rc<str>], now_ms: u64) -> bool {
        let name = &worker.entry.id;
        worker.takes_work(now_ms)
            && *worker.entry.service == *self.service
            && (!self.needs_ticket || step.advice.has_ticket(name, now_ms))
            && has_label(worker, self.spec)
            && !reserved.contains(name)
            && !self.has_run_of_waiting(worker)
    }

    /// Workers on which waiting tasks failed.
    fn failed_on<'s>(&self, step: &'s Step) -> Vec<&'s Rc<str>> {
        self.waiting
            .iter()
            .filter_map(|&n| step.tasks[n as usize].failed_on.as_ref())
            .collect()
    }

    /// Whether a worker on which no waiting task failed may run the step once it has room.
    fn has_other_worker(
        &self,
        workers: &IndexMap<Rc<str>, Worker>,
        step: &Step,
        reserved: &[Rc<str>],
        now_ms: u64,
    ) -> bool {
        let failed_on = self.failed_on(step);
        workers.values().any(|worker| {
            !failed_on.contains(&&worker.entry.id) && self.may_use(worker, step, reserved, now_ms)
        })
    }

    /// Workers that may run the step now: those without a failure of its tasks, and the others.
    fn spots<'w>(
        &self,
        workers: &'w IndexMap<Rc<str>, Worker>,
        candidates: &[usize],
        step: &Step,
        reserved: &[Rc<str>],
        now_ms: u64,
    ) -> (Vec<Spot<'w>>, Vec<Spot<'w>>) {
        let failed_on = self.failed_on(step);
        let mut spots = Vec::new();
        let mut failed_spots = Vec::new();
        for &position in candidates {
            let Some((name, worker)) = workers.get_index(position) else {
                continue;
            };
            if !self.may_use(worker, step, reserved, now_ms) {
                continue;
            }
            let choice = if failed_on.contains(&name) {
                &mut failed_spots
            } else {
                &mut spots
            };
            choice.push(Spot {
                worker: position,
                capacity: worker.entry.capacity,
                used: worker.used,
                filling_millicores: worker.filling_millicores,
                rack: worker.entry.rack(),
                task_limit: task_limit(worker, self.spec, self.id),
            });
        }
        (spots, failed_spots)
    }
}

/// Workers that take work, with the processor that is free there, as a pass finds them.
///
/// In a full cell few workers have room for a task, and a pass looks for room for every step that waits.
/// What the pass itself starts only takes room away, so the index stays a superset of what fits.
#[derive(Debug)]
struct OpenRoom {
    /// Free processor in thousandths of a core, the most first.
    free_millicores: Vec<u64>,
    /// The workers' positions, in the same order.
    positions: Vec<usize>,
}

impl OpenRoom {
    fn of(workers: &IndexMap<Rc<str>, Worker>, now_ms: u64) -> Self {
        let free = |worker: &Worker| {
            let capacity = worker.entry.capacity.cpu_millicores;
            capacity.saturating_sub(worker.used.cpu_millicores)
        };
        let mut rows: Vec<(u64, usize)> = workers
            .values()
            .enumerate()
            .filter(|(_, worker)| worker.takes_work(now_ms))
            .map(|(position, worker)| (free(worker), position))
            .collect();
        rows.sort_by_key(|&(free, position)| (std::cmp::Reverse(free), position));
        let (free_millicores, positions) = rows.into_iter().unzip();
        Self {
            free_millicores,
            positions,
        }
    }

    /// Workers with at least this much free.
    fn at_least(&self, millicores: u64) -> &[usize] {
        let count = self
            .free_millicores
            .partition_point(|&free| free >= millicores);
        &self.positions[..count]
    }
}

/// The service whose workers run a job: the queue's now, or what it was if the queue is gone.
pub(super) fn service_of(config: &crate::config::Config, job: &Job) -> Rc<str> {
    config
        .queues
        .get(&job.queue)
        .map_or(&job.service, |queue| &queue.service)
        .clone()
}

/// Whether a worker has the label that a step asks for.
pub(super) fn has_label(worker: &Worker, spec: &StepSpec) -> bool {
    spec.required_label.is_empty()
        || worker
            .entry
            .labels
            .iter()
            .any(|label| **label == *spec.required_label)
}

/// How many more tasks of a step a worker may run.
pub(super) fn task_limit(worker: &Worker, spec: &StepSpec, step: StepId) -> u32 {
    if spec.max_per_worker == 0 {
        return u32::MAX;
    }
    let there = worker.runs.keys().filter(|task| task.step == step).count() as u32;
    spec.max_per_worker.saturating_sub(there)
}

/// How late a job's occurrence is if it ends at a time: 0 if it meets its objective, 1 if a late
/// end still counts, 2 after that.
pub(super) fn lateness(job: &Job, occurrence: u32, ends_unix_ms: u64) -> u8 {
    let since = job.due_unix_ms(occurrence);
    let allowed_ms = job.allowed_ms();
    if ends_unix_ms <= since + allowed_ms {
        0
    } else if ends_unix_ms <= since + allowed_ms * WORTHLESS_AFTER {
        1
    } else {
        2
    }
}
