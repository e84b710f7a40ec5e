//! The line format of a trace: recorded calls, their effects and expectations.

use std::sync::Arc;

use kernel::ids;
use kernel::work;
use placement::{Decision, EndEffect, Group, GroupConfig, Reservation, WorkerSpec};
use platform::workers;
use serde::{Deserialize, Serialize};

/// A state-changing call on a [`Group`], with its arguments.
///
/// Each variant except [`Call::Open`] stands for the [`Group`] method of the same name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[expect(missing_docs, reason = "the fields are the parameters of the methods")]
pub enum Call {
    /// The group was created.
    Open {
        config: GroupConfig,
        seed: u64,
    },
    SetQuota {
        team: ids::TeamId,
        limit: Option<work::Resources>,
        weight: u32,
    },
    SetWorker {
        spec: WorkerSpec,
        now_ms: u64,
    },
    SetWorkerState {
        worker: ids::WorkerId,
        leaving: bool,
        now_ms: u64,
    },
    FencePending {
        worker: ids::WorkerId,
        until_ms: u64,
    },
    WorkerConfirmed {
        worker: ids::WorkerId,
    },
    RemoveWorker {
        worker: ids::WorkerId,
        now_ms: u64,
    },
    Adopt {
        worker: ids::WorkerId,
        order: workers::StartOrder,
        now_ms: u64,
    },
    Submit {
        work: Arc<work::Work>,
        runs: Vec<(u32, ids::Attempt)>,
        shard: Option<ids::ShardId>,
        now_ms: u64,
    },
    GangCompleted {
        work: ids::WorkId,
        completed: u32,
    },
    Cancel {
        work: ids::WorkId,
        now_ms: u64,
    },
    LiftCancellation {
        work: ids::WorkId,
    },
    Reserve {
        gang: Arc<work::Work>,
        runs: Vec<(u32, ids::Attempt)>,
        shard: Option<ids::ShardId>,
        until_ms: u64,
        now_ms: u64,
    },
    Confirm {
        reservation: u64,
        now_ms: u64,
    },
    AbortGang {
        gang: ids::WorkId,
    },
    Release {
        reservation: u64,
    },
    Decide {
        now_ms: u64,
        limit: usize,
    },
    Started {
        run: ids::TaskAttempt,
    },
    Refused {
        run: ids::TaskAttempt,
        reason: workers::RefusalReason,
        now_ms: u64,
    },
    NotStarted {
        run: ids::TaskAttempt,
        now_ms: u64,
    },
    StartUnknown {
        run: ids::TaskAttempt,
        now_ms: u64,
    },
    Ended {
        run: ids::TaskAttempt,
        end: workers::RunEnd,
        ran_ms: u64,
        now_ms: u64,
    },
    Usage {
        worker: ids::WorkerId,
        run: ids::TaskAttempt,
        used: work::Resources,
        now_ms: u64,
    },
}

/// The return value of a call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// The method has no return value.
    #[default]
    Nothing,
    /// Decisions that the caller must carry out.
    Decisions(Vec<Decision>),
    /// Task attempts that the caller must report or end.
    Runs(Vec<ids::TaskAttempt>),
    /// Consequences of the end of a task attempt.
    End(EndEffect),
    /// The reservation; `None` if the group lacked capacity for it.
    Reserved(Option<Reservation>),
    /// The starts of a confirmed reservation; `None` if it had expired.
    Confirmed(Option<Vec<Decision>>),
}

impl Effect {
    /// Returns the decisions that the caller must carry out, if any.
    pub fn decisions(&self) -> &[Decision] {
        match self {
            Self::Decisions(decisions) | Self::Confirmed(Some(decisions)) => decisions,
            _ => &[],
        }
    }

    fn is_nothing(&self) -> bool {
        *self == Self::Nothing
    }
}

impl Call {
    /// Calls the method on `group` and returns its result; [`Call::Open`] has no effect.
    pub fn apply(&self, group: &mut Group) -> Effect {
        match self {
            Self::Decide { now_ms, limit } => Effect::Decisions(group.decide(*now_ms, *limit)),
            Self::Cancel { work, now_ms } => Effect::Runs(group.cancel(work, *now_ms)),
            Self::RemoveWorker { worker, now_ms } => {
                Effect::Runs(group.remove_worker(worker, *now_ms))
            }
            Self::Ended {
                run,
                end,
                ran_ms,
                now_ms,
            } => Effect::End(group.ended(run, *end, *ran_ms, *now_ms)),
            Self::Reserve {
                gang,
                runs,
                shard,
                until_ms,
                now_ms,
            } => Effect::Reserved(group.reserve(gang, runs, *shard, *until_ms, *now_ms)),
            Self::Confirm {
                reservation,
                now_ms,
            } => Effect::Confirmed(group.confirm(*reservation, *now_ms)),
            _ => {
                self.apply_without_result(group);
                Effect::Nothing
            }
        }
    }

    /// Calls a method that has no return value; other calls have no effect.
    fn apply_without_result(&self, group: &mut Group) {
        match self {
            Self::SetQuota {
                team,
                limit,
                weight,
            } => group.set_quota(team, *limit, *weight),
            Self::SetWorker { spec, now_ms } => group.set_worker(spec, *now_ms),
            Self::SetWorkerState {
                worker,
                leaving,
                now_ms,
            } => group.set_worker_state(worker, *leaving, *now_ms),
            Self::FencePending { worker, until_ms } => group.fence_pending(worker, *until_ms),
            Self::WorkerConfirmed { worker } => group.worker_confirmed(worker),
            Self::Adopt {
                worker,
                order,
                now_ms,
            } => group.adopt(worker, order, *now_ms),
            Self::Submit {
                work,
                runs,
                shard,
                now_ms,
            } => group.submit(work, runs, *shard, *now_ms),
            Self::GangCompleted { work, completed } => group.gang_completed(work, *completed),
            Self::LiftCancellation { work } => group.lift_cancellation(work),
            Self::AbortGang { gang } => group.abort_gang(gang),
            Self::Release { reservation } => group.release(*reservation),
            Self::Started { run } => group.started(run),
            Self::Refused {
                run,
                reason,
                now_ms,
            } => group.refused(run, *reason, *now_ms),
            Self::NotStarted { run, now_ms } => group.not_started(run, *now_ms),
            Self::StartUnknown { run, now_ms } => group.start_unknown(run, *now_ms),
            Self::Usage {
                worker,
                run,
                used,
                now_ms,
            } => group.usage(worker, run, *used, *now_ms),
            Self::Open { .. }
            | Self::Decide { .. }
            | Self::Cancel { .. }
            | Self::RemoveWorker { .. }
            | Self::Ended { .. }
            | Self::Reserve { .. }
            | Self::Confirm { .. } => {}
        }
    }
}

/// A recorded call on one group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Group that was called.
    pub group: ids::GroupId,
    /// Identifies the in-memory group within the file; a group gets a new number each time that a
    /// host takes ownership of it.
    pub instance: u64,
    /// Sequence number of the call within its instance, from zero; a gap means dropped lines.
    pub sequence: u64,
    /// The method with its arguments.
    pub call: Call,
    /// What the method returned; absent if nothing.
    #[serde(default, skip_serializing_if = "Effect::is_nothing")]
    pub effect: Effect,
}

/// One line of a trace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Line {
    /// An expectation about the replay.
    Expect {
        /// Condition to check after all calls are replayed.
        expect: crate::Expectation,
    },
    /// A recorded call.
    Entry(Entry),
}
