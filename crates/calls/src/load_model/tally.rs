//! Counts what becomes of the calls that arrive while a run counts.

use super::case;
use super::cell;
use super::figures;
use super::requests;

#[derive(Debug)]
struct ClassTally {
    offered: u64,
    answered: u64,
    wait: figures::Samples,
    response: figures::Samples,
}

#[derive(Clone, Copy, Debug, Default)]
struct TeamTally {
    offered: u64,
    answered: u64,
}

/// Counts of one run.
#[derive(Debug)]
pub(super) struct Tally {
    case: case::LoadCase,
    classes: Vec<ClassTally>,
    teams: Vec<TeamTally>,
    refused: u64,
    late: u64,
    retries: u64,
    useful_slot_us: u64,
    network_us: u64,
    link_bytes: u64,
    open_calls_max: u32,
}

impl Tally {
    pub(super) fn new(case: &case::LoadCase) -> Self {
        let classes = case.workload.classes().iter().map(|_| ClassTally {
            offered: 0,
            answered: 0,
            wait: figures::Samples::new(),
            response: figures::Samples::new(),
        });
        Self {
            case: *case,
            classes: classes.collect(),
            teams: vec![TeamTally::default(); case.teams as usize],
            refused: 0,
            late: 0,
            retries: 0,
            useful_slot_us: 0,
            network_us: 0,
            link_bytes: 0,
            open_calls_max: 0,
        }
    }

    pub(super) fn sent(&mut self, request: &requests::Request) {
        if self.counts(request) {
            self.classes[request.class].offered += 1;
            self.teams[request.team].offered += 1;
        }
    }

    pub(super) fn retried(&mut self, request: &requests::Request) {
        self.retries += u64::from(self.counts(request));
    }

    pub(super) fn started(&mut self, request: &requests::Request, started_at_us: u64) {
        if self.counts(request) {
            let wait_us = started_at_us - request.sent_at_us;
            self.classes[request.class].wait.record(wait_us);
        }
    }

    pub(super) fn answered(
        &mut self,
        request: &requests::Request,
        at_caller_us: u64,
        queued_us: u64,
    ) {
        if !self.counts(request) {
            return;
        }
        if at_caller_us > request.deadline_at_us {
            self.late += 1;
            return;
        }
        let response_us = at_caller_us - request.sent_at_us;
        let class = &mut self.classes[request.class];
        class.answered += 1;
        class.response.record(response_us);
        self.teams[request.team].answered += 1;
        self.useful_slot_us += request.service_us;
        self.network_us += response_us - request.service_us - queued_us;
    }

    pub(super) fn refused(&mut self, request: &requests::Request) {
        self.refused += u64::from(self.counts(request));
    }

    pub(super) fn link_bytes(&mut self, request: &requests::Request, bytes: u64) {
        if self.counts(request) {
            self.link_bytes += bytes;
        }
    }

    pub(super) fn open_calls(&mut self, open_calls: u32) {
        self.open_calls_max = self.open_calls_max.max(open_calls);
    }

    pub(super) fn figures(&self) -> figures::LoadFigures {
        let offered = self.classes.iter().map(|class| class.offered).sum();
        let answered: u64 = self.classes.iter().map(|class| class.answered).sum();
        let seconds = self.case.duration_ms as f64 / 1_000.0;
        let slot_us = seconds * 1_000_000.0 * f64::from(cell::slots());
        let quiet = &self.teams[self.case.flooding_teams as usize..];
        let shares = quiet.iter().map(|team| share(team.answered, team.offered));
        let names = self.case.workload.classes().iter();
        let classes = names
            .zip(&self.classes)
            .map(|(class, tally)| figures::ClassFigures {
                name: class.name,
                offered: tally.offered,
                answered: tally.answered,
                wait: tally.wait.waits(),
                response: tally.response.waits(),
            });
        figures::LoadFigures {
            offered,
            answered,
            answered_per_s: answered as f64 / seconds,
            useful_slot_share: self.useful_slot_us as f64 / slot_us,
            refused_share: share(self.refused, offered),
            late_share: share(self.late, offered),
            retry_share: share(self.retries, offered),
            network_ms: share(self.network_us, answered) / 1_000.0,
            quota_share_min: shares.clone().fold(1.0, f64::min),
            quota_share_mean: shares.sum::<f64>() / quiet.len().max(1) as f64,
            open_calls_max: self.open_calls_max,
            link_bytes_per_call: share(self.link_bytes, answered),
            classes: classes.collect(),
        }
    }

    fn counts(&self, request: &requests::Request) -> bool {
        request.sent_at_us >= self.case.warmup_ms * 1_000
    }
}

fn share(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}
