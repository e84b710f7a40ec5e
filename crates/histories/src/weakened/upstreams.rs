//! Upstreams that obey anyone, mix answers up, or take a lost answer for a request not run.

use std::mem;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use futures::future::BoxFuture;
use kernel::ids;
use platform::upstreams::{
    Inquiry, UpstreamAddress, UpstreamAnswer, UpstreamCall, UpstreamError, Upstreams,
};

use super::{Guard, Weakness};

#[derive(Debug)]
pub(super) struct WeakUpstreams {
    weakness: Weakness,
    inner: Arc<dyn Upstreams>,
    last_body: Mutex<Bytes>,
}

impl WeakUpstreams {
    pub(super) fn new(weakness: &Weakness, inner: &Arc<dyn Upstreams>) -> Self {
        Self {
            weakness: weakness.clone(),
            inner: Arc::clone(inner),
            last_body: Mutex::default(),
        }
    }

    /// Gives the body of the answer before, as a late answer taken for the present one.
    fn exchange_body(&self, body: Bytes) -> Bytes {
        let last = self.last_body.lock();
        mem::replace(&mut *last.unwrap_or_else(PoisonError::into_inner), body)
    }
}

impl Upstreams for WeakUpstreams {
    fn call<'a>(
        &'a self,
        target: &'a UpstreamAddress,
        call: &'a UpstreamCall,
    ) -> BoxFuture<'a, Result<UpstreamAnswer, UpstreamError>> {
        let mut call = call.clone();
        if self.weakness.guard() == Guard::WorkerEpoch {
            call.epoch = self.weakness.obeyed(&target.address, call.epoch).epoch;
        }
        Box::pin(async move {
            let answer = self.inner.call(target, &call).await;
            match (self.weakness.guard(), answer) {
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
