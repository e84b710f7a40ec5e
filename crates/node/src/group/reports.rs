//! Ends of runs, reported to the shards that own the work.

use std::sync::Arc;

use kernel::errors;
use kernel::ids;
use platform::workers;
use wire::messages;

use super::{GroupOwner, state};
use crate::shared;

const REPORT_DEADLINE_MS: u64 = 3_000;
const REPORT_RETRY_MS: u64 = 500;
/// Reports in one message.
const REPORT_BATCH: usize = 2_000;

/// Name of the end of a task that was given back without having run.
pub(crate) const HANDED_BACK: &str = "handed_back";

/// Notes an end that the shard has to know; a repeated one changes nothing.
pub(super) fn note_end(
    state: &mut state::GroupState,
    worker: &ids::WorkerId,
    finished: &workers::FinishedRun,
) {
    let Some(shard) = finished.order.shard else {
        // Nobody keeps the end; the worker can forget it.
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
    let open = state::OpenReport {
        report,
        run: run.clone(),
        worker: Some(worker.clone()),
    };
    state
        .reports
        .entry(shard)
        .or_default()
        .open
        .entry(run)
        .or_insert(open);
}

/// Notes that a task is given back; it must not start here any more.
pub(super) fn note_hand_back(
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
    let open = state::OpenReport {
        report,
        run: run.clone(),
        worker: None,
    };
    state
        .reports
        .entry(shard)
        .or_default()
        .open
        .entry(run.clone())
        .or_insert(open);
}

/// The attempt with which this group goes on after `run`; zero if it does not.
///
/// It is lower than that of the run if the run was to replace a replica that goes on.
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
    /// Starts a message to every shard that has open reports and none on its way.
    pub(super) fn send_reports(self: &Arc<Self>, state: &mut state::GroupState, now_ms: u64) {
        for (shard, queue) in &mut state.reports {
            if queue.in_flight || queue.open.is_empty() || now_ms < queue.due_at_ms {
                continue;
            }
            queue.in_flight = true;
            let reports: Vec<messages::RunReport> = queue
                .open
                .values()
                .take(REPORT_BATCH)
                .map(|open| open.report.clone())
                .collect();
            let runs: Vec<ids::TaskAttempt> =
                queue.open.keys().take(REPORT_BATCH).cloned().collect();
            let request = messages::ReportRequest {
                shard: u32::from(shard.0),
                zone: self.id.zone.to_string(),
                group: u32::from(self.id.index),
                group_epoch: self.epoch.0,
                reports,
            };
            tokio::spawn(Arc::clone(self).report(*shard, request, runs));
        }
    }

    async fn report(
        self: Arc<Self>,
        shard: ids::ShardId,
        request: messages::ReportRequest,
        runs: Vec<ids::TaskAttempt>,
    ) {
        let reply = self.exchange_report(shard, request).await;
        let now_ms = self.shared.now_ms();
        {
            let mut state = self.state();
            match reply {
                Ok(reply) => confirm(&mut state, shard, &reply, &runs),
                Err(error) => {
                    log::debug!("report of {} to shard {shard}: {error}", self.id);
                    let queue = state.reports.entry(shard).or_default();
                    queue.due_at_ms = now_ms + REPORT_RETRY_MS;
                }
            }
            state.reports.entry(shard).or_default().in_flight = false;
        }
        self.wake.notify_one();
    }

    async fn exchange_report(
        &self,
        shard: ids::ShardId,
        request: messages::ReportRequest,
    ) -> errors::Result<messages::ReportReply> {
        let body = messages::Body::ReportRequest(request);
        let reply =
            crate::peer::send_to_shard(&self.shared, shard, body, REPORT_DEADLINE_MS).await?;
        let messages::Body::ReportReply(reply) = reply else {
            return Err(shared::unexpected_reply());
        };
        Ok(reply)
    }
}

/// Raises the order below which assignments are refused, then forgets what is durable.
fn confirm(
    state: &mut state::GroupState,
    shard: ids::ShardId,
    reply: &messages::ReportReply,
    runs: &[ids::TaskAttempt],
) {
    let floor = state::AssignmentOrder {
        shard_epoch: ids::Epoch(reply.shard_epoch),
        sequence: reply.sequence_floor,
    };
    let order = state.orders.entry(shard).or_default();
    *order = floor.max(*order);
    for run in runs {
        let queue = state.reports.entry(shard).or_default();
        let Some(open) = queue.open.shift_remove(run) else {
            continue;
        };
        let link = open.worker.and_then(|worker| state.links.get_mut(&worker));
        if let Some(link) = link {
            link.acknowledged.insert(open.run);
        }
    }
}
