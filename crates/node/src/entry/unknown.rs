//! Answers to requests that no handler takes.

use axum::http::{Method, Uri};
use kernel::errors;

use super::reply::Failure;

/// The answer to a path that does not exist.
pub(super) async fn path(uri: Uri) -> Failure {
    let detail = format!("there is nothing at {}", uri.path());
    errors::Error::new(errors::ErrorKind::NotFound, detail).into()
}

/// The answer to a method that the path does not have.
pub(super) async fn method(method: Method, uri: Uri) -> Failure {
    let detail = format!("{method} is not possible at {}", uri.path());
    errors::Error::new(errors::ErrorKind::BadRequest, detail).into()
}
