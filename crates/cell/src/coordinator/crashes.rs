//! Which tasks crash the workers that start them.
//!
//! A worker that crashes reports no ends: all that is left of its runs is that they were there. The
//! rules below decide what that says about their tasks:
//!
//! - only a run that was starting is a suspect, and not an order that may never have arrived. A task that crashes workers does so as it starts, so
//!   a run that has survived its start is never blamed for what happens to its worker later;
//! - if workers without a starting run were lost at the same time, or most workers of a rack, the
//!   crash has a common cause, and no task is suspected of it. Nor is one of the loss of a worker that
//!   drains. Runs that were starting are remembered, so that chance does not protect a task for ever;
//! - blame is withdrawn if the same process of the worker answers again: it was cut off and did not
//!   crash;
//! - a suspected task starts again only once its history is durable, so that it survives the
//!   coordinator, and then on trial (see [`super::trials`]);
//! - a task is given up once workers have crashed under two of its runs, at least one of them with
//!   no run of another job starting, or under three. Its job is then `Failed`.

use std::{collections::VecDeque, rc::Rc};

use super::{
    Coordinator,
    crash_log::{CrashEvent, CrashReport},
    job::Job,
};
use crate::{
    collections::IndexMap,
    config::Queue,
    contact::{LastStart, LostContact, Trial},
    ids::{JobId, TaskId},
    jobs::Outcome,
    workers::{Run, StopReason, Worker},
};

/// Time for which the loss of a worker that refuses connections is compared with other losses, in
/// milliseconds.
const REFUSAL_SPREAD_MS: u64 = 200;
/// The same for a worker that does not answer, in milliseconds: polls notice silence late, and not
/// all at the same time.
const SILENCE_SPREAD_MS: u64 = 2_000;
/// Number of workers of a rack that must be lost at the same time for a common cause.
const MIN_LOST_IN_RACK: usize = 3;
/// Number of crashes nearby after which a task is a suspect itself: no task may crash workers without
/// end because each of its crashes coincides with others.
const MAX_CRASHES_NEARBY: usize = 2;
/// Crashes after which a task is given up if no run of another job was starting at one of them.
const CONCLUSIVE_CRASHES: usize = 2;
/// Crashes after which a task is given up in any case.
const MAX_CRASHES: usize = 3;
/// Period over which the crashes of a queue are counted, in milliseconds.
const QUEUE_WINDOW_MS: u64 = 3_000;
/// Number of prompt crashes of new jobs in that period from which on a queue is dangerous, at least.
const MIN_QUEUE_CRASHES: usize = 3;
/// The same as a part of the service's workers, as a divisor: fewer crashes do less harm than keeping
/// workers free for trials.
const QUEUE_CRASHES_DIVISOR: usize = 6;
/// Number of its jobs that must complete after a trial, without a crash for [`QUEUE_WINDOW_MS`], before
/// a dangerous queue is safe.
const SAFE_JOBS: usize = 8;
/// Time without a crash after which a dangerous queue is safe in any case, in milliseconds.
const MAX_DANGER_MS: u64 = 10_000;

/// Workers that crashed under a task, by the number of the run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashHistory {
    /// Runs that are suspected of the crash.
    pub suspected: Vec<u64>,
    /// Those of the suspected runs beside which no run of another job was starting.
    pub conclusive: Vec<u64>,
    /// Runs that were starting as well when another one was suspected, or when the crash had a common
    /// cause with others.
    pub nearby: Vec<u64>,
}

impl CrashHistory {
    /// Whether no worker crashed under the task.
    pub fn is_empty(&self) -> bool {
        self.suspected.is_empty() && self.nearby.is_empty()
    }

    /// Whether the task may crash its workers, so that it must run on trial.
    pub fn is_suspect(&self) -> bool {
        !self.suspected.is_empty() || self.nearby.len() >= MAX_CRASHES_NEARBY
    }

    /// Whether the task crashes its workers and is to be given up.
    pub fn is_convicted(&self) -> bool {
        let crashes = self.suspected.len();
        crashes >= MAX_CRASHES || (crashes >= CONCLUSIVE_CRASHES && !self.conclusive.is_empty())
    }

    fn retract(&mut self, run: u64) {
        for runs in [&mut self.suspected, &mut self.conclusive, &mut self.nearby] {
            runs.retain(|known| *known != run);
        }
    }
}

/// Lost workers of the last [`QUEUE_WINDOW_MS`], and what followed the last one for which new jobs of
/// a queue were the cause.
#[derive(Debug, Default)]
pub(super) struct RecentCrashes {
    crashes: VecDeque<RecentCrash>,
    last_of_queue: IndexMap<Rc<str>, LastCrash>,
}

#[derive(Clone, Copy, Debug)]
struct LastCrash {
    at_unix_ms: u64,
    /// Number of jobs of the queue that have completed after a trial since.
    safe_jobs: usize,
}

#[derive(Debug)]
struct RecentCrash {
    at_unix_ms: u64,
    /// Queue and time of acceptance of the job that had just started a run there.
    prompt: Option<(Rc<str>, u64)>,
}

impl RecentCrashes {
    /// Whether new jobs of a queue crash so many of the workers that start them, and more than are
    /// lost for any other reason, that it must be contained.
    fn is_dangerous(&self, queue: &str, workers: usize, unix_ms: u64) -> bool {
        let is_recent = |at_unix_ms: u64| unix_ms < at_unix_ms + QUEUE_WINDOW_MS;
        let (mut crashes, mut others) = (0, 0);
        let recent = self.crashes.iter();
        for crash in recent.filter(|crash| is_recent(crash.at_unix_ms)) {
            match &crash.prompt {
                Some((of, accepted_unix_ms)) if is_recent(*accepted_unix_ms) => {
                    crashes += usize::from(**of == *queue);
                }
                Some(_) => {}
                None => others += 1,
            }
        }
        let min_crashes = (workers / QUEUE_CRASHES_DIVISOR).max(MIN_QUEUE_CRASHES);
        crashes >= min_crashes && crashes >= 2 * others
    }

    /// Whether a dangerous queue has not been shown to be safe again. Few of its jobs start while it is
    /// contained, so that some time without a crash shows little.
    fn remains_dangerous(&self, queue: &str, unix_ms: u64) -> bool {
        self.last_of_queue.get(queue).is_some_and(|last| {
            let since_ms = unix_ms.saturating_sub(last.at_unix_ms);
            let is_safe = last.safe_jobs >= SAFE_JOBS && since_ms >= QUEUE_WINDOW_MS;
            !is_safe && since_ms < MAX_DANGER_MS
        })
    }

    /// Forgets the crashes of a queue that is safe again.
    fn forget(&mut self, queue: &str) {
        self.last_of_queue.swap_remove(queue);
        self.crashes
            .retain(|crash| crash.prompt.as_ref().is_none_or(|(of, _)| **of != *queue));
    }

    /// Records that a job of a queue has completed after a trial.
    pub(super) fn record_safe_job(&mut self, queue: &str) {
        if let Some(last) = self.last_of_queue.get_mut(queue) {
            last.safe_jobs += 1;
        }
    }

    fn push(&mut self, crash: RecentCrash) {
        let oldest_unix_ms = crash.at_unix_ms.saturating_sub(QUEUE_WINDOW_MS);
        let is_old = |first: &RecentCrash| first.at_unix_ms < oldest_unix_ms;
        while self.crashes.front().is_some_and(is_old) {
            self.crashes.pop_front();
        }
        if let Some((queue, accepted_unix_ms)) = &crash.prompt
            && *accepted_unix_ms >= oldest_unix_ms
        {
            let last = LastCrash {
                at_unix_ms: crash.at_unix_ms,
                safe_jobs: 0,
            };
            self.last_of_queue.insert(Rc::clone(queue), last);
        }
        self.crashes.push_back(crash);
    }
}

/// What the loss of a worker says about its runs.
#[derive(Debug)]
struct Verdict {
    suspects: Vec<(TaskId, u64)>,
    /// Whether no run of another job was starting, and the worker refused connections.
    is_conclusive: bool,
    nearby: Vec<(TaskId, u64)>,
}

impl Verdict {
    fn of(worker: &Worker, contact: &LostContact) -> Self {
        // Runs of a former process are kept until their orders can no longer arrive.
        let is_starting = |run: &Run| {
            run.stopping != Some(StopReason::WorkerRestarted)
                && !run.has_survived_start(contact.lost_ms)
        };
        let starting: Vec<(&TaskId, &Run)> = worker
            .runs
            .iter()
            .filter(|(_, run)| is_starting(run))
            .collect();
        let has_trial = starting.iter().any(|(_, run)| run.trial.is_some());
        // The last confirmed start before the crash is suspected. An order without an answer may never
        // have arrived, unless nothing else can have been the cause.
        let last_ms = starting
            .iter()
            .filter(|(_, run)| run.phase.is_present())
            .map(|(_, run)| run.ordered_ms)
            .max();
        let is_suspect = |run: &Run| match run.trial {
            Some(Trial::Alone) => true,
            // Beside others of its kind, only a run that has certainly started can be the cause.
            Some(Trial::Repeated) => run.phase.is_present(),
            None if has_trial => false,
            None => contact.refused && run.phase.is_present() && Some(run.ordered_ms) == last_ms,
        };
        let (suspects, nearby): (Vec<_>, Vec<_>) = starting
            .into_iter()
            .map(|(&task, run)| ((task, run.run), is_suspect(run)))
            .partition(|(_, is_suspect)| *is_suspect);
        let is_of_first = |&((task, _), _): &((TaskId, u64), bool)| {
            let first = suspects.first().map(|((first, _), _)| first);
            first.is_some_and(|first: &TaskId| first.step.job == task.step.job)
        };
        Self {
            is_conclusive: contact.refused
                && has_trial
                && last_ms.is_some()
                && suspects.iter().chain(&nearby).all(is_of_first),
            suspects: suspects.into_iter().map(|(run, _)| run).collect(),
            nearby: nearby.into_iter().map(|(run, _)| run).collect(),
        }
    }
}

impl Coordinator {
    /// Judges the losses of workers once others with the same cause would be known.
    pub(super) fn judge_lost_workers(&mut self, now_ms: u64, unix_ms: u64) {
        let is_due = |worker: &Worker| {
            worker.lost_contact.as_ref().is_some_and(|contact| {
                !contact.judged && now_ms >= contact.lost_ms + spread_ms(contact)
            })
        };
        let due: Vec<Rc<str>> = self
            .workers
            .iter()
            .filter(|(_, worker)| is_due(worker))
            .map(|(id, _)| Rc::clone(id))
            .collect();
        for id in due {
            self.judge_lost_worker(&id, unix_ms);
        }
    }

    /// Judges the loss of a worker unless that has been done, before its runs are released.
    pub(super) fn judge_lost_worker(&mut self, id: &str, unix_ms: u64) {
        let common_cause = self.has_common_cause(id);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker
            .lost_contact
            .as_ref()
            .is_none_or(|contact| contact.judged)
        {
            return;
        }
        let Some(mut contact) = worker.lost_contact.take() else {
            return;
        };
        contact.judged = true;
        if worker.entry.draining || worker.runs.is_empty() {
            worker.lost_contact = Some(contact);
            return;
        }
        let mut verdict = Verdict::of(worker, &contact);
        if common_cause {
            verdict.nearby.append(&mut verdict.suspects);
        }
        let refused = contact.refused;
        let prompt = verdict.suspects.first().filter(|(task, _)| {
            let run = worker.runs.get(task);
            refused && run.is_some_and(|run| run.has_just_started(contact.lost_ms))
        });
        let prompt = prompt.and_then(|(task, _)| {
            let job = self.jobs.get(&task.step.job)?;
            Some((Rc::clone(&job.queue), job.accepted_unix_ms))
        });
        let lost_ms = contact.lost_ms;
        contact.counted = [verdict.suspects.as_slice(), &verdict.nearby].concat();
        self.crash_events.push(CrashEvent::Judged(CrashReport::new(
            worker,
            refused,
            common_cause,
            &verdict.suspects,
            verdict.nearby.len(),
            lost_ms,
        )));
        worker.lost_contact = Some(contact);
        if refused {
            self.recent_crashes.push(RecentCrash {
                at_unix_ms: unix_ms,
                prompt,
            });
        }
        for &(task, run) in &verdict.suspects {
            self.count_crash(task, |history| {
                history.suspected.push(run);
                if verdict.is_conclusive {
                    history.conclusive.push(run);
                }
            });
        }
        for &(task, run) in &verdict.nearby {
            self.count_crash(task, |history| history.nearby.push(run));
        }
    }

    fn count_crash(&mut self, task: TaskId, count: impl FnOnce(&mut CrashHistory)) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        job.has_crashes = true;
        if let Some(state) = job.task_mut(task).filter(|state| !state.done) {
            count(&mut state.crashes);
            self.dirty.insert(task.step.job);
        }
    }

    /// Whether other workers were lost at the same time without a run that was starting, or most
    /// workers of the rack were, not each just after a start. Workers on trial are expected to crash and
    /// do not count.
    fn has_common_cause(&self, id: &str) -> bool {
        let Some((worker, contact)) =
            (self.workers.get(id)).and_then(|worker| Some((worker, worker.lost_contact.as_ref()?)))
        else {
            return false;
        };
        let is_lost_with_it = |other: &Worker| {
            let lost = other
                .lost_contact
                .as_ref()
                .filter(|_| !other.entry.draining);
            lost.is_some_and(|lost| {
                let spread_ms = spread_ms(contact).max(spread_ms(lost));
                lost.lost_ms.abs_diff(contact.lost_ms) <= spread_ms
            })
        };
        let (mut in_rack, mut lost_in_rack, mut unexplained_in_rack) = (0, 0, 0);
        for (other_id, other) in &self.workers {
            let is_lost = is_lost_with_it(other);
            let lost = other.lost_contact.as_ref().filter(|_| is_lost);
            if lost.is_some_and(|lost| lost.last_start == LastStart::Earlier) && **other_id != *id {
                return true;
            }
            let is_of_rack = other.entry.service == worker.entry.service
                && other.entry.rack() == worker.entry.rack();
            if is_of_rack && !other.is_used_for_trial(contact.lost_ms) {
                in_rack += usize::from(other.listed);
                lost_in_rack += usize::from(is_lost);
                unexplained_in_rack +=
                    usize::from(lost.is_some_and(|lost| lost.last_start != LastStart::Just));
            }
        }
        lost_in_rack >= MIN_LOST_IN_RACK && 2 * lost_in_rack > in_rack && unexplained_in_rack > 0
    }

    /// Withdraws what was counted when contact to a worker was lost: the same process answers again.
    pub(super) fn withdraw_blame(&mut self, id: &str) {
        let Some(contact) = self.workers.get_mut(id).and_then(|w| w.lost_contact.take()) else {
            return;
        };
        for (task, run) in contact.counted {
            self.count_crash(task, |history| history.retract(run));
        }
    }

    /// Ends jobs with a task that crashes its workers. Only waiting tasks are looked at: the outcome
    /// of a run that may still be active is not known yet.
    pub(super) fn give_up_convicted_tasks(&mut self, now_ms: u64, unix_ms: u64) {
        let settled = self.takeover_complete(now_ms);
        let convicted: Vec<(JobId, TaskId)> = self
            .open_jobs()
            .filter(|job| job.has_crashes && (settled || !job.inherited))
            .filter_map(|job| Some((job.id, job.convicted_task()?)))
            .collect();
        for (id, task) in convicted {
            let Some(history) = self.jobs.get(&id).and_then(|job| job.task(task)) else {
                continue;
            };
            let runs = history.crashes.suspected.clone();
            self.crash_events.push(CrashEvent::GivenUp { task, runs });
            self.end_job(id, Outcome::Failed, unix_ms);
        }
    }

    /// Lets new and suspected jobs of dangerous queues run on trial.
    pub(super) fn put_dangerous_queues_on_trial(&mut self, unix_ms: u64) {
        let listed_of = |service: &str| {
            let listed = |worker: &&Worker| worker.listed && *worker.entry.service == *service;
            self.workers.values().filter(listed).count()
        };
        let is_dangerous = |(name, queue): &(&Rc<str>, &Rc<Queue>)| {
            let recent = &self.recent_crashes;
            if self.dangerous_queues.contains(*name) {
                return recent.remains_dangerous(name, unix_ms);
            }
            recent.is_dangerous(name, listed_of(&queue.service), unix_ms)
        };
        let dangerous: Vec<Rc<str>> = if self.recent_crashes.last_of_queue.is_empty() {
            Vec::new()
        } else {
            let queues = self.config.queues.iter().filter(is_dangerous);
            queues.map(|(name, _)| Rc::clone(name)).collect()
        };
        if dangerous != self.dangerous_queues {
            for safe in self
                .dangerous_queues
                .iter()
                .filter(|q| !dangerous.contains(q))
            {
                self.recent_crashes.forget(safe);
            }
            let queues = dangerous.clone();
            self.crash_events.push(CrashEvent::QueuesOnTrial { queues });
            self.dangerous_queues = dangerous;
        }
        if self.dangerous_queues.is_empty() {
            return;
        }
        for id in &self.open {
            if let Some(job) = self.jobs.get_mut(id)
                && (!job.started || job.has_crashes)
                && self.dangerous_queues.contains(&job.queue)
            {
                job.on_trial = true;
            }
        }
    }
}

impl Job {
    fn convicted_task(&self) -> Option<TaskId> {
        let is_convicted =
            |task: &super::job::Task| task.active.is_none() && task.crashes.is_convicted();
        self.find_task(|task| !task.done && is_convicted(task))
    }
}

fn spread_ms(contact: &LostContact) -> u64 {
    if contact.refused {
        REFUSAL_SPREAD_MS
    } else {
        SILENCE_SPREAD_MS
    }
}
