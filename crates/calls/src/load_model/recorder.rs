//! Recording of call outcomes during the measurement window of a run.
//!
//! Answers are attributed to the time at which they reach their caller, and all other
//! events to the time at which the call was sent. Answers after the end of the window are
//! therefore not counted.

use super::case;
use super::cell;
use super::requests;
use super::results;

#[derive(Debug)]
struct ClassCounters {
    offered: u64,
    answered: u64,
    wait: results::LatencyHistogram,
    response: results::LatencyHistogram,
}

#[derive(Clone, Copy, Debug, Default)]
struct TeamCounters {
    offered_us: u64,
    answered_us: u64,
}

/// Counters and latencies of one run.
#[derive(Debug)]
pub(super) struct Recorder {
    case: case::LoadCase,
    classes: Vec<ClassCounters>,
    teams: Vec<TeamCounters>,
    refused: u64,
    late: u64,
    retries: u64,
    useful_slot_us: u64,
    network_us: u64,
    link_bytes: u64,
    open_calls_max: u32,
}

impl Recorder {
    pub(super) fn new(case: &case::LoadCase) -> Self {
        let classes = case.workload.classes().iter().map(|_| ClassCounters {
            offered: 0,
            answered: 0,
            wait: results::LatencyHistogram::new(),
            response: results::LatencyHistogram::new(),
        });
        Self {
            case: *case,
            classes: classes.collect(),
            teams: vec![TeamCounters::default(); case.teams as usize],
            refused: 0,
            late: 0,
            retries: 0,
            useful_slot_us: 0,
            network_us: 0,
            link_bytes: 0,
            open_calls_max: 0,
        }
    }

    pub(super) fn record_sent(&mut self, request: &requests::Request) {
        if self.is_measured(request) {
            self.classes[request.class].offered += 1;
            self.teams[request.team].offered_us += request.service_us;
        }
    }

    pub(super) fn record_retry(&mut self, request: &requests::Request) {
        self.retries += u64::from(self.is_measured(request));
    }

    pub(super) fn record_start(&mut self, request: &requests::Request, started_at_us: u64) {
        if self.is_measured(request) {
            let wait_us = started_at_us - request.sent_at_us;
            self.classes[request.class].wait.record(wait_us);
        }
    }

    pub(super) fn record_answer(
        &mut self,
        request: &requests::Request,
        at_caller_us: u64,
        queued_us: u64,
    ) {
        if at_caller_us > request.deadline_at_us {
            self.late += u64::from(self.is_measured(request));
            return;
        }
        let response_us = at_caller_us - request.sent_at_us;
        if self.is_measured(request) {
            self.classes[request.class].response.record(response_us);
        }
        if self.in_measurement_window(at_caller_us) {
            self.classes[request.class].answered += 1;
            self.teams[request.team].answered_us += request.service_us;
            self.useful_slot_us += request.service_us;
            self.network_us += response_us - request.service_us - queued_us;
        }
    }

    pub(super) fn record_refusal(&mut self, request: &requests::Request) {
        self.refused += u64::from(self.is_measured(request));
    }

    pub(super) fn record_link_bytes(&mut self, request: &requests::Request, bytes: u64) {
        if self.is_measured(request) {
            self.link_bytes += bytes;
        }
    }

    pub(super) fn record_open_calls(&mut self, open_calls: u32) {
        self.open_calls_max = self.open_calls_max.max(open_calls);
    }

    pub(super) fn results(&self) -> results::LoadResults {
        let offered = self.classes.iter().map(|class| class.offered).sum();
        let answered: u64 = self.classes.iter().map(|class| class.answered).sum();
        let seconds = self.case.duration_ms as f64 / 1_000.0;
        let slot_us = seconds * 1_000_000.0 * f64::from(cell::total_slots());
        let non_flooding = &self.teams[self.case.flooding_teams as usize..];
        let quota_us = (slot_us / f64::from(self.case.teams)) as u64;
        let shares = non_flooding
            .iter()
            .map(|team| share(team.answered_us, team.offered_us.min(quota_us)).min(1.0));
        let names = self.case.workload.classes().iter();
        let classes = names
            .zip(&self.classes)
            .map(|(class, counters)| results::ClassResults {
                name: class.name,
                offered: counters.offered,
                answered: counters.answered,
                wait: counters.wait.percentiles(),
                response: counters.response.percentiles(),
            });
        results::LoadResults {
            offered,
            answered,
            answered_per_s: answered as f64 / seconds,
            useful_slot_share: self.useful_slot_us as f64 / slot_us,
            refused_share: share(self.refused, offered),
            late_share: share(self.late, offered),
            retry_share: share(self.retries, offered),
            network_ms: share(self.network_us, answered) / 1_000.0,
            quota_share_min: shares.clone().fold(1.0, f64::min),
            quota_share_mean: shares.sum::<f64>() / non_flooding.len().max(1) as f64,
            open_calls_max: self.open_calls_max,
            link_bytes_per_call: share(self.link_bytes, answered),
            classes: classes.collect(),
        }
    }

    fn is_measured(&self, request: &requests::Request) -> bool {
        self.in_measurement_window(request.sent_at_us)
    }

    fn in_measurement_window(&self, at_us: u64) -> bool {
        let end_ms = self.case.warmup_ms + self.case.duration_ms;
        (self.case.warmup_ms * 1_000..end_ms * 1_000).contains(&at_us)
    }
}

fn share(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}
