//! Scheduling cycle: chooses the next decisions from the queues of all teams.

use std::collections::VecDeque;

use kernel::work;
use platform::workers;

use super::Group;
use super::choose;
use crate::decision;
use crate::table;

/// Number of unplaceable sizes kept during one cycle.
const MEMO_SIZES: usize = 16;

/// Blocked works that one cycle examines for each urgency, over all teams.
const LOOKS: usize = 512;
/// Minimum of blocked works that one cycle examines for each team.
const TEAM_LOOKS: usize = 8;

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
enum Step {
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
    fn pass_blocked(&mut self, looks: usize, resume: &mut usize) -> bool {
        self.blocked += 1;
        self.position += 1;
        if self.blocked == looks / 2 {
            self.position = self.position.max(*resume);
        }
        if self.blocked >= looks {
            *resume = self.position;
        }
        self.blocked < looks
    }
}

/// State of one call of [`Group::decide`].
#[derive(Debug)]
pub(super) struct Round {
    pub(super) now_ms: u64,
    pub(super) limit: usize,
    pub(super) decisions: Vec<decision::Decision>,
    full: Vec<work::Resources>,
}

impl Round {
    fn is_full(&self) -> bool {
        self.decisions.len() >= self.limit
    }

    /// Returns whether a size is known to fit on no worker during this cycle.
    fn fits_nowhere(&self, size: work::Resources) -> bool {
        self.full.iter().any(|full| full.fits_in(size))
    }

    fn note_full(&mut self, size: work::Resources) {
        // A smaller size rules out every larger one, so only the smallest are kept.
        self.full.retain(|full| !size.fits_in(*full));
        self.full.truncate(MEMO_SIZES - 1);
        self.full.push(size);
    }
}

impl Group {
    /// Runs one scheduling cycle and returns about `limit` decisions at most.
    ///
    /// A gang is decided as a whole, even if that exceeds the limit. A decided start
    /// counts against its worker immediately.
    pub fn decide(&mut self, now_ms: u64, limit: usize) -> Vec<decision::Decision> {
        let mut round = Round {
            now_ms,
            limit,
            decisions: Vec::new(),
            full: Vec::new(),
        };
        self.refresh_capacity();
        self.expire_workers(now_ms);
        self.expire_reservations(now_ms);
        self.expire_hold(now_ms);
        self.expire_tasks(now_ms);
        self.replace_outdated(now_ms);
        self.drain_pending(&mut round);
        for urgency in [
            work::Urgency::Urgent,
            work::Urgency::Normal,
            work::Urgency::Deferrable,
        ] {
            self.pass(urgency as usize, &mut round);
            self.drain_pending(&mut round);
        }
        round.decisions
    }

    fn drain_pending(&mut self, round: &mut Round) {
        while !round.is_full() {
            let Some(decision) = self.pending.pop_front() else {
                return;
            };
            // The run may have ended after the stop was decided.
            if let decision::Decision::Stop { run, .. } = &decision
                && self.placed_slot(run).is_none()
            {
                continue;
            }
            round.decisions.push(decision);
        }
    }

    /// Queues failed tasks whose restart delay has elapsed and kills runs whose grace
    /// period has elapsed.
    fn expire_tasks(&mut self, now_ms: u64) {
        while let Some(&(at_ms, slot)) = self.restarts.first() {
            if at_ms > now_ms {
                break;
            }
            self.restarts.pop_first();
            self.tasks[slot].restart_at_ms = None;
            self.enqueue(slot, false);
        }
        while let Some(&(at_ms, slot)) = self.kills.first() {
            if at_ms > now_ms {
                break;
            }
            self.kills.pop_first();
            self.tasks[slot].kill_at_ms = None;
            self.push_stop(slot, workers::StopMode::Kill);
        }
    }

    /// Serves the teams with queued work of one urgency, the lowest share first.
    fn pass(&mut self, urgency: usize, round: &mut Round) {
        let mut cursors: Vec<Cursor> = self.teams.waiting(urgency).map(Cursor::new).collect();
        let looks = (LOOKS / cursors.len().max(1)).max(TEAM_LOOKS);
        while !round.is_full() {
            let lowest = cursors.iter().enumerate().min_by(|(_, a), (_, b)| {
                let share = |cursor: &Cursor| self.teams.share(cursor.team);
                share(a).total_cmp(&share(b))
            });
            let Some((number, &cursor)) = lowest else {
                return;
            };
            let queue = &self.teams.get(cursor.team).queues[urgency];
            let Some(&work) = queue.get(cursor.position) else {
                self.teams.get_mut(cursor.team).resume[urgency] = 0;
                cursors.swap_remove(number);
                continue;
            };
            match self.step(work, round) {
                Step::Progress => {}
                Step::Empty => {
                    let team = self.teams.get_mut(cursor.team);
                    team.queues[urgency].remove(cursor.position);
                    self.works[work].queued = false;
                    self.forget_work(work);
                }
                Step::Blocked => {
                    let resume = &mut self.teams.get_mut(cursor.team).resume[urgency];
                    if !cursors[number].pass_blocked(looks, resume) {
                        cursors.swap_remove(number);
                    }
                }
            }
        }
    }

    /// Tries to start one task of a work, or a whole gang.
    fn step(&mut self, work: u32, round: &mut Round) -> Step {
        let Some(&slot) = self.works[work].waiting.front() else {
            return Step::Empty;
        };
        if self.is_surplus(slot) {
            let decision = self.hand_back_surplus(slot);
            round.decisions.push(decision);
            return Step::Progress;
        }
        let outcome = if self.works[work].work.kind == work::WorkKind::GangJob {
            self.start_gang(work, round)
        } else {
            self.start_one(work, slot, round)
        };
        let entry = &mut self.works[work];
        let Err(block) = outcome else {
            entry.blocked_since_ms = None;
            return Step::Progress;
        };
        entry.block = block;
        let since_ms = *entry.blocked_since_ms.get_or_insert(round.now_ms);
        self.hand_back(work, block, since_ms, round)
    }

    fn start_one(&mut self, work: u32, slot: u32, round: &mut Round) -> Result<(), table::Block> {
        let entry = &self.works[work];
        let replaces = self.tasks[slot].replaces.is_some();
        if !replaces && !self.teams.allows(entry.team, entry.work.demand) {
            return Err(table::Block::Quota);
        }
        let size = self.size_of(slot);
        if !size.fits_in(self.ceiling) {
            return Err(table::Block::NeverFits);
        }
        let chosen = if round.fits_nowhere(size) {
            Err(choose::NoWorker::Full)
        } else {
            self.choose(slot, size, round.now_ms)
        };
        match chosen {
            Ok(worker) => {
                self.works[work].waiting.pop_front();
                self.attach(slot, Self::placement(worker, size, round.now_ms));
                round.decisions.push(self.start_decision(slot));
                Ok(())
            }
            Err(refusal) => {
                if refusal == choose::NoWorker::Full {
                    round.note_full(size);
                }
                Err(self.displace_for(work, size, round.now_ms))
            }
        }
    }

    /// Starts all waiting members of a gang, or none.
    fn start_gang(&mut self, work: u32, round: &mut Round) -> Result<(), table::Block> {
        let entry = &self.works[work];
        let waiting = entry.waiting.len() as u32;
        let whole = waiting as usize == entry.members.len()
            && waiting + entry.completed >= entry.work.tasks;
        if entry.provisional || !whole {
            return Err(table::Block::GangIncomplete);
        }
        let total = entry.work.demand.times(u64::from(waiting));
        if !self.teams.allows(entry.team, total) {
            return Err(table::Block::Quota);
        }
        let slots: Vec<u32> = entry.waiting.iter().copied().collect();
        if !self.place_all(&slots, round.now_ms) {
            return Err(self.hold_for(work, &slots, round.now_ms));
        }
        self.works[work].waiting.clear();
        for &slot in &slots {
            round.decisions.push(self.start_decision(slot));
        }
        let id = self.works[work].work.id.clone();
        self.drop_hold_of(&id);
        Ok(())
    }

    /// Places all of the given waiting tasks, or none.
    pub(super) fn place_all(&mut self, slots: &[u32], now_ms: u64) -> bool {
        for (done, &slot) in slots.iter().enumerate() {
            let size = self.size_of(slot);
            let Ok(worker) = self.choose(slot, size, now_ms) else {
                for &placed in &slots[..done] {
                    let attempt = self.tasks[placed].life.attempt();
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
    fn hand_back(
        &mut self,
        work: u32,
        block: table::Block,
        since_ms: u64,
        round: &mut Round,
    ) -> Step {
        let entry = &self.works[work];
        let waited_ms = round.now_ms.saturating_sub(since_ms);
        let patience_ms = self.config.hand_back_after_ms;
        let too_long = patience_ms.is_some_and(|patience_ms| waited_ms >= patience_ms);
        let reason = match block {
            table::Block::NeverFits if self.capacity != work::Resources::default() => {
                decision::HandBackReason::NeverFits
            }
            table::Block::NoRoom | table::Block::GangRoom if too_long => {
                decision::HandBackReason::NoRoom
            }
            _ => return Step::Blocked,
        };
        if entry.shard.is_none() {
            return Step::Blocked;
        }
        let gang = entry.work.kind == work::WorkKind::GangJob;
        let twins = self.take_twins(work);
        if self.works[work].waiting.is_empty() {
            self.works[work].waiting = twins;
            return Step::Blocked;
        }
        while gang || !round.is_full() {
            let Some(slot) = self.works[work].waiting.pop_front() else {
                break;
            };
            let run = self.run_of(slot);
            round
                .decisions
                .push(decision::Decision::HandBack { run, reason });
            self.remove_task(slot);
        }
        self.works[work].waiting.extend(twins);
        Step::Progress
    }

    /// Takes replacement replicas out of a queue. They are not handed back, because the
    /// replicas they replace run in this group.
    fn take_twins(&mut self, work: u32) -> VecDeque<u32> {
        let waiting = std::mem::take(&mut self.works[work].waiting);
        let is_twin = |slot: &u32| self.tasks[*slot].replaces.is_some();
        let (twins, others) = waiting.into_iter().partition(is_twin);
        self.works[work].waiting = others;
        twins
    }

    /// Returns the start decision of a placed task.
    pub(super) fn start_decision(&self, slot: u32) -> decision::Decision {
        let task = &self.tasks[slot];
        let entry = &self.works[task.work];
        let placement = task
            .life
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
