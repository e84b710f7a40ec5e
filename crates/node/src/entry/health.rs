//! Liveness, readiness and metrics.

use axum::extract::{Request, State};
use axum::http::{HeaderValue, StatusCode, header};
use axum::middleware::Next;
use axum::response::Response;
use kernel::lifecycle;

use super::Entry;

/// Liveness: succeeds as long as the process runs.
pub(super) async fn live() -> &'static str {
    "live\n"
}

/// Readiness: 200 while the host is serving, else 503, so that the balancer sends requests to
/// serving hosts only.
pub(super) async fn ready(State(entry): State<Entry>) -> (StatusCode, String) {
    let phase = entry.shared.phase();
    let status = if phase == lifecycle::Phase::Serving {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    (status, format!("{phase}\n"))
}

/// Makes a draining host close each connection after its next response.
///
/// A keep-alive connection that stayed open until the port closes could carry a request at
/// that moment, which would be cut off.
pub(super) async fn close_when_draining(
    State(entry): State<Entry>,
    request: Request,
    next: Next,
) -> Response {
    let mut response = next.run(request).await;
    if entry.shared.phase() == lifecycle::Phase::Draining {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// All metrics in the Prometheus text format.
pub(super) async fn metrics(State(entry): State<Entry>) -> String {
    entry
        .metrics
        .map(|exporter| exporter.render())
        .unwrap_or_default()
}
