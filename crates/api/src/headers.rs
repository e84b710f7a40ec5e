//! Names of the request and reply headers.

/// Request: identifies one submission of a release note; repeat it when sending the note again.
pub const SUBMITTER_ID: &str = "x-submitter-id";
/// Request: the release version, in decimal, on which a submitted note must be applied.
pub const BASE_VERSION: &str = "x-base-version";
/// Request: the key under which a call or a submitted job takes effect at most once.
///
/// A call without it is idempotent and may be tried more than once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Request: the team whose share the call uses.
pub const TEAM: &str = "x-team";
/// Request: time that the caller waits for the answer, in milliseconds.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// Request: `deferrable`, `normal` or `urgent`.
pub const URGENCY: &str = "x-urgency";
/// Request: W3C trace context.
pub const TRACEPARENT: &str = "traceparent";
/// Reply: `done`, `not_run` or `unknown`.
pub const OUTCOME: &str = "x-outcome";
/// Reply: the task that answered the call, as `WORK/INDEX`.
pub const INSTANCE: &str = "x-instance";
/// Reply: the number of the attempt to which the answer belongs.
pub const ATTEMPT_ID: &str = "x-attempt-id";
