//! Path parameters, with rejections as [`ErrorResponse`].

use axum::extract::{FromRequestParts, Path};
use axum::http::request::Parts;
use kernel::errors;
use serde::de::DeserializeOwned;

use super::reply::ErrorResponse;

/// The parameters of a path, like [`Path`].
#[derive(Debug)]
pub(super) struct PathParams<T>(pub T);

impl<S, T> FromRequestParts<S> for PathParams<T>
where
    S: Send + Sync,
    T: DeserializeOwned + Send,
{
    type Rejection = ErrorResponse;

    async fn from_request_parts(parts: &mut Parts, state: &S) -> Result<Self, ErrorResponse> {
        match Path::from_request_parts(parts, state).await {
            Ok(Path(params)) => Ok(Self(params)),
            Err(rejection) => {
                let detail = format!("invalid path: {}", rejection.body_text());
                Err(errors::Error::new(errors::ErrorKind::BadRequest, detail).into())
            }
        }
    }
}
