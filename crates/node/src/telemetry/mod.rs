//! Metrics and traces.
//!
//! Metrics are recorded with OpenTelemetry and exposed for Prometheus to scrape. A trace has
//! one span for each hop of a request; the trace context is propagated in `traceparent`
//! headers and envelopes.

mod metrics;
mod traces;

pub use metrics::{
    INSTRUMENTS, Instrument, InstrumentKind, Metrics, MetricsExporter, register_peer_port_metrics,
};
pub use traces::{TraceExporter, current_traceparent, in_span};
