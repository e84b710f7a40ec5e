//! The HTTP API that every entry host offers to operators and callers.
//!
//! The daemon and the command-line tool share these types, which keeps their
//! formats consistent. Bodies are JSON, except for release notes, which are sent
//! verbatim as TOML, and calls, whose bodies are defined by the service. Every
//! error response has an [`ErrorBody`] and the HTTP status that `kernel::errors`
//! defines for its kind.
//!
//! | method and path | body | reply |
//! |---|---|---|
//! | `POST /v1/releases` | release note (TOML), header [`headers::SUBMITTER_ID`] | [`SubmitReply`] |
//! | `GET /v1/releases/current`, `GET /v1/releases/{n}` | | [`ReleaseView`] |
//! | `GET /v1/releases/status` | | [`ReleaseStatus`] |
//! | `POST /v1/jobs` | [`JobRequest`], header [`headers::IDEMPOTENCY_KEY`] | 202 with [`JobAccepted`] |
//! | `GET /v1/jobs` | | list of [`JobStatus`] |
//! | `GET /v1/jobs/{id}` | | [`JobStatus`] |
//! | `DELETE /v1/jobs/{id}` | | [`JobAccepted`] |
//! | `GET /v1/hosts` | | list of [`HostView`] |
//! | `GET /v1/workers` | | list of [`WorkerView`] |
//! | `GET /v1/tasks/{work}/{index}` | | [`Explanation`] |
//! | `GET /v1/placements` | | list of [`Placement`] |
//! | any `/v1/call/{service}/{path}` | the service's | the service's, with the headers in [`headers`] |
//! | `GET /live`, `GET /ready`, `GET /metrics` | | text |

pub mod headers;
pub mod paths;

mod cell;
mod error;
mod jobs;
mod releases;

pub use cell::{Explanation, GroupView, HostView, Placement, ShardView, TaskState, WorkerView};
pub use error::ErrorBody;
pub use jobs::{DEFAULT_MAX_ATTEMPTS, JobAccepted, JobKind, JobRequest, JobStatus};
pub use releases::{HostRelease, ReleaseStatus, ReleaseView, SubmitReply};

/// Default address of the API on an entry host.
pub const DEFAULT_HTTP_ADDRESS: &str = "127.0.0.1:7070";
