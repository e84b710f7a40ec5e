//! The main loop of a group's owner: makes decisions and sends them to workers.

use std::sync::Arc;
use std::time;

use calls::LeavingSource;
use kernel::ids;
use placement::Decision;
use platform::workers;

use super::{GroupOwner, link, reports, state};

/// Interval of steps without a wake-up.
const TICK_INTERVAL_MS: u64 = 25;
/// Maximum number of decisions in one step, which bounds the time that the lock is held.
const MAX_DECISIONS_PER_STEP: usize = 512;

impl GroupOwner {
    /// Runs until the owner is stopped.
    pub(super) async fn run(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(time::Duration::from_millis(TICK_INTERVAL_MS));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                () = self.stopped.cancelled() => return,
                () = self.wake.notified() => {}
                _ = ticks.tick() => {}
            }
            self.step();
        }
    }

    /// Runs one step of the main loop.
    fn step(self: &Arc<Self>) {
        let now_ms = self.shared.now_ms();
        let mut state = self.state();
        self.refresh_worker_list(&mut state, now_ms);
        self.sync_roster(&mut state, now_ms);
        self.remove_lost_workers(&mut state, now_ms);
        self.try_finish_recovery(&mut state, now_ms);
        self.apply_quotas(&mut state);
        self.decide(&mut state, now_ms);
        self.send_requests(&mut state, now_ms);
        self.send_reports(&mut state, now_ms);
        expire_calls(&mut state, now_ms);
    }

    fn decide(&self, state: &mut state::GroupState, now_ms: u64) {
        for decision in state.placement.decide(now_ms, MAX_DECISIONS_PER_STEP) {
            match decision {
                Decision::Start { worker, order } => {
                    if let Some(link) = state.links.get_mut(&worker) {
                        link.starts.push(order);
                    }
                }
                Decision::Stop { worker, run, mode } => {
                    Self::stop_run(state, &worker, run, mode);
                }
                Decision::HandBack { run, reason } => {
                    log::debug!("{run} is handed back: {reason}");
                    let shard = self.shared.config.topology.shard_of(run.task.work.as_str());
                    reports::queue_hand_back(state, shard, &run);
                }
            }
        }
    }

    fn stop_run(
        state: &mut state::GroupState,
        worker: &ids::WorkerId,
        run: ids::TaskAttempt,
        mode: workers::StopMode,
    ) {
        if mode != workers::StopMode::Throttle
            && let Some(dispatcher) = state.dispatchers.get_mut(&run.task.work)
        {
            dispatcher.set_leaving(&run, LeavingSource::Signal);
        }
        if let Some(link) = state.links.get_mut(worker) {
            link.stops.push(workers::StopOrder { run, mode });
        }
    }

    fn send_requests(self: &Arc<Self>, state: &mut state::GroupState, now_ms: u64) {
        let lease = link::LeaseDuration {
            granted_ms: self.shared.config.task_lease_ms,
            expiry_ms: self.shared.config.lease_expiry_delay_ms(),
        };
        for link in state.links.values_mut() {
            if link.is_due(now_ms) {
                let request = link.take_request(self.epoch, now_ms, lease);
                tokio::spawn(Arc::clone(self).exchange(link.info.clone(), request));
            }
        }
    }
}

fn expire_calls(state: &mut state::GroupState, now_ms: u64) {
    let mut refusals = Vec::new();
    let mut ready = Vec::new();
    for dispatcher in state.dispatchers.values_mut() {
        refusals.extend(dispatcher.expire(now_ms));
        ready.extend(dispatcher.dispatch_ready(now_ms));
    }
    state.deliver_refusals(refusals);
    state.deliver_slots(ready);
}
