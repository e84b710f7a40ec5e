//! Results of a run of the model.

use hdrhistogram::Histogram;

/// Upper bound of recorded latencies; longer ones are clamped.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Significant decimal digits of recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Percentiles of a latency in milliseconds; zero if there are no samples.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LatencyPercentiles {
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
}

/// Results for the calls of one class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassResults {
    /// Name of the class in its workload.
    pub name: &'static str,
    /// Number of calls sent.
    pub offered: u64,
    /// Number of calls whose answer reached the caller in time.
    pub answered: u64,
    /// Time from sending to the start at an instance, for calls that started.
    pub wait: LatencyPercentiles,
    /// Time from sending to the answer, for calls that were answered in time.
    pub response: LatencyPercentiles,
}

/// Results for the measurement window of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadResults {
    /// Number of calls sent.
    pub offered: u64,
    /// Number of calls whose answer reached the caller in time.
    pub answered: u64,
    /// Goodput: answers per second that reached their caller in time.
    pub answered_per_s: f64,
    /// Fraction of all slot time spent on calls that were answered in time.
    pub useful_slot_share: f64,
    /// Fraction of the calls that were refused finally, after any retries.
    pub refused_share: f64,
    /// Fraction of the calls that ran and were answered after the deadline.
    pub late_share: f64,
    /// Ratio of retries to calls.
    pub retry_share: f64,
    /// Mean time of an answered call spent neither waiting for a slot nor in service.
    pub network_ms: f64,
    /// Lowest fraction of its quota that a non-flooding team received.
    ///
    /// This is the slot time of the team's answered calls, divided by the lower of its
    /// quota and the slot time of all its calls.
    pub quota_share_min: f64,
    /// Mean of the same fraction over the non-flooding teams.
    pub quota_share_mean: f64,
    /// Maximum number of calls open on one instance at once, across all entry hosts.
    pub open_calls_max: u32,
    /// Bytes sent over the link between regions, per answered call.
    pub link_bytes_per_call: f64,
    /// Results by class of calls.
    pub classes: Vec<ClassResults>,
}

impl LoadResults {
    /// Results of the class `name`; `None` if the workload has no such class.
    pub fn class(&self, name: &str) -> Option<&ClassResults> {
        self.classes.iter().find(|class| class.name == name)
    }
}

/// Histogram of a latency.
#[derive(Debug)]
pub(super) struct LatencyHistogram(Option<Histogram<u64>>);

impl LatencyHistogram {
    pub(super) fn new() -> Self {
        Self(Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS).ok())
    }

    pub(super) fn record(&mut self, time_us: u64) {
        if let Some(histogram) = &mut self.0 {
            histogram.saturating_record(time_us.max(1));
        }
    }

    pub(super) fn percentiles(&self) -> LatencyPercentiles {
        let at = |quantile| {
            let histogram = self.0.as_ref();
            histogram.map_or(0.0, |histogram| {
                histogram.value_at_quantile(quantile) as f64 / 1_000.0
            })
        };
        LatencyPercentiles {
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            p999_ms: at(0.999),
        }
    }
}
