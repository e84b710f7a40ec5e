//! Outcome counts and latency percentiles of a load generator run.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;

/// Outcome of a request whose answer is complete and matches the request.
const DONE: &str = "done";
/// Significant decimal digits of the latency histogram.
const HISTOGRAM_DIGITS: u8 = 3;
const MICROS_PER_MS: f64 = 1_000.0;

/// Outcome of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// `done`, `crossed`, `cut`, `lost`, `timeout`, `not_sent`, or the outcome given in the answer.
    pub kind: String,
    /// Time from the scheduled send time until the answer was complete.
    pub latency: Duration,
}

impl Outcome {
    /// The outcome of a request that was not sent.
    pub fn not_sent() -> Self {
        Self {
            kind: "not_sent".to_owned(),
            latency: Duration::ZERO,
        }
    }
}

/// Counts by outcome, and latencies of the requests with outcome `done`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Number of scheduled requests, including those not sent.
    pub requests: u64,
    /// Duration of the run, in seconds.
    pub elapsed_s: f64,
    /// Average number of `done` requests per second.
    pub done_per_s: f64,
    /// Median latency of `done` requests, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile latency (99 in 100 requests), in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile latency (999 in 1,000 requests), in milliseconds.
    pub p999_ms: f64,
    /// Maximum latency, in milliseconds.
    pub max_ms: f64,
    /// Number of requests by outcome.
    pub outcomes: IndexMap<String, u64>,
    #[serde(skip)]
    latencies_us: Option<Histogram<u64>>,
}

impl Report {
    /// Records the outcome of one request.
    pub(super) fn add(&mut self, outcome: &Outcome) {
        self.requests += 1;
        *self.outcomes.entry(outcome.kind.clone()).or_default() += 1;
        if outcome.kind != DONE {
            return;
        }
        if self.latencies_us.is_none() {
            self.latencies_us = Histogram::new(HISTOGRAM_DIGITS).ok();
        }
        if let Some(latencies_us) = &mut self.latencies_us {
            latencies_us.saturating_record(outcome.latency.as_micros() as u64);
        }
    }

    /// Computes the rate and the percentiles.
    pub(super) fn finish(mut self, elapsed: Duration) -> Self {
        self.elapsed_s = elapsed.as_secs_f64();
        let done = self.outcomes.get(DONE).copied().unwrap_or_default();
        self.done_per_s = done as f64 / self.elapsed_s.max(f64::EPSILON);
        self.outcomes.sort_unstable_keys();
        if let Some(latencies_us) = &self.latencies_us {
            let quantile =
                |quantile| latencies_us.value_at_quantile(quantile) as f64 / MICROS_PER_MS;
            self.p50_ms = quantile(0.5);
            self.p99_ms = quantile(0.99);
            self.p999_ms = quantile(0.999);
            self.max_ms = latencies_us.max() as f64 / MICROS_PER_MS;
        }
        self
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "{:<32} {:>12}", "requests", self.requests)?;
        writeln!(formatter, "{:<32} {:>12.1}", "elapsed_s", self.elapsed_s)?;
        writeln!(formatter, "{:<32} {:>12.1}", "done_per_s", self.done_per_s)?;
        writeln!(formatter, "{:<32} {:>12.2}", "p50_ms", self.p50_ms)?;
        writeln!(formatter, "{:<32} {:>12.2}", "p99_ms", self.p99_ms)?;
        writeln!(formatter, "{:<32} {:>12.2}", "p999_ms", self.p999_ms)?;
        writeln!(formatter, "{:<32} {:>12.2}", "max_ms", self.max_ms)?;
        for (kind, count) in &self.outcomes {
            writeln!(formatter, "{kind:<32} {count:>12}")?;
        }
        Ok(())
    }
}
