//! Names of the request and reply headers.

/// Request: identifies one submission of a release note; retries must send the same value.
pub const SUBMITTER_ID: &str = "x-submitter-id";
/// Request: the release version, in decimal, to which the submitted note must be applied.
pub const BASE_VERSION: &str = "x-base-version";
/// Request: the key under which a call or a submitted job takes effect at most once.
///
/// A call without this header is treated as idempotent and may be retried.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Request: the team whose fair share the call uses.
pub const TEAM: &str = "x-team";
/// Request: the caller's time-out for the response, in milliseconds.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// Request: scheduling priority of the call: `deferrable`, `normal` or `urgent`.
pub const URGENCY: &str = "x-urgency";
/// Request: W3C Trace Context.
pub const TRACEPARENT: &str = "traceparent";
/// Reply: whether the call ran: `done`, `not_run` or `unknown`.
pub const OUTCOME: &str = "x-outcome";
/// Reply: the task that processed the call, as `WORK/INDEX`.
pub const INSTANCE: &str = "x-instance";
/// Reply: the number of the attempt that produced the reply.
pub const ATTEMPT_ID: &str = "x-attempt-id";
