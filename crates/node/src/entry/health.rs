//! Liveness, readiness and metrics.

use axum::extract::State;
use axum::http::StatusCode;
use kernel::lifecycle;

use super::Entry;

/// Answers as long as the process runs.
pub(super) async fn live() -> &'static str {
    "live\n"
}

/// Answers 200 while the host accepts requests, so that the balancer sends none to others.
pub(super) async fn ready(State(entry): State<Entry>) -> (StatusCode, String) {
    let phase = entry.shared.phase();
    let status = if phase == lifecycle::Phase::Serving {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    (status, format!("{phase}\n"))
}

/// All metrics in the Prometheus text format.
pub(super) async fn metrics(State(entry): State<Entry>) -> String {
    entry.metrics.map(|page| page.render()).unwrap_or_default()
}
