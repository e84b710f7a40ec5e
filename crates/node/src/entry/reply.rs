//! HTTP responses of handlers, including errors.

use axum::Json;
use axum::http::{HeaderName, HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};
use derive_more::From;
use kernel::errors;

/// An error as an HTTP response.
#[derive(Debug, From)]
pub(super) struct ErrorResponse(errors::Error);

impl IntoResponse for ErrorResponse {
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

/// Sets a response header; a value that is not valid in a header is omitted.
pub(super) fn set_header(response: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response
            .headers_mut()
            .insert(HeaderName::from_static(name), value);
    }
}

/// Result of a handler.
pub(super) type HandlerResult<T> = Result<T, ErrorResponse>;
