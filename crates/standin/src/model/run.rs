//! One run of a task on a worker.

use kernel::ids;
use kernel::work;
use platform::workers::{FinishedRun, RunEnd, RunningTask, StartOrder};

use super::digest;
use super::minion;
use crate::config;

/// A run with its times and, for a service, its calls.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) order: StartOrder,
    pub(super) started_at_ms: u64,
    /// When the run ends by itself and how; `None` for a service.
    pub(super) own_end: Option<(u64, RunEnd)>,
    pub(super) draining: bool,
    pub(super) throttled: bool,
    pub(super) minion: minion::Minion,
    used: work::Resources,
}

impl Run {
    /// Starts a run that has `done_ms` of work behind it from a checkpoint.
    pub(super) fn start(
        order: &StartOrder,
        behaviour: &config::WorkerBehaviour,
        now_ms: u64,
        done_ms: u64,
        fails: bool,
    ) -> Self {
        let hash = digest::of(&order.run.task);
        let own_end = if fails {
            Some((now_ms + behaviour.fail_after_ms, RunEnd::Failed))
        } else {
            let percent = behaviour.run_time_percent.pick(hash.rotate_right(32));
            order.run_time_ms.map(|declared_ms| {
                let whole_ms = declared_ms.saturating_mul(percent) / 100;
                (now_ms + whole_ms.saturating_sub(done_ms), RunEnd::Completed)
            })
        };
        Self {
            order: order.clone(),
            started_at_ms: now_ms,
            own_end,
            draining: false,
            throttled: false,
            minion: minion::Minion::default(),
            used: scaled(order.demand, behaviour.usage_percent.pick(hash)),
        }
    }

    /// The run's line in a worker's report.
    pub(super) fn report(&self, now_ms: u64, usage_lag_ms: u64) -> RunningTask {
        RunningTask {
            order: self.order.clone(),
            usage: self.usage(now_ms, usage_lag_ms),
            open_calls: self.minion.open_calls,
            draining: self.draining,
        }
    }

    /// The run's part in the digest of the running list: all of its line but the open calls.
    pub(super) fn digest(&self, now_ms: u64, usage_lag_ms: u64) -> u64 {
        let usage = self.usage(now_ms, usage_lag_ms);
        digest::of((&self.order.run, usage, self.draining))
    }

    /// The record of the run after its end.
    pub(super) fn finished(&self, end: RunEnd, now_ms: u64) -> FinishedRun {
        FinishedRun {
            order: self.order.clone(),
            end,
            ran_ms: now_ms.saturating_sub(self.started_at_ms),
        }
    }

    /// Whether the run is an instance of the service at this attempt.
    pub(super) fn is(&self, run: &ids::TaskAttempt) -> bool {
        self.order.run == *run
    }

    fn usage(&self, now_ms: u64, usage_lag_ms: u64) -> work::Resources {
        if now_ms < self.started_at_ms + usage_lag_ms {
            return work::Resources::default();
        }
        if self.throttled {
            return scaled(self.order.demand, THROTTLED_PERCENT);
        }
        self.used
    }
}

/// What a throttled task uses, in percent of what it was assigned.
const THROTTLED_PERCENT: u64 = 10;

fn scaled(amount: work::Resources, percent: u64) -> work::Resources {
    work::Resources {
        cpu_milli: amount.cpu_milli * percent / 100,
        memory_mb: amount.memory_mb * percent / 100,
        accelerators: amount.accelerators,
    }
}
