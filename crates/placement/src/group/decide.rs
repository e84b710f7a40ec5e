//! Scheduling cycle: chooses the next decisions from the queues of all teams.

use std::collections::VecDeque;

use kernel::work;
use platform::workers;

use super::Group;
use super::choose;
use crate::decision;
use crate::table;

/// Number of unplaceable sizes kept during one cycle.
const MAX_UNPLACEABLE_SIZES: usize = 16;

/// Blocked works that one cycle examines for each urgency, over all teams.
const MAX_BLOCKED_WORKS_PER_URGENCY: usize = 512;
/// Minimum of blocked works that one cycle examines for each team.
const MIN_BLOCKED_WORKS_PER_TEAM: usize = 8;

/// Position of a cycle in the queue of one team.
///
/// Every cycle examines the front of the queue, and continues beyond it where the
/// previous one stopped. A long queue of blocked work therefore costs a bounded time
/// per cycle, and every work is examined eventually.
#[derive(Clone, Copy, Debug)]
struct Cursor {
    team: u32,
    position: usize,
    blocked: usize,
}

/// Result of trying to start tasks of one work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StepResult {
    /// Tasks were placed or handed back, and the work may have more to start.
    Progress,
    /// The work has no waiting tasks.
    Empty,
    /// No task of the work can start now.
    Blocked,
}

impl Cursor {
    const fn new(team: u32) -> Self {
        Self {
            team,
            position: 0,
            blocked: 0,
        }
    }

    /// Moves past a blocked work. Returns whether the team may have more works examined.
    fn skip_blocked(&mut self, max_blocked: usize, resume: &mut usize) -> bool {
        self.blocked += 1;
        self.position += 1;
        if self.blocked == max_blocked / 2 {
            self.position = self.position.max(*resume);
        }
        if self.blocked >= max_blocked {
            *resume = self.position;
        }
        self.blocked < max_blocked
    }
}

/// State of one call of [`Group::decide`].
#[derive(Debug)]
pub(super) struct Cycle {
    pub(super) now_ms: u64,
    pub(super) limit: usize,
    pub(super) decisions: Vec<decision::Decision>,
    unplaceable: Vec<work::Resources>,
}

impl Cycle {
    fn is_at_limit(&self) -> bool {
        self.decisions.len() >= self.limit
    }

    /// Returns whether a size is known to fit on no worker during this cycle.
    fn is_unplaceable(&self, size: work::Resources) -> bool {
        self.unplaceable.iter().any(|known| known.fits_in(size))
    }

    fn record_unplaceable(&mut self, size: work::Resources) {
        // A smaller size rules out every larger one, so only the smallest are kept.
        self.unplaceable.retain(|known| !size.fits_in(*known));
        self.unplaceable.truncate(MAX_UNPLACEABLE_SIZES - 1);
        self.unplaceable.push(size);
    }
}

impl Group {
    /// Runs one scheduling cycle and returns about `limit` decisions at most.
    ///
    /// A gang is decided as a whole, even if that exceeds the limit. A decided start
    /// counts against its worker immediately.
    pub fn decide(&mut self, now_ms: u64, limit: usize) -> Vec<decision::Decision> {
        let mut cycle = Cycle {
            now_ms,
            limit,
            decisions: Vec::new(),
            unplaceable: Vec::new(),
        };
        self.refresh_capacity();
        self.expire_workers(now_ms);
        self.expire_reservations(now_ms);
        self.expire_hold(now_ms);
        self.expire_tasks(now_ms);
        self.replace_outdated(now_ms);
        self.take_pending_decisions(&mut cycle);
        for urgency in [
            work::Urgency::Urgent,
            work::Urgency::Normal,
            work::Urgency::Deferrable,
        ] {
            self.schedule_urgency(urgency as usize, &mut cycle);
            self.take_pending_decisions(&mut cycle);
        }
        cycle.decisions
    }

    fn take_pending_decisions(&mut self, cycle: &mut Cycle) {
        while !cycle.is_at_limit() {
            let Some(decision) = self.pending_decisions.pop_front() else {
                return;
            };
            // The run may have ended after the stop was decided.
            if let decision::Decision::Stop { run, .. } = &decision
                && self.placed_slot(run).is_none()
            {
                continue;
            }
            cycle.decisions.push(decision);
        }
    }

    /// Queues failed tasks whose restart delay has elapsed and kills runs whose grace
    /// period has elapsed.
    fn expire_tasks(&mut self, now_ms: u64) {
        while let Some(&(at_ms, slot)) = self.scheduled_restarts.first() {
            if at_ms > now_ms {
                break;
            }
            self.scheduled_restarts.pop_first();
            self.tasks[slot].restart_at_ms = None;
            self.enqueue(slot, false);
        }
        while let Some(&(at_ms, slot)) = self.scheduled_kills.first() {
            if at_ms > now_ms {
                break;
            }
            self.scheduled_kills.pop_first();
            self.tasks[slot].kill_at_ms = None;
            self.queue_stop(slot, workers::StopMode::Kill);
        }
    }

    /// Serves the teams with queued work of one urgency, the lowest share first.
    fn schedule_urgency(&mut self, urgency: usize, cycle: &mut Cycle) {
        let mut cursors: Vec<Cursor> = self
            .teams
            .with_queued_work(urgency)
            .map(Cursor::new)
            .collect();
        let max_blocked =
            (MAX_BLOCKED_WORKS_PER_URGENCY / cursors.len().max(1)).max(MIN_BLOCKED_WORKS_PER_TEAM);
        while !cycle.is_at_limit() {
            let lowest = cursors.iter().enumerate().min_by(|(_, a), (_, b)| {
                let share = |cursor: &Cursor| self.teams.share(cursor.team);
                share(a).total_cmp(&share(b))
            });
            let Some((cursor_index, &cursor)) = lowest else {
                return;
            };
            let queue = &self.teams.get(cursor.team).queues[urgency];
            let Some(&work) = queue.get(cursor.position) else {
                self.teams.get_mut(cursor.team).resume_positions[urgency] = 0;
                cursors.swap_remove(cursor_index);
                continue;
            };
            match self.schedule_work(work, cycle) {
                StepResult::Progress => {}
                StepResult::Empty => {
                    let team = self.teams.get_mut(cursor.team);
                    team.queues[urgency].remove(cursor.position);
                    self.works[work].queued = false;
                    self.remove_unused_work(work);
                }
                StepResult::Blocked => {
                    let resume = &mut self.teams.get_mut(cursor.team).resume_positions[urgency];
                    if !cursors[cursor_index].skip_blocked(max_blocked, resume) {
                        cursors.swap_remove(cursor_index);
                    }
                }
            }
        }
    }

    /// Tries to start one task of a work, or a whole gang.
    fn schedule_work(&mut self, work: u32, cycle: &mut Cycle) -> StepResult {
        let Some(&slot) = self.works[work].waiting.front() else {
            return StepResult::Empty;
        };
        if self.is_surplus(slot) {
            let decision = self.hand_back_surplus(slot);
            cycle.decisions.push(decision);
            return StepResult::Progress;
        }
        let outcome = if self.works[work].work.kind == work::WorkKind::GangJob {
            self.start_gang(work, cycle)
        } else {
            self.start_task(work, slot, cycle)
        };
        let entry = &mut self.works[work];
        let Err(block_reason) = outcome else {
            entry.blocked_since_ms = None;
            return StepResult::Progress;
        };
        entry.block_reason = block_reason;
        let since_ms = *entry.blocked_since_ms.get_or_insert(cycle.now_ms);
        self.hand_back_blocked(work, block_reason, since_ms, cycle)
    }

    fn start_task(
        &mut self,
        work: u32,
        slot: u32,
        cycle: &mut Cycle,
    ) -> Result<(), table::BlockReason> {
        let entry = &self.works[work];
        let replaces = self.tasks[slot].replaces.is_some();
        if !replaces && !self.teams.has_quota_for(entry.team, entry.work.demand) {
            return Err(table::BlockReason::Quota);
        }
        let size = self.size_for(slot);
        if !size.fits_in(self.max_worker_capacity) {
            return Err(table::BlockReason::NeverFits);
        }
        let chosen = if cycle.is_unplaceable(size) {
            Err(choose::ChooseError::NoCapacity)
        } else {
            self.choose_worker(slot, size, cycle.now_ms)
        };
        match chosen {
            Ok(worker) => {
                self.works[work].waiting.pop_front();
                self.attach(slot, Self::placement(worker, size, cycle.now_ms));
                cycle.decisions.push(self.start_decision(slot));
                Ok(())
            }
            Err(failure) => {
                if failure == choose::ChooseError::NoCapacity {
                    cycle.record_unplaceable(size);
                }
                Err(self.preempt_for(work, size, cycle.now_ms))
            }
        }
    }

    /// Starts all waiting members of a gang, or none.
    fn start_gang(&mut self, work: u32, cycle: &mut Cycle) -> Result<(), table::BlockReason> {
        let entry = &self.works[work];
        let waiting = entry.waiting.len() as u32;
        let complete = waiting as usize == entry.members.len()
            && waiting + entry.completed >= entry.work.tasks;
        if entry.provisional || !complete {
            return Err(table::BlockReason::GangIncomplete);
        }
        let total = entry.work.demand.times(u64::from(waiting));
        if !self.teams.has_quota_for(entry.team, total) {
            return Err(table::BlockReason::Quota);
        }
        let slots: Vec<u32> = entry.waiting.iter().copied().collect();
        if !self.place_all(&slots, cycle.now_ms) {
            return Err(self.hold_for_gang(work, &slots, cycle.now_ms));
        }
        self.works[work].waiting.clear();
        for &slot in &slots {
            cycle.decisions.push(self.start_decision(slot));
        }
        let id = self.works[work].work.id.clone();
        self.release_hold_of(&id);
        Ok(())
    }

    /// Places all of the given waiting tasks, or none.
    pub(super) fn place_all(&mut self, slots: &[u32], now_ms: u64) -> bool {
        for (done, &slot) in slots.iter().enumerate() {
            let size = self.size_for(slot);
            let Ok(worker) = self.choose_worker(slot, size, now_ms) else {
                for &placed in &slots[..done] {
                    let attempt = self.tasks[placed].run_state.attempt();
                    self.detach(placed, attempt);
                }
                return false;
            };
            self.attach(slot, Self::placement(worker, size, now_ms));
        }
        true
    }

    /// Hands a job's tasks back to their shard if they cannot fit or have been blocked
    /// for too long.
    fn hand_back_blocked(
        &mut self,
        work: u32,
        block_reason: table::BlockReason,
        since_ms: u64,
        cycle: &mut Cycle,
    ) -> StepResult {
        let entry = &self.works[work];
        let blocked_ms = cycle.now_ms.saturating_sub(since_ms);
        let limit_ms = self.config.hand_back_after_ms;
        let timed_out = limit_ms.is_some_and(|limit_ms| blocked_ms >= limit_ms);
        let reason = match block_reason {
            table::BlockReason::NeverFits if self.capacity != work::Resources::default() => {
                decision::HandBackReason::NeverFits
            }
            table::BlockReason::NoRoom | table::BlockReason::NoGangRoom if timed_out => {
                decision::HandBackReason::NoRoom
            }
            _ => return StepResult::Blocked,
        };
        if entry.shard.is_none() {
            return StepResult::Blocked;
        }
        let is_gang = entry.work.kind == work::WorkKind::GangJob;
        let replacements = self.take_replacements(work);
        if self.works[work].waiting.is_empty() {
            self.works[work].waiting = replacements;
            return StepResult::Blocked;
        }
        while is_gang || !cycle.is_at_limit() {
            let Some(slot) = self.works[work].waiting.pop_front() else {
                break;
            };
            let run = self.run_of(slot);
            cycle
                .decisions
                .push(decision::Decision::HandBack { run, reason });
            self.remove_task(slot);
        }
        self.works[work].waiting.extend(replacements);
        StepResult::Progress
    }

    /// Takes replacement replicas out of a queue. They are not handed back, because the
    /// replicas they replace run in this group.
    fn take_replacements(&mut self, work: u32) -> VecDeque<u32> {
        let waiting = std::mem::take(&mut self.works[work].waiting);
        let is_replacement = |slot: &u32| self.tasks[*slot].replaces.is_some();
        let (replacements, others) = waiting.into_iter().partition(is_replacement);
        self.works[work].waiting = others;
        replacements
    }

    /// Returns the start decision of a placed task.
    pub(super) fn start_decision(&self, slot: u32) -> decision::Decision {
        let task = &self.tasks[slot];
        let entry = &self.works[task.work];
        let placement = task
            .run_state
            .placement()
            .expect("a start is decided after its task was placed");
        decision::Decision::Start {
            worker: self.workers[placement.worker as usize].id.clone(),
            order: workers::StartOrder {
                run: self.run_of(slot),
                shard: entry.shard,
                team: entry.work.team.clone(),
                urgency: entry.work.urgency,
                kind: entry.work.kind,
                demand: placement.assigned,
                run_time_ms: entry.work.run_time_ms,
                slots: entry.work.slots,
                connections: entry.work.connections,
                revision: entry.work.revision,
            },
        }
    }
}
