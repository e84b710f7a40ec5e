//! Calls to the upstream instances of the group.

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

/// One call at the owner of its slots.
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

/// A whole answer and the instance that gave it.
#[derive(Clone, Debug)]
pub(crate) struct OwnerAnswer {
    pub answer: upstreams::UpstreamAnswer,
    pub instance: ids::TaskAttempt,
}

/// Call numbers are unique in the process, over all its groups.
static NEXT_CALL: AtomicU64 = AtomicU64::new(1);

impl GroupOwner {
    /// Serves one call: waits for a slot, sends the call, gives the slot back.
    ///
    /// If the future is dropped while the call waits, the call never runs. Once
    /// it has a slot, the upstream's answer is awaited in a task of its own, so
    /// that the slot is given back only when the upstream has ended.
    ///
    /// # Errors
    ///
    /// As in the table of error kinds; a kind whose outcome is `not_run` says
    /// that no byte of the request left.
    pub(crate) async fn call(self: &Arc<Self>, call: OwnerCall) -> errors::Result<OwnerAnswer> {
        if self.is_stopped() {
            return Err(errors::Error::new(
                errors::ErrorKind::StaleEpoch,
                format!("this host no longer owns {}", self.id),
            ));
        }
        let dispatch = self.slot(&call).await?;
        let owner = Arc::clone(self);
        let traceparent = telemetry::current_traceparent();
        let sent = tokio::spawn(async move {
            let answer = telemetry::in_span(
                "upstream call",
                SpanKind::Client,
                &traceparent,
                owner.send(&call, &dispatch),
            )
            .await;
            owner.give_back(&call.service, &dispatch, &answer);
            answer.map(|answer| OwnerAnswer {
                answer,
                instance: dispatch.instance,
            })
        });
        sent.await.unwrap_or_else(|error| {
            Err(errors::Error::with_source(
                errors::ErrorKind::Internal,
                "call to upstream",
                error,
            ))
        })
    }

    /// Waits for a slot.
    async fn slot(self: &Arc<Self>, call: &OwnerCall) -> errors::Result<Dispatch> {
        let id = CallId(NEXT_CALL.fetch_add(1, Ordering::Relaxed));
        let now_ms = self.shared.now_ms();
        let ticket = CallTicket {
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
            match dispatcher.admit(ticket, now_ms) {
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
        let waiting = WaitingCall {
            owner: self,
            service: &call.service,
            id,
            receiver: Some(receiver),
        };
        waiting.wait().await
    }

    async fn send(
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
                    self.instance_leaves(call, dispatch);
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
                "the answer of another attempt arrived and was dropped",
            ));
        }
        Ok(answer)
    }

    fn instance_leaves(&self, call: &OwnerCall, dispatch: &Dispatch) {
        let mut state = self.state();
        if let Some(dispatcher) = state.dispatchers.get_mut(&call.service) {
            dispatcher.set_leaving(&dispatch.instance, LeavingSource::Refusal);
        }
    }

    fn give_back(
        &self,
        service: &ids::WorkId,
        dispatch: &Dispatch,
        answer: &errors::Result<upstreams::UpstreamAnswer>,
    ) {
        if let Err(error) = answer {
            log::debug!("call {} at {}: {error}", dispatch.id, dispatch.instance);
        }
        let now_ms = self.shared.now_ms();
        let mut state = self.state();
        let Some(dispatcher) = state.dispatchers.get_mut(service) else {
            return;
        };
        let next = dispatcher.finish(dispatch.id, now_ms);
        state.deliver(next);
    }

    /// Refuses the calls that wait for a slot; called when the owner stops.
    pub(super) fn refuse_waiting_calls(&self) {
        let mut state = self.state();
        let mut refusals = Vec::new();
        for dispatcher in state.dispatchers.values_mut() {
            refusals.extend(dispatcher.refuse_all(
                errors::ErrorKind::StaleEpoch,
                "the owner of the slots changes",
            ));
        }
        state.deliver_refusals(refusals);
    }

    /// Load of a service in the group.
    pub(crate) fn load(&self, service: &ids::WorkId) -> Option<GroupLoad> {
        let state = self.state();
        let load = state.dispatchers.get(service)?.load();
        Some(GroupLoad {
            instances: load.instances,
            free_slots: load.free_slots,
            queue_delay_ms: load.queue_delay_ms,
        })
    }

    /// The instances of a service that run in the group.
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

/// A call in the queue; leaves the queue when it is dropped.
#[derive(Debug)]
struct WaitingCall<'a> {
    owner: &'a Arc<GroupOwner>,
    service: &'a ids::WorkId,
    id: CallId,
    receiver: Option<oneshot::Receiver<errors::Result<Dispatch>>>,
}

impl WaitingCall<'_> {
    async fn wait(mut self) -> errors::Result<Dispatch> {
        let Some(receiver) = self.receiver.as_mut() else {
            return Err(errors::Error::new(
                errors::ErrorKind::Internal,
                "a call waited twice",
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

impl Drop for WaitingCall<'_> {
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
        // A slot was allotted in the same moment; nothing was sent, so it is free again.
        if receiver.try_recv().is_ok() {
            let next = dispatcher.finish(self.id, now_ms);
            state.deliver(next);
        }
    }
}
