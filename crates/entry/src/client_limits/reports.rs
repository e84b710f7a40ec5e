//! Bound on the log lines about refused and closed connections.

use indexmap::IndexMap;

use super::Reason;

/// Time between two lines for a reason, in milliseconds.
const LINE_INTERVAL_MS: u64 = 1_000;

/// What was counted since the last line, by reason.
#[derive(Debug, Default)]
pub struct Reports {
    reasons: IndexMap<Reason, Report>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Report {
    logged_ms: Option<u64>,
    count: u64,
}

impl Reports {
    /// Counts a refusal or close, and returns the count for a line that is due now.
    pub fn count(&mut self, reason: Reason, now_ms: u64) -> Option<u64> {
        self.reasons.entry(reason).or_default().count += 1;
        self.line(reason, now_ms)
    }

    /// Lines that have become due.
    pub fn due(&mut self, now_ms: u64) -> Vec<(Reason, u64)> {
        let reasons: Vec<Reason> = self.reasons.keys().copied().collect();
        let lines = reasons.into_iter();
        lines
            .filter_map(|reason| Some((reason, self.line(reason, now_ms)?)))
            .collect()
    }

    fn line(&mut self, reason: Reason, now_ms: u64) -> Option<u64> {
        let report = self.reasons.get_mut(&reason)?;
        let recent = report
            .logged_ms
            .is_some_and(|logged_ms| now_ms.saturating_sub(logged_ms) < LINE_INTERVAL_MS);
        if report.count == 0 || recent {
            return None;
        }
        report.logged_ms = Some(now_ms);
        Some(std::mem::take(&mut report.count))
    }
}
