//! Counters and histograms of one process.

use std::sync::Arc;

use kernel::errors;
use opentelemetry::KeyValue;
use opentelemetry::global;
use opentelemetry::metrics::{Counter, Histogram};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;

const METER: &str = "hickorychute";

/// The kind of an instrument.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstrumentKind {
    /// A monotonic sum.
    Counter,
    /// A distribution of values.
    Histogram,
}

/// The declaration of one instrument.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Instrument {
    /// Name of the instrument; the Prometheus exporter appends `_total` to counters.
    pub name: &'static str,
    /// Whether it is a counter or a histogram.
    pub kind: InstrumentKind,
    /// Label names.
    pub labels: &'static [&'static str],
    /// Description, with the unit if it has one.
    pub description: &'static str,
}

const CALLS: Instrument = Instrument {
    name: "hickory_calls",
    kind: InstrumentKind::Counter,
    labels: &["outcome", "kind"],
    description: "Calls answered, by outcome and error kind",
};
const CALL_MS: Instrument = Instrument {
    name: "hickory_call_ms",
    kind: InstrumentKind::Histogram,
    labels: &[],
    description: "Time from a call's arrival to its answer, in milliseconds",
};
const TASK_STARTS: Instrument = Instrument {
    name: "hickory_task_starts",
    kind: InstrumentKind::Counter,
    labels: &[],
    description: "Tasks started on workers",
};
const TASK_ENDS: Instrument = Instrument {
    name: "hickory_task_ends",
    kind: InstrumentKind::Counter,
    labels: &["end"],
    description: "Runs ended, by kind of end",
};
const WORKER_SYNCS: Instrument = Instrument {
    name: "hickory_worker_syncs",
    kind: InstrumentKind::Counter,
    labels: &["result"],
    description: "Sync requests to workers, by result",
};
const REFUSALS: Instrument = Instrument {
    name: "hickory_refusals",
    kind: InstrumentKind::Counter,
    labels: &["reason"],
    description: "Requests and connections refused by the HTTP port before they were read, by reason",
};
const PEER_REFUSALS: Instrument = Instrument {
    name: "hickory_peer_refusals",
    kind: InstrumentKind::Counter,
    labels: &["reason"],
    description: "Connections and requests refused by the peer port, by reason",
};

/// All instruments, as documented in `docs/metrics.md`.
pub const INSTRUMENTS: [Instrument; 7] = [
    CALLS,
    CALL_MS,
    TASK_STARTS,
    TASK_ENDS,
    WORKER_SYNCS,
    REFUSALS,
    PEER_REFUSALS,
];

/// Instruments recorded by the roles of the host.
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
    /// Creates the instruments on the global meter provider.
    pub fn new() -> Self {
        Self {
            calls: counter(CALLS),
            call_ms: global::meter(METER)
                .u64_histogram(CALL_MS.name)
                .with_description(CALL_MS.description)
                .build(),
            starts: counter(TASK_STARTS),
            ends: counter(TASK_ENDS),
            worker_syncs: counter(WORKER_SYNCS),
            refusals: counter(REFUSALS),
        }
    }

    /// Records an answered call; `None` stands for success.
    pub fn record_call(&self, error: Option<errors::ErrorKind>, elapsed_ms: u64) {
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

    /// Counts a task started on a worker.
    pub fn record_start(&self) {
        self.starts.add(1, &[]);
    }

    /// Counts the end of a run.
    pub fn record_end(&self, end: platform::workers::RunEnd) {
        self.ends.add(1, &[KeyValue::new("end", end.to_string())]);
    }

    /// Counts a sync request to a worker, by `result`.
    pub fn record_worker_sync(&self, result: &'static str) {
        self.worker_syncs.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a request or connection that the HTTP port refused before it was read
    /// completely.
    pub fn record_refusal(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }
}

fn counter(instrument: Instrument) -> Counter<u64> {
    global::meter(METER)
        .u64_counter(instrument.name)
        .with_description(instrument.description)
        .build()
}

/// Exports the refusal counters of the peer port.
pub fn register_peer_port_metrics(counters: Arc<wire::ServerCounters>) {
    // The meter provider keeps the callback, so the instrument need not be kept.
    let _ = global::meter(METER)
        .u64_observable_counter(PEER_REFUSALS.name)
        .with_description(PEER_REFUSALS.description)
        .with_callback(move |observer| {
            for (reason, count) in counters.by_reason() {
                observer.observe(count, &[KeyValue::new("reason", reason)]);
            }
        })
        .build();
}

/// Renders the process's metrics for Prometheus.
#[derive(Clone, Debug)]
pub struct MetricsExporter {
    registry: Registry,
    // Dropping the provider would shut down its instruments.
    _provider: SdkMeterProvider,
}

impl MetricsExporter {
    /// Installs the global meter provider; must be called before any instrument is created.
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
                    "cannot build the metrics exporter",
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
