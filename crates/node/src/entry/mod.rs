//! The HTTP port for callers and operators.
//!
//! Bodies are read completely, within limits on size and time, before a request is handled, so
//! that a slow or failing sender occupies one connection but no slot.

mod body;
mod calls;
mod health;
mod jobs;
mod listener;
mod operators;
mod params;
mod releases;
mod reply;
mod unknown;

use std::sync::Arc;
use std::time;

use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::routing;
use platform::upstreams;
use tokio::sync::Semaphore;

use crate::{Operations, shared, telemetry};

pub use listener::{HttpConfig, HttpServer};

/// State of the request handlers.
#[derive(Clone, Debug)]
pub struct Entry {
    shared: Arc<shared::Shared>,
    operations: Operations,
    metrics: Option<telemetry::MetricsExporter>,
    /// Budget for buffered request bodies; one permit is one kibibyte.
    body_memory: Arc<Semaphore>,
    body_timeout: time::Duration,
}

/// Budget for buffered request bodies in kibibytes; half of the memory that a host may use.
const MAX_BODY_MEMORY_KIB: usize = 32 * 1024;

impl Entry {
    /// Creates the handlers of one host; without `metrics` the metrics page is empty.
    pub fn new(
        shared: Arc<shared::Shared>,
        metrics: Option<telemetry::MetricsExporter>,
        config: HttpConfig,
    ) -> Self {
        Self {
            operations: Operations::new(Arc::clone(&shared)),
            shared,
            metrics,
            body_memory: Arc::new(Semaphore::new(MAX_BODY_MEMORY_KIB)),
            body_timeout: time::Duration::from_millis(config.request_timeout_ms),
        }
    }

    /// The routes of the HTTP port.
    pub fn routes(self) -> Router {
        Router::new()
            .route(api::paths::LIVE, routing::get(health::live))
            .route(api::paths::READY, routing::get(health::ready))
            .route(api::paths::METRICS, routing::get(health::metrics))
            .route(api::paths::RELEASES, routing::post(releases::submit))
            .route(api::paths::RELEASE_CURRENT, routing::get(releases::current))
            .route(api::paths::RELEASE_STATUS, routing::get(releases::status))
            .route("/v1/releases/{version}", routing::get(releases::show))
            .route(
                api::paths::JOBS,
                routing::post(jobs::submit).get(jobs::list),
            )
            .route(
                "/v1/jobs/{job}",
                routing::get(jobs::status).delete(jobs::cancel),
            )
            .route(api::paths::HOSTS, routing::get(operators::hosts))
            .route(api::paths::WORKERS, routing::get(operators::workers))
            .route(api::paths::PLACEMENTS, routing::get(operators::placements))
            .route("/v1/tasks/{work}/{index}", routing::get(operators::explain))
            .route("/v1/call/{service}", routing::any(calls::call_root))
            .route("/v1/call/{service}/{*path}", routing::any(calls::call))
            .fallback(unknown::path)
            .method_not_allowed_fallback(unknown::method)
            .layer(DefaultBodyLimit::max(upstreams::BODY_LIMIT_BYTES))
            .layer(axum::middleware::from_fn_with_state(
                self.clone(),
                health::close_when_draining,
            ))
            .with_state(self)
    }
}
