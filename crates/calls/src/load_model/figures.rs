//! What a run of the model shows.

use hdrhistogram::Histogram;

/// Largest time that is told apart.
const LIMIT_US: u64 = 60_000_000;
/// Significant digits of a time.
const DIGITS: u8 = 3;

/// Percentiles of a time in milliseconds; zero if there was no sample.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Waits {
    /// Half of the samples are at or below.
    pub p50_ms: f64,
    /// 99% of the samples are at or below.
    pub p99_ms: f64,
    /// 99.9% of the samples are at or below.
    pub p999_ms: f64,
}

/// What became of the calls of one class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassFigures {
    /// The class.
    pub name: &'static str,
    /// Calls that were made.
    pub offered: u64,
    /// Calls whose answer reached the caller in time.
    pub answered: u64,
    /// Time from the caller to the start at an instance, of calls that started.
    pub wait: Waits,
    /// Time from the caller and back, of calls that were answered in time.
    pub response: Waits,
}

/// What became of the calls that were sent, and answered, while a run counted.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadFigures {
    /// Calls that were made.
    pub offered: u64,
    /// Calls whose answer reached the caller in time.
    pub answered: u64,
    /// Answers that reached their caller in time, a second.
    pub answered_per_s: f64,
    /// Slot time that those answers took, as a share of all slot time.
    pub useful_slot_share: f64,
    /// Calls that were refused in the end, as a share.
    pub refused_share: f64,
    /// Calls that ran and were answered too late, as a share.
    pub late_share: f64,
    /// Attempts after the first, as a share of the calls.
    pub retry_share: f64,
    /// Mean time of an answered call that was neither waiting for a slot nor in an instance.
    pub network_ms: f64,
    /// Lowest share of its quota that a team that does not flood got.
    ///
    /// Slot time of its answered calls, by that of all its calls or by the quota,
    /// whichever is less.
    pub quota_share_min: f64,
    /// Mean of that share over those teams.
    pub quota_share_mean: f64,
    /// Most calls ever open on one instance, over all entry hosts.
    pub open_calls_max: u32,
    /// Bytes that a call put on the link between regions, on average.
    pub link_bytes_per_call: f64,
    /// By class of call.
    pub classes: Vec<ClassFigures>,
}

impl LoadFigures {
    /// The figures of one class.
    pub fn class(&self, name: &str) -> Option<&ClassFigures> {
        self.classes.iter().find(|class| class.name == name)
    }
}

/// Samples of a time.
#[derive(Debug)]
pub(super) struct Samples(Option<Histogram<u64>>);

impl Samples {
    pub(super) fn new() -> Self {
        Self(Histogram::new_with_bounds(1, LIMIT_US, DIGITS).ok())
    }

    pub(super) fn record(&mut self, time_us: u64) {
        if let Some(histogram) = &mut self.0 {
            histogram.saturating_record(time_us.max(1));
        }
    }

    pub(super) fn waits(&self) -> Waits {
        let at = |quantile| {
            let histogram = self.0.as_ref();
            histogram.map_or(0.0, |histogram| {
                histogram.value_at_quantile(quantile) as f64 / 1_000.0
            })
        };
        Waits {
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            p999_ms: at(0.999),
        }
    }
}
