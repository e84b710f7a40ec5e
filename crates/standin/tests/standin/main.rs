//! Tests of the stand-ins: models, fakes on tokio's time, and the same over HTTP.

mod http;
mod http_failures;
mod processes;
mod support;
