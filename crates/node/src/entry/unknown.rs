//! Fallbacks for requests without a handler.

use axum::http::{Method, Uri};
use kernel::errors;

use super::reply::ErrorResponse;

/// Response to an unknown path.
pub(super) async fn path(uri: Uri) -> ErrorResponse {
    let detail = format!("unknown path {}", uri.path());
    errors::Error::new(errors::ErrorKind::NotFound, detail).into()
}

/// Response to a method that the path does not support.
pub(super) async fn method(method: Method, uri: Uri) -> ErrorResponse {
    let detail = format!("method {method} is not allowed for {}", uri.path());
    errors::Error::new(errors::ErrorKind::BadRequest, detail).into()
}
