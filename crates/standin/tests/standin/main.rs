//! Tests of the state machines, the in-memory platform and the HTTP server.

mod http;
mod http_failures;
mod memory;
mod presets;
mod processes;
mod store_model;
mod support;
mod worker_model;
