//! The dispatcher: admission, queueing and slot allocation for one service.

use indexmap::IndexMap;
use kernel::errors;
use kernel::ids;
use kernel::random;
use kernel::work;

use crate::leaving;

use super::admission;
use super::queue;
use super::slots;

/// Divisor of a new sample in the moving average of the service time.
const SERVICE_TIME_EWMA_DIVISOR: f64 = 64.0;
/// Remaining time required to start a call, as a multiple of the mean service time.
///
/// With a factor of one, a third of the calls would finish too late if service times are
/// exponentially distributed.
const RESERVED_SERVICE_TIMES: f64 = 2.0;
/// Maximum wait of an urgent call at the owner. The limit from the caller to the start is
/// 1.1 s; the rest is for the hops before the owner.
const MAX_URGENT_WAIT_MS: u64 = 1_000;
const NO_INSTANCE_DETAIL: &str = "no instance in the group accepts calls";

/// Configuration of a [`Dispatcher`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatcherConfig {
    /// Maximum number of waiting calls.
    pub max_queued_calls: usize,
    /// Maximum total size of the request bodies of waiting calls, in bytes.
    pub max_queued_bytes: u64,
    /// Initial estimate of the mean time for which a call holds its slot.
    pub initial_service_time_ms: u64,
    /// Order of the waiting calls of one team and urgency.
    pub order: queue::QueueOrder,
}

impl Default for DispatcherConfig {
    fn default() -> Self {
        Self {
            max_queued_calls: 16_384,
            max_queued_bytes: 16 * 1024 * 1024,
            initial_service_time_ms: 50,
            order: queue::QueueOrder::default(),
        }
    }
}

/// Load of one service in a group, which the owner reports to other hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DispatcherLoad {
    /// Number of instances that accept calls.
    pub instances: u32,
    /// Number of free slots on those instances.
    pub free_slots: u32,
    /// Number of calls that hold a slot.
    pub open_calls: u64,
    /// Number of calls that wait for a slot.
    pub queued_calls: usize,
    /// Estimated wait of a new call of normal urgency.
    pub queue_delay_ms: u64,
}

#[derive(Clone, Debug)]
struct OpenCall {
    instance: slots::InstanceIndex,
    started_at_ms: u64,
    /// Slot time charged to a team; `None` if the call did not have to wait.
    charge: Option<Charge>,
}

#[derive(Clone, Debug)]
struct Charge {
    team: ids::TeamId,
    service_ms: u64,
}

/// Allocates the slots of one service's instances in one group.
///
/// The method that frees a slot returns the queued calls to which slots were allocated.
/// Calls that are refused after they were queued are returned by [`Dispatcher::expire`].
/// While calls wait, the driver must call that method and [`Dispatcher::dispatch_ready`]
/// every few milliseconds.
#[derive(Debug)]
pub struct Dispatcher {
    config: DispatcherConfig,
    random: random::Random,
    slots: slots::SlotTable,
    queue: queue::Queue,
    open: IndexMap<admission::CallId, OpenCall>,
    refused: Vec<admission::Refused>,
    service_time_ms: f64,
}

impl Dispatcher {
    /// Creates a dispatcher without instances.
    pub fn new(config: DispatcherConfig, seed: u64) -> Self {
        Self {
            config,
            random: random::from_seed(seed),
            slots: slots::SlotTable::default(),
            queue: queue::Queue::new(config.order),
            open: IndexMap::new(),
            refused: Vec::new(),
            service_time_ms: config.initial_service_time_ms as f64,
        }
    }

    /// Adds an instance or updates its limits, and returns the calls dispatched as a result.
    ///
    /// An instance that is marked as leaving remains so for the same run.
    pub fn set_instance(
        &mut self,
        run: &ids::TaskAttempt,
        address: &str,
        slots: u32,
        connections: u32,
        now_ms: u64,
    ) -> Vec<admission::Dispatch> {
        self.slots.set(run, address, slots, connections);
        self.dispatch_ready(now_ms)
    }

    /// Marks an instance as leaving: this run gets no new calls any more.
    ///
    /// Returns false if it was already marked.
    pub fn set_leaving(&mut self, run: &ids::TaskAttempt, source: leaving::LeavingSource) -> bool {
        self.slots.set_leaving(run, source)
    }

    /// Removes an instance that has ended. [`Self::finish`] must still be called for its
    /// open calls.
    pub fn remove_instance(&mut self, run: &ids::TaskAttempt) {
        self.slots.remove(run);
    }

    /// Allocates no slots of an instance before `until_ms`.
    ///
    /// A new owner calls this before [`Self::set_instance`], because calls of the previous
    /// owner may still hold slots.
    pub fn block_until(&mut self, run: &ids::TaskAttempt, until_ms: u64) {
        self.slots.block_until(run, until_ms);
    }

    /// Sets the weight of a team. Teams have weight 1 by default.
    pub fn set_weight(&mut self, team: &ids::TeamId, weight: u32) {
        self.queue.set_weight(team, weight);
    }

    /// Allocates a slot to a call, queues it, or refuses it.
    ///
    /// A call is refused immediately if its estimated wait exceeds its deadline.
    pub fn admit(
        &mut self,
        mut request: admission::CallTicket,
        now_ms: u64,
    ) -> admission::Admission {
        self.slots.unblock(now_ms);
        self.demote_if_over_share(&mut request, now_ms);
        if let Some(refused) = self.check_request(&request, now_ms) {
            return admission::Admission::Refused(refused);
        }
        if self.queue.len() == 0
            && let Some(dispatch) = self.start(request.id, None, now_ms)
        {
            return admission::Admission::Dispatch(dispatch);
        }
        if let Some(refused) = self.check_wait(&request, now_ms) {
            return admission::Admission::Refused(refused);
        }
        if let Some(refused) = self.make_room(&request) {
            return admission::Admission::Refused(refused);
        }
        self.queue.push(request);
        admission::Admission::Queued
    }

    /// Frees the slot of a call that has ended, and returns the calls dispatched as a result.
    ///
    /// An ID that is not open frees nothing.
    pub fn finish(&mut self, id: admission::CallId, now_ms: u64) -> Vec<admission::Dispatch> {
        if let Some(call) = self.open.swap_remove(&id) {
            let held_ms = now_ms.saturating_sub(call.started_at_ms);
            let error_ms = held_ms as f64 - self.service_time_ms;
            self.service_time_ms += error_ms / SERVICE_TIME_EWMA_DIVISOR;
            self.slots.release(call.instance);
            if let Some(charge) = call.charge {
                // Charge at least 1 ms, the resolution of the clock.
                self.queue
                    .adjust_charge(&charge.team, charge.service_ms, held_ms.max(1));
            }
        }
        self.dispatch_ready(now_ms)
    }

    /// Removes a call from the queue after its caller disconnected.
    ///
    /// Returns whether the call was still waiting; it then does not run. A running call
    /// holds its slot until [`Self::finish`], because the upstream is still processing it.
    pub fn abandon(&mut self, id: admission::CallId) -> bool {
        self.queue.remove(id).is_some()
    }

    /// Refuses waiting calls that cannot run, and returns all refusals not yet returned.
    ///
    /// These are the calls whose deadline has passed or, if no instance accepts calls now
    /// or after the end of a block, all calls, so that they can be retried in another group.
    pub fn expire(&mut self, now_ms: u64) -> Vec<admission::Refused> {
        self.slots.unblock(now_ms);
        if self.slots.is_unavailable() {
            return self.refuse_all(errors::ErrorKind::NoUpstream, NO_INSTANCE_DETAIL);
        }
        while let Some(request) = self.queue.pop_expired(now_ms) {
            self.refused.push(refuse_late(request.id));
        }
        std::mem::take(&mut self.refused)
    }

    /// Refuses all waiting calls, and returns all refusals not yet returned.
    ///
    /// An owner calls this when it stops owning its group.
    pub fn refuse_all(&mut self, kind: errors::ErrorKind, detail: &str) -> Vec<admission::Refused> {
        while let Some(request) = self.queue.pop(0) {
            self.refused.push(refuse(request.id, kind, detail));
        }
        std::mem::take(&mut self.refused)
    }

    /// Allocates free slots to waiting calls, for example after a block has ended.
    pub fn dispatch_ready(&mut self, now_ms: u64) -> Vec<admission::Dispatch> {
        self.slots.unblock(now_ms);
        let mut ready = Vec::new();
        while self.slots.has_free() {
            let service_ms = (self.service_time_ms as u64).max(1);
            let Some(request) = self.queue.pop(service_ms) else {
                break;
            };
            if !self.can_finish_in_time(request.deadline_at_ms, now_ms) {
                self.queue.adjust_charge(&request.team, service_ms, 0);
                self.refused.push(refuse_late(request.id));
                continue;
            }
            let charge = Charge {
                team: request.team,
                service_ms,
            };
            ready.extend(self.start(request.id, Some(charge), now_ms));
        }
        ready
    }

    /// Allocates a slot to a credit instead of a call; none while calls wait.
    pub fn acquire_slot(&mut self, id: admission::CallId) -> Option<admission::Dispatch> {
        if self.queue.len() > 0 || self.open.contains_key(&id) {
            return None;
        }
        self.start(id, None, 0)
    }

    /// Frees a slot allocated by [`Self::acquire_slot`], without a service time sample.
    pub fn release_slot(&mut self, id: admission::CallId) {
        if let Some(call) = self.open.swap_remove(&id) {
            self.slots.release(call.instance);
        }
    }

    /// Number of slots of all instances that accept calls, free or in use.
    pub fn usable_slots(&self) -> u64 {
        self.slots.usable_slots()
    }

    /// The current load.
    pub fn load(&self) -> DispatcherLoad {
        let calls_ahead = if self.slots.has_free() {
            0
        } else {
            self.queue.len() as u64
        };
        DispatcherLoad {
            instances: self.slots.usable_instances() as u32,
            free_slots: self.slots.free_slots() as u32,
            open_calls: self.slots.open_calls(),
            queued_calls: self.queue.len(),
            queue_delay_ms: self.estimated_wait_ms(calls_ahead),
        }
    }

    /// Number of open calls on one instance.
    pub fn open_calls_on(&self, run: &ids::TaskAttempt) -> u32 {
        self.slots.open_calls_on(run)
    }

    /// Lowers an urgent call to normal urgency if its team is far ahead of its share.
    ///
    /// Its deadline is limited so that it is refused rather than started later than an
    /// urgent call may start.
    fn demote_if_over_share(&self, request: &mut admission::CallTicket, now_ms: u64) {
        if request.urgency != work::Urgency::Urgent || !self.queue.is_ahead(&request.team) {
            return;
        }
        let latest_ms = now_ms + MAX_URGENT_WAIT_MS + self.service_reserve_ms();
        request.urgency = work::Urgency::Normal;
        request.deadline_at_ms = request.deadline_at_ms.min(latest_ms);
    }

    fn check_request(
        &self,
        request: &admission::CallTicket,
        now_ms: u64,
    ) -> Option<admission::Refused> {
        if self.open.contains_key(&request.id) || self.queue.contains(request.id) {
            let detail = "a call with this ID is already open";
            return Some(refuse(request.id, errors::ErrorKind::Conflict, detail));
        }
        if request.deadline_at_ms <= now_ms {
            return Some(refuse_late(request.id));
        }
        None
    }

    fn check_wait(
        &self,
        request: &admission::CallTicket,
        now_ms: u64,
    ) -> Option<admission::Refused> {
        if self.slots.is_unavailable() {
            return Some(refuse(
                request.id,
                errors::ErrorKind::NoUpstream,
                NO_INSTANCE_DETAIL,
            ));
        }
        let calls_ahead =
            self.queue
                .calls_ahead(&request.team, request.urgency, self.service_time_ms as u64);
        let estimated_wait_ms = self.estimated_wait_ms(calls_ahead);
        if self.can_finish_in_time(
            request.deadline_at_ms,
            now_ms.saturating_add(estimated_wait_ms),
        ) {
            return None;
        }
        let detail =
            format!("estimated wait of {estimated_wait_ms} ms for a slot exceeds the deadline");
        Some(refuse(request.id, errors::ErrorKind::Overloaded, &detail))
    }

    fn make_room(&mut self, request: &admission::CallTicket) -> Option<admission::Refused> {
        while self.queue.len() >= self.config.max_queued_calls
            || self.queue.bytes() + request.body_bytes > self.config.max_queued_bytes
        {
            let Some(evicted) = self.queue.evict_for(request) else {
                return Some(refuse_full(request.id));
            };
            self.refused.push(refuse_full(evicted.id));
        }
        None
    }

    fn start(
        &mut self,
        id: admission::CallId,
        charge: Option<Charge>,
        now_ms: u64,
    ) -> Option<admission::Dispatch> {
        let instance = self.slots.acquire(&mut self.random)?;
        let (run, address) = self.slots.endpoint(instance)?;
        let call = OpenCall {
            instance,
            started_at_ms: now_ms,
            charge,
        };
        self.open.insert(id, call);
        Some(admission::Dispatch {
            id,
            instance: run,
            address,
        })
    }

    fn estimated_wait_ms(&self, calls_ahead: u64) -> u64 {
        let slots = self.slots.usable_slots().max(1) as f64;
        (calls_ahead as f64 * self.service_time_ms / slots) as u64
    }

    fn can_finish_in_time(&self, deadline_at_ms: u64, start_at_ms: u64) -> bool {
        start_at_ms.saturating_add(self.service_reserve_ms()) <= deadline_at_ms
    }

    fn service_reserve_ms(&self) -> u64 {
        (self.service_time_ms * RESERVED_SERVICE_TIMES) as u64
    }
}

fn refuse(id: admission::CallId, kind: errors::ErrorKind, detail: &str) -> admission::Refused {
    admission::Refused {
        id,
        kind,
        detail: detail.to_owned(),
    }
}

fn refuse_late(id: admission::CallId) -> admission::Refused {
    let detail = "not enough time remains for the call to finish";
    refuse(id, errors::ErrorKind::DeadlineBeforeStart, detail)
}

fn refuse_full(id: admission::CallId) -> admission::Refused {
    refuse(id, errors::ErrorKind::Overloaded, "the call queue is full")
}
