//! Tests of the stand-ins: models, fakes on tokio's time, and the same over HTTP.

mod http;
mod http_failures;
mod memory;
mod presets;
mod processes;
mod store_model;
mod support;
mod worker_model;
