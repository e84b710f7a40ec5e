//! Selects the queries to the advice service and applies its answers.
//!
//! The service processes the calls of each host one after the other, and an answer for a step of
//! heavy tasks takes most of a second. So all hosts send queries in parallel, for the most urgent
//! step first. The set of workers that are eligible for a step never changes: only tickets are
//! renewed, and only if an eligible worker has room.

use std::{cmp::Reverse, rc::Rc};

use super::{
    Coordinator,
    candidates::{WaitingStep, has_label, is_distrusted, service_of, task_limit},
    job::{Step, Ticket, resources_of},
};
use crate::{
    config::AdviceCost,
    ids::StepId,
    workers::{ClockReading, Resources, Worker},
};

/// Maximum number of workers named in one query.
const MAX_NAMED_WORKERS: usize = 100;
/// Number of workers named for each waiting task.
const NAMED_WORKERS_PER_TASK: usize = 8;
/// Minimum number of workers named in a query, if there are that many.
const MIN_NAMED_WORKERS: usize = 24;
/// Delay before a failed query is sent again, in milliseconds.
const RETRY_DELAY_MS: u64 = 150;
/// Maximum number of steps examined to find one query.
const MAX_EXAMINED_STEPS: usize = 40;
/// Delay before a step that needed no query is examined again, in milliseconds.
const REEXAMINE_DELAY_MS: u64 = 50;
/// Call time above which the queries of a queue count as heavy, in milliseconds.
const HEAVY_CALL_MS: u64 = 150;

/// A query to the advice service: which of the named workers may run a step.
#[derive(Clone, Debug, PartialEq)]
pub struct AdviceQuery {
    /// Step whose tasks wait.
    pub step: StepId,
    /// Workers named in the query.
    pub workers: Vec<Rc<str>>,
    /// Expected duration of the call, in milliseconds.
    pub expected_ms: u64,
    /// Whether queries of the step's queue are heavy: those of other queues must not wait for them.
    pub heavy: bool,
}

/// Result of a query.
#[derive(Clone, Debug)]
pub enum AdviceOutcome {
    /// The service answered with the workers that may run the step.
    Answered {
        /// Eligible workers, with a ticket for each.
        tickets: Vec<(Rc<str>, Rc<str>)>,
        /// Remaining lifetime of the tickets, in milliseconds.
        valid_ms: u64,
    },
    /// The service did not answer or was overloaded.
    Failed,
    /// The host that was to send the query is gone; another host can ask immediately.
    NotSent,
}

impl AdviceQuery {
    fn new(step: StepId, workers: Vec<Rc<str>>, terms: AdviceCost) -> Self {
        let expected_ms = terms.call_ms + terms.per_worker_ms * workers.len() as f64;
        Self {
            step,
            workers,
            expected_ms: expected_ms as u64,
            heavy: is_heavy(terms),
        }
    }
}

impl Coordinator {
    /// Returns the most urgent query. With `light_only`, queues with slow answers are skipped.
    pub fn next_advice_query(&mut self, now_ms: u64, light_only: bool) -> Option<AdviceQuery> {
        if self.advice_cursor_ms != now_ms {
            self.reset_advice_cursor(now_ms);
        }
        let ready_steps = std::mem::take(&mut self.ready_steps);
        let may_ask = |id: &&StepId| self.may_ask(**id, now_ms, light_only);
        let is_other = |id: &&StepId| !self.trial_workers.contains_all_of(**id);
        // Steps before the cursor were examined at this time.
        let unexamined = ready_steps.get(self.advice_cursor..).unwrap_or_default();
        let claims = self.preemptions.asking_first();
        let asking = claims.iter().chain(self.trial_workers.asking());
        let asking = asking.filter(may_ask).copied();
        let mut examined: Vec<StepId> = asking.take(MAX_EXAMINED_STEPS).collect();
        let mut passed = 0;
        for id in unexamined {
            if examined.len() == MAX_EXAMINED_STEPS {
                break;
            }
            passed += 1;
            if is_other(&id) && may_ask(&id) {
                examined.push(*id);
            }
        }
        self.ready_steps = ready_steps;
        for id in examined {
            let query = self.query_for(id, now_ms);
            let advice = &mut self.jobs.get_mut(&id.job)?.step_mut(id)?.advice;
            match query {
                Some(query) => {
                    advice.in_flight = true;
                    self.advance_advice_cursor(id);
                    return Some(query);
                }
                // Examining a step iterates over all workers, and the result stays valid for a
                // short time.
                None => advice.not_before_ms = now_ms + REEXAMINE_DELAY_MS,
            }
        }
        self.advice_cursor += passed;
        None
    }

    fn reset_advice_cursor(&mut self, now_ms: u64) {
        self.advice_cursor = 0;
        self.advice_cursor_ms = now_ms;
    }

    /// Moves the cursor past a step, unless it is before the cursor already.
    fn advance_advice_cursor(&mut self, id: StepId) {
        let unexamined = self.ready_steps.get(self.advice_cursor..);
        let position = unexamined.and_then(|steps| steps.iter().position(|step| *step == id));
        self.advice_cursor += position.map_or(0, |position| position + 1);
    }

    /// Whether a query about a step may be asked now, if it needs one.
    fn may_ask(&self, id: StepId, now_ms: u64, light_only: bool) -> bool {
        let Some(job) = self.jobs.get(&id.job) else {
            return false;
        };
        let queue = self.config.queues.get(&job.queue);
        let Some(terms) = queue.and_then(|queue| queue.advice) else {
            return false;
        };
        let Some(step) = job.step(id) else {
            return false;
        };
        let skipped = light_only && is_heavy(terms);
        !skipped && !step.advice.in_flight && now_ms >= step.advice.not_before_ms
    }

    fn query_for(&self, id: StepId, now_ms: u64) -> Option<AdviceQuery> {
        let job = self.jobs.get(&id.job)?;
        let terms = self.config.queues.get(&job.queue)?.advice?;
        let spec = job.step_spec(id.step)?;
        let step = job
            .occurrences
            .get(&id.occurrence)?
            .steps
            .get(id.step as usize)?;
        let waiting = step.waiting().count() as u32;
        if waiting == 0 {
            return None;
        }
        let (_, others) = job.split_waiting(step);
        if others.is_empty() {
            // Only the workers that are kept free for trials are asked about.
            let workers = self.trial_workers.to_ask_about(id, spec, step, now_ms);
            let workers: Vec<_> = workers.take(MAX_NAMED_WORKERS).cloned().collect();
            return (!workers.is_empty()).then(|| AdviceQuery::new(id, workers, terms));
        }
        if let Some(held) = self.preemptions.held_for(id) {
            return self.query_for_held(id, step, held, terms, now_ms);
        }
        let service = service_of(&self.config, job);
        let demand = resources_of(spec);
        let eligible = |worker: &&Worker| {
            worker.is_usable(now_ms)
                && worker.entry.service == service
                && has_label(worker, spec)
                && worker.entry.capacity.fits(&Resources::default(), &demand)
        };
        let claim = self.claim_of(id, now_ms);
        let used_after_stops = claim.as_ref().map(|claim| self.used_after_stops(claim));
        let fitting_tasks = |position: usize, worker: &Worker| {
            let limit = task_limit(worker, spec, id).min(waiting);
            let used = used_after_stops.as_ref();
            let used = used.and_then(|used| used.get(position)).copied();
            fitting_tasks(worker, used.unwrap_or(worker.used), &demand, limit)
        };
        // A gang that may claim capacity needs tickets that outlast the stops, and some to spare:
        // capacity that could be vacated changes quickly.
        let ticket_needed_ms = claim.as_ref().map_or(now_ms, |claim| claim.ticket_until_ms);
        let required = match (&claim, spec.gang) {
            (Some(_), _) => waiting + waiting / 4,
            (None, true) => waiting,
            (None, false) => 1,
        };
        // Workers on which a waiting task failed and suspect workers are the last ones to be used, so
        // their room does not make up for that of others.
        let failures = if spec.long_running {
            Vec::new()
        } else {
            step.failures(step.waiting())
        };
        let mut ticketed_slots = 0;
        let mut eligible_slots = 0;
        let mut stale = Vec::new();
        let mut unqueried = Vec::new();
        let mut last_resort = Vec::new();
        let workers = self.workers.values().enumerate();
        for (position, worker) in workers.filter(|(_, worker)| eligible(worker)) {
            let name = &worker.entry.id;
            match step.advice.eligible.get(name) {
                None if step.advice.queried.contains_key(name) => {}
                _ if worker.is_suspect(now_ms) => {
                    last_resort.push((fitting_tasks(position, worker), Rc::clone(name)));
                }
                Some(_) if is_distrusted(worker, &failures) => {
                    last_resort.push((fitting_tasks(position, worker), Rc::clone(name)));
                }
                Some(_) if step.advice.has_ticket(name, ticket_needed_ms) => {
                    ticketed_slots += fitting_tasks(position, worker);
                    eligible_slots += fitting_tasks(position, worker);
                }
                Some(_) => {
                    eligible_slots += fitting_tasks(position, worker);
                    stale.push((fitting_tasks(position, worker), Rc::clone(name)));
                }
                None => unqueried.push((fitting_tasks(position, worker), Rc::clone(name))),
            }
        }
        let mut named_workers = if ticketed_slots >= required {
            return None;
        } else if eligible_slots >= required {
            stale
        } else if !unqueried.is_empty() {
            unqueried
        } else {
            let may_use_suspects = self.may_use_suspects(id, now_ms);
            last_resort.retain(|(slots, name)| {
                *slots > 0
                    && !step.advice.has_ticket(name, now_ms)
                    && (may_use_suspects || !self.is_suspect_worker(name, now_ms))
            });
            if last_resort.is_empty() {
                return None;
            }
            last_resort
        };
        self.sort_by_choice(id, &mut named_workers);
        named_workers.truncate(
            (waiting as usize * NAMED_WORKERS_PER_TASK).clamp(MIN_NAMED_WORKERS, MAX_NAMED_WORKERS),
        );
        let workers: Vec<Rc<str>> = named_workers.into_iter().map(|(_, name)| name).collect();
        Some(AdviceQuery::new(id, workers, terms))
    }

    /// Sorts workers, each with the number of tasks that fit, by the order in which the step would use
    /// them: those with room, then by pace.
    fn sort_by_choice(&self, id: StepId, workers: &mut [(u32, Rc<str>)]) {
        let choice = self.pace_choice(id, self.pass_unix_ms);
        workers.sort_by_cached_key(|(slots, name)| {
            let pace = self.workers.get(name).map_or(0, Worker::pace_percent);
            (*slots == 0, choice.rank(pace), Reverse(*slots))
        });
    }

    /// The query about the workers that are held for a step: their tickets must be valid when the
    /// stopped runs have ended.
    fn query_for_held(
        &self,
        id: StepId,
        step: &Step,
        held: &[Rc<str>],
        terms: AdviceCost,
        now_ms: u64,
    ) -> Option<AdviceQuery> {
        let needed_ms = now_ms + self.tuning.stop_timeout_ms;
        let lacks_ticket = |worker: &&Rc<str>| !step.advice.has_ticket(worker, needed_ms);
        let workers: Vec<_> = held.iter().filter(lacks_ticket).cloned().collect();
        (!workers.is_empty()).then(|| AdviceQuery::new(id, workers, terms))
    }

    /// Whether a step may use faulty and slow workers once its patience is over: its job stands
    /// still, and not because of the load.
    fn may_use_suspects(&self, id: StepId, now_ms: u64) -> bool {
        let Some(job) = self.jobs.get(&id.job) else {
            return false;
        };
        let (Some(spec), Some(step)) = (job.step_spec(id.step), job.step(id)) else {
            return false;
        };
        let waiting_step = WaitingStep {
            id,
            spec,
            service: &service_of(&self.config, job),
            priority: u32::MAX,
            needs_ticket: true,
            waiting: &[],
        };
        (spec.long_running || !job.has_active_task())
            && !waiting_step.awaits_its_turn(&self.workers, step, &self.reservations, now_ms)
    }

    fn is_suspect_worker(&self, worker: &str, now_ms: u64) -> bool {
        let worker = self.workers.get(worker);
        worker.is_some_and(|worker| worker.is_suspect(now_ms))
    }

    /// Applies the result of a query.
    pub fn advice_answered(&mut self, query: &AdviceQuery, outcome: &AdviceOutcome, now_ms: u64) {
        self.reset_advice_cursor(now_ms);
        let Some(job) = self.jobs.get_mut(&query.step.job) else {
            return;
        };
        let Some(step) = job.step_mut(query.step) else {
            return;
        };
        step.advice.in_flight = false;
        match outcome {
            AdviceOutcome::Failed => step.advice.not_before_ms = now_ms + RETRY_DELAY_MS,
            AdviceOutcome::NotSent => {}
            AdviceOutcome::Answered { tickets, valid_ms } => {
                for worker in &query.workers {
                    step.advice.queried.insert(Rc::clone(worker), ());
                }
                // The service issued them before its answer arrived.
                let void_ms = now_ms + ClockReading::max_local_ms(*valid_ms);
                for (worker, text) in tickets {
                    let ticket = Ticket {
                        text: Rc::clone(text),
                        expires_ms: now_ms + valid_ms,
                        void_ms,
                    };
                    step.advice.eligible.insert(Rc::clone(worker), ticket);
                }
            }
        }
    }
}

fn is_heavy(terms: AdviceCost) -> bool {
    terms.call_ms as u64 > HEAVY_CALL_MS
}

/// Number of tasks of size `demand` that fit on a worker beside `used`, at most `limit`.
fn fitting_tasks(worker: &Worker, used: Resources, demand: &Resources, limit: u32) -> u32 {
    let candidate = crate::placement::Candidate {
        worker: 0,
        capacity: worker.entry.capacity,
        used,
        best_effort_millicores: 0,
        rack: "",
        task_limit: limit,
        pace_percent: worker.pace_percent(),
    };
    candidate.fitting_tasks(demand, limit)
}
