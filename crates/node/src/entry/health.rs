//! Liveness, readiness and metrics.

use axum::extract::{Request, State};
use axum::http::{HeaderValue, StatusCode, header};
use axum::middleware::Next;
use axum::response::Response;
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

/// Lets a draining host close each connection with its next answer.
///
/// A connection that were kept until the port closes might carry a request at that very
/// moment, which would be cut.
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
    entry.metrics.map(|page| page.render()).unwrap_or_default()
}
