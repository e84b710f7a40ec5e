//! Progress of runs, measured from the reports of their workers.
//!
//! Declared durations are wrong by half or more, equally for all tasks of a step. So the duration
//! of a single run says little; a slow worker is recognised by comparing its runs with runs of the
//! same step on other workers.

use std::rc::Rc;

/// Minimum time over which the pace of a run is measured, in milliseconds.
const MIN_SPAN_MS: u64 = 400;
/// Minimum progress for a measurement, in percent, since reports contain whole percents.
/// [`MAX_SPAN_MS`] ends a measurement without it.
const MIN_SPAN_PERCENT: u64 = 4;
/// Time after which a measurement ends regardless of progress, in milliseconds: a resuming run
/// makes no progress for up to 600 ms.
const MAX_SPAN_MS: u64 = 1_500;
/// Inverse weight of one measurement in the moving average of the pace.
const PACE_AVERAGE_DIVISOR: f64 = 64.0;
/// Upper bound of one measurement, as a multiple of the declared duration, so that slow and hung
/// runs do not distort the average.
const MAX_PACE_FACTOR: f64 = 4.0;

/// Progress between two measurements of the pace of a worker, in percent: reports contain whole
/// percents, and the duration of the task must not be off by more than about a tenth.
const MIN_SAMPLE_PERCENT: u64 = 20;

/// Progress of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Completed work, in percent.
    pub percent: u64,
    /// Time at which `percent` last changed, in milliseconds of the local clock.
    pub advanced_ms: u64,
    /// Number of consecutive reports without progress.
    pub unchanged_reports: u32,
    /// Estimated duration of the whole task at the last measured pace, in milliseconds; 0 if
    /// unknown.
    pub total_ms: u64,
    /// Longest time taken for one percent so far, in milliseconds.
    pub max_percent_ms: u64,
    span_start_ms: u64,
    span_start_percent: u64,
    /// Time and percentage of the first change of the progress. A resuming run makes no progress at
    /// first, which says nothing about its pace.
    first_advance: Option<(u64, u64)>,
    /// Percentage at the last call of [`Progress::take_sample_ms`] that returned a duration.
    sampled_percent: u64,
    /// Whether a report has contained the run. Until then its progress is unknown, since a resuming
    /// run does not start at 0.
    reported: bool,
}

impl Progress {
    /// Progress of a run that no report has contained yet.
    pub fn unreported(now_ms: u64) -> Self {
        Self {
            advanced_ms: now_ms,
            ..Self::default()
        }
    }

    /// Progress of a run at its first report.
    pub fn first_report(percent: u64, now_ms: u64) -> Self {
        Self {
            percent,
            advanced_ms: now_ms,
            span_start_ms: now_ms,
            span_start_percent: percent,
            reported: true,
            ..Self::default()
        }
    }

    /// Records the progress from a report.
    pub fn update(&mut self, percent: u64, now_ms: u64) {
        if !self.reported {
            *self = Self::first_report(percent, now_ms);
            return;
        }
        if percent == self.percent {
            self.unchanged_reports += 1;
        } else {
            let advanced_percent = percent.saturating_sub(self.percent).max(1);
            let took_ms = now_ms.saturating_sub(self.advanced_ms) / advanced_percent;
            self.max_percent_ms = self.max_percent_ms.max(took_ms);
            self.unchanged_reports = 0;
            self.percent = percent;
            self.advanced_ms = now_ms;
            self.first_advance.get_or_insert((now_ms, percent));
        }
        let span_ms = now_ms.saturating_sub(self.span_start_ms);
        let done_percent = percent.saturating_sub(self.span_start_percent);
        if span_ms < MIN_SPAN_MS || (done_percent < MIN_SPAN_PERCENT && span_ms < MAX_SPAN_MS) {
            return;
        }
        // Without a whole percent of progress, assume one percent: an upper bound of the pace.
        let done_percent = done_percent.max(1);
        self.total_ms = span_ms * 100 / done_percent;
        self.span_start_ms = now_ms;
        self.span_start_percent = percent;
    }

    /// Duration of the whole task at the average pace so far, in milliseconds, if the run has made
    /// enough progress since the last one that was returned.
    pub fn take_sample_ms(&mut self) -> Option<u64> {
        let (first_ms, first_percent) = self.first_advance?;
        if self.percent < self.sampled_percent.max(first_percent) + MIN_SAMPLE_PERCENT {
            return None;
        }
        self.sampled_percent = self.percent;
        let took_ms = self.advanced_ms.saturating_sub(first_ms);
        Some(took_ms * 100 / (self.percent - first_percent))
    }

    /// Duration of the whole task if it has completed now, in milliseconds, by its progress; `None`
    /// if too little of it was observed.
    pub fn completed_ms(&self, now_ms: u64) -> Option<u64> {
        let (first_ms, first_percent) = self.first_advance?;
        let observed_percent = 100_u64.saturating_sub(first_percent);
        let took_ms = now_ms.saturating_sub(first_ms);
        (observed_percent >= MIN_SAMPLE_PERCENT).then(|| took_ms * 100 / observed_percent)
    }

    /// Estimated time to completion, in milliseconds, at the measured pace or, if that is unknown,
    /// assuming `expected_total_ms` for the whole task.
    pub fn remaining_ms(&self, expected_total_ms: u64) -> u64 {
        let total_ms = match self.total_ms {
            0 => expected_total_ms,
            measured_ms => measured_ms,
        };
        total_ms * 100_u64.saturating_sub(self.percent) / 100
    }
}

/// Moving average of the ratio of measured to declared task durations.
#[derive(Clone, Copy, Debug)]
pub struct AveragePace {
    factor: f64,
}

impl Default for AveragePace {
    fn default() -> Self {
        Self { factor: 1.0 }
    }
}

impl AveragePace {
    /// Records the ratio of one measured duration to the declared one.
    pub fn record(&mut self, factor: f64) {
        self.factor += (factor.min(MAX_PACE_FACTOR) - self.factor) / PACE_AVERAGE_DIVISOR;
    }

    /// Expected duration of a task that is declared to take `estimate_ms`, in milliseconds.
    pub fn expected_ms(&self, estimate_ms: u64) -> u64 {
        (estimate_ms as f64 * self.factor) as u64
    }
}

/// Number of fastest workers of a step that are remembered.
const MAX_FASTEST_WORKERS: usize = 3;

/// Durations of a step's tasks on the fastest workers, one entry per worker. Tasks of a step are
/// alike, so a run that takes far longer indicates a slow worker.
#[derive(Clone, Debug, Default)]
pub struct StepPace {
    /// Worker and estimated task duration there in milliseconds, fastest first.
    fastest: Vec<(Rc<str>, u64)>,
}

impl StepPace {
    /// Records the estimated duration of a task on a worker.
    pub fn record(&mut self, worker: &Rc<str>, total_ms: u64) {
        match self.fastest.iter_mut().find(|(known, _)| known == worker) {
            Some((_, known_ms)) => *known_ms = total_ms.min(*known_ms),
            None => self.fastest.push((Rc::clone(worker), total_ms)),
        }
        self.fastest.sort_unstable_by_key(|(_, total_ms)| *total_ms);
        self.fastest.truncate(MAX_FASTEST_WORKERS);
    }

    /// Estimated task duration on the fastest other worker, in milliseconds; `None` if no other
    /// worker has been measured.
    pub fn fastest_elsewhere_ms(&self, worker: &str) -> Option<u64> {
        Some(self.fastest_elsewhere(worker)?.1)
    }

    /// The fastest other worker and the estimated task duration there, in milliseconds.
    pub fn fastest_elsewhere(&self, worker: &str) -> Option<(&Rc<str>, u64)> {
        let (known, total_ms) = self.fastest.iter().find(|(known, _)| **known != *worker)?;
        Some((known, *total_ms))
    }
}

/// Slowdown relative to other workers above which a worker with at least two measured runs is slow:
/// tasks of one step differ by up to a half.
const SLOW_FACTOR: f64 = 3.0;
/// The same for a worker with a single measured run.
const SINGLE_RUN_SLOW_FACTOR: f64 = 4.5;

/// Slowdown of a run of `total_ms` relative to one of `elsewhere_ms` on another worker, beyond what the
/// paces of the two workers let expect.
pub fn slowdown(
    (total_ms, pace_percent): (u64, u32),
    (elsewhere_ms, elsewhere_pace_percent): (u64, u32),
) -> f64 {
    let pace_ratio = f64::from(pace_percent) / f64::from(elsewhere_pace_percent.max(1));
    total_ms as f64 / elsewhere_ms.max(1) as f64 / pace_ratio
}

/// Whether a worker is slow. `factors` contains the slowdown of each of its runs relative to the
/// same step on other workers; it is sorted in place.
pub fn is_slow(factors: &mut [f64]) -> bool {
    factors.sort_unstable_by(f64::total_cmp);
    let Some(median) = factors.get(factors.len().saturating_sub(1) / 2) else {
        return false;
    };
    let threshold = if factors.len() > 1 {
        SLOW_FACTOR
    } else {
        SINGLE_RUN_SLOW_FACTOR
    };
    *median > threshold
}
