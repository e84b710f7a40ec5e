//! State machine of all workers, the tasks on them and the worker list.

use std::collections::BTreeSet;
use std::sync::Arc;

use indexmap::IndexMap;
use kernel::history;
use kernel::history::Event;
use kernel::ids;
use platform::upstreams::{Inquiry, UpstreamCall};
use platform::workers::{RunEnd, SyncReply, SyncRequest, WorkerError, WorkerInfo, WorkerState};

use super::answer;
use super::host_list;
use super::minion::{CallRefusal, OpenCall};
use super::worker::{self, Worker};
use crate::config;

/// Process name of the stand-in in history records.
const PROCESS: &str = "standin";

/// State machine of the fleet. Runs that are due end before each call is applied.
#[derive(Debug)]
pub struct FleetModel {
    workers: IndexMap<ids::WorkerId, Worker>,
    list: host_list::HostList,
    shared: worker::Shared,
    // Time of each worker's next self-initiated end of a run; `due` holds the same pairs sorted
    // by time.
    next_ends: IndexMap<ids::WorkerId, u64>,
    due: BTreeSet<(u64, ids::WorkerId)>,
    replacements: u64,
    sink: Arc<dyn history::Sink>,
}

impl FleetModel {
    /// Creates the workers of a configuration, distributed evenly over zones and racks.
    pub fn new(config: &config::Config, sink: Arc<dyn history::Sink>, now_ms: u64) -> Self {
        let mut fleet = Self {
            workers: IndexMap::new(),
            list: host_list::HostList::new(config.list_lag_ms),
            shared: worker::Shared {
                behaviour: config.behaviour,
                failing_work: IndexMap::new(),
                checkpoints: IndexMap::new(),
                events: Vec::new(),
            },
            next_ends: IndexMap::new(),
            due: BTreeSet::new(),
            replacements: 0,
            sink,
        };
        for info in initial_workers(config) {
            fleet.add_worker(&info);
            fleet.list.add(info, 0);
        }
        fleet.flush(now_ms);
        fleet
    }

    /// Time of the next state change without a call; `None` if nothing is scheduled.
    pub fn next_due_ms(&self) -> Option<u64> {
        self.due.first().map(|(at_ms, _)| *at_ms)
    }

    /// Ends the runs that have finished or whose lease has expired, in chronological order.
    pub fn advance(&mut self, now_ms: u64) {
        while let Some((at_ms, id)) = self.due.first().cloned() {
            if at_ms > now_ms {
                return;
            }
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.advance(&mut self.shared, at_ms);
            }
            self.flush(at_ms);
            self.reschedule(&id);
        }
    }

    /// The worker list of one zone as visible at `now_ms`, after the list's lag.
    pub fn list(&mut self, zone: &ids::ZoneId, now_ms: u64) -> Vec<WorkerInfo> {
        self.list.visible_in(zone, now_ms)
    }

    /// Sets the worker list's delay for future changes, in milliseconds.
    pub fn set_list_lag_ms(&mut self, lag_ms: u64) {
        self.list.set_lag_ms(lag_ms);
    }

    /// All worker ids, including dead workers.
    pub fn worker_ids(&self) -> impl Iterator<Item = &ids::WorkerId> {
        self.workers.keys()
    }

    /// The zone of a worker, dead or alive; `None` for an unknown id.
    pub fn zone_of(&self, id: &ids::WorkerId) -> Option<ids::ZoneId> {
        self.list.info(id).map(|info| info.zone.clone())
    }

    /// Whether a worker exists and is not dead.
    pub fn is_alive(&self, id: &ids::WorkerId) -> bool {
        self.workers.get(id).is_some_and(|worker| worker.alive)
    }

    /// Number of running tasks on all workers.
    pub fn running_tasks(&self) -> usize {
        self.workers.values().map(|worker| worker.runs.len()).sum()
    }

    /// Performs one exchange between an owner and a worker.
    ///
    /// # Errors
    ///
    /// [`WorkerError::StaleEpoch`] if the worker has seen a higher epoch,
    /// [`WorkerError::OutOfOrder`] if it has seen the request's sequence number or a later
    /// one, and [`WorkerError::Unreachable`] if it is dead or does not exist.
    pub fn sync(
        &mut self,
        id: &ids::WorkerId,
        request: &SyncRequest,
        now_ms: u64,
    ) -> Result<SyncReply, WorkerError> {
        self.change(id, now_ms, |worker, shared| {
            worker.sync(shared, request, now_ms)
        })
        .unwrap_or_else(|| {
            let detail = format!("no worker {id} is alive");
            Err(WorkerError::Unreachable { detail })
        })
    }

    /// Begins a call on an upstream instance.
    ///
    /// # Errors
    ///
    /// A [`CallRefusal`] if the request was not run and never will be.
    pub fn begin_call(
        &mut self,
        id: &ids::WorkerId,
        run: &ids::TaskAttempt,
        call: &UpstreamCall,
        now_ms: u64,
    ) -> Result<OpenCall, CallRefusal> {
        self.change(id, now_ms, |worker, shared| {
            let admitted = worker.check_epoch(shared, call.epoch);
            admitted.map_err(|seen| CallRefusal::StaleEpoch { seen })?;
            let instance = worker.runs.get_mut(&run.task);
            let instance = instance.filter(|instance| instance.is_run(run));
            let Some(instance) = instance.filter(|run| worker::is_upstream(&run.order)) else {
                return Err(CallRefusal::NoInstance);
            };
            if instance.draining {
                return Err(CallRefusal::Leaving);
            }
            let connections = instance.order.connections;
            instance.minion.begin(connections, call.key.as_ref())?;
            shared.events.push(Event::RequestRan {
                task: run.task.clone(),
                request: answer::request_number(&call.path),
                key: call.key.clone(),
                open_calls: instance.minion.open_calls,
                slots: instance.order.slots,
            });
            Ok(OpenCall {
                worker: worker.id.clone(),
                run: run.clone(),
                attempt_id: call.attempt_id,
                key: call.key.clone(),
                answer: answer::answer(run, call, shared.behaviour.call_ms),
            })
        })
        .unwrap_or(Err(CallRefusal::NoInstance))
    }

    /// Ends a call; returns whether its instance was still running and could answer it.
    pub fn finish_call(&mut self, call: &OpenCall, now_ms: u64) -> bool {
        let finished = self.change(&call.worker, now_ms, |worker, shared| {
            let instance = worker.runs.get_mut(&call.run.task);
            let Some(instance) = instance.filter(|instance| instance.is_run(&call.run)) else {
                return false;
            };
            instance.minion.finish(call);
            if instance.ends_when_idle && instance.minion.open_calls == 0 {
                worker.end(shared, &call.run.task, RunEnd::Stopped, now_ms);
            }
            true
        });
        finished.unwrap_or(false)
    }

    /// Queries an upstream instance for the state of an idempotency key.
    ///
    /// # Errors
    ///
    /// [`CallRefusal::NoInstance`] if the instance does not run on that worker.
    pub fn inquire(
        &mut self,
        id: &ids::WorkerId,
        run: &ids::TaskAttempt,
        key: &ids::IdempotencyKey,
        now_ms: u64,
    ) -> Result<Inquiry, CallRefusal> {
        let inquiry = self.change(id, now_ms, |worker, _| {
            let instance = worker.runs.get_mut(&run.task)?;
            instance.is_run(run).then(|| instance.minion.inquire(key))
        });
        inquiry.flatten().ok_or(CallRefusal::NoInstance)
    }

    /// Kills a worker and all its tasks; returns whether it was alive.
    pub fn kill(&mut self, id: &ids::WorkerId, now_ms: u64) -> bool {
        let killed = self.change(id, now_ms, |worker, shared| {
            worker.alive = false;
            worker.runs.clear();
            let worker = worker.id.clone();
            shared.events.push(Event::WorkerLost { worker });
        });
        if killed.is_some() {
            self.list.change(id, None, now_ms);
        }
        killed.is_some()
    }

    /// Marks a worker as leaving; returns whether it is alive.
    pub fn leave(&mut self, id: &ids::WorkerId, now_ms: u64) -> bool {
        let left = self.change(id, now_ms, worker::Worker::leave);
        if left.is_some() {
            self.list.change(id, Some(WorkerState::Leaving), now_ms);
        }
        left.is_some()
    }

    /// Sets whether tasks started on a worker from now on fail; returns whether it is alive.
    pub fn set_fails_all(&mut self, id: &ids::WorkerId, fails_all: bool, now_ms: u64) -> bool {
        let changed = self.change(id, now_ms, |worker, _| worker.fails_all = fails_all);
        changed.is_some()
    }

    /// Sets whether tasks of a work item started from now on fail.
    pub fn set_work_fails(&mut self, work: &ids::WorkId, fails: bool) {
        if fails {
            self.shared.failing_work.insert(work.clone(), ());
        } else {
            self.shared.failing_work.swap_remove(work);
        }
    }

    /// Restores a worker: a live one is kept, a dead or leaving one is replaced under a new id.
    ///
    /// Workers have no persistent state. One that rejoined under its old id would
    /// have lost the epoch that it must compare orders with.
    pub fn revive(&mut self, id: &ids::WorkerId, now_ms: u64) -> Option<ids::WorkerId> {
        let is_live = self.change(id, now_ms, |worker, _| {
            worker.fails_all = false;
            worker.state == WorkerState::Live
        });
        if is_live == Some(true) {
            return Some(id.clone());
        }
        let old = self.list.info(id)?.clone();
        self.replacements += 1;
        let new_id = ids::WorkerId::new(format!("{id}-{}", self.replacements));
        let info = WorkerInfo {
            address: old.address.replace(id.as_str(), new_id.as_str()),
            id: new_id.clone(),
            state: WorkerState::Live,
            ..old
        };
        self.add_worker(&info);
        self.list.add_after_lag(info, now_ms);
        self.flush(now_ms);
        Some(new_id)
    }

    fn add_worker(&mut self, info: &WorkerInfo) {
        let worker = Worker::new(info.id.clone(), info.capacity);
        self.workers.insert(info.id.clone(), worker);
        self.shared.events.push(Event::WorkerAdded {
            worker: info.id.clone(),
            capacity: info.capacity,
        });
    }

    /// Applies a change to a live worker after processing due ends; `None` if it is not alive.
    fn change<T>(
        &mut self,
        id: &ids::WorkerId,
        now_ms: u64,
        apply: impl FnOnce(&mut Worker, &mut worker::Shared) -> T,
    ) -> Option<T> {
        self.advance(now_ms);
        let worker = self.workers.get_mut(id).filter(|worker| worker.alive)?;
        let result = apply(worker, &mut self.shared);
        self.flush(now_ms);
        self.reschedule(id);
        Some(result)
    }

    fn reschedule(&mut self, id: &ids::WorkerId) {
        let next_ms = self.workers.get(id).and_then(Worker::next_end_ms);
        let scheduled_ms = self.next_ends.get(id).copied();
        if next_ms == scheduled_ms {
            return;
        }
        if let Some(at_ms) = scheduled_ms {
            self.due.remove(&(at_ms, id.clone()));
            self.next_ends.swap_remove(id);
        }
        if let Some(at_ms) = next_ms {
            self.due.insert((at_ms, id.clone()));
            self.next_ends.insert(id.clone(), at_ms);
        }
    }

    fn flush(&mut self, now_ms: u64) {
        for event in self.shared.events.drain(..) {
            self.sink.append(history::Record {
                at_ms: now_ms,
                process: PROCESS.to_owned(),
                event,
            });
        }
    }
}

fn initial_workers(config: &config::Config) -> Vec<WorkerInfo> {
    let zones = &config.topology.zones;
    let zone_count = zones.len().max(1) as u32;
    let per_rack = config.workers_per_rack.max(1);
    let workers = (0..config.workers).filter_map(|number| {
        let (zone, _) = zones.get_index((number % zone_count) as usize)?;
        let in_zone = number / zone_count;
        let rack = format!("{zone}-r{}", in_zone / per_rack);
        let id = format!("{rack}-w{}", in_zone % per_rack);
        Some(WorkerInfo {
            zone: zone.clone(),
            rack: ids::RackId::new(rack),
            address: format!("{}/workers/{id}", config.address),
            id: ids::WorkerId::new(id),
            capacity: config.capacity,
            state: WorkerState::Live,
        })
    });
    workers.collect()
}
