//! A wrapper around [`Group`] that records its calls.

use std::ops::Deref;
use std::sync::Arc;

use kernel::errors;
use kernel::ids;
use kernel::work;
use placement::{Decision, EndEffect, Group, GroupConfig, Reservation, WorkerSpec};
use platform::workers;

use crate::call::{Call, Effect, Entry};
use crate::recorder;

/// A [`Group`] whose state-changing calls are recorded if a recorder is given.
///
/// Read-only methods are available through [`Deref`].
#[derive(Debug)]
pub struct TracedGroup {
    group: Group,
    log: Option<CallLog>,
}

/// Numbers the calls on one group instance and passes them to the recorder.
#[derive(Debug)]
struct CallLog {
    recorder: recorder::Recorder,
    group: ids::GroupId,
    instance: u64,
    sequence: u64,
}

impl CallLog {
    fn push(&mut self, call: Call, effect: Effect) {
        let entry = Entry {
            group: self.group.clone(),
            instance: self.instance,
            sequence: self.sequence,
            call,
            effect,
        };
        self.sequence += 1;
        self.recorder.push(entry);
    }
}

impl Deref for TracedGroup {
    type Target = Group;

    fn deref(&self) -> &Group {
        &self.group
    }
}

/// Defines recording wrappers for [`Group`] methods without a return value.
macro_rules! recorded_methods {
    ($($(#[$meta:meta])* $name:ident => $variant:ident ($($field:ident: $kind:ty => $owned:expr),*);)+) => {
        impl TracedGroup {
            $(
                $(#[$meta])*
                pub fn $name(&mut self, $($field: $kind),*) {
                    if let Some(log) = &mut self.log {
                        log.push(Call::$variant { $($field: $owned),* }, Effect::Nothing);
                    }
                    self.group.$name($($field),*);
                }
            )+
        }
    };
}

recorded_methods! {
    /// Records and forwards to [`Group::set_quota`].
    set_quota => SetQuota(team: &ids::TeamId => team.clone(), limit: Option<work::Resources> => limit, weight: u32 => weight);
    /// Records and forwards to [`Group::set_worker`].
    set_worker => SetWorker(spec: &WorkerSpec => spec.clone(), now_ms: u64 => now_ms);
    /// Records and forwards to [`Group::set_worker_state`].
    set_worker_state => SetWorkerState(worker: &ids::WorkerId => worker.clone(), leaving: bool => leaving, now_ms: u64 => now_ms);
    /// Records and forwards to [`Group::fence_pending`].
    fence_pending => FencePending(worker: &ids::WorkerId => worker.clone(), until_ms: u64 => until_ms);
    /// Records and forwards to [`Group::worker_confirmed`].
    worker_confirmed => WorkerConfirmed(worker: &ids::WorkerId => worker.clone());
    /// Records and forwards to [`Group::adopt`].
    adopt => Adopt(worker: &ids::WorkerId => worker.clone(), order: &workers::StartOrder => order.clone(), now_ms: u64 => now_ms);
    /// Records and forwards to [`Group::submit`].
    submit => Submit(work: &Arc<work::Work> => Arc::clone(work), runs: &[(u32, ids::Attempt)] => runs.to_vec(), shard: Option<ids::ShardId> => shard, now_ms: u64 => now_ms);
    /// Records and forwards to [`Group::gang_completed`].
    gang_completed => GangCompleted(work: &ids::WorkId => work.clone(), completed: u32 => completed);
    /// Records and forwards to [`Group::lift_cancellation`].
    lift_cancellation => LiftCancellation(work: &ids::WorkId => work.clone());
    /// Records and forwards to [`Group::abort_gang`].
    abort_gang => AbortGang(gang: &ids::WorkId => gang.clone());
    /// Records and forwards to [`Group::release`].
    release => Release(reservation: u64 => reservation);
    /// Records and forwards to [`Group::started`].
    started => Started(run: &ids::TaskAttempt => run.clone());
    /// Records and forwards to [`Group::refused`].
    refused => Refused(run: &ids::TaskAttempt => run.clone(), reason: workers::RefusalReason => reason, now_ms: u64 => now_ms);
    /// Records and forwards to [`Group::not_started`].
    not_started => NotStarted(run: &ids::TaskAttempt => run.clone(), now_ms: u64 => now_ms);
    /// Records and forwards to [`Group::start_unknown`].
    start_unknown => StartUnknown(run: &ids::TaskAttempt => run.clone(), now_ms: u64 => now_ms);
    /// Records and forwards to [`Group::usage`].
    usage => Usage(worker: &ids::WorkerId => worker.clone(), run: &ids::TaskAttempt => run.clone(), used: work::Resources => used, now_ms: u64 => now_ms);
}

impl TracedGroup {
    /// Creates a group as [`Group::new`] does; without a recorder, nothing is recorded.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::Usage`] if the settings are inconsistent.
    pub fn new(
        config: GroupConfig,
        seed: u64,
        recorder: Option<&recorder::Recorder>,
    ) -> errors::Result<Self> {
        let group = Group::new(config.clone(), seed)?;
        let mut log = recorder.map(|recorder| CallLog {
            recorder: recorder.clone(),
            group: group.id().clone(),
            instance: recorder.next_instance(),
            sequence: 0,
        });
        if let Some(log) = &mut log {
            log.push(Call::Open { config, seed }, Effect::Nothing);
        }
        Ok(Self { group, log })
    }

    /// Records and forwards to [`Group::decide`].
    pub fn decide(&mut self, now_ms: u64, limit: usize) -> Vec<Decision> {
        let decisions = self.group.decide(now_ms, limit);
        self.record_call(|| {
            (
                Call::Decide { now_ms, limit },
                Effect::Decisions(decisions.clone()),
            )
        });
        decisions
    }

    /// Records and forwards to [`Group::cancel`].
    pub fn cancel(&mut self, work: &ids::WorkId, now_ms: u64) -> Vec<ids::TaskAttempt> {
        let runs = self.group.cancel(work, now_ms);
        self.record_call(|| {
            let work = work.clone();
            (Call::Cancel { work, now_ms }, Effect::Runs(runs.clone()))
        });
        runs
    }

    /// Records and forwards to [`Group::remove_worker`].
    pub fn remove_worker(&mut self, worker: &ids::WorkerId, now_ms: u64) -> Vec<ids::TaskAttempt> {
        let runs = self.group.remove_worker(worker, now_ms);
        self.record_call(|| {
            let worker = worker.clone();
            let call = Call::RemoveWorker { worker, now_ms };
            (call, Effect::Runs(runs.clone()))
        });
        runs
    }

    /// Records and forwards to [`Group::ended`].
    pub fn ended(
        &mut self,
        run: &ids::TaskAttempt,
        end: workers::RunEnd,
        ran_ms: u64,
        now_ms: u64,
    ) -> EndEffect {
        let effect = self.group.ended(run, end, ran_ms, now_ms);
        self.record_call(|| {
            let call = Call::Ended {
                run: run.clone(),
                end,
                ran_ms,
                now_ms,
            };
            (call, Effect::End(effect))
        });
        effect
    }

    /// Records and forwards to [`Group::reserve`].
    pub fn reserve(
        &mut self,
        gang: &Arc<work::Work>,
        runs: &[(u32, ids::Attempt)],
        shard: Option<ids::ShardId>,
        until_ms: u64,
        now_ms: u64,
    ) -> Option<Reservation> {
        let reserved = self.group.reserve(gang, runs, shard, until_ms, now_ms);
        self.record_call(|| {
            let call = Call::Reserve {
                gang: Arc::clone(gang),
                runs: runs.to_vec(),
                shard,
                until_ms,
                now_ms,
            };
            (call, Effect::Reserved(reserved))
        });
        reserved
    }

    /// Records and forwards to [`Group::confirm`].
    pub fn confirm(&mut self, reservation: u64, now_ms: u64) -> Option<Vec<Decision>> {
        let confirmed = self.group.confirm(reservation, now_ms);
        self.record_call(|| {
            let call = Call::Confirm {
                reservation,
                now_ms,
            };
            (call, Effect::Confirmed(confirmed.clone()))
        });
        confirmed
    }

    fn record_call(&mut self, entry: impl FnOnce() -> (Call, Effect)) {
        if let Some(log) = &mut self.log {
            let (call, effect) = entry();
            log.push(call, effect);
        }
    }
}
