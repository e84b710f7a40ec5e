//! Relative paces of workers, learned from the durations of runs.
//!
//! Declared durations are wrong by half or more, equally for all tasks of a step, so only the ratio
//! between the durations of runs of one step tells something about their workers. Tasks of one step
//! differ by up to 30% as well. The pace of a worker is therefore the median of several such ratios,
//! and it is published in bands, once the ratios leave no doubt that the worker differs from most.
//! A cell of equal workers publishes nothing, so its placement is not affected by noise.

use std::{collections::VecDeque, rc::Rc};

use derive_more::Display;

use crate::{collections::IndexMap, ids::TaskId};

/// Pace of a typical worker, and of one that is not known.
pub const TYPICAL_PERCENT: u32 = 100;

/// Maximum number of samples of a worker.
const MAX_SAMPLES: usize = 15;
/// Minimum number of samples of a worker whose pace is known: the median of three is not affected by
/// one outlier.
const MIN_SAMPLES: usize = 3;
/// Number of latest samples of which all but one must contradict the pace for the earlier ones to be
/// dropped.
const CHANGE_SAMPLES: usize = 5;
/// Deviation of those samples from the pace, as a logarithm. Two tasks that differ by 30% in opposite
/// directions seldom exceed it, and hardly ever four times of five.
const CHANGE_LN: f32 = 0.3;
/// Difference between the logarithms of two durations above which the longer one is an outlier: more
/// than the paces of workers and the tasks of a step differ together.
const OUTLIER_LN: f32 = 1.0;
/// Age at which samples and inherited paces expire, in milliseconds.
const MAX_AGE_MS: u64 = 600_000;
/// Maximum number of durations of a step that are remembered.
const MAX_STEP_DURATIONS: usize = 8;
/// Number of durations of a step up to which a new one also updates the samples of the earlier ones.
/// Otherwise the workers that finish first would get no samples.
const MAX_UPDATED_DURATIONS: usize = 4;
/// Minimum duration of a run, in milliseconds: delays of messages distort shorter ones.
const MIN_DURATION_MS: u64 = 100;
/// Standard deviation of the logarithm of the duration among the tasks of a step that differ by up
/// to 30%.
const TASK_DEVIATION_LN: f32 = 0.175;
/// Ratio of the standard deviation of a normal distribution to its mean deviation.
const MEAN_DEVIATION_FACTOR: f32 = 1.25;
/// Ratio of the standard error of a median to that of a mean.
const MEDIAN_ERROR_FACTOR: f32 = 1.25;
/// Minimum deviation from the typical pace in standard errors.
const MIN_DEVIATION_ERRORS: f32 = 3.5;
/// The same for a deviation of more than [`LARGE_DEVIATION_LN`].
const MIN_LARGE_DEVIATION_ERRORS: f32 = 2.5;
/// Deviation that noise hardly ever reaches, as a logarithm: two bands.
const LARGE_DEVIATION_LN: f32 = 2.0 * BAND_LN;
/// Minimum deviation from the typical pace, as a logarithm.
const MIN_DEVIATION_LN: f32 = 0.18;
/// Logarithm of the ratio between the paces of adjacent bands, 1.25.
const BAND_LN: f32 = 0.223_143_55;
/// Distance from the centre of the published band beyond which another one is published, in bands.
const BAND_HYSTERESIS: f32 = 0.75;
/// Paces of the bands.
const BAND_PERCENT: [u32; 11] = [41, 51, 64, 80, 100, 125, 156, 195, 244, 305, 381];
/// Position of the band of typical workers.
const TYPICAL_BAND: i8 = 4;
/// Workers are heterogeneous if at least one in this number of the known ones deviates.
const MIN_DEVIATING_DIVISOR: usize = 16;
/// Number of known workers below which a single one that deviates suffices.
const SMALL_CELL_WORKERS: usize = 8;
/// Time between two updates of the published paces, in milliseconds.
const REFRESH_INTERVAL_MS: u64 = 1_000;

/// Ratio of the duration of a run to those of other runs of its step.
#[derive(Clone, Copy, Debug)]
struct Sample {
    task: TaskId,
    run: u64,
    ln_ratio: f32,
    /// Number of runs of other workers it was compared with.
    others: usize,
    at_ms: u64,
}

/// What is known of the pace of a worker.
#[derive(Clone, Debug, Default)]
struct WorkerPace {
    samples: VecDeque<Sample>,
    /// Logarithm of the pace; 0 if unknown.
    ln_pace: f32,
    /// Band relative to the typical one, published while the workers are heterogeneous.
    band: i8,
    /// When the predecessor's pace expires, in milliseconds of the local clock.
    inherited_until_ms: Option<u64>,
}

impl WorkerPace {
    fn is_known(&self) -> bool {
        self.samples.len() >= MIN_SAMPLES || self.inherited_until_ms.is_some()
    }

    fn update_pace(&mut self) {
        if self.samples.len() >= MIN_SAMPLES {
            let mut ratios = [0.0; MAX_SAMPLES];
            for (ratio, sample) in ratios.iter_mut().zip(&self.samples) {
                *ratio = sample.ln_ratio;
            }
            self.ln_pace = median(&mut ratios[..self.samples.len()]);
        } else if self.inherited_until_ms.is_none() {
            self.ln_pace = 0.0;
        }
    }

    fn record(&mut self, sample: Sample) {
        let is_same = |known: &&mut Sample| known.task == sample.task && known.run == sample.run;
        if let Some(known) = self.samples.iter_mut().find(is_same) {
            *known = sample;
        } else {
            if self.samples.len() == MAX_SAMPLES {
                self.samples.pop_front();
            }
            self.samples.push_back(sample);
        }
        self.drop_contradicted();
        self.update_pace();
    }

    /// Drops earlier samples if the latest ones show that the pace has changed.
    fn drop_contradicted(&mut self) {
        let Some(earlier) = self.samples.len().checked_sub(CHANGE_SAMPLES) else {
            return;
        };
        let ln_pace = self.ln_pace;
        let latest = self.samples.range(earlier..).map(|s| s.ln_ratio - ln_pace);
        let slower = latest.clone().filter(|change| *change > CHANGE_LN).count();
        let faster = latest.filter(|change| *change < -CHANGE_LN).count();
        if slower.max(faster) + 1 >= CHANGE_SAMPLES {
            self.samples.drain(..earlier);
        }
    }

    fn expire(&mut self, now_ms: u64) {
        let is_expired = |at_ms: u64| now_ms > at_ms + MAX_AGE_MS;
        while self.samples.front().is_some_and(|s| is_expired(s.at_ms)) {
            self.samples.pop_front();
        }
        if let Some(until_ms) = &mut self.inherited_until_ms {
            // The time of the takeover is known from the first update on.
            *until_ms = (*until_ms).min(now_ms + MAX_AGE_MS);
        }
        if self.samples.len() >= MIN_SAMPLES
            || self
                .inherited_until_ms
                .is_some_and(|until_ms| now_ms > until_ms)
        {
            self.inherited_until_ms = None;
        }
        self.update_pace();
    }

    /// Standard error of the pace, as a logarithm.
    fn error_ln(&self) -> f32 {
        let count = self.samples.len() as f32;
        let variances = self.samples.iter().map(|s| 1.0 + 1.0 / s.others as f32);
        let expected_ln = TASK_DEVIATION_LN * (variances.sum::<f32>() / count).sqrt();
        let deviations = self
            .samples
            .iter()
            .map(|s| (s.ln_ratio - self.ln_pace).abs());
        let observed_ln = MEAN_DEVIATION_FACTOR * deviations.sum::<f32>() / count;
        MEDIAN_ERROR_FACTOR * expected_ln.max(observed_ln) / count.sqrt()
    }

    /// The band to publish if the logarithm of the typical pace is `center_ln`.
    fn next_band(&self, center_ln: f32) -> i8 {
        if !self.is_known() {
            return 0;
        }
        let deviation_ln = self.ln_pace - center_ln;
        let bands = deviation_ln / BAND_LN;
        if (bands - f32::from(self.band)).abs() < BAND_HYSTERESIS {
            return self.band;
        }
        let min_errors = if deviation_ln.abs() > LARGE_DEVIATION_LN {
            MIN_LARGE_DEVIATION_ERRORS
        } else {
            MIN_DEVIATION_ERRORS
        };
        let is_certain = self.inherited_until_ms.is_some()
            || deviation_ln.abs() > MIN_DEVIATION_LN.max(min_errors * self.error_ln());
        if is_certain {
            let last = BAND_PERCENT.len() as i8 - 1;
            (bands.round() as i8).clamp(-TYPICAL_BAND, last - TYPICAL_BAND)
        } else if self.band != 0 && bands.abs() > BAND_HYSTERESIS {
            self.band
        } else {
            0
        }
    }
}

/// Median of logarithms, which are sorted in place; the mean of the middle two of an even number.
fn median(values: &mut [f32]) -> f32 {
    values.sort_unstable_by(f32::total_cmp);
    let Some(last) = values.len().checked_sub(1) else {
        return 0.0;
    };
    f32::midpoint(values[last / 2], values[values.len() / 2])
}

fn percent_of(band: i8) -> u32 {
    BAND_PERCENT[(TYPICAL_BAND + band) as usize]
}

/// Duration of a run, without the effect of its worker's pace.
#[derive(Clone, Debug)]
struct StepDuration {
    worker: Rc<str>,
    task: TaskId,
    run: u64,
    ln_ms: f32,
    /// The same without the correction for the pace of the worker.
    measured_ln_ms: f32,
}

/// Measured durations of the latest runs of a step.
#[derive(Clone, Debug, Default)]
pub struct StepDurations {
    runs: Vec<StepDuration>,
}

impl StepDurations {
    /// Keeps a duration, or a random selection if there are too many. The selection must not depend on
    /// the order in which the runs end: the latest ones all ran on slow workers.
    fn record(&mut self, duration: StepDuration) {
        let rank = |duration: &StepDuration| duration.task.index.wrapping_mul(0x9e37_79b1);
        let is_same = |known: &&mut StepDuration| known.task == duration.task;
        if let Some(known) = self.runs.iter_mut().find(is_same) {
            *known = duration;
        } else if self.runs.len() < MAX_STEP_DURATIONS {
            self.runs.push(duration);
        } else if let Some(last) = self.runs.iter_mut().max_by_key(|known| rank(known))
            && rank(&duration) < rank(last)
        {
            *last = duration;
        }
    }

    fn median_where(&self, is_counted: impl Fn(&StepDuration) -> bool) -> Option<(f32, usize)> {
        let mut values = [0.0; MAX_STEP_DURATIONS];
        let mut count = 0;
        for run in self.runs.iter().filter(|run| is_counted(run)) {
            values[count] = run.ln_ms;
            count += 1;
        }
        let values = &mut values[..count];
        let middle_ln = median(values);
        match values {
            [] => None,
            [shorter, longer] if *longer - *shorter > OUTLIER_LN => Some((*shorter, count)),
            _ => Some((middle_ln, count)),
        }
    }

    /// Expected duration of a task of the step on a typical worker, in milliseconds; `None` if no run
    /// has been measured.
    pub fn typical_ms(&self) -> Option<u64> {
        let (ln_ms, _) = self.median_where(|_| true)?;
        Some(ln_ms.exp() as u64)
    }
}

/// The published paces at a glance.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(
    "known={known} deviating={deviating} fastest_decile_percent={fastest_decile_percent} \
     slowest_decile_percent={slowest_decile_percent}"
)]
pub struct PaceSummary {
    /// Number of workers whose pace is known.
    pub known: usize,
    /// Number of those that are not typical.
    pub deviating: usize,
    /// Pace that a tenth of the known workers undercut or equal.
    pub fastest_decile_percent: u32,
    /// Pace that a tenth of the known workers exceed or equal.
    pub slowest_decile_percent: u32,
}

/// Paces of the workers: the duration of a task relative to a typical worker.
#[derive(Clone, Debug, Default)]
pub struct PaceTable {
    workers: IndexMap<Rc<str>, WorkerPace>,
    center_ln: f32,
    /// Whether enough workers deviate from the typical pace for the paces to be used.
    heterogeneous: bool,
    refresh_due_ms: u64,
    summary: Option<PaceSummary>,
}

/// A run whose duration has been measured.
#[derive(Clone, Copy, Debug)]
pub struct MeasuredRun<'a> {
    /// Worker of the run.
    pub worker: &'a Rc<str>,
    /// Task that the run executes.
    pub task: TaskId,
    /// Run number, unique within the task.
    pub run: u64,
    /// Duration of the whole task at the measured pace, in milliseconds.
    pub total_ms: u64,
}

impl PaceTable {
    fn ln_pace(&self, worker: &str) -> f32 {
        let pace = self.workers.get(worker).filter(|pace| pace.is_known());
        pace.map_or(0.0, |pace| pace.ln_pace - self.center_ln)
    }

    /// Records a measured run of a step. A later measurement of the same run replaces the earlier one.
    pub fn record(&mut self, step: &mut StepDurations, run: MeasuredRun<'_>, now_ms: u64) {
        if run.total_ms < MIN_DURATION_MS {
            return;
        }
        let measured_ln_ms = (run.total_ms as f32).ln();
        let duration = StepDuration {
            worker: Rc::clone(run.worker),
            task: run.task,
            run: run.run,
            ln_ms: measured_ln_ms - self.ln_pace(run.worker),
            measured_ln_ms,
        };
        self.compare(step, &duration, now_ms);
        step.record(duration);
        if step.runs.len() <= MAX_UPDATED_DURATIONS {
            let is_other = |known: &&StepDuration| known.worker != *run.worker;
            for known in step.runs.iter().filter(is_other) {
                self.compare(step, known, now_ms);
            }
        }
    }

    /// Compares a run with those of other workers.
    fn compare(&mut self, step: &StepDurations, run: &StepDuration, now_ms: u64) {
        let Some((typical_ln, others)) = step.median_where(|other| other.worker != run.worker)
        else {
            return;
        };
        let pace = self.workers.entry(Rc::clone(&run.worker)).or_default();
        pace.record(Sample {
            task: run.task,
            run: run.run,
            ln_ratio: run.measured_ln_ms - typical_ln,
            others,
            at_ms: now_ms,
        });
    }

    /// Takes over the pace that the predecessor published for a worker.
    pub fn inherit(&mut self, worker: &Rc<str>, percent: u32) {
        let nearest = |known: &&u32| known.abs_diff(percent);
        let band = BAND_PERCENT.iter().min_by_key(nearest);
        let position = BAND_PERCENT.iter().position(|known| Some(known) == band);
        let band = position.unwrap_or(0) as i8 - TYPICAL_BAND;
        let inherited = WorkerPace {
            ln_pace: f32::from(band) * BAND_LN,
            band,
            inherited_until_ms: Some(u64::MAX),
            ..WorkerPace::default()
        };
        self.workers.insert(Rc::clone(worker), inherited);
        self.heterogeneous = self.are_heterogeneous();
        self.summary = None; // Until the first update, which includes all workers.
    }

    /// Forgets the pace of a worker, because another process answers under its identifier.
    pub fn forget(&mut self, worker: &str) {
        self.workers.swap_remove(worker);
    }

    /// Updates the published paces if that is due, and forgets workers that are not known any more.
    /// Returns whether it did.
    pub fn refresh(&mut self, now_ms: u64, is_known: impl Fn(&str) -> bool) -> bool {
        if now_ms < self.refresh_due_ms || self.workers.is_empty() {
            return false;
        }
        self.refresh_due_ms = now_ms + REFRESH_INTERVAL_MS;
        self.workers.retain(|worker, pace| {
            pace.expire(now_ms);
            is_known(worker)
        });
        let known = self.workers.values().filter(|pace| pace.is_known());
        let mut paces: Vec<f32> = known.map(|pace| pace.ln_pace).collect();
        self.center_ln = if paces.len() < MIN_SAMPLES {
            0.0
        } else {
            median(&mut paces)
        };
        for pace in self.workers.values_mut() {
            pace.band = pace.next_band(self.center_ln);
        }
        self.heterogeneous = self.are_heterogeneous();
        self.summary = self.summarize();
        true
    }

    fn are_heterogeneous(&self) -> bool {
        let mut known = 0;
        let mut deviating = 0;
        for pace in self.workers.values().filter(|pace| pace.is_known()) {
            known += 1;
            deviating += usize::from(pace.band != 0);
        }
        // Half as many suffice to stay heterogeneous.
        let divisor = MIN_DEVIATING_DIVISOR << u32::from(self.heterogeneous);
        let required = if known < SMALL_CELL_WORKERS { 1 } else { 2 };
        deviating >= required && deviating * divisor >= known
    }

    /// Duration of a task on a worker relative to a typical one, in percent; `None` if unknown.
    /// Adjacent paces differ by a quarter, and like workers have equal ones.
    pub fn percent(&self, worker: &str) -> Option<u32> {
        let pace = self.workers.get(worker).filter(|pace| pace.is_known())?;
        Some(if self.heterogeneous {
            percent_of(pace.band)
        } else {
            TYPICAL_PERCENT
        })
    }

    /// Summary of the published paces; `None` while the workers count as equal.
    pub fn summary(&self) -> Option<PaceSummary> {
        self.summary
    }

    fn summarize(&self) -> Option<PaceSummary> {
        if !self.heterogeneous {
            return None;
        }
        let known = self.workers.values().filter(|pace| pace.is_known());
        let mut percents: Vec<u32> = known.map(|pace| percent_of(pace.band)).collect();
        percents.sort_unstable();
        let last = percents.len().checked_sub(1)?;
        let is_deviating = |percent: &&u32| **percent != TYPICAL_PERCENT;
        Some(PaceSummary {
            known: percents.len(),
            deviating: percents.iter().filter(is_deviating).count(),
            fastest_decile_percent: percents[last / 10],
            slowest_decile_percent: percents[last - last / 10],
        })
    }
}
