//! Reports of ended runs to the shards that own the work.

use std::sync::Arc;

use kernel::errors;
use kernel::ids;
use platform::workers;
use wire::messages;

use super::{GroupOwner, state};
use crate::shared;

/// Timeout of one report message.
const REPORT_TIMEOUT_MS: u64 = 3_000;
/// Delay before reports are sent again after a failure.
const REPORT_RETRY_DELAY_MS: u64 = 500;
/// Maximum number of reports in one message.
const MAX_REPORTS_PER_MESSAGE: usize = 2_000;

/// `end` of a report for a task that was handed back without having run.
pub(crate) const HANDED_BACK: &str = "handed_back";

/// Queues the report of an ended run to its shard. Idempotent.
pub(super) fn queue_end_report(
    state: &mut state::GroupState,
    worker: &ids::WorkerId,
    finished: &workers::FinishedRun,
) {
    let Some(shard) = finished.order.shard else {
        // No shard records the end, so it is acknowledged to the worker at once.
        if let Some(link) = state.links.get_mut(worker) {
            link.acknowledged.insert(finished.order.run.clone());
        }
        return;
    };
    let run = finished.order.run.clone();
    let next = live_attempt_after(state, &run);
    let report = messages::RunReport {
        task: run.task.to_string(),
        attempt: run.attempt.0,
        end: finished.end.to_string(),
        ran_ms: finished.ran_ms,
        worker: worker.to_string(),
        next_attempt: next.0,
    };
    let report = state::PendingReport {
        report,
        run: run.clone(),
        worker: Some(worker.clone()),
    };
    state
        .reports
        .entry(shard)
        .or_default()
        .unconfirmed
        .entry(run)
        .or_insert(report);
}

/// Queues the report that a task is handed back. The group must not start it any more.
pub(super) fn queue_hand_back(
    state: &mut state::GroupState,
    shard: ids::ShardId,
    run: &ids::TaskAttempt,
) {
    let report = messages::RunReport {
        task: run.task.to_string(),
        attempt: run.attempt.0,
        end: HANDED_BACK.to_owned(),
        ..messages::RunReport::default()
    };
    let report = state::PendingReport {
        report,
        run: run.clone(),
        worker: None,
    };
    state
        .reports
        .entry(shard)
        .or_default()
        .unconfirmed
        .entry(run.clone())
        .or_insert(report);
}

/// The attempt with which this group continues the task after `run`; zero if it does not.
///
/// It is lower than the attempt of `run` if `run` was to replace a replica that continues.
fn live_attempt_after(state: &state::GroupState, run: &ids::TaskAttempt) -> ids::Attempt {
    let explanation = state.placement.explain(&run.task);
    let live = explanation.state != placement::TaskState::Unknown;
    if live && explanation.attempt != run.attempt {
        explanation.attempt
    } else {
        ids::Attempt(0)
    }
}

impl GroupOwner {
    /// Starts sending a message to every shard that has unconfirmed reports and none in
    /// flight.
    pub(super) fn send_reports(self: &Arc<Self>, state: &mut state::GroupState, now_ms: u64) {
        for (shard, queue) in &mut state.reports {
            if queue.in_flight || queue.unconfirmed.is_empty() || now_ms < queue.due_at_ms {
                continue;
            }
            queue.in_flight = true;
            let reports: Vec<messages::RunReport> = queue
                .unconfirmed
                .values()
                .take(MAX_REPORTS_PER_MESSAGE)
                .map(|unconfirmed| unconfirmed.report.clone())
                .collect();
            let runs: Vec<ids::TaskAttempt> = queue
                .unconfirmed
                .keys()
                .take(MAX_REPORTS_PER_MESSAGE)
                .cloned()
                .collect();
            let request = messages::ReportRequest {
                shard: u32::from(shard.0),
                zone: self.id.zone.to_string(),
                group: u32::from(self.id.index),
                group_epoch: self.epoch.0,
                reports,
            };
            tokio::spawn(Arc::clone(self).deliver_reports(*shard, request, runs));
        }
    }

    async fn deliver_reports(
        self: Arc<Self>,
        shard: ids::ShardId,
        request: messages::ReportRequest,
        runs: Vec<ids::TaskAttempt>,
    ) {
        let reply = self.send_report(shard, request).await;
        let now_ms = self.shared.now_ms();
        {
            let mut state = self.state();
            match reply {
                Ok(reply) => apply_confirmation(&mut state, shard, &reply, &runs),
                Err(error) => {
                    log::debug!("report of {} to shard {shard} failed: {error}", self.id);
                    let queue = state.reports.entry(shard).or_default();
                    queue.due_at_ms = now_ms + REPORT_RETRY_DELAY_MS;
                }
            }
            state.reports.entry(shard).or_default().in_flight = false;
        }
        self.wake.notify_one();
    }

    async fn send_report(
        &self,
        shard: ids::ShardId,
        request: messages::ReportRequest,
    ) -> errors::Result<messages::ReportReply> {
        let body = messages::Body::ReportRequest(request);
        let reply =
            crate::peer::send_to_shard(&self.shared, shard, body, REPORT_TIMEOUT_MS).await?;
        let messages::Body::ReportReply(reply) = reply else {
            return Err(shared::unexpected_reply());
        };
        Ok(reply)
    }
}

/// Raises the order at or below which assignments are refused, then removes the confirmed
/// reports and acknowledges the ends to the workers.
fn apply_confirmation(
    state: &mut state::GroupState,
    shard: ids::ShardId,
    reply: &messages::ReportReply,
    runs: &[ids::TaskAttempt],
) {
    let floor = state::AssignmentOrder {
        shard_epoch: ids::Epoch(reply.shard_epoch),
        sequence: reply.sequence_floor,
    };
    let order = state.last_orders.entry(shard).or_default();
    *order = floor.max(*order);
    for run in runs {
        let queue = state.reports.entry(shard).or_default();
        let Some(confirmed) = queue.unconfirmed.shift_remove(run) else {
            continue;
        };
        let link = confirmed
            .worker
            .and_then(|worker| state.links.get_mut(&worker));
        if let Some(link) = link {
            link.acknowledged.insert(confirmed.run);
        }
    }
}
