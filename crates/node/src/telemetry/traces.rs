//! Trace spans and their export over OTLP.

use kernel::errors;
use opentelemetry::propagation::TextMapPropagator as _;
use opentelemetry::trace::{FutureExt as _, SpanKind, TraceContextExt as _, Tracer as _};
use opentelemetry::{Context, KeyValue, global};
use opentelemetry_otlp::WithExportConfig as _;
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::SdkTracerProvider;

const TRACER: &str = "hickorychute";
const TRACEPARENT: &str = "traceparent";

/// Trace exporter of the process. [`TraceExporter::shutdown`] sends the spans that are still
/// buffered.
#[derive(Debug)]
pub struct TraceExporter {
    provider: SdkTracerProvider,
}

impl TraceExporter {
    /// Exports the process's spans to an OTLP endpoint over HTTP.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::Usage`] if the endpoint cannot be used.
    pub fn install(endpoint: &str, host: &str, zone: &str) -> errors::Result<Self> {
        let exporter = opentelemetry_otlp::SpanExporter::builder()
            .with_http()
            .with_endpoint(format!("{}/v1/traces", endpoint.trim_end_matches('/')))
            .build()
            .map_err(|source| {
                errors::Error::with_source(
                    errors::ErrorKind::Usage,
                    format!("--otlp-endpoint {endpoint:?} cannot be used"),
                    source,
                )
            })?;
        let resource = Resource::builder()
            .with_service_name("hickoryd")
            .with_attributes([
                KeyValue::new("host.id", host.to_owned()),
                KeyValue::new("zone", zone.to_owned()),
            ])
            .build();
        let provider = SdkTracerProvider::builder()
            .with_batch_exporter(exporter)
            .with_resource(resource)
            .build();
        global::set_tracer_provider(provider.clone());
        Ok(Self { provider })
    }

    /// Exports the buffered spans. Blocks.
    pub fn shutdown(&self) {
        if let Err(error) = self.provider.shutdown() {
            log::debug!("cannot export the remaining spans: {error}");
        }
    }
}

/// Runs a future in a new span, as a child of the given trace context.
///
/// An empty context inherits the current one; a malformed context starts a new trace.
pub async fn in_span<F: Future>(
    name: &'static str,
    kind: SpanKind,
    traceparent: &str,
    future: F,
) -> F::Output {
    let parent = if traceparent.is_empty() {
        Context::current()
    } else {
        let carrier: std::collections::HashMap<String, String> =
            [(TRACEPARENT.to_owned(), traceparent.to_owned())].into();
        TraceContextPropagator::new().extract(&carrier)
    };
    let tracer = global::tracer(TRACER);
    let span = tracer
        .span_builder(name)
        .with_kind(kind)
        .start_with_context(&tracer, &parent);
    let context = parent.with_span(span);
    future.with_context(context).await
}

/// The current W3C trace context as a `traceparent` value; empty if there is none.
pub fn current_traceparent() -> String {
    let mut carrier = std::collections::HashMap::<String, String>::new();
    TraceContextPropagator::new().inject_context(&Context::current(), &mut carrier);
    carrier.remove(TRACEPARENT).unwrap_or_default()
}
