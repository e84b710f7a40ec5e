//! How the work of a run goes on, as its worker's lists show it.
//!
//! Declared durations are off by half and more, for all tasks of a step alike. So a run says little
//! by itself; what tells a slow worker from a sound one is the pace of the same step's runs on other
//! workers.

use std::rc::Rc;

/// The pace of a run is measured over at least this time, in milliseconds.
const SPAN_MS: u64 = 400;
/// A measurement takes this many percents, since lists show whole ones, or a longer time.
const SPAN_PERCENTS: u64 = 4;
/// That longer time, in milliseconds: a run that resumes makes no progress for up to 600 ms.
const LONG_SPAN_MS: u64 = 1_500;
/// Weight of one measurement in the usual pace, as a divisor.
const USUAL_WEIGHT: f64 = 64.0;
/// One measurement counts at most as this much of the declared duration, so that slow and hung
/// runs do not make slowness usual.
const MOST_PACE: f64 = 4.0;

/// How far a run has got.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// How much of its work is done, in percent.
    pub percent: u64,
    /// When `percent` last changed, in milliseconds of our clock.
    pub moved_ms: u64,
    /// Lists in a row that showed no change.
    pub unchanged_lists: u32,
    /// What the whole work takes at the pace last measured, in milliseconds; 0 while unknown.
    pub total_ms: u64,
    /// The longest that one percent has taken so far, in milliseconds.
    pub percent_ms: u64,
    span_from_ms: u64,
    span_from_percent: u64,
    /// A list has shown the run. Before that nothing is known of it, since a run that resumes does
    /// not start at 0.
    shown: bool,
}

impl Progress {
    /// A run that no list has shown yet.
    pub fn unseen(now_ms: u64) -> Self {
        Self {
            moved_ms: now_ms,
            ..Self::default()
        }
    }

    /// A run that a list shows for the first time.
    pub fn begin(percent: u64, now_ms: u64) -> Self {
        Self {
            percent,
            moved_ms: now_ms,
            span_from_ms: now_ms,
            span_from_percent: percent,
            shown: true,
            ..Self::default()
        }
    }

    /// Takes over what a list shows.
    pub fn show(&mut self, percent: u64, now_ms: u64) {
        if !self.shown {
            *self = Self::begin(percent, now_ms);
            return;
        }
        if percent == self.percent {
            self.unchanged_lists += 1;
        } else {
            let moved = percent.saturating_sub(self.percent).max(1);
            let took_ms = now_ms.saturating_sub(self.moved_ms) / moved;
            self.percent_ms = self.percent_ms.max(took_ms);
            self.unchanged_lists = 0;
            self.percent = percent;
            self.moved_ms = now_ms;
        }
        let span_ms = now_ms.saturating_sub(self.span_from_ms);
        let done = percent.saturating_sub(self.span_from_percent);
        if span_ms < SPAN_MS || (done < SPAN_PERCENTS && span_ms < LONG_SPAN_MS) {
            return;
        }
        // Without a whole percent the pace is at most what one percent would give.
        let done = done.max(1);
        self.total_ms = span_ms * 100 / done;
        self.span_from_ms = now_ms;
        self.span_from_percent = percent;
    }

    /// How long the rest of the work takes, in milliseconds: at the measured pace, or else at
    /// `expected_total_ms` for the whole.
    pub fn rest_ms(&self, expected_total_ms: u64) -> u64 {
        let total_ms = match self.total_ms {
            0 => expected_total_ms,
            measured_ms => measured_ms,
        };
        total_ms * 100_u64.saturating_sub(self.percent) / 100
    }
}

/// How long tasks usually take, against what was declared.
#[derive(Clone, Copy, Debug)]
pub struct UsualPace {
    factor: f64,
}

impl Default for UsualPace {
    fn default() -> Self {
        Self { factor: 1.0 }
    }
}

impl UsualPace {
    /// Takes over one measurement: what the whole work takes against what was declared.
    pub fn learn(&mut self, factor: f64) {
        self.factor += (factor.min(MOST_PACE) - self.factor) / USUAL_WEIGHT;
    }

    /// How long a task that was declared to take `estimate_ms` is expected to take, in
    /// milliseconds.
    pub fn expected_ms(&self, estimate_ms: u64) -> u64 {
        (estimate_ms as f64 * self.factor) as u64
    }
}

/// How many of the fastest workers of a step are remembered.
const FASTEST_KEPT: usize = 3;

/// The fastest runs of one step, one a worker. Tasks of a step are alike, so a run that takes far
/// longer than these tells of its worker.
#[derive(Clone, Debug, Default)]
pub struct StepPace {
    /// Worker and what the whole work takes there in milliseconds, fastest first.
    fastest: Vec<(Rc<str>, u64)>,
}

impl StepPace {
    /// Takes over what the whole work of a task takes on a worker.
    pub fn learn(&mut self, worker: &Rc<str>, total_ms: u64) {
        match self.fastest.iter_mut().find(|(known, _)| known == worker) {
            Some((_, known_ms)) => *known_ms = total_ms.min(*known_ms),
            None => self.fastest.push((Rc::clone(worker), total_ms)),
        }
        self.fastest.sort_unstable_by_key(|(_, total_ms)| *total_ms);
        self.fastest.truncate(FASTEST_KEPT);
    }

    /// What the whole work takes on the fastest of the other workers, in milliseconds; `None`
    /// while that was not measured.
    pub fn elsewhere_ms(&self, worker: &str) -> Option<u64> {
        let (_, total_ms) = self.fastest.iter().find(|(known, _)| **known != *worker)?;
        Some(*total_ms)
    }
}

/// Runs must take this many times as long as on other workers for their worker to count as slow,
/// with two runs that say so: tasks of one step differ by up to a half.
const SLOW_FACTOR: f64 = 3.0;
/// The same with a single run that says so.
const SLOW_FACTOR_ALONE: f64 = 4.5;

/// Whether a worker is slow; `factors` tell how many times as long each of its runs takes as the
/// same work on other workers.
pub fn is_slow(factors: &mut [f64]) -> bool {
    factors.sort_unstable_by(f64::total_cmp);
    let Some(median) = factors.get(factors.len().saturating_sub(1) / 2) else {
        return false;
    };
    let least = if factors.len() > 1 {
        SLOW_FACTOR
    } else {
        SLOW_FACTOR_ALONE
    };
    *median > least
}
