//! Counters and histograms of one process.

use kernel::errors;
use opentelemetry::KeyValue;
use opentelemetry::global;
use opentelemetry::metrics::{Counter, Histogram};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;

const METER: &str = "hickorychute";

/// The instruments that the roles write to.
#[derive(Clone, Debug)]
pub struct Metrics {
    calls: Counter<u64>,
    call_ms: Histogram<u64>,
    starts: Counter<u64>,
    ends: Counter<u64>,
    worker_syncs: Counter<u64>,
    refusals: Counter<u64>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Makes the instruments at the process's meter.
    pub fn new() -> Self {
        let meter = global::meter(METER);
        Self {
            calls: meter
                .u64_counter("hickory_calls")
                .with_description("Calls answered, by outcome and error kind")
                .build(),
            call_ms: meter
                .u64_histogram("hickory_call_ms")
                .with_description("Time from a call's arrival to its answer, in milliseconds")
                .build(),
            starts: meter
                .u64_counter("hickory_task_starts")
                .with_description("Starts of tasks that workers carried out")
                .build(),
            ends: meter
                .u64_counter("hickory_task_ends")
                .with_description("Ends of runs, by how they ended")
                .build(),
            worker_syncs: meter
                .u64_counter("hickory_worker_syncs")
                .with_description("Exchanges with workers, by result")
                .build(),
            refusals: meter
                .u64_counter("hickory_refusals")
                .with_description("Requests refused before they were read whole, by reason")
                .build(),
        }
    }

    /// Counts an answered call.
    pub fn call(&self, error: Option<errors::ErrorKind>, elapsed_ms: u64) {
        let outcome = error.map_or(errors::Outcome::Done, |kind| kind.answer().outcome);
        let kind = error.map_or_else(|| "none".to_owned(), |kind| kind.to_string());
        self.calls.add(
            1,
            &[
                KeyValue::new("outcome", outcome.to_string()),
                KeyValue::new("kind", kind),
            ],
        );
        self.call_ms.record(elapsed_ms, &[]);
    }

    /// Counts a start.
    pub fn start(&self) {
        self.starts.add(1, &[]);
    }

    /// Counts the end of a run.
    pub fn end(&self, end: platform::workers::RunEnd) {
        self.ends.add(1, &[KeyValue::new("end", end.to_string())]);
    }

    /// Counts an exchange with a worker.
    pub fn worker_sync(&self, result: &'static str) {
        self.worker_syncs.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a request that was refused before it was read whole.
    pub fn refusal(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }
}

/// The page that a Prometheus scrape reads.
#[derive(Clone, Debug)]
pub struct MetricsPage {
    registry: Registry,
    // Dropping the provider would end the instruments.
    _provider: SdkMeterProvider,
}

impl MetricsPage {
    /// Installs the process's meter provider; call it before any instrument is made.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::Internal`] if the exporter cannot be built.
    pub fn install() -> errors::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|source| {
                errors::Error::with_source(
                    errors::ErrorKind::Internal,
                    "building the metrics exporter",
                    source,
                )
            })?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        global::set_meter_provider(provider.clone());
        Ok(Self {
            registry,
            _provider: provider,
        })
    }

    /// All metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        prometheus::TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }
}
