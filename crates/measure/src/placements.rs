//! Latency, throughput and packing quality of placement decisions.

use crate::figure::Unit;
use crate::report::Report;
use crate::scale::Scale;

const SEED: u64 = 1;

/// Measures decision latency and throughput, and packing relative to first-fit decreasing.
pub(crate) fn measure(scale: &Scale, report: &mut Report) {
    for &workers in &scale.decision_workers {
        let figures = placement::measure::decisions(workers, scale.decision_tasks, SEED);
        let size = u64::from(workers);
        report.add("decision_us_p50", size, Unit::Us, figures.p50_us);
        report.add("decision_us_p99", size, Unit::Us, figures.p99_us);
        report.add("decisions_per_s_core", size, Unit::PerS, figures.per_s);
    }
    for mix in placement::measure::Mix::ALL {
        let figures = placement::measure::packing(mix, SEED);
        let name = format!("packing_ratio_{mix}");
        report.add(name, figures.tasks as u64, Unit::Ratio, figures.ratio);
    }
}
