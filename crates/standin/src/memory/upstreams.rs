//! In-memory implementation of the [`Upstreams`] trait.

use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future;
use kernel::ids;
use platform::upstreams::{
    Inquiry, UpstreamAddress, UpstreamAnswer, UpstreamCall, UpstreamError, Upstreams,
};
use tokio::time;

use super::clock;
use super::detach;
use super::network;
use super::workers;
use crate::faults;
use crate::model;

/// Size of a call or an answer excluding its body.
const OVERHEAD_BYTES: usize = 300;

/// A connection to the minions from one zone.
#[derive(Clone, Debug)]
pub struct MemoryUpstreams {
    pub(super) shared: Arc<workers::SharedFleet>,
    pub(super) zone: ids::ZoneId,
    pub(super) network: network::Network,
    pub(super) faults: faults::Faults,
    pub(super) clock: clock::Clock,
    pub(super) cut_timeout_ms: u64,
}

impl MemoryUpstreams {
    /// Transmits a call to a worker; returns the worker and its zone if the call arrived.
    async fn send(
        &self,
        target: &UpstreamAddress,
        bytes: usize,
    ) -> Option<(ids::WorkerId, ids::ZoneId)> {
        let worker = worker_of(target);
        let zone = self.shared.lock().zone_of(&worker)?;
        let bytes = OVERHEAD_BYTES + bytes;
        let sent = self.faults.worker_reachable(&worker)
            && self.network.transmit(&self.zone, &zone, bytes).await
            && self.shared.lock().is_alive(&worker);
        if sent {
            return Some((worker, zone));
        }
        time::sleep(Duration::from_millis(self.cut_timeout_ms)).await;
        None
    }

    /// Runs a call on its minion; `None` if the minion ended first.
    ///
    /// A started call runs to completion even if the caller times out.
    async fn run(&self, open: model::OpenCall) -> Option<model::MinionAnswer> {
        let shared = self.shared.clone();
        let clock = self.clock;
        let work = async move {
            time::sleep(Duration::from_millis(open.answer.work_ms)).await;
            let now_ms = clock.now_ms();
            let answered = shared.change(|model| model.finish_call(&open, now_ms));
            answered.then_some(open.answer)
        };
        detach::run_detached(work).await
    }

    /// Sends one attempt and returns the answer, including how its body is framed.
    ///
    /// # Errors
    ///
    /// Same as [`Upstreams::call`].
    pub async fn exchange(
        &self,
        target: &UpstreamAddress,
        call: &UpstreamCall,
    ) -> Result<model::MinionAnswer, UpstreamError> {
        let Some((worker, zone)) = self.send(target, call.body.len()).await else {
            return Err(not_run("no connection to the worker"));
        };
        let now_ms = self.clock.now_ms();
        let begun = self
            .shared
            .change(|model| model.begin_call(&worker, &target.run, call, now_ms));
        let open = begun.map_err(|refusal| UpstreamError::NotRun {
            leaving: refusal == model::CallRefusal::Leaving,
            detail: refusal.to_string(),
        })?;
        let Some(answer) = self.run(open).await else {
            return Err(answer_lost("the instance ended while it ran the call"));
        };
        let lost = self.faults.drops_upstream_answer(&call.path)
            || !self.faults.worker_reachable(&worker)
            || !self
                .network
                .transmit(&zone, &self.zone, OVERHEAD_BYTES + answer.body.len())
                .await;
        if lost {
            return Err(answer_lost("the connection to the worker was lost"));
        }
        Ok(answer)
    }
}

impl Upstreams for MemoryUpstreams {
    fn call<'a>(
        &'a self,
        target: &'a UpstreamAddress,
        call: &'a UpstreamCall,
    ) -> future::BoxFuture<'a, Result<UpstreamAnswer, UpstreamError>> {
        async move {
            let deadline = Duration::from_millis(call.deadline_ms);
            let exchange = time::timeout(deadline, self.exchange(target, call)).await;
            let answer = exchange.unwrap_or_else(|_| Err(answer_lost("the deadline passed")))?;
            Ok(UpstreamAnswer {
                attempt_id: call.attempt_id,
                status: answer.status,
                body: answer.body,
            })
        }
        .boxed()
    }

    fn inquire<'a>(
        &'a self,
        target: &'a UpstreamAddress,
        key: &'a ids::IdempotencyKey,
    ) -> future::BoxFuture<'a, Result<Inquiry, UpstreamError>> {
        async move {
            let Some((worker, zone)) = self.send(target, key.as_str().len()).await else {
                return Err(not_run("no connection to the worker"));
            };
            let now_ms = self.clock.now_ms();
            let inquiry = self
                .shared
                .change(|model| model.inquire(&worker, &target.run, key, now_ms));
            let inquiry = inquiry.map_err(|refusal| not_run(&refusal.to_string()))?;
            if !self
                .network
                .transmit(&zone, &self.zone, OVERHEAD_BYTES)
                .await
            {
                return Err(answer_lost("the connection to the worker was lost"));
            }
            Ok(inquiry)
        }
        .boxed()
    }
}

fn not_run(detail: &str) -> UpstreamError {
    UpstreamError::NotRun {
        detail: detail.to_owned(),
        leaving: false,
    }
}

fn answer_lost(detail: &str) -> UpstreamError {
    UpstreamError::AnswerLost {
        detail: detail.to_owned(),
    }
}

/// The worker id, which is the last path segment of the address.
fn worker_of(target: &UpstreamAddress) -> ids::WorkerId {
    let last = target.address.rsplit('/').next();
    ids::WorkerId::new(last.unwrap_or_default())
}
