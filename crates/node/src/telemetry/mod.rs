//! Metrics and traces.
//!
//! Metrics are kept by OpenTelemetry and read by a Prometheus scrape. A trace
//! has one span for each hop of a request; the context travels in
//! `traceparent` headers and envelopes.

mod metrics;
mod traces;

pub use metrics::{
    INSTRUMENTS, Instrument, InstrumentKind, Metrics, MetricsPage, observe_peer_port,
};
pub use traces::{Tracing, current_traceparent, in_span};
