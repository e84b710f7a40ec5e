//! Holds tasks back that wait for a better placement; see [`crate::placement_wait`].
//!
//! A wait reserves nothing: other steps may use the workers that are free now, and the better ones as
//! well if they are more urgent. The decision is taken again in each pass, from the workers as they
//! are then.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use derive_more::Display;

use super::{
    Coordinator,
    candidates::{WaitingStep, service_of, task_limit},
    job::{Job, resources_of},
    pass::Pass,
    worker_pace::at_pace,
};
use crate::{
    collections::IndexMap,
    ids::{StepId, TaskId},
    jobs::StepSpec,
    objective::MAX_LATENESS_FACTOR,
    pace_choice::PaceChoice,
    placement::Candidate,
    placement_wait::{self, WaitCase, WaitReason, WaitVerdict},
    worker_pace::TYPICAL_PERCENT,
    workers::{Phase, Run, Worker},
};

/// Maximum number of steps for which a better placement is searched in one pass: each search iterates
/// over all runs. Less urgent steps start on what is free.
const MAX_SEARCHES: u32 = 4;
/// Progress at which a task counts as complete, in percent; below 100 because workers round it.
const COMPLETE_PERCENT: u64 = 99;
/// Expected time to the end of a run that is being stopped, in milliseconds.
const STOPPING_MS: u64 = 300;
/// Minimum expected time to the end of a run, in milliseconds: its end has not been reported yet.
const MIN_REMAINING_MS: u64 = 20;

/// A step's wait for a better placement.
#[derive(Clone, Copy, Debug)]
pub struct PlacementWait {
    /// What makes the placement better.
    pub reason: WaitReason,
    /// When the wait began, in milliseconds of the local clock.
    pub since_ms: u64,
}

/// What became of a wait.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum WaitChange {
    /// It began.
    #[display("began")]
    Began,
    /// Tasks started on the better placement.
    #[display("better")]
    Better,
    /// Waiting does not pay any more, so tasks started elsewhere.
    #[display("elsewhere")]
    Elsewhere,
    /// There is no worker with room any more, so tasks wait for any.
    #[display("no_room")]
    NoRoom,
}

/// Begin or end of a wait for a better placement, for the log.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(
    "step={step} for={reason} change={change} since_unix_ms={since_unix_ms} waited_ms={waited_ms} \
     held_back={held_back} expected_in_ms={expected_in_ms}"
)]
pub struct WaitEvent {
    /// The step.
    pub step: StepId,
    /// What makes the placement better.
    pub reason: WaitReason,
    /// What became of the wait.
    pub change: WaitChange,
    /// When it began, in Unix milliseconds.
    pub since_unix_ms: u64,
    /// How long it has taken, in milliseconds.
    pub waited_ms: u64,
    /// Number of tasks that wait.
    pub held_back: usize,
    /// Time until the better placement is expected to be free, in milliseconds.
    pub expected_in_ms: u64,
}

/// Searches for better placements in one pass.
#[derive(Debug)]
pub(super) struct WaitBudget {
    searches_left: Cell<u32>,
    /// Waiting work and capacity of the services that were asked for, as core-milliseconds and
    /// millicores.
    backlogs: RefCell<IndexMap<Rc<str>, (u64, u64)>>,
}

impl Default for WaitBudget {
    fn default() -> Self {
        Self {
            searches_left: Cell::new(MAX_SEARCHES),
            backlogs: RefCell::default(),
        }
    }
}

/// A better placement than the one that is free now.
struct Better<'a> {
    reason: WaitReason,
    /// Duration of the step on the chosen workers, relative to typical ones near its data and group.
    here_percent: u32,
    /// The same on the better placement.
    there_percent: u32,
    /// Required rack; empty for any.
    rack: &'a str,
    max_pace_percent: u32,
}

impl Better<'_> {
    fn includes(&self, worker: &Worker) -> bool {
        worker.pace_percent() <= self.max_pace_percent
            && (self.rack.is_empty() || worker.entry.rack() == self.rack)
    }
}

/// Time at which a better placement is free; never by default.
#[derive(Default)]
struct FreeTime {
    in_ms: Option<u64>,
    idle_workers: usize,
}

impl Coordinator {
    /// Removes tasks from `chosen` that should rather wait for a better placement. Returns whether
    /// there are any.
    pub(super) fn hold_back(
        &mut self,
        id: StepId,
        chosen: &mut Vec<(u32, usize)>,
        pass: &Pass,
    ) -> bool {
        let known = self.jobs.get(&id.job).and_then(|job| job.step(id));
        let wait = known.and_then(|step| step.placement_wait);
        if chosen.is_empty() {
            self.end_wait(id, wait, WaitChange::NoRoom, pass);
            return false;
        }
        let Some(held) = self.wait_case(id, chosen, wait, pass) else {
            self.end_wait(id, wait, WaitChange::Better, pass);
            return false;
        };
        let WaitVerdict::WaitUntil { unix_ms, reason } = placement_wait::decide(&held.case) else {
            self.end_wait(id, wait, WaitChange::Elsewhere, pass);
            return false;
        };
        let is_gang = held.is_gang;
        chosen.retain(|(index, _)| !is_gang && !held.tasks.contains(index));
        let same = wait.filter(|wait| wait.reason == reason);
        let wait = same.unwrap_or(PlacementWait {
            reason,
            since_ms: wait.map_or(pass.now_ms, |wait| wait.since_ms),
        });
        if same.is_none() {
            let waited_ms = pass.now_ms.saturating_sub(wait.since_ms);
            self.wait_events.push(WaitEvent {
                step: id,
                reason,
                change: WaitChange::Began,
                since_unix_ms: pass.unix_ms.saturating_sub(waited_ms),
                waited_ms,
                held_back: held.tasks.len(),
                expected_in_ms: unix_ms.saturating_sub(pass.unix_ms),
            });
        }
        if let Some(step) = self.jobs.get_mut(&id.job).and_then(|job| job.step_mut(id)) {
            step.placement_wait = Some(wait);
        }
        true
    }

    fn end_wait(
        &mut self,
        id: StepId,
        wait: Option<PlacementWait>,
        change: WaitChange,
        pass: &Pass,
    ) {
        let Some(wait) = wait else {
            return;
        };
        let waited_ms = pass.now_ms.saturating_sub(wait.since_ms);
        self.wait_events.push(WaitEvent {
            step: id,
            reason: wait.reason,
            change,
            since_unix_ms: pass.unix_ms.saturating_sub(waited_ms),
            waited_ms,
            held_back: 0,
            expected_in_ms: 0,
        });
        if let Some(step) = self.jobs.get_mut(&id.job).and_then(|job| job.step_mut(id)) {
            step.placement_wait = None;
        }
    }

    /// Takes the begins and ends of waits for the log.
    pub fn take_wait_events(&mut self) -> Vec<WaitEvent> {
        std::mem::take(&mut self.wait_events)
    }

    /// What speaks for and against a wait; `None` if the placement is as good as any.
    fn wait_case(
        &self,
        id: StepId,
        chosen: &[(u32, usize)],
        wait: Option<PlacementWait>,
        pass: &Pass,
    ) -> Option<HeldBack> {
        let job = self.jobs.get(&id.job)?;
        let spec = job.step_spec(id.step)?;
        let step = job.step(id)?;
        if spec.long_running || spec.best_effort {
            return None;
        }
        let better = self.better_placement(id, spec, chosen, pass)?;
        let worker_at = |position: usize| Some(self.workers.get_index(position)?.1);
        let is_poor = |&&(index, position): &&(u32, usize)| {
            let is_free = step.tasks[index as usize].bound_to.is_none();
            is_free
                && worker_at(position).is_some_and(|worker| match better.reason {
                    WaitReason::GroupRack => true,
                    WaitReason::DataRack | WaitReason::FasterWorker => !better.includes(worker),
                })
        };
        let tasks: Vec<u32> = chosen.iter().filter(is_poor).map(|(n, _)| *n).collect();
        // A member that may have started where it is bound can't wait.
        let is_bound = |&(index, _): &(u32, usize)| step.tasks[index as usize].bound_to.is_some();
        if tasks.is_empty() || (spec.gang && chosen.iter().any(is_bound)) {
            return None;
        }
        let typical_ms = self.typical_ms(job, id, spec);
        let here_ms = at_pace(typical_ms, better.here_percent);
        let better_ms = at_pace(typical_ms, better.there_percent);
        let horizon_ms = here_ms.saturating_sub(better_ms);
        let searches_left = pass.waits.searches_left.get();
        pass.waits
            .searches_left
            .set(searches_left.saturating_sub(1));
        let free = if searches_left > 0 {
            // The other tasks use better workers as well.
            let needed = chosen.len() as u32;
            self.free_time(id, job, spec, needed, &better, horizon_ms, pass)
        } else {
            FreeTime::default()
        };
        let own_core_ms =
            step.waiting().count() as u64 * spec.reserved_millicores() * spec.estimate_ms / 1000;
        let service = service_of(&self.config, job);
        let allowed_ms = job.allowed_ms();
        let left_ms = |factor: u64| {
            let until_unix_ms = job.due_unix_ms(id.occurrence) + allowed_ms * factor;
            until_unix_ms.saturating_sub(pass.unix_ms)
        };
        Some(HeldBack {
            tasks,
            is_gang: spec.gang,
            case: WaitCase {
                reason: better.reason,
                unix_ms: pass.unix_ms,
                here_ms,
                better_ms,
                free_in_ms: free.in_ms,
                later_ms: self.remaining_ms(job, id, spec).saturating_sub(typical_ms),
                waited_ms: wait.map_or(0, |wait| pass.now_ms.saturating_sub(wait.since_ms)),
                objective_left_ms: left_ms(1),
                value_left_ms: left_ms(MAX_LATENESS_FACTOR),
                idle_better_workers: free.idle_workers,
                backlog_ms: self.backlog_ms(&service, own_core_ms, pass),
            },
        })
    }

    /// A placement on which the step would take less time than on the chosen workers.
    fn better_placement<'a>(
        &self,
        id: StepId,
        spec: &'a StepSpec,
        chosen: &[(u32, usize)],
        pass: &Pass,
    ) -> Option<Better<'a>> {
        let cross_rack_percent = self.tuning.cross_rack_percent;
        let paces = self.paces.summary();
        if cross_rack_percent <= TYPICAL_PERCENT && paces.is_none() {
            return None;
        }
        let workers = || {
            let positions = chosen.iter().map(|(_, position)| *position);
            positions.filter_map(|position| Some(self.workers.get_index(position)?.1))
        };
        let rack = |reason, rack| Better {
            reason,
            here_percent: cross_rack_percent,
            there_percent: TYPICAL_PERCENT,
            rack,
            max_pace_percent: u32::MAX,
        };
        if cross_rack_percent > TYPICAL_PERCENT {
            let data_rack = spec.affinity_rack.as_str();
            if !data_rack.is_empty() && workers().any(|w| w.entry.rack() != data_rack) {
                return Some(rack(WaitReason::DataRack, data_rack));
            }
            let first = workers().next().map_or("", |worker| worker.entry.rack());
            if spec.same_rack && workers().any(|worker| worker.entry.rack() != first) {
                return Some(rack(WaitReason::GroupRack, ""));
            }
        }
        let fast_percent = paces?.fastest_decile_percent;
        let here_percent = workers().map(Worker::pace_percent).max()?;
        if here_percent <= fast_percent || self.pace_choice(id, pass.unix_ms) != PaceChoice::Fast {
            return None;
        }
        Some(Better {
            reason: WaitReason::FasterWorker,
            here_percent,
            there_percent: fast_percent,
            rack: "",
            max_pace_percent: fast_percent,
        })
    }

    /// Expected time until the better workers have room for `needed` tasks.
    #[expect(clippy::too_many_arguments, reason = "a step and what it waits for")]
    fn free_time(
        &self,
        id: StepId,
        job: &Job,
        spec: &StepSpec,
        needed: u32,
        better: &Better<'_>,
        horizon_ms: u64,
        pass: &Pass,
    ) -> FreeTime {
        let Some(step) = job.step(id) else {
            return FreeTime::default();
        };
        let queue = self.config.queues.get(&job.queue);
        let service = service_of(&self.config, job);
        let waiting_step = WaitingStep::new(id, spec, &service, queue.map(Rc::as_ref), &[]);
        let demand = resources_of(spec);
        let mut idle_workers = 0;
        let mut ends: Vec<(u64, &Run)> = Vec::new();
        // Rack if it matters, time, and number of tasks for which there is room from then on.
        let mut gains: Vec<(&str, u64, u32)> = Vec::new();
        for worker in self.workers.values() {
            if !better.includes(worker)
                || worker.is_suspect(pass.now_ms)
                || pass.reservations.contains(&worker.entry.id)
                || !waiting_step.may_use(worker, step, pass.now_ms)
            {
                continue;
            }
            let rack = match better.reason {
                WaitReason::GroupRack => worker.entry.rack(),
                WaitReason::DataRack | WaitReason::FasterWorker => "",
            };
            let mut candidate = Candidate {
                worker: 0,
                capacity: worker.entry.capacity,
                used: worker.used,
                best_effort_millicores: 0,
                rack,
                task_limit: task_limit(worker, spec, id),
                pace_percent: worker.pace_percent(),
            };
            let mut room = candidate.fitting_tasks(&demand, needed);
            if room > 0 {
                idle_workers += 1;
                gains.push((rack, 0, room));
            }
            ends.clear();
            let remaining = worker.runs.iter().filter_map(|(&task, run)| {
                let in_ms = self.run_remaining_ms(worker, task, run, pass.now_ms)?;
                (in_ms <= horizon_ms).then_some((in_ms, run))
            });
            ends.extend(remaining);
            ends.sort_unstable_by_key(|(in_ms, _)| *in_ms);
            for (in_ms, run) in &ends {
                candidate.used.remove(&run.resources);
                let next_room = candidate.fitting_tasks(&demand, needed);
                if next_room > room {
                    gains.push((rack, *in_ms, next_room - room));
                    room = next_room;
                }
            }
        }
        gains.sort_unstable();
        FreeTime {
            in_ms: earliest_ms(&gains, needed),
            // Room for some tasks is no better placement for a gang or a group.
            idle_workers: if spec.gang || better.reason == WaitReason::GroupRack {
                0
            } else {
                idle_workers
            },
        }
    }

    /// Expected time to the end of a run, in milliseconds; `None` if it does not end by itself, or
    /// occupies nothing.
    fn run_remaining_ms(
        &self,
        worker: &Worker,
        task: TaskId,
        run: &Run,
        now_ms: u64,
    ) -> Option<u64> {
        if run.phase == Phase::Ended {
            return None;
        }
        if run.stopping.is_some() {
            return Some(STOPPING_MS);
        }
        // The end of a gang member that has completed its part depends on the others.
        let is_waiting = |spec: &StepSpec| spec.gang && run.progress.percent >= COMPLETE_PERCENT;
        if run.long_running
            || run.best_effort_millicores > 0
            || self.spec_of(task).is_none_or(is_waiting)
        {
            return None;
        }
        let expected_ms = self.expected_ms(task, worker)?;
        let elapsed_since_ms = if run.progress.percent == 0 {
            run.ordered_ms
        } else {
            run.progress.advanced_ms
        };
        let remaining_ms = run.progress.remaining_ms(expected_ms);
        let elapsed_ms = now_ms.saturating_sub(elapsed_since_ms);
        Some(
            remaining_ms
                .saturating_sub(elapsed_ms)
                .max(MIN_REMAINING_MS),
        )
    }

    /// Time for which the waiting work of a service keeps its workers busy, without that of one step,
    /// in milliseconds.
    fn backlog_ms(&self, service: &Rc<str>, own_core_ms: u64, pass: &Pass) -> u64 {
        let mut backlogs = pass.waits.backlogs.borrow_mut();
        let (core_ms, millicores) = backlogs
            .entry(Rc::clone(service))
            .or_insert_with(|| self.backlog(service, pass.now_ms));
        core_ms.saturating_sub(own_core_ms) * 1000 / (*millicores).max(1)
    }

    fn backlog(&self, service: &Rc<str>, now_ms: u64) -> (u64, u64) {
        let of_service = |job: &&Job| service_of(&self.config, job) == *service;
        let waiting = self.open_jobs().filter(of_service);
        let of_service = |worker: &&Worker| worker.entry.service == *service;
        let workers = self.workers.values().filter(of_service);
        let schedulable = workers.filter(|worker| worker.is_schedulable(now_ms));
        (
            waiting.map(Job::waiting_core_ms).sum(),
            schedulable.map(|w| w.entry.capacity.cpu_millicores).sum(),
        )
    }
}

/// Tasks that a wait would hold back.
struct HeldBack {
    tasks: Vec<u32>,
    is_gang: bool,
    case: WaitCase,
}

/// The earliest time at which one rack has room for `needed` tasks. `gains` is sorted.
fn earliest_ms(gains: &[(&str, u64, u32)], needed: u32) -> Option<u64> {
    gains
        .chunk_by(|one, next| one.0 == next.0)
        .filter_map(|of_rack| {
            let mut room = 0;
            let is_enough = |(_, in_ms, more): &(&str, u64, u32)| {
                room += more;
                (room >= needed).then_some(*in_ms)
            };
            of_rack.iter().find_map(is_enough)
        })
        .min()
}
