//! Which questions to ask the advice service, and what its answers change.
//!
//! The service answers each host's calls one after the other, and an answer for a step of heavy
//! tasks takes most of a second. So questions are asked from all hosts in parallel, the most
//! urgent step first. Which workers are good for a step never changes: only tickets are renewed,
//! and only when a good worker has room.

use std::rc::Rc;

use super::{
    Coordinator,
    job::{Ticket, room_of},
    schedule::{has_label, service_of, task_limit},
};
use crate::{
    ids::StepId,
    workers::{Room, Worker},
};

/// Most workers that one question may name.
const MOST_NAMED: usize = 100;
/// Workers that are named for each task that waits.
const NAMED_PER_TASK: usize = 8;
/// Workers that are named at least, as far as there are so many.
const LEAST_NAMED: usize = 24;
/// Pause after a question that was not answered, in milliseconds.
const RETRY_MS: u64 = 150;
/// Steps that are looked at for one question at most.
const MOST_LOOKS: usize = 40;
/// A step that needed no question is looked at again after this time, in milliseconds.
const LOOK_AGAIN_MS: u64 = 50;
/// Answers that take longer than this are heavy, in milliseconds.
const HEAVY_MS: u64 = 150;

/// A question to the advice service.
#[derive(Clone, Debug, PartialEq)]
pub struct Question {
    /// The step.
    pub step: StepId,
    /// The workers that are named.
    pub workers: Vec<Rc<str>>,
    /// How long the answer is expected to take, in milliseconds.
    pub expected_ms: u64,
}

/// What became of a question.
#[derive(Clone, Debug)]
pub enum AdviceOutcome {
    /// Workers that may run the step, with their tickets, and how long these can be used.
    Good {
        /// Worker and ticket.
        rows: Vec<(Rc<str>, Rc<str>)>,
        /// How long the tickets can still be used, in milliseconds.
        valid_ms: u64,
    },
    /// The service did not answer, or had no time.
    Failed,
    /// The host that was to ask is gone; another one can ask at once.
    NotAsked,
}

impl Coordinator {
    /// The most urgent question; `light_only` keeps to those that are answered quickly.
    pub fn next_question(&mut self, now_ms: u64, light_only: bool) -> Option<Question> {
        let agenda = std::mem::take(&mut self.agenda);
        let may_ask = |id: &&StepId| self.may_ask(**id, now_ms, light_only);
        let looks: Vec<StepId> = agenda
            .iter()
            .filter(may_ask)
            .take(MOST_LOOKS)
            .copied()
            .collect();
        self.agenda = agenda;
        for id in looks {
            let question = self.question_for(id, now_ms);
            let advice = &mut self.jobs.get_mut(&id.job)?.step_mut(id)?.advice;
            match question {
                Some(question) => {
                    advice.in_flight = true;
                    return Some(question);
                }
                // A look goes over all workers, and what it saw holds for a moment.
                None => advice.not_before_ms = now_ms + LOOK_AGAIN_MS,
            }
        }
        None
    }

    /// Whether a question about a step may be asked, if there is one.
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
        let held_back = light_only && terms.call_ms as u64 > HEAVY_MS;
        !held_back && !step.advice.in_flight && now_ms >= step.advice.not_before_ms
    }

    fn question_for(&self, id: StepId, now_ms: u64) -> Option<Question> {
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
        let service = service_of(&self.config, job);
        let need = room_of(spec);
        let eligible = |worker: &&Worker| {
            worker.takes_work(now_ms)
                && worker.entry.service == service
                && has_label(worker, spec)
                && worker.entry.capacity.fits(&Room::default(), &need)
        };
        let takes = |worker: &Worker| {
            let limit = task_limit(worker, spec, id).min(waiting);
            takes(worker, &need, limit)
        };
        let wanted = if spec.gang { waiting } else { 1 };
        let mut fresh_room = 0;
        let mut good_room = 0;
        let mut stale = Vec::new();
        let mut unasked = Vec::new();
        let expected = |named: usize| (terms.call_ms + terms.per_worker_ms * named as f64) as u64;
        for worker in self.workers.values().filter(eligible) {
            let name = &worker.entry.id;
            match step.advice.good.get(name) {
                Some(_) if step.advice.has_ticket(name, now_ms) => {
                    fresh_room += takes(worker);
                    good_room += takes(worker);
                }
                Some(_) => {
                    good_room += takes(worker);
                    stale.push((takes(worker), Rc::clone(name)));
                }
                None if !step.advice.asked.contains_key(name) => {
                    unasked.push((takes(worker), Rc::clone(name)));
                }
                None => {}
            }
        }
        let mut named = if fresh_room >= wanted {
            return None;
        } else if good_room >= wanted {
            stale
        } else if !unasked.is_empty() {
            unasked
        } else {
            return None;
        };
        named.sort_unstable_by_key(|row| std::cmp::Reverse(row.0));
        named.truncate((waiting as usize * NAMED_PER_TASK).clamp(LEAST_NAMED, MOST_NAMED));
        let workers: Vec<Rc<str>> = named.into_iter().map(|(_, name)| name).collect();
        let expected_ms = expected(workers.len());
        Some(Question {
            step: id,
            workers,
            expected_ms,
        })
    }

    /// A question was answered, or not.
    pub fn advice_answered(&mut self, question: &Question, outcome: &AdviceOutcome, now_ms: u64) {
        let Some(job) = self.jobs.get_mut(&question.step.job) else {
            return;
        };
        let Some(step) = job.step_mut(question.step) else {
            return;
        };
        step.advice.in_flight = false;
        match outcome {
            AdviceOutcome::Failed => step.advice.not_before_ms = now_ms + RETRY_MS,
            AdviceOutcome::NotAsked => {}
            AdviceOutcome::Good { rows, valid_ms } => {
                for worker in &question.workers {
                    step.advice.asked.insert(Rc::clone(worker), ());
                }
                for (worker, text) in rows {
                    let ticket = Ticket {
                        text: Rc::clone(text),
                        expires_ms: now_ms + valid_ms,
                    };
                    step.advice.good.insert(Rc::clone(worker), ticket);
                }
            }
        }
    }
}

/// How many tasks of the size `need` a worker can take now, up to `most`.
fn takes(worker: &Worker, need: &Room, most: u32) -> u32 {
    let spot = crate::placement::Spot {
        worker: 0,
        capacity: worker.entry.capacity,
        used: worker.used,
        filling_millicores: 0,
        rack: "",
        task_limit: most,
    };
    spot.takes(need, most)
}
