//! Errors as HTTP answers.

use axum::Json;
use axum::http::{HeaderName, HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};
use derive_more::From;
use kernel::errors;

/// An error on its way to a caller.
#[derive(Debug, From)]
pub(super) struct Failure(errors::Error);

impl IntoResponse for Failure {
    fn into_response(self) -> Response {
        let answer = self.0.kind.answer();
        let status =
            StatusCode::from_u16(answer.http_status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = (status, Json(api::ErrorBody::from(&self.0))).into_response();
        set_header(
            &mut response,
            api::headers::OUTCOME,
            &answer.outcome.to_string(),
        );
        response
    }
}

/// Sets a header of an answer; a value that no header can hold is left out.
pub(super) fn set_header(response: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response
            .headers_mut()
            .insert(HeaderName::from_static(name), value);
    }
}

/// What a handler answers.
pub(super) type Reply<T> = Result<T, Failure>;
