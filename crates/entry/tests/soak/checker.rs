//! Judges, from outside, what worker processes reported and what clients were answered.

use std::{collections::BTreeMap, ops::Range};

use platform_standin::run_log::{RunEvent, TimedEvent};

use crate::clients::ClientJob;

/// Time within which no start may follow an acknowledged cancellation any more.
const CANCEL_MS: u64 = 3_000;
/// Time for a stop to take effect.
const STOP_MS: u64 = 200;
/// Time without a disturbance after which time bounds hold again.
pub const CALM_MS: u64 = 4_000;
/// Delay with which a busy machine may report an event.
const REPORT_DELAY_MS: u64 = 50;

/// One life of a worker process.
#[derive(Clone, Debug)]
pub struct Life {
    /// Worker id and number of the process.
    pub name: String,
    /// What it reported, in order.
    pub events: Vec<TimedEvent>,
    /// When it was killed at the latest; `None` if it was not.
    pub killed_ms: Option<u64>,
}

/// All that is known about a history.
#[derive(Debug)]
pub struct History {
    /// The worker processes.
    pub lives: Vec<Life>,
    /// The jobs, by id.
    pub jobs: BTreeMap<String, ClientJob>,
    /// When faults were in effect, on the machine's clock.
    pub faults: Vec<Range<u64>>,
    /// End of the history.
    pub ended_ms: u64,
}

/// A run that a worker reported.
#[derive(Debug)]
pub struct Run<'a> {
    life: &'a str,
    /// Name of the task.
    pub task: &'a str,
    number: u64,
    spec: &'a str,
    /// From its start to its end, on the machine's clock.
    pub span: Range<u64>,
    /// Whether it ended `done` and this was acknowledged before the hold lapsed.
    counted: bool,
}

impl Run<'_> {
    /// Id of the job.
    pub fn job(&self) -> &str {
        self.task.split('.').next().unwrap_or_default()
    }

    /// Where and when it ran.
    pub fn place(&self) -> String {
        let Range { start, end } = self.span;
        format!(
            "run {} on {} from {start} to {end} ms",
            self.number, self.life
        )
    }
}

/// The runs of one process.
fn runs(life: &Life, ended_ms: u64) -> Vec<Run<'_>> {
    let mut runs: Vec<Run> = Vec::new();
    let mut ends: Vec<(u64, usize)> = Vec::new();
    let mut open: BTreeMap<(&str, u64), usize> = BTreeMap::new();
    let mut held_until_ms = u64::MAX;
    let mut left_ms = u64::MAX;
    for TimedEvent { at_ms, event } in &life.events {
        match event {
            RunEvent::Started { task, run, spec } => {
                open.insert((task, *run), runs.len());
                runs.push(Run {
                    life: &life.name,
                    task,
                    number: *run,
                    spec,
                    span: *at_ms..u64::MAX,
                    counted: false,
                });
            }
            RunEvent::Ended {
                number,
                task,
                run,
                how,
            } => {
                if let Some(index) = open.remove(&(task.as_str(), *run)) {
                    runs[index].span.end = *at_ms;
                    if how == "done" {
                        ends.push((*number, index));
                    }
                }
            }
            RunEvent::Acknowledged { last_seen } => ends.retain(|(number, index)| {
                let counts = number <= last_seen;
                runs[*index].counted |= counts;
                !counts
            }),
            RunEvent::Held { until_ms } => held_until_ms = *until_ms,
            RunEvent::Lapsed => ends.clear(),
            RunEvent::Left => left_ms = *at_ms,
            RunEvent::Up { .. } => {}
        }
    }
    let end_ms = life.killed_ms.unwrap_or(ended_ms).min(left_ms);
    for index in open.into_values() {
        let run = &mut runs[index];
        run.span.end = end_ms.min(held_until_ms).max(run.span.start);
    }
    runs
}

impl History {
    /// The runs, in the order of their starts.
    pub fn runs(&self) -> Vec<Run<'_>> {
        let lives = self.lives.iter();
        let mut runs: Vec<Run> = lives.flat_map(|life| runs(life, self.ended_ms)).collect();
        runs.sort_by_key(|run| run.span.start);
        runs
    }

    /// The rules that were broken; empty in a correct history.
    pub fn violations(&self) -> Vec<String> {
        let runs = self.runs();
        let mut violations = Vec::new();
        let mut of_task: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
        for run in &runs {
            for earlier in of_task.entry(run.task).or_default().iter() {
                let overlaps = earlier.span.end > run.span.start;
                if overlaps || earlier.counted {
                    let kind = if overlaps { "at once" } else { "after its end" };
                    let (first, second) = (earlier.place(), run.place());
                    violations.push(format!("TWICE {kind}: {}: {first}; {second}", run.task));
                }
            }
            of_task.entry(run.task).or_default().push(run);
            violations.extend(
                self.unasked(run)
                    .map(|why| format!("UNASKED {why}: {}: {}", run.task, run.place())),
            );
        }
        violations
    }

    fn unasked(&self, run: &Run) -> Option<String> {
        let Some(job) = self.jobs.get(run.job()) else {
            return Some("of no client".to_owned());
        };
        if job.spec != run.spec {
            return Some(format!("other spec {:?}", run.spec));
        }
        if !job.accepted && !job.in_doubt {
            return Some("of a refused job".to_owned());
        }
        let cancelled_ms = job.cancelled_ms?;
        let after = |ms: u64| ms.saturating_sub(cancelled_ms);
        if after(run.span.start) > CANCEL_MS && self.is_calm(run.span.start) {
            return Some(format!(
                "started {} ms after its cancellation",
                after(run.span.start)
            ));
        }
        let due_ms = run.span.start.max(cancelled_ms + CANCEL_MS) + STOP_MS + REPORT_DELAY_MS;
        // Calm begins with the bound itself, or some time after a fault.
        let calm_ms = self.faults.iter().map(|fault| fault.end + CALM_MS + 1);
        let goes_on = |ms: &u64| *ms >= due_ms && *ms < run.span.end && self.is_calm(*ms);
        calm_ms
            .chain([due_ms])
            .filter(goes_on)
            .min()
            .map(|ms| format!("goes on {} ms after its cancellation", after(ms)))
    }

    /// Whether no fault was in effect shortly before.
    fn is_calm(&self, at_ms: u64) -> bool {
        let disturbs = |fault: &Range<u64>| fault.start <= at_ms && at_ms <= fault.end + CALM_MS;
        !self.faults.iter().any(disturbs)
    }
}
