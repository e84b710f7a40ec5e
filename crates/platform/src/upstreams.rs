//! Interface for calls to upstream instances.
//!
//! An upstream instance (a minion) is a running task of a service, reached
//! through its worker's address. Responses are passed on only if complete.

use std::fmt;

use bytes::Bytes;
use derive_more::Display;
use futures::future;
use kernel::ids;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Maximum size of a request or response body.
pub const BODY_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Address of an upstream instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UpstreamAddress {
    /// Address of the worker, as given in the worker list.
    pub address: String,
    /// The task attempt that serves as the instance.
    pub run: ids::TaskAttempt,
}

/// One attempt to send a call to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamCall {
    /// ID of the attempt, which the response echoes.
    pub attempt_id: u64,
    /// Epoch of the group owner that allocated the slot.
    pub epoch: ids::Epoch,
    /// Request path within the service, as sent by the caller.
    pub path: String,
    /// Request body.
    pub body: Bytes,
    /// Idempotency key; `None` if the request is idempotent.
    pub key: Option<ids::IdempotencyKey>,
    /// Time left until the caller's deadline, in milliseconds.
    pub deadline_ms: u64,
    /// W3C trace context; empty if the call is not traced.
    pub traceparent: String,
}

/// A complete response of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamAnswer {
    /// ID of the attempt that produced the response.
    pub attempt_id: u64,
    /// HTTP status returned by the upstream.
    pub status: u16,
    /// Response body, complete.
    pub body: Bytes,
}

/// Errors of calls to upstreams.
#[derive(Debug, Snafu)]
pub enum UpstreamError {
    /// The request was not sent, or the upstream rejected it without running it.
    #[snafu(display("the upstream did not run the request: {detail}"))]
    NotRun {
        /// Description of the failure.
        detail: String,
        /// Whether the upstream rejected the request because it is shutting down.
        leaving: bool,
    },
    /// The request was sent, but no complete response was received.
    #[snafu(display("no complete response from the upstream: {detail}"))]
    AnswerLost {
        /// Description of the failure.
        detail: String,
    },
}

/// State of a non-idempotent request at an upstream instance.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Inquiry {
    /// The request completed with this response.
    #[display("ran")]
    Ran(UpstreamAnswer),
    /// The request is still running.
    #[display("running")]
    Running,
    /// The instance has not received the request, and will reject it if it arrives later.
    #[display("never seen")]
    NeverSeen,
}

/// Client of upstream instances.
pub trait Upstreams: fmt::Debug + Send + Sync {
    /// Sends one attempt and waits for the complete response.
    fn call<'a>(
        &'a self,
        target: &'a UpstreamAddress,
        call: &'a UpstreamCall,
    ) -> future::BoxFuture<'a, Result<UpstreamAnswer, UpstreamError>>;

    /// Queries an instance for the state of a non-idempotent request.
    fn inquire<'a>(
        &'a self,
        target: &'a UpstreamAddress,
        key: &'a ids::IdempotencyKey,
    ) -> future::BoxFuture<'a, Result<Inquiry, UpstreamError>>;
}
