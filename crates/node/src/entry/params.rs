//! Parameters in paths, with refusals that carry their kind.

use axum::extract::{FromRequestParts, Path};
use axum::http::request::Parts;
use kernel::errors;
use serde::de::DeserializeOwned;

use super::reply::Failure;

/// The parameters of a path.
#[derive(Debug)]
pub(super) struct Params<T>(pub T);

impl<S, T> FromRequestParts<S> for Params<T>
where
    S: Send + Sync,
    T: DeserializeOwned + Send,
{
    type Rejection = Failure;

    async fn from_request_parts(parts: &mut Parts, state: &S) -> Result<Self, Failure> {
        match Path::from_request_parts(parts, state).await {
            Ok(Path(params)) => Ok(Self(params)),
            Err(rejection) => {
                let detail = format!("the path: {}", rejection.body_text());
                Err(errors::Error::new(errors::ErrorKind::BadRequest, detail).into())
            }
        }
    }
}
