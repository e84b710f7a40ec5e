//! A single run of a task on a worker.

use kernel::ids;
use kernel::work;
use platform::workers::{FinishedRun, RunEnd, RunningTask, StartOrder};

use super::digest;
use super::minion;
use crate::config;

/// State of a run, including the minion's calls if it belongs to a service.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) order: StartOrder,
    pub(super) started_at_ms: u64,
    /// Time and kind of the run's own end; `None` if it has no declared run time and does not fail.
    pub(super) scheduled_end: Option<(u64, RunEnd)>,
    /// Whether the instance rejects new calls.
    pub(super) draining: bool,
    /// Whether the run ends as soon as no call is open.
    pub(super) ends_when_idle: bool,
    pub(super) throttled: bool,
    pub(super) minion: minion::Minion,
    used: work::Resources,
}

impl Run {
    /// Starts a run that resumes after `done_ms` of work saved in a checkpoint.
    pub(super) fn start(
        order: &StartOrder,
        behaviour: &config::WorkerBehaviour,
        now_ms: u64,
        done_ms: u64,
        fails: bool,
    ) -> Self {
        let hash = digest::of(&order.run.task);
        let scheduled_end = if fails {
            Some((now_ms + behaviour.fail_after_ms, RunEnd::Failed))
        } else {
            let percent = behaviour.run_time_percent.pick(hash.rotate_right(32));
            order.run_time_ms.map(|declared_ms| {
                let total_ms = declared_ms.saturating_mul(percent) / 100;
                (now_ms + total_ms.saturating_sub(done_ms), RunEnd::Completed)
            })
        };
        Self {
            order: order.clone(),
            started_at_ms: now_ms,
            scheduled_end,
            draining: false,
            ends_when_idle: false,
            throttled: false,
            minion: minion::Minion::default(),
            used: scaled(order.demand, behaviour.usage_percent.pick(hash)),
        }
    }

    /// The run's entry in a worker's report.
    pub(super) fn report(&self, now_ms: u64, usage_lag_ms: u64) -> RunningTask {
        RunningTask {
            order: self.order.clone(),
            usage: self.usage(now_ms, usage_lag_ms),
            open_calls: self.minion.open_calls,
            draining: self.draining,
        }
    }

    /// The run's contribution to the digest of the running list; excludes the open calls.
    pub(super) fn digest(&self, now_ms: u64, usage_lag_ms: u64) -> u64 {
        let usage = self.usage(now_ms, usage_lag_ms);
        digest::of((&self.order.run, usage, self.draining))
    }

    /// The record reported after the run has ended.
    pub(super) fn finished(&self, end: RunEnd, now_ms: u64) -> FinishedRun {
        FinishedRun {
            order: self.order.clone(),
            end,
            ran_ms: now_ms.saturating_sub(self.started_at_ms),
        }
    }

    /// Whether this is the run of the given task and attempt.
    pub(super) fn is_run(&self, run: &ids::TaskAttempt) -> bool {
        self.order.run == *run
    }

    fn usage(&self, now_ms: u64, usage_lag_ms: u64) -> work::Resources {
        if now_ms < self.started_at_ms + usage_lag_ms {
            return work::Resources::default();
        }
        if self.throttled {
            return scaled(self.order.demand, THROTTLED_USAGE_PERCENT);
        }
        self.used
    }
}

/// Resource usage of a throttled task, in percent of its assigned demand.
const THROTTLED_USAGE_PERCENT: u64 = 10;

fn scaled(amount: work::Resources, percent: u64) -> work::Resources {
    work::Resources {
        cpu_milli: amount.cpu_milli * percent / 100,
        memory_mb: amount.memory_mb * percent / 100,
        accelerators: amount.accelerators,
    }
}
