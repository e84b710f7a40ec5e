//! Upstreams that can ignore epochs, mix up answers, or report a lost answer as not run.

use std::mem;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use futures::future::BoxFuture;
use kernel::ids;
use platform::upstreams::{
    Inquiry, UpstreamAddress, UpstreamAnswer, UpstreamCall, UpstreamError, Upstreams,
};

use super::{DisabledGuard, Guard};

#[derive(Debug)]
pub(super) struct UnguardedUpstreams {
    disabled: DisabledGuard,
    inner: Arc<dyn Upstreams>,
    last_body: Mutex<Bytes>,
}

impl UnguardedUpstreams {
    pub(super) fn new(disabled: &DisabledGuard, inner: &Arc<dyn Upstreams>) -> Self {
        Self {
            disabled: disabled.clone(),
            inner: Arc::clone(inner),
            last_body: Mutex::default(),
        }
    }

    /// Stores `body` and returns the previous answer's body, as if a late answer were taken for the
    /// current one.
    fn exchange_body(&self, body: Bytes) -> Bytes {
        let last = self.last_body.lock();
        mem::replace(&mut *last.unwrap_or_else(PoisonError::into_inner), body)
    }
}

impl Upstreams for UnguardedUpstreams {
    fn call<'a>(
        &'a self,
        target: &'a UpstreamAddress,
        call: &'a UpstreamCall,
    ) -> BoxFuture<'a, Result<UpstreamAnswer, UpstreamError>> {
        let mut call = call.clone();
        if self.disabled.guard() == Guard::WorkerEpoch {
            call.epoch = self
                .disabled
                .accepted_order(&target.address, call.epoch)
                .epoch;
        }
        Box::pin(async move {
            let answer = self.inner.call(target, &call).await;
            match (self.disabled.guard(), answer) {
                (Guard::AnswerMatch, Ok(mut answer)) => {
                    answer.body = self.exchange_body(answer.body);
                    Ok(answer)
                }
                (Guard::AnswerLoss, Err(UpstreamError::AnswerLost { detail })) => {
                    Err(UpstreamError::NotRun {
                        detail,
                        leaving: false,
                    })
                }
                (_, answer) => answer,
            }
        })
    }

    fn inquire<'a>(
        &'a self,
        target: &'a UpstreamAddress,
        key: &'a ids::IdempotencyKey,
    ) -> BoxFuture<'a, Result<Inquiry, UpstreamError>> {
        self.inner.inquire(target, key)
    }
}
