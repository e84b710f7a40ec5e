//! Blocking HTTP requests for tests.

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tokio::runtime::Builder;

/// An answer; status 0 if there was none.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// The `x-outcome` header.
    pub outcome: String,
    /// The body, as far as it arrived.
    pub body: Bytes,
    /// Whether the body arrived whole.
    pub whole: bool,
}

impl Reply {
    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends one request on a connection of its own.
pub fn request(
    method: &str,
    address: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Reply {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime starts");
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(Bytes::copy_from_slice(body)))
        .expect("a valid request");
    runtime.block_on(async {
        let client = Client::builder(TokioExecutor::new()).build_http();
        let none = Reply {
            status: 0,
            outcome: String::new(),
            body: Bytes::new(),
            whole: false,
        };
        let Ok(response) = client.request(request).await else {
            return none;
        };
        let status = response.status().as_u16();
        let outcome = response
            .headers()
            .get("x-outcome")
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        match response.into_body().collect().await {
            Ok(body) => Reply {
                status,
                outcome,
                body: body.to_bytes(),
                whole: true,
            },
            Err(_) => Reply {
                status,
                outcome,
                ..none
            },
        }
    })
}
