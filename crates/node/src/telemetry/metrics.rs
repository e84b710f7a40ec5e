//! Counters and histograms of one process.

use std::sync::Arc;

use kernel::errors;
use opentelemetry::KeyValue;
use opentelemetry::global;
use opentelemetry::metrics::{Counter, Histogram};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;

const METER: &str = "hickorychute";

/// What an instrument measures and how.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstrumentKind {
    /// A sum that only grows.
    Counter,
    /// A distribution of values.
    Histogram,
}

/// The declaration of one instrument.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Instrument {
    /// The name under which it is made; a scrape adds `_total` to counters.
    pub name: &'static str,
    /// How it measures.
    pub kind: InstrumentKind,
    /// Names of its labels.
    pub labels: &'static [&'static str],
    /// What it measures, with its unit.
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
    description: "Starts of tasks that workers carried out",
};
const TASK_ENDS: Instrument = Instrument {
    name: "hickory_task_ends",
    kind: InstrumentKind::Counter,
    labels: &["end"],
    description: "Ends of runs, by how they ended",
};
const WORKER_SYNCS: Instrument = Instrument {
    name: "hickory_worker_syncs",
    kind: InstrumentKind::Counter,
    labels: &["result"],
    description: "Exchanges with workers, by result",
};
const REFUSALS: Instrument = Instrument {
    name: "hickory_refusals",
    kind: InstrumentKind::Counter,
    labels: &["reason"],
    description: "Requests and connections that the HTTP port refused unread, by reason",
};
const PEER_REFUSALS: Instrument = Instrument {
    name: "hickory_peer_refusals",
    kind: InstrumentKind::Counter,
    labels: &["reason"],
    description: "Connections and requests that the port for peers refused, by reason",
};

/// All instruments; `docs/metrics.md` describes them.
pub const INSTRUMENTS: [Instrument; 7] = [
    CALLS,
    CALL_MS,
    TASK_STARTS,
    TASK_ENDS,
    WORKER_SYNCS,
    REFUSALS,
    PEER_REFUSALS,
];

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

    /// Counts a request or connection that the HTTP port refused before it was read whole.
    pub fn refusal(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }
}

fn counter(instrument: Instrument) -> Counter<u64> {
    global::meter(METER)
        .u64_counter(instrument.name)
        .with_description(instrument.description)
        .build()
}

/// Exports what the port for peers counts.
pub fn observe_peer_port(counters: Arc<wire::ServerCounters>) {
    // The meter keeps the callback; the instrument itself is not needed.
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
