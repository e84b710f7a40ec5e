//! Calls to upstream instances in the group.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use calls::{Admission, CallId, CallTicket, Dispatch, GroupLoad, LeavingSource};
use kernel::errors;
use kernel::ids;
use kernel::work;
use opentelemetry::trace::SpanKind;
use platform::upstreams;
use tokio::sync::oneshot;

use super::GroupOwner;
use crate::telemetry;

/// A call as received by the owner of the upstream's slots.
#[derive(Clone, Debug)]
pub(crate) struct OwnerCall {
    pub service: ids::WorkId,
    pub path: String,
    pub body: bytes::Bytes,
    pub key: Option<ids::IdempotencyKey>,
    pub team: ids::TeamId,
    pub urgency: work::Urgency,
    pub deadline_ms: u64,
}

/// A complete answer and the instance that gave it.
#[derive(Clone, Debug)]
pub(crate) struct OwnerAnswer {
    pub answer: upstreams::UpstreamAnswer,
    pub instance: ids::TaskAttempt,
}

/// Call ids are unique across all groups of the process.
static NEXT_CALL_ID: AtomicU64 = AtomicU64::new(1);

impl GroupOwner {
    /// Serves one call: waits for a slot, sends the call, releases the slot.
    ///
    /// If the future is dropped while the call is queued, the call never runs. Once it has a
    /// slot, a separate task awaits the upstream's answer, so that the slot is released only
    /// when the upstream has finished.
    ///
    /// # Errors
    ///
    /// Any kind, see [`errors::ErrorKind`]; a kind with the outcome `not_run` guarantees that no
    /// byte of the request was sent.
    pub(crate) async fn call(self: &Arc<Self>, call: OwnerCall) -> errors::Result<OwnerAnswer> {
        if self.is_stopped() {
            return Err(errors::Error::new(
                errors::ErrorKind::StaleEpoch,
                format!("this host no longer owns {}", self.id),
            ));
        }
        let dispatch = self.acquire_slot(&call).await?;
        let owner = Arc::clone(self);
        let traceparent = telemetry::current_traceparent();
        let sent = tokio::spawn(async move {
            let answer = telemetry::in_span(
                "upstream call",
                SpanKind::Client,
                &traceparent,
                owner.send_to_upstream(&call, &dispatch),
            )
            .await;
            owner.release_slot(&call.service, &dispatch, &answer);
            answer.map(|answer| OwnerAnswer {
                answer,
                instance: dispatch.instance,
            })
        });
        sent.await.unwrap_or_else(|error| {
            Err(errors::Error::with_source(
                errors::ErrorKind::Internal,
                "upstream call task failed",
                error,
            ))
        })
    }

    /// Obtains a slot, waiting in the queue of the service if none is free.
    async fn acquire_slot(self: &Arc<Self>, call: &OwnerCall) -> errors::Result<Dispatch> {
        let id = CallId(NEXT_CALL_ID.fetch_add(1, Ordering::Relaxed));
        let now_ms = self.shared.now_ms();
        let request = CallTicket {
            id,
            team: call.team.clone(),
            urgency: call.urgency,
            deadline_at_ms: now_ms + call.deadline_ms,
            body_bytes: call.body.len() as u64,
        };
        let receiver = {
            let mut state = self.state();
            let Some(dispatcher) = state.dispatchers.get_mut(&call.service) else {
                return Err(errors::Error::new(
                    errors::ErrorKind::NoUpstream,
                    format!("{} has no instance in {}", call.service, self.id),
                ));
            };
            match dispatcher.admit(request, now_ms) {
                Admission::Dispatch(dispatch) => return Ok(dispatch),
                Admission::Refused(refused) => {
                    return Err(errors::Error::new(refused.kind, refused.detail));
                }
                Admission::Queued => {
                    let (sender, receiver) = oneshot::channel();
                    state.slot_senders.insert(id, sender);
                    receiver
                }
            }
        };
        let queued = QueuedCall {
            owner: self,
            service: &call.service,
            id,
            receiver: Some(receiver),
        };
        queued.wait().await
    }

    async fn send_to_upstream(
        &self,
        call: &OwnerCall,
        dispatch: &Dispatch,
    ) -> errors::Result<upstreams::UpstreamAnswer> {
        let target = upstreams::UpstreamAddress {
            address: dispatch.address.to_string(),
            run: dispatch.instance.clone(),
        };
        let request = upstreams::UpstreamCall {
            attempt_id: dispatch.id.0,
            epoch: self.epoch,
            path: call.path.clone(),
            body: call.body.clone(),
            key: call.key.clone(),
            deadline_ms: call.deadline_ms,
            traceparent: telemetry::current_traceparent(),
        };
        let answer = match self.shared.platform.upstreams.call(&target, &request).await {
            Ok(answer) => answer,
            Err(upstreams::UpstreamError::NotRun { detail, leaving }) => {
                if leaving {
                    self.mark_instance_leaving(call, dispatch);
                }
                return Err(errors::Error::new(errors::ErrorKind::NoUpstream, detail));
            }
            Err(error @ upstreams::UpstreamError::AnswerLost { .. }) => {
                return Err(errors::Error::with_source(
                    errors::ErrorKind::AnswerLost,
                    error.to_string(),
                    error,
                ));
            }
        };
        if answer.attempt_id != dispatch.id.0 {
            return Err(errors::Error::new(
                errors::ErrorKind::AnswerLost,
                "the answer belongs to another attempt and was discarded",
            ));
        }
        Ok(answer)
    }

    fn mark_instance_leaving(&self, call: &OwnerCall, dispatch: &Dispatch) {
        let mut state = self.state();
        if let Some(dispatcher) = state.dispatchers.get_mut(&call.service) {
            dispatcher.set_leaving(&dispatch.instance, LeavingSource::Refusal);
        }
    }

    fn release_slot(
        &self,
        service: &ids::WorkId,
        dispatch: &Dispatch,
        answer: &errors::Result<upstreams::UpstreamAnswer>,
    ) {
        if let Err(error) = answer {
            log::debug!(
                "call {} to {} failed: {error}",
                dispatch.id,
                dispatch.instance
            );
        }
        let now_ms = self.shared.now_ms();
        let mut state = self.state();
        let Some(dispatcher) = state.dispatchers.get_mut(service) else {
            return;
        };
        let next = dispatcher.finish(dispatch.id, now_ms);
        state.deliver_slots(next);
    }

    /// Refuses the queued calls; called when the owner stops.
    pub(super) fn refuse_waiting_calls(&self) {
        let mut state = self.state();
        let mut refusals = Vec::new();
        for dispatcher in state.dispatchers.values_mut() {
            refusals.extend(dispatcher.refuse_all(
                errors::ErrorKind::StaleEpoch,
                "the owner of the slots is changing",
            ));
        }
        state.deliver_refusals(refusals);
    }

    /// Load of a service in the group; `None` if the group has no dispatcher for it.
    pub(crate) fn service_load(&self, service: &ids::WorkId) -> Option<GroupLoad> {
        let state = self.state();
        let load = state.dispatchers.get(service)?.load();
        Some(GroupLoad {
            instances: load.instances,
            free_slots: load.free_slots,
            queue_delay_ms: load.queue_delay_ms,
        })
    }

    /// The instances of a service that run in the group, with their addresses.
    pub(crate) fn instances(&self, service: &ids::WorkId) -> Vec<upstreams::UpstreamAddress> {
        let state = self.state();
        state
            .links
            .values()
            .flat_map(|link| {
                let address = link.info.address.clone();
                link.runs
                    .values()
                    .map(|run| &run.order)
                    .filter(|order| order.slots > 0 && order.run.task.work == *service)
                    .map(move |order| upstreams::UpstreamAddress {
                        address: address.clone(),
                        run: order.run.clone(),
                    })
            })
            .collect()
    }
}

/// A queued call; dropping it removes the call from the queue.
#[derive(Debug)]
struct QueuedCall<'a> {
    owner: &'a Arc<GroupOwner>,
    service: &'a ids::WorkId,
    id: CallId,
    receiver: Option<oneshot::Receiver<errors::Result<Dispatch>>>,
}

impl QueuedCall<'_> {
    async fn wait(mut self) -> errors::Result<Dispatch> {
        let Some(receiver) = self.receiver.as_mut() else {
            return Err(errors::Error::new(
                errors::ErrorKind::Internal,
                "a queued call was awaited twice",
            ));
        };
        let result = receiver.await;
        self.receiver = None;
        result.unwrap_or_else(|_| {
            Err(errors::Error::new(
                errors::ErrorKind::StaleEpoch,
                "the owner of the slots changed",
            ))
        })
    }
}

impl Drop for QueuedCall<'_> {
    fn drop(&mut self) {
        let Some(mut receiver) = self.receiver.take() else {
            return;
        };
        let now_ms = self.owner.shared.now_ms();
        let mut state = self.owner.state();
        state.slot_senders.swap_remove(&self.id);
        let Some(dispatcher) = state.dispatchers.get_mut(self.service) else {
            return;
        };
        if dispatcher.abandon(self.id) {
            return;
        }
        // A slot was allocated concurrently. Nothing was sent, so it is released.
        if receiver.try_recv().is_ok() {
            let next = dispatcher.finish(self.id, now_ms);
            state.deliver_slots(next);
        }
    }
}
