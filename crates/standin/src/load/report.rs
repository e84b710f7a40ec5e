//! What a run of the load generator found.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;

/// The kind of an answer that is whole and belongs to its request.
const DONE: &str = "done";
/// Significant decimal digits of the histogram.
const HISTOGRAM_DIGITS: u8 = 3;
const MICROS_PER_MS: f64 = 1_000.0;

/// What came of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// `done`, `crossed`, `cut`, `lost`, `timeout`, `not_sent`, or what the answer says.
    pub kind: String,
    /// From when the request was due until its answer was whole.
    pub waited: Duration,
}

impl Outcome {
    /// A request that did not leave.
    pub fn not_sent() -> Self {
        Self {
            kind: "not_sent".to_owned(),
            waited: Duration::ZERO,
        }
    }
}

/// Counts by outcome, and the waiting times of the requests that were done.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Requests that were due.
    pub requests: u64,
    /// How long the run took, in seconds.
    pub elapsed_s: f64,
    /// Requests done in each second of the run.
    pub done_per_s: f64,
    /// Half of the requests that were done waited no longer, in milliseconds.
    pub p50_ms: f64,
    /// 99 in 100 waited no longer.
    pub p99_ms: f64,
    /// 999 in 1,000 waited no longer.
    pub p999_ms: f64,
    /// The longest wait.
    pub max_ms: f64,
    /// Requests by what came of them.
    pub outcomes: IndexMap<String, u64>,
    #[serde(skip)]
    waits_us: Option<Histogram<u64>>,
}

impl Report {
    /// Counts one request.
    pub(super) fn add(&mut self, outcome: &Outcome) {
        self.requests += 1;
        *self.outcomes.entry(outcome.kind.clone()).or_default() += 1;
        if outcome.kind != DONE {
            return;
        }
        if self.waits_us.is_none() {
            self.waits_us = Histogram::new(HISTOGRAM_DIGITS).ok();
        }
        if let Some(waits_us) = &mut self.waits_us {
            waits_us.saturating_record(outcome.waited.as_micros() as u64);
        }
    }

    /// Works out the rates and percentiles.
    pub(super) fn finish(mut self, elapsed: Duration) -> Self {
        self.elapsed_s = elapsed.as_secs_f64();
        let done = self.outcomes.get(DONE).copied().unwrap_or_default();
        self.done_per_s = done as f64 / self.elapsed_s.max(f64::EPSILON);
        self.outcomes.sort_unstable_keys();
        if let Some(waits_us) = &self.waits_us {
            let quantile = |quantile| waits_us.value_at_quantile(quantile) as f64 / MICROS_PER_MS;
            self.p50_ms = quantile(0.5);
            self.p99_ms = quantile(0.99);
            self.p999_ms = quantile(0.999);
            self.max_ms = waits_us.max() as f64 / MICROS_PER_MS;
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
