//! HTTP client of upstream instances.

use std::sync::Arc;

use bytes::Bytes;
use futures::FutureExt;
use futures::future;
use http_body_util::Full;
use kernel::ids;

use super::connection::{Connection, ExchangeError, JsonError, Response};
use super::messages;
use super::{
    ATTEMPT_HEADER, DEADLINE_HEADER, EPOCH_HEADER, KEY_HEADER, NOT_RUN_HEADER, NOT_RUN_LEAVING,
    RUN_HEADER, TASK_HEADER, TRACE_HEADER,
};
use crate::events;
use crate::upstreams::{
    BODY_LIMIT_BYTES, Inquiry, UpstreamAddress, UpstreamAnswer, UpstreamCall, UpstreamError,
    Upstreams,
};

/// Time-out of an inquiry.
const INQUIRE_TIMEOUT_MS: u64 = 2_000;

/// Client of upstream instances, addressed through their workers.
#[derive(Debug)]
pub(super) struct HttpUpstreams {
    connection: Arc<Connection>,
}

impl HttpUpstreams {
    pub(super) const fn new(connection: Arc<Connection>) -> Self {
        Self { connection }
    }
}

impl Upstreams for HttpUpstreams {
    fn call<'a>(
        &'a self,
        target: &'a UpstreamAddress,
        call: &'a UpstreamCall,
    ) -> future::BoxFuture<'a, Result<UpstreamAnswer, UpstreamError>> {
        async move {
            let request = to_request(target, call).map_err(|error| UpstreamError::NotRun {
                detail: error.to_string(),
                leaving: false,
            })?;
            let exchange = self.connection.exchange(request, call.deadline_ms);
            to_answer(call, exchange.await.map_err(to_upstream_error)?)
        }
        .boxed()
    }

    fn inquire<'a>(
        &'a self,
        target: &'a UpstreamAddress,
        key: &'a ids::IdempotencyKey,
    ) -> future::BoxFuture<'a, Result<Inquiry, UpstreamError>> {
        async move {
            let uri = format!("http://{}/inquire", target.address);
            let message = messages::Inquire {
                run: target.run.clone(),
                key: key.clone(),
            };
            let post = self.connection.post(&uri, &message, INQUIRE_TIMEOUT_MS);
            let reply: Result<messages::InquiryMessage, JsonError> = post.await;
            match reply {
                Ok(message) => Ok(message.into()),
                Err(JsonError::Exchange(failure)) => Err(to_upstream_error(failure)),
                Err(JsonError::Rejected(refusal)) => Err(UpstreamError::NotRun {
                    detail: format!("{refusal:?}"),
                    leaving: false,
                }),
            }
        }
        .boxed()
    }
}

fn to_request(
    target: &UpstreamAddress,
    call: &UpstreamCall,
) -> Result<http::Request<Full<Bytes>>, http::Error> {
    let path = call.path.trim_start_matches('/');
    let mut request = http::Request::post(format!("http://{}/call/{path}", target.address))
        .header(TASK_HEADER, target.run.task.to_string())
        .header(RUN_HEADER, target.run.attempt.0)
        .header(ATTEMPT_HEADER, call.attempt_id)
        .header(EPOCH_HEADER, call.epoch.0)
        .header(DEADLINE_HEADER, call.deadline_ms);
    if let Some(key) = &call.key {
        request = request.header(KEY_HEADER, key.as_str());
    }
    if !call.traceparent.is_empty() {
        request = request.header(TRACE_HEADER, &call.traceparent);
    }
    request.body(Full::new(call.body.clone()))
}

fn to_answer(call: &UpstreamCall, reply: Response) -> Result<UpstreamAnswer, UpstreamError> {
    if let Some(reason) = reply.headers.get(NOT_RUN_HEADER) {
        return Err(UpstreamError::NotRun {
            detail: String::from_utf8_lossy(&reply.body).into_owned(),
            leaving: reason == NOT_RUN_LEAVING,
        });
    }
    let attempt_id = reply.headers.get(ATTEMPT_HEADER);
    let attempt_id = attempt_id.and_then(|value| value.to_str().ok()?.parse().ok());
    if attempt_id != Some(call.attempt_id) {
        let detail = format!("the response belongs to attempt {attempt_id:?}");
        kernel::log_event!(
            events::ANSWER_CROSSED,
            "attempt {}: {detail}",
            call.attempt_id
        );
        return Err(UpstreamError::AnswerLost { detail });
    }
    if reply.body.len() > BODY_LIMIT_BYTES {
        let detail = format!(
            "a response of {} bytes exceeds the limit of {BODY_LIMIT_BYTES} bytes",
            reply.body.len()
        );
        return Err(UpstreamError::AnswerLost { detail });
    }
    Ok(UpstreamAnswer {
        attempt_id: call.attempt_id,
        status: reply.status.as_u16(),
        body: reply.body,
    })
}

fn to_upstream_error(failure: ExchangeError) -> UpstreamError {
    match failure {
        ExchangeError::NotSent { detail } => UpstreamError::NotRun {
            detail,
            leaving: false,
        },
        ExchangeError::ResponseLost { detail } => UpstreamError::AnswerLost { detail },
    }
}
