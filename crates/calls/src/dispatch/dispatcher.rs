//! Joins slots and queue.

use indexmap::IndexMap;
use kernel::errors;
use kernel::ids;
use kernel::random;
use kernel::work;

use crate::leaving;

use super::queue;
use super::slots;
use super::ticket;

/// Weight of a new sample in the mean service time, as a divisor.
const SERVICE_SAMPLE_DIVISOR: f64 = 64.0;
/// Time left that a waiting call needs to be started, in mean service times.
///
/// With one, a third of exponentially distributed calls would end too late.
const SERVICE_RESERVE: f64 = 2.0;
/// Longest wait of an urgent call at the owner; the hops before it get the rest of 1.1 s.
const URGENT_START_MS: u64 = 1_000;
const NO_INSTANCE: &str = "no instance of the group takes calls";

/// Bounds and starting values of a [`Dispatcher`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatcherConfig {
    /// Most calls that wait.
    pub queue_calls: usize,
    /// Most bytes of request bodies that wait.
    pub queue_bytes: u64,
    /// Assumed time that a call holds its slot, until calls have been measured.
    pub service_time_ms: u64,
    /// Which of a team's waiting calls goes first.
    pub order: queue::QueueOrder,
}

impl Default for DispatcherConfig {
    fn default() -> Self {
        Self {
            queue_calls: 16_384,
            queue_bytes: 16 * 1024 * 1024,
            service_time_ms: 50,
            order: queue::QueueOrder::default(),
        }
    }
}

/// What an owner tells other hosts about one service in its group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DispatcherLoad {
    /// Instances that take calls.
    pub instances: u32,
    /// Slots of those instances that are free.
    pub free_slots: u32,
    /// Calls that hold a slot.
    pub open_calls: u64,
    /// Calls that wait.
    pub queued_calls: usize,
    /// Estimated wait of a new call of normal urgency.
    pub queue_delay_ms: u64,
}

#[derive(Clone, Debug)]
struct OpenCall {
    instance: slots::InstanceIndex,
    started_at_ms: u64,
    /// What was counted against a team, if the call had to wait.
    charge: Option<Charge>,
}

#[derive(Clone, Debug)]
struct Charge {
    team: ids::TeamId,
    service_ms: u64,
}

/// Hands out the slots of one service's instances in one group.
///
/// Calls that get a slot are returned by the method that frees it. Calls that are
/// refused after they were queued are returned by [`Dispatcher::expire`]. A driver calls
/// that and [`Dispatcher::dispatch_ready`] every few milliseconds while calls wait.
#[derive(Debug)]
pub struct Dispatcher {
    config: DispatcherConfig,
    random: random::Random,
    slots: slots::SlotTable,
    queue: queue::Queue,
    open: IndexMap<ticket::CallId, OpenCall>,
    refused: Vec<ticket::Refused>,
    service_time_ms: f64,
}

impl Dispatcher {
    /// Makes a dispatcher without instances.
    pub fn new(config: DispatcherConfig, seed: u64) -> Self {
        Self {
            config,
            random: random::from_seed(seed),
            slots: slots::SlotTable::default(),
            queue: queue::Queue::new(config.order),
            open: IndexMap::new(),
            refused: Vec::new(),
            service_time_ms: config.service_time_ms as f64,
        }
    }

    /// Adds an instance or changes its limits, and returns calls that now have a slot.
    ///
    /// An instance that was leaving stays so under the same run.
    pub fn set_instance(
        &mut self,
        run: &ids::TaskAttempt,
        address: &str,
        slots: u32,
        connections: u32,
        now_ms: u64,
    ) -> Vec<ticket::Dispatch> {
        self.slots.set(run, address, slots, connections);
        self.dispatch_ready(now_ms)
    }

    /// Gives an instance no new calls, for good under this run.
    ///
    /// Returns whether that was not known before.
    pub fn set_leaving(&mut self, run: &ids::TaskAttempt, source: leaving::LeavingSource) -> bool {
        self.slots.set_leaving(run, source)
    }

    /// Forgets an instance that has ended; its open calls still end by [`Self::finish`].
    pub fn remove_instance(&mut self, run: &ids::TaskAttempt) {
        self.slots.remove(run);
    }

    /// Counts an instance as full until a time.
    ///
    /// Used after a takeover, before [`Self::set_instance`], while calls of the former
    /// owner may still hold slots.
    pub fn block_until(&mut self, run: &ids::TaskAttempt, until_ms: u64) {
        self.slots.block_until(run, until_ms);
    }

    /// Sets a team's share; teams without one have weight 1.
    pub fn set_weight(&mut self, team: &ids::TeamId, weight: u32) {
        self.queue.set_weight(team, weight);
    }

    /// Allots a slot to a call, queues it, or refuses it.
    ///
    /// A call is refused at once if the queue in front of it is estimated to take
    /// longer than the call's deadline allows.
    pub fn admit(&mut self, mut ticket: ticket::CallTicket, now_ms: u64) -> ticket::Admission {
        self.slots.unblock(now_ms);
        self.limit_urgency(&mut ticket, now_ms);
        if let Some(refused) = self.check(&ticket, now_ms) {
            return ticket::Admission::Refused(refused);
        }
        if self.queue.len() == 0
            && let Some(dispatch) = self.start(ticket.id, None, now_ms)
        {
            return ticket::Admission::Dispatch(dispatch);
        }
        if let Some(refused) = self.check_delay(&ticket, now_ms) {
            return ticket::Admission::Refused(refused);
        }
        if let Some(refused) = self.make_room(&ticket) {
            return ticket::Admission::Refused(refused);
        }
        self.queue.push(ticket);
        ticket::Admission::Queued
    }

    /// Frees the slot of a call that has ended, and returns calls that now have a slot.
    ///
    /// A number that is not open has no effect.
    pub fn finish(&mut self, id: ticket::CallId, now_ms: u64) -> Vec<ticket::Dispatch> {
        if let Some(call) = self.open.swap_remove(&id) {
            let held_ms = now_ms.saturating_sub(call.started_at_ms);
            let error_ms = held_ms as f64 - self.service_time_ms;
            self.service_time_ms += error_ms / SERVICE_SAMPLE_DIVISOR;
            self.slots.release(call.instance);
            if let Some(charge) = call.charge {
                // A call shorter than the clock's step is counted as one step.
                self.queue
                    .correct(&charge.team, charge.service_ms, held_ms.max(1));
            }
        }
        self.dispatch_ready(now_ms)
    }

    /// Notes that a call's caller went away; returns whether the call was still waiting.
    ///
    /// A waiting call never runs. A running one keeps its slot until
    /// [`Self::finish`], since the upstream still works on it.
    pub fn abandon(&mut self, id: ticket::CallId) -> bool {
        self.queue.remove(id).is_some()
    }

    /// Refuses waiting calls that cannot run, and returns all refusals not yet returned.
    ///
    /// Those are calls whose deadline has passed and, if no instance is left that will
    /// ever take a call, all others, so that they can be tried elsewhere.
    pub fn expire(&mut self, now_ms: u64) -> Vec<ticket::Refused> {
        self.slots.unblock(now_ms);
        if self.slots.is_exhausted() {
            return self.refuse_all(errors::ErrorKind::NoUpstream, NO_INSTANCE);
        }
        while let Some(ticket) = self.queue.pop_expired(now_ms) {
            self.refused.push(refuse_late(ticket.id));
        }
        std::mem::take(&mut self.refused)
    }

    /// Refuses all waiting calls, for an owner that gives up its group.
    pub fn refuse_all(&mut self, kind: errors::ErrorKind, detail: &str) -> Vec<ticket::Refused> {
        while let Some(ticket) = self.queue.pop(0) {
            self.refused.push(refuse(ticket.id, kind, detail));
        }
        std::mem::take(&mut self.refused)
    }

    /// Allots free slots to waiting calls, for instance after a block has ended.
    pub fn dispatch_ready(&mut self, now_ms: u64) -> Vec<ticket::Dispatch> {
        self.slots.unblock(now_ms);
        let mut ready = Vec::new();
        while self.slots.has_free() {
            let service_ms = (self.service_time_ms as u64).max(1);
            let Some(ticket) = self.queue.pop(service_ms) else {
                break;
            };
            if !self.can_end_in_time(ticket.deadline_at_ms, now_ms) {
                self.queue.correct(&ticket.team, service_ms, 0);
                self.refused.push(refuse_late(ticket.id));
                continue;
            }
            let charge = Charge {
                team: ticket.team,
                service_ms,
            };
            ready.extend(self.start(ticket.id, Some(charge), now_ms));
        }
        ready
    }

    /// Takes a slot that is not bound to a call, for lending; none while calls wait.
    pub fn take_slot(&mut self, id: ticket::CallId) -> Option<ticket::Dispatch> {
        if self.queue.len() > 0 || self.open.contains_key(&id) {
            return None;
        }
        self.start(id, None, 0)
    }

    /// Gives back a slot that [`Self::take_slot`] took, without measuring its use.
    pub fn return_slot(&mut self, id: ticket::CallId) {
        if let Some(call) = self.open.swap_remove(&id) {
            self.slots.release(call.instance);
        }
    }

    /// Slots of all instances that take calls, free or not.
    pub fn usable_slots(&self) -> u64 {
        self.slots.usable_slots()
    }

    /// The load to tell other hosts.
    pub fn load(&self) -> DispatcherLoad {
        let ahead = if self.slots.has_free() {
            0
        } else {
            self.queue.len() as u64
        };
        DispatcherLoad {
            instances: self.slots.usable_instances() as u32,
            free_slots: self.slots.free_slots() as u32,
            open_calls: self.slots.open(),
            queued_calls: self.queue.len(),
            queue_delay_ms: self.delay_ms(ahead),
        }
    }

    /// Calls open on one instance.
    pub fn open_on(&self, run: &ids::TaskAttempt) -> u32 {
        self.slots.open_on(run)
    }

    /// Lets an urgent call of a team that is far ahead of its share wait for its turn.
    ///
    /// It is refused rather than started later than an urgent call may start.
    fn limit_urgency(&self, ticket: &mut ticket::CallTicket, now_ms: u64) {
        if ticket.urgency != work::Urgency::Urgent || !self.queue.is_ahead(&ticket.team) {
            return;
        }
        let latest_ms = now_ms + URGENT_START_MS + self.reserve_ms();
        ticket.urgency = work::Urgency::Normal;
        ticket.deadline_at_ms = ticket.deadline_at_ms.min(latest_ms);
    }

    fn check(&self, ticket: &ticket::CallTicket, now_ms: u64) -> Option<ticket::Refused> {
        if self.open.contains_key(&ticket.id) || self.queue.contains(ticket.id) {
            let detail = "a call with this number is open";
            return Some(refuse(ticket.id, errors::ErrorKind::Conflict, detail));
        }
        if ticket.deadline_at_ms <= now_ms {
            return Some(refuse_late(ticket.id));
        }
        None
    }

    fn check_delay(&self, ticket: &ticket::CallTicket, now_ms: u64) -> Option<ticket::Refused> {
        if self.slots.is_exhausted() {
            return Some(refuse(
                ticket.id,
                errors::ErrorKind::NoUpstream,
                NO_INSTANCE,
            ));
        }
        let ahead =
            self.queue
                .calls_ahead(&ticket.team, ticket.urgency, self.service_time_ms as u64);
        let delay_ms = self.delay_ms(ahead);
        if self.can_end_in_time(ticket.deadline_at_ms, now_ms.saturating_add(delay_ms)) {
            return None;
        }
        let detail = format!("a slot is expected in {delay_ms} ms, too late for the deadline");
        Some(refuse(ticket.id, errors::ErrorKind::Overloaded, &detail))
    }

    fn make_room(&mut self, ticket: &ticket::CallTicket) -> Option<ticket::Refused> {
        while self.queue.len() >= self.config.queue_calls
            || self.queue.bytes() + ticket.body_bytes > self.config.queue_bytes
        {
            let Some(evicted) = self.queue.evict_for(ticket) else {
                return Some(refuse_full(ticket.id));
            };
            self.refused.push(refuse_full(evicted.id));
        }
        None
    }

    fn start(
        &mut self,
        id: ticket::CallId,
        charge: Option<Charge>,
        now_ms: u64,
    ) -> Option<ticket::Dispatch> {
        let instance = self.slots.acquire(&mut self.random)?;
        let (run, address) = self.slots.target(instance)?;
        let call = OpenCall {
            instance,
            started_at_ms: now_ms,
            charge,
        };
        self.open.insert(id, call);
        Some(ticket::Dispatch {
            id,
            instance: run,
            address,
        })
    }

    fn delay_ms(&self, calls_ahead: u64) -> u64 {
        let slots = self.slots.usable_slots().max(1) as f64;
        (calls_ahead as f64 * self.service_time_ms / slots) as u64
    }

    fn can_end_in_time(&self, deadline_at_ms: u64, start_at_ms: u64) -> bool {
        start_at_ms.saturating_add(self.reserve_ms()) <= deadline_at_ms
    }

    fn reserve_ms(&self) -> u64 {
        (self.service_time_ms * SERVICE_RESERVE) as u64
    }
}

fn refuse(id: ticket::CallId, kind: errors::ErrorKind, detail: &str) -> ticket::Refused {
    ticket::Refused {
        id,
        kind,
        detail: detail.to_owned(),
    }
}

fn refuse_late(id: ticket::CallId) -> ticket::Refused {
    let detail = "the time left is too short for the call to end";
    refuse(id, errors::ErrorKind::DeadlineBeforeStart, detail)
}

fn refuse_full(id: ticket::CallId) -> ticket::Refused {
    refuse(id, errors::ErrorKind::Overloaded, "the queue is full")
}
