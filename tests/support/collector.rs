//! A collector of traces over OTLP, within the test's process.

use std::fmt::Write as _;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use axum::Router;
use axum::body::Bytes;
use axum::routing;
use opentelemetry_proto::tonic::collector::trace::v1::ExportTraceServiceRequest;
use opentelemetry_proto::tonic::common::v1::any_value;
use prost::Message;
use tokio::runtime::{Builder, Runtime};

/// One exported span.
#[derive(Clone, Debug)]
pub struct Span {
    /// Name of the span.
    pub name: String,
    /// Trace in hexadecimal digits.
    pub trace: String,
    /// The span in hexadecimal digits.
    pub id: String,
    /// The parent in hexadecimal digits; empty for a root.
    pub parent: String,
    /// The `host.id` of the process that exported it.
    pub host: String,
}

/// Collects what is exported to it; ends when dropped.
#[derive(Debug)]
pub struct Collector {
    /// The endpoint for `--otlp-endpoint`.
    pub endpoint: String,
    received: Receiver<Bytes>,
    // Dropping it ends the server.
    _runtime: Runtime,
}

impl Collector {
    /// Listens on a free port.
    pub fn start() -> Self {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime starts");
        let (sender, received) = channel();
        let take = move |body: Bytes| {
            let _ = sender.send(body);
            std::future::ready(())
        };
        let routes = Router::new().route("/v1/traces", routing::post(take));
        let listener = runtime
            .block_on(tokio::net::TcpListener::bind("127.0.0.1:0"))
            .expect("a free port");
        let address = listener.local_addr().expect("an address");
        runtime.spawn(async move { axum::serve(listener, routes).await });
        Self {
            endpoint: format!("http://{address}"),
            received,
            _runtime: runtime,
        }
    }

    /// Waits until the spans of a trace satisfy a condition; fails with what came if they never do.
    pub fn wait_for(
        &self,
        trace: &str,
        limit: Duration,
        complete: impl Fn(&[Span]) -> bool,
    ) -> Vec<Span> {
        let started = Instant::now();
        let mut spans = Vec::new();
        while !complete(&spans) {
            let left = limit.saturating_sub(started.elapsed());
            let body = self
                .received
                .recv_timeout(left)
                .unwrap_or_else(|_| panic!("the trace is not whole: {spans:#?}"));
            let request = ExportTraceServiceRequest::decode(body).expect("spans in protobuf");
            spans.extend(
                spans_of(request)
                    .into_iter()
                    .filter(|span| span.trace == trace),
            );
        }
        spans
    }
}

fn spans_of(request: ExportTraceServiceRequest) -> Vec<Span> {
    let mut spans = Vec::new();
    for resource in request.resource_spans {
        let attributes = resource.resource.unwrap_or_default().attributes;
        let host = attributes
            .into_iter()
            .find(|attribute| attribute.key == "host.id")
            .and_then(|attribute| attribute.value?.value);
        let Some(any_value::Value::StringValue(host)) = host else {
            panic!("the resource has no host.id");
        };
        for span in resource
            .scope_spans
            .into_iter()
            .flat_map(|scope| scope.spans)
        {
            spans.push(Span {
                name: span.name,
                trace: hex(&span.trace_id),
                id: hex(&span.span_id),
                parent: hex(&span.parent_span_id),
                host: host.clone(),
            });
        }
    }
    spans
}

fn hex(bytes: &[u8]) -> String {
    let mut text = String::new();
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    text
}
